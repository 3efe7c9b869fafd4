package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/agateyard/agateyard/internal/model"
)

// AnswerBody is the JSON body of every answer. Tests use ParseAnswer to verify
// that they received the right answer and that it is complete.
type AnswerBody struct {
	Attempt  model.AttemptID `json:"attempt"`
	Template string          `json:"template"` // "workspace/name"
	Echo     string          `json:"echo"`     // copied from the request
	Failed   bool            `json:"failed,omitempty"`
	Checksum string          `json:"checksum"` // over template, echo and filler
	Filler   string          `json:"filler"`
}

// NewAnswer returns the answer of an attempt that executed the work.
func NewAnswer(attempt model.AttemptID, template string, w Work) model.Answer {
	b := AnswerBody{Attempt: attempt, Template: template, Echo: w.Echo, Failed: w.Fail, Filler: filler(string(attempt), w.AnswerBytes)}
	b.Checksum = b.checksum()
	raw, err := json.Marshal(b)
	if err != nil {
		panic(err) // can't fail: the fields are strings and a bool
	}
	status := 200
	if w.Fail {
		status = 500
	}
	return model.Answer{Status: status, ContentType: "application/json", Body: raw}
}

// ParseAnswer decodes an answer and verifies its checksum.
func ParseAnswer(body []byte) (AnswerBody, error) {
	var b AnswerBody
	if err := json.Unmarshal(body, &b); err != nil {
		return b, fmt.Errorf("answer is not whole: %w", err)
	}
	if b.Checksum != b.checksum() {
		return b, errors.New("answer has a wrong checksum")
	}
	return b, nil
}

func (b AnswerBody) checksum() string {
	return strconv.FormatUint(xxhash.Sum64String(b.Template+"\x00"+b.Echo+"\x00"+b.Filler), 16)
}

// filler returns n characters that depend on the seed, so that the answers of
// two attempts differ.
func filler(seed string, n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz012345"
	out := make([]byte, n)
	x := xxhash.Sum64String(seed) | 1
	for i := range out {
		x ^= x << 13
		x ^= x >> 7
		x ^= x << 17
		out[i] = letters[x&31]
	}
	return string(out)
}
