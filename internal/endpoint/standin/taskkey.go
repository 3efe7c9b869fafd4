package standin

import (
	"strings"

	"github.com/agateyard/agateyard/internal/model"
)

// TaskKey returns the part of an attempt identifier that names the task of the
// request: all of it but the nonce. See model.NewAttemptID.
func TaskKey(id model.AttemptID) string {
	if i := strings.LastIndexByte(string(id), '.'); i >= 0 {
		return string(id)[:i]
	}
	return string(id)
}
