package job

import "strings"

const (
	// IDLength is the length of a job identifier.
	IDLength = 16
	// IDDigits are the characters allowed in a job identifier.
	IDDigits = "0123456789abcdef"
)

// ValidID reports whether a string is a well-formed job identifier.
func ValidID(id string) bool {
	return len(id) == IDLength && strings.Trim(id, IDDigits) == ""
}
