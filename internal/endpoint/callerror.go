package endpoint

import "fmt"

// CallError is the error of one command. It matches its Kind, one of the errors
// of this package, and its Cause with errors.Is.
type CallError struct {
	Address string // of the endpoint
	Command string
	Kind    error // e.g. ErrLost
	Cause   error // may be nil
}

// Error returns the command, the kind and the cause.
func (e *CallError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s at %s: %v", e.Command, e.Address, e.Kind)
	}
	return fmt.Sprintf("%s at %s: %v: %v", e.Command, e.Address, e.Kind, e.Cause)
}

// Unwrap returns the kind and the cause.
func (e *CallError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}
