package job

import (
	"strings"
	"testing"
	"time"
)

// FuzzDecodeRecord guards against stored records that panic in the decoder, and against records of accepted jobs that can't
// be read again.
func FuzzDecodeRecord(f *testing.F) {
	for _, seed := range recordSeeds {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := DecodeRecord(data)
		if err != nil {
			return
		}
		if _, err := DecodeRecord(r.Encode()); err != nil {
			t.Errorf("decoded once, but not again: %v", err)
		}
		for i := range r.Steps {
			if d := r.Steps[i].EstimatedRunTime(); d < 0 || d > maxEstimate {
				t.Errorf("run time %s", d)
			}
		}
		r.DueAt(r.OccurrenceCount() - 1)
	})
}

// FuzzParseTaskID guards against task identifiers that panic or have negative parts.
func FuzzParseTaskID(f *testing.F) {
	for _, seed := range []string{"", "...", "a.0.0.0", "a.-1.0.0", "a.+1.0.0", "a.99999999999999999999.0.0", strings.Repeat(".", 1000)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, name string) {
		if id, ok := ParseTaskID(name); ok && (id.Occurrence < 0 || id.Step < 0 || id.Index < 0) {
			t.Errorf("%+v", id)
		}
	})
}

var recordSeeds = []string{
	``, `null`, `{}`, `[]`, strings.Repeat(`{"steps":[`, 20_000),
	`{"id":"000000000000000a","queue":"q","steps":[{"count":2}],"accepted":1,"progress":[{"k":0,"s":0,"done":[0],"failed":{"1":[1]},"saved":{"1":"c"},"good":["r"],"crashed":{"0":[{"r":"r","b":1,"n":1,"of":2}]},"failed-lately":{"1":[{"r":"r","t":1,"q":true}]}}]}`,
	`{"id":"000000000000000a","queue":"q","steps":[{"count":-1}]}`,
	`{"id":"000000000000000a","queue":"q","steps":[{"count":1,"after":[5]}]}`,
	`{"id":"000000000000000a","queue":"q","steps":[{"count":1}],"progress":[{"k":-1,"s":0}]}`,
	`{"id":"000000000000000a","queue":"q","steps":[{"count":1}],"times":2,"progress":[{"k":0,"s":0,"all":true},{"k":0,"s":0,"all":true}]}`,
	`{"id":"000000000000000a","queue":"q","final":"lost"}`,
	`{"id":"000000000000000a","queue":"q","final":"done","finished":-1}`,
	`{"id":"000000000000000a","queue":"q","steps":[{"count":1,"est":9223372036854775807}],"times":100000,"first":9223372036854775807,"interval":9223372036854775807}`,
}

// TestMalformedRecordsAreRefused guards against records that end every owner which loads them, and against progress that
// counts twice, after which a job would end as done before all of its occurrences have run.
func TestMalformedRecordsAreRefused(t *testing.T) {
	for name, data := range map[string]string{
		"negative count":          `{"id":"000000000000000a","steps":[{"count":-1}]}`,
		"unknown dependency":      `{"id":"000000000000000a","steps":[{"count":1,"after":[5]}]}`,
		"negative step":           `{"id":"000000000000000a","steps":[{"count":1}],"progress":[{"k":0,"s":-1}]}`,
		"negative occurrence":     `{"id":"000000000000000a","steps":[{"count":1}],"progress":[{"k":-1,"s":0}]}`,
		"negative task":           `{"id":"000000000000000a","steps":[{"count":1}],"progress":[{"k":0,"s":0,"done":[-1]}]}`,
		"failed task":             `{"id":"000000000000000a","steps":[{"count":1}],"progress":[{"k":0,"s":0,"failed":{"-1":[1]}}]}`,
		"task that failed lately": `{"id":"000000000000000a","steps":[{"count":1}],"progress":[{"k":0,"s":0,"failed-lately":{"1":[{"r":"r","t":1}]}}]}`,
		"crashed task":            `{"id":"000000000000000a","steps":[{"count":1}],"progress":[{"k":0,"s":0,"crashed":{"1":[{"r":"r","n":1}]}}]}`,
		"checkpoint":              `{"id":"000000000000000a","steps":[{"count":1}],"progress":[{"k":0,"s":0,"saved":{"1":"c"}}]}`,
		"progress twice":          `{"id":"000000000000000a","steps":[{"count":1}],"times":2,"progress":[{"k":0,"s":0,"all":true},{"k":0,"s":0,"all":true}]}`,
		"no identifier":           `{"steps":[{"count":1}]}`,
		"unknown state":           `{"id":"000000000000000a","final":"lost"}`,
	} {
		if r, err := DecodeRecord([]byte(data)); err == nil {
			t.Errorf("%s: decoded as %+v", name, r)
		}
	}
}

// TestScheduleOutOfRange guards against a schedule whose due times overflow, so that all occurrences are due at once.
func TestScheduleOutOfRange(t *testing.T) {
	spec := Spec{Steps: []Step{{Count: 1}}, Occurrences: 3, FirstStart: 1 << 62, Interval: 1 << 62}
	if spec.Validate() == nil {
		t.Error("the schedule was accepted")
	}
	if due := spec.DueAt(2); due.Before(time.Now()) {
		t.Errorf("occurrence 2 is due at %s", due)
	}
}
