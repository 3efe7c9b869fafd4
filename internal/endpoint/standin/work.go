package standin

import (
	"encoding/json"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// HeaderWork carries the work as JSON where the body is something else.
const HeaderWork = "Agateyard-Work"

// maxFillerBytes bounds the synthetic answer.
const maxFillerBytes = 32 << 20

// Work says what a synthetic attempt does. It is the JSON body of a request.
type Work struct {
	Echo        string          `json:"echo,omitempty"`         // identifier that the answer repeats
	RunMS       int64           `json:"run_ms,omitempty"`       // negative runs until it is stopped
	AnswerBytes int             `json:"answer_bytes,omitempty"` // of filler
	Fail        bool            `json:"fail,omitempty"`         // ends with status 500 and no effect
	Usage       model.Resources `json:"usage,omitzero"`         // measured usage; the declared resources where zero
}

// parseWork reads the work from the header or a JSON body and fills in the
// defaults. A body that is no JSON object is plain content and runs the defaults.
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

// duration returns the run time of work that ends by itself.
func (w Work) duration() time.Duration { return time.Duration(w.RunMS) * time.Millisecond }
