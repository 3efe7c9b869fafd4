package journal

import (
	"bytes"
	"errors"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"github.com/agateyard/agateyard/internal/platform"
	"github.com/agateyard/agateyard/internal/platform/standin"
)

// Guards against more than 80 journal writes a second from all members together,
// against a burst above the store's limits when an outage ends, and against an idle
// writer that delays its first record.
func TestWriteRateOfAllJournals(t *testing.T) {
	for _, members := range []int{1, 9, 65} {
		synctest.Test(t, func(t *testing.T) {
			server := standin.New(standin.Config{})
			defer server.Close()
			var harnesses []*harness
			for range members {
				h := &harness{server: server, store: server, results: map[string]error{}, runResult: make(chan error, 1)}
				h.start(uuid.NewString(), members)
				defer h.close()
				harnesses = append(harnesses, h)
			}
			first := harnesses[0]
			first.append(0)
			synctest.Wait()
			if first.ackedCount() != 1 {
				t.Error("the first record of an idle writer was delayed")
			}
			const seconds = 20
			for range seconds * 100 {
				for _, h := range harnesses {
					h.append(0)
				}
				time.Sleep(10 * time.Millisecond)
			}
			puts := server.Counters().Calls[platform.CallPut]
			t.Logf("%d members: %.1f writes/s", members, float64(puts)/seconds)
			if puts > 80*seconds+int64(members) {
				t.Errorf("%d members made %d writes in %d s", members, puts, seconds)
			}
			server.SetFaults(standin.Faults{Outage: true})
			for _, h := range harnesses {
				h.append(0)
			}
			time.Sleep(time.Minute)
			before := server.Counters()
			server.SetFaults(standin.Faults{})
			time.Sleep(5 * time.Second)
			after := server.Counters()
			t.Logf("%d members: %d writes in the 5 s after an outage", members, after.Writes-before.Writes)
			if after.Throttled != before.Throttled {
				t.Errorf("%d members: %d calls over the limits after an outage", members, after.Throttled-before.Throttled)
			}
			for _, h := range harnesses {
				h.mu.Lock()
				open := h.unreported
				h.mu.Unlock()
				if open != 0 {
					t.Errorf("%d records are unreported 5 s after an outage", open)
				}
			}
		})
	}
}

// Guards against a record that expires and is reported as not written while it can still
// be written, and against a write that was not applied and is reported as uncertain.
func TestDeadlineDistinguishesNotWrittenFromUncertain(t *testing.T) {
	cases := map[string]struct {
		faults standin.Faults
		want   error
	}{
		"refused":       {standin.Faults{Outage: true}, ErrNotWritten},
		"reply lost":    {standin.Faults{LostReplies: 1}, nil},
		"request lost":  {standin.Faults{LostRequests: 1}, ErrUncertain},
		"store is slow": {standin.Faults{LatencyMS: 3000}, ErrUncertain},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(1, nil)
				defer h.close()
				h.append(0)
				synctest.Wait()
				h.server.SetFaults(c.faults)
				start := time.Now()
				withdrawn := h.append(time.Second)
				time.Sleep(time.Second)
				synctest.Wait()
				if err, known := h.result(withdrawn); !known || !errors.Is(err, c.want) {
					t.Fatalf("after %v: reported %v, %v; want %v", time.Since(start), known, err, c.want)
				}
				h.server.SetFaults(standin.Faults{})
				h.append(0)
				time.Sleep(5 * time.Second)
				checkSealed(t, h, true)
			})
		})
	}
}

// Guards against values above the store's limit when many large records are queued, and
// against large snapshots that are replayed incompletely or out of order.
func TestLargeRecordsAreSplit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1, nil)
		defer h.close()
		var state [][]byte
		for i := range 40 {
			record := bytes.Repeat([]byte{byte(i)}, 200<<10)
			state = append(state, record)
			h.w.Append(record, time.Time{}, func(err error) {
				if err != nil {
					t.Errorf("append: %v", err)
				}
			})
		}
		refused := make(chan error, 1)
		h.w.Append(make([]byte, MaxRecordBytes+1), time.Time{}, func(err error) { refused <- err })
		if err := <-refused; !errors.Is(err, ErrNotWritten) {
			t.Errorf("oversized record: %v", err)
		}
		if err := h.w.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
		if err := h.w.Compact(t.Context(), func() ([][]byte, error) { return state, nil }); err != nil {
			t.Fatal(err)
		}
		if err := Seal(t.Context(), h.server, testOwner, "successor"); err != nil {
			t.Fatal(err)
		}
		var got [][]byte
		err := Replay(t.Context(), h.server, testOwner, func(r []byte) error {
			got = append(got, r)
			return nil
		})
		if err != nil || !slices.EqualFunc(got, state, bytes.Equal) {
			t.Errorf("replayed %d records, want %d, error %v", len(got), len(state), err)
		}
		page, err := h.server.List(t.Context(), segmentsPrefix(testOwner), "", 100)
		if err != nil || len(page.Entries) != 1 {
			t.Errorf("%d segments are left besides the seal, error %v", len(page.Entries)-1, err)
		}
	})
}

// Guards against a tombstone that is deleted while a paused owner may still resume, and
// against one that is never deleted.
func TestSweepKeepsRecentTombstones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(1, nil)
		defer h.close()
		h.append(0)
		synctest.Wait()
		checkSealed(t, h, true)
		for _, c := range []struct {
			age  time.Duration
			want int
		}{{TombstoneRetention, 0}, {TombstoneRetention + time.Hour, 1}, {TombstoneRetention + time.Hour, 0}} {
			n, err := Sweep(t.Context(), h.server, time.Now().Add(c.age-time.Minute))
			if err != nil || n != c.want {
				t.Errorf("sweep at age %v: %d deleted, error %v; want %d", c.age, n, err, c.want)
			}
		}
	})
}

// Guards against a corrupt value that is decoded without an error.
func TestCorruptValuesAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := value{
			kind: kindSnapshot, changeID: uuid.New(), number: rapid.Uint64().Draw(t, "number"),
			part: rapid.Uint32().Draw(t, "part"), parts: rapid.Uint32().Draw(t, "parts"),
			records: rapid.SliceOf(rapid.SliceOf(rapid.Byte())).Draw(t, "records"),
		}
		b := v.encode()
		got, err := decode(b)
		if err != nil || got.number != v.number || got.part != v.part || got.parts != v.parts ||
			got.changeID != v.changeID || !slices.EqualFunc(got.records, v.records, bytes.Equal) {
			t.Fatalf("decoded %+v, error %v; want %+v", got, err, v)
		}
		b[rapid.IntRange(0, len(b)-1).Draw(t, "position")] ^= rapid.ByteMin(1).Draw(t, "damage")
		if _, err = decode(b); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("corrupt value: %v", err)
		}
		if _, err = decode(b[:rapid.IntRange(0, len(b)-1).Draw(t, "length")]); !errors.Is(err, ErrCorrupt) {
			t.Fatalf("truncated value: %v", err)
		}
	})
}
