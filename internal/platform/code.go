package platform

import (
	"errors"
	"net/http"
)

// ErrorCode is the machine-readable code of a refused call.
type ErrorCode string

// Error codes of refused calls. Each means that nothing was written.
const (
	CodeNotFound    ErrorCode = "not-found"
	CodeConflict    ErrorCode = "conflict"
	CodeLeaseGone   ErrorCode = "lease-gone"
	CodeTooLarge    ErrorCode = "too-large"
	CodeThrottled   ErrorCode = "throttled"
	CodeUnavailable ErrorCode = "unavailable"
	CodeBadRequest  ErrorCode = "bad-request"
)

type refusal struct {
	code   ErrorCode
	status int
	err    error
}

var refusals = []refusal{
	{CodeNotFound, http.StatusNotFound, ErrNotFound},
	{CodeConflict, http.StatusConflict, ErrConflict},
	{CodeLeaseGone, http.StatusGone, ErrLeaseGone},
	{CodeTooLarge, http.StatusRequestEntityTooLarge, ErrTooLarge},
	{CodeThrottled, http.StatusTooManyRequests, ErrThrottled},
	{CodeUnavailable, http.StatusServiceUnavailable, ErrUnavailable},
	{CodeBadRequest, http.StatusBadRequest, ErrBadRequest},
}

// Refusal returns the code and the HTTP status of the error of a refused call,
// or false for an error that the protocol has no code for.
func Refusal(err error) (ErrorCode, int, bool) {
	for _, r := range refusals {
		if errors.Is(err, r.err) {
			return r.code, r.status, true
		}
	}
	return "", 0, false
}

// refusalError returns the error of a refused call, or nil if the code and the
// status do not match: an error status from an intermediary does not prove that
// nothing was written.
func refusalError(status int, code ErrorCode) error {
	for _, r := range refusals {
		if r.code == code && r.status == status {
			return r.err
		}
	}
	return nil
}
