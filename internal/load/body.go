package load

import (
	"encoding/json"
	"fmt"
	"strings"
)

// body returns the JSON body of the request: the work for a stand-in endpoint,
// padding and the ordering field.
func (a arrival) body() []byte {
	b := map[string]any{"echo": a.echo, "run_ms": a.runMS()}
	if a.stream.AnswerBytes > 0 {
		b["answer_bytes"] = a.stream.AnswerBytes
	}
	if a.fail {
		b["fail"] = true
	}
	if a.stream.OrderingField != "" {
		b[a.stream.OrderingField] = a.orderingValue()
	}
	if a.stream.BodyBytes > 0 {
		b["padding"] = strings.Repeat("x", a.stream.BodyBytes)
	}
	raw, err := json.Marshal(b)
	if err != nil {
		panic(err) // strings, numbers and bools always marshal
	}
	return raw
}

// orderingValue returns the value of the ordering field, or an empty string if
// the stream has no ordering field.
func (a arrival) orderingValue() string {
	if a.stream.OrderingField == "" {
		return ""
	}
	return fmt.Sprintf("%s-%d", a.stream.OrderingField, a.orderingIndex)
}

// runMS returns the run time in milliseconds. It is -1 for replicas of services,
// which run until they are stopped.
func (a arrival) runMS() int64 {
	if a.stream.Mode == ModeService {
		return -1
	}
	return a.runTime.Milliseconds()
}
