package standin

import (
	"strings"

	"github.com/agateyard/agateyard/internal/model"
)

// TaskKey returns the part of an attempt identifier that identifies the task of
// the request: all but the nonce. See model.NewAttemptID.
func TaskKey(id model.AttemptID) string {
	if i := strings.LastIndexByte(string(id), '.'); i >= 0 {
		return string(id)[:i]
	}
	return string(id)
}
