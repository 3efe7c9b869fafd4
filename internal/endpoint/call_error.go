package endpoint

import "fmt"

// CallError is the error of one command. errors.Is matches both its Kind, which
// is one of the errors of this package, and its Cause.
type CallError struct {
	Address string // address of the endpoint
	Command string
	Kind    error // for example ErrOutcomeUnknown
	Cause   error // may be nil
}

// Error returns a message with the command, the address, the kind and the cause.
func (e *CallError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("%s at %s: %v", e.Command, e.Address, e.Kind)
	}
	return fmt.Sprintf("%s at %s: %v: %v", e.Command, e.Address, e.Kind, e.Cause)
}

// Unwrap returns the kind and, if set, the cause.
func (e *CallError) Unwrap() []error {
	if e.Cause == nil {
		return []error{e.Kind}
	}
	return []error{e.Kind, e.Cause}
}
