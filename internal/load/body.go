package load

import (
	"encoding/json"
	"fmt"
	"strings"
)

// body returns the JSON body of the request: work for a stand-in, padding and
// the ordering field.
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

// orderingValue returns the value of the ordering field, empty without one.
func (a arrival) orderingValue() string {
	if a.stream.OrderingField == "" {
		return ""
	}
	return fmt.Sprintf("%s-%d", a.stream.OrderingField, a.ordering)
}

// runMS returns the run time; replicas of services run until they are stopped.
func (a arrival) runMS() int64 {
	if a.stream.Mode == ModeService {
		return -1
	}
	return a.run.Milliseconds()
}
