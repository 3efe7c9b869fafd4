package journal

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/agateyard/agateyard/internal/platform"
)

// Guards against a malformed value in the store that makes the successor of a dead process
// panic while it reads the journal, and against one that is decoded to something else than
// was written.
func FuzzValues(f *testing.F) {
	for _, v := range []value{
		{kind: kindSegment, number: 1, records: [][]byte{{}, []byte("record")}},
		{kind: kindSnapshot, number: 1, parts: 1},
		{kind: kindSnapshot, part: 1 << 31, parts: 1<<32 - 1},
		{kind: kindTombstone, number: 2, records: [][]byte{[]byte("by"), []byte("-1")}},
	} {
		f.Add(v.encode(), "snapshot/a/1/0000")
	}
	f.Add([]byte(magic), "/")
	f.Fuzz(func(t *testing.T, data []byte, key string) {
		if len(data) > checksumBytes { // a valid checksum, so that the content is read
			body := data[:len(data)-checksumBytes]
			data = binary.BigEndian.AppendUint64(bytes.Clone(body), xxhash.Sum64(body))
		}
		v, err := decode(data)
		if err == nil && v.changeID.String() != changeIDs(data)[0] {
			t.Error("the change identifier differs")
		}
		if again, err2 := decode(v.encode()); err == nil && (err2 != nil || again.number != v.number || len(again.records) != len(v.records)) {
			t.Errorf("%+v is read as %+v, %v", v, again, err2)
		}
		e := platform.Entry{Key: journalRoot + key, Value: data}
		j := contents{segments: map[uint64]value{}, versions: map[uint64]uint64{}}
		_ = j.addSegment(e)
		snapshots := snapshotReader{}
		_ = snapshots.add(e)
		_ = snapshots.add(e)
		j.covered, j.snapshot = snapshots.covered, snapshots.records
		_, _, _ = j.records()
		expiredTombstone(data, time.Now())
		if id := incarnationOf(e.Key); strings.Contains(id, "/") {
			t.Errorf("incarnation %q", id)
		}
	})
}
