package standin

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// HeaderWork contains the work as JSON. It takes precedence over the body, and is for
// requests whose body is not JSON.
const HeaderWork = "Agateyard-Work"

// maxFillerBytes is the maximum size of the filler in an answer.
const maxFillerBytes = 32 << 20

// Work specifies what a synthetic attempt does. It is the JSON body of a request.
type Work struct {
	Echo        string          `json:"echo,omitempty"`         // identifier that is copied to the answer
	RunMS       int64           `json:"run_ms,omitempty"`       // negative: runs until it is stopped
	AnswerBytes int             `json:"answer_bytes,omitempty"` // size of the filler
	Fail        bool            `json:"fail,omitempty"`         // the attempt ends with status 500 and no effect
	Usage       model.Resources `json:"usage,omitzero"`         // reported usage; if zero, the requested resources are reported
}

// parseWork parses the work from the header or, without one, from a JSON body, and
// fills in the defaults. A body that is not a JSON object runs the defaults.
func parseWork(header string, body []byte, defaults Work) (Work, error) {
	w := defaults
	src := []byte(header)
	if header == "" {
		src = body
	}
	if header != "" || strings.HasPrefix(strings.TrimSpace(string(src)), "{") {
		if err := json.Unmarshal(src, &w); err != nil {
			return Work{}, err
		}
	}
	if w.AnswerBytes < 0 || w.AnswerBytes > maxFillerBytes {
		return Work{}, errors.New("answer_bytes out of range: " + strconv.Itoa(w.AnswerBytes))
	}
	return w, nil
}

// endless reports whether the work runs until it is stopped.
func (w Work) endless() bool { return w.RunMS < 0 }

// duration returns the run time of work that is not endless.
func (w Work) duration() time.Duration { return time.Duration(w.RunMS) * time.Millisecond }
