package gateway

import (
	"net/http"

	"github.com/agateyard/agateyard/internal/model"
)

// notRunStatus maps the reason of a "not-run" reply to the HTTP status:
//
//	400  the identifier is invalid, regardless of the rest of the request
//	404  the template does not exist
//	409  the request was cancelled
//	422  the request can never run, or its identifier was used with another body
//	429  there is too much work of this kind; submit again after Retry-After
//	503  the request was not accepted, or was accepted but could not be started in
//	     time; submit again after Retry-After
//
// A "ran" reply has the status of the endpoint's answer, or 410 if the answer was not
// kept. An "unknown" reply has 504 after a timeout and 502 otherwise; submitting the
// request again is safe only with the same identifier. A refusal by the gateway
// itself has 400, 404, 405, 408, 413, 415, 422, 431 or 503 with "not-run" or with the
// outcome of an earlier submission with the same identifier. An identifier older
// than the retention has 400 with "unknown", because its record has expired.
var notRunStatus = map[model.Reason]int{
	model.ReasonUnknownTemplate: http.StatusNotFound,
	model.ReasonInfeasible:      http.StatusUnprocessableEntity,
	model.ReasonOverload:        http.StatusTooManyRequests,
	model.ReasonQueueFull:       http.StatusTooManyRequests,
	model.ReasonWaitExceeded:    http.StatusServiceUnavailable,
	model.ReasonStoreDown:       http.StatusServiceUnavailable,
	model.ReasonNoOwner:         http.StatusServiceUnavailable,
	model.ReasonIDTooOld:        http.StatusBadRequest,
	model.ReasonIDInFuture:      http.StatusBadRequest,
	model.ReasonCancelled:       http.StatusConflict,
	model.ReasonRetriesSpent:    http.StatusServiceUnavailable, // currently sent only with "unknown"
	model.ReasonRecordConflict:  http.StatusUnprocessableEntity,
	model.ReasonStopping:        http.StatusServiceUnavailable, // currently not sent
	model.ReasonStopped:         http.StatusServiceUnavailable, // currently sent only with "ran"
	model.ReasonMoved:           http.StatusServiceUnavailable, // currently not sent; internal
	model.ReasonRecovering:      http.StatusServiceUnavailable, // currently sent only with "unknown"
}

// replyStatus returns the HTTP status of a reply that has no endpoint answer to
// forward.
func replyStatus(outcome model.Outcome, reason model.Reason, timedOut bool) int {
	switch outcome {
	case model.OutcomeNotRun:
		if status, ok := notRunStatus[reason]; ok {
			return status
		}
		return http.StatusServiceUnavailable
	case model.OutcomeRan:
		return http.StatusGone
	}
	if reason == model.ReasonIDTooOld {
		return http.StatusBadRequest
	}
	if timedOut || reason == model.ReasonWaitExceeded {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
