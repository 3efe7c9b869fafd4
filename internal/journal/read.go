package journal

import (
	"cmp"
	"context"
	"fmt"

	"github.com/agateyard/agateyard/internal/platform"
)

// pageLimit is the maximum number of values on one page of a listing.
const pageLimit = 200

// contents is what the store holds of one journal.
type contents struct {
	segments   map[uint64]value
	versions   map[uint64]uint64 // store versions of the segments
	lastNumber uint64            // highest number of a segment or seal; 0 if there is none
	covered    uint64            // last segment covered by the snapshot; 0 without a snapshot
	snapshot   [][]byte
	damage     error // ErrCorrupt if a value can't be decoded, else nil
}

// read lists the segments first and the snapshots after them. An owner deletes
// segments only after a snapshot covers them, so the second listing contains whatever
// the first one misses.
func read(ctx context.Context, s platform.Store, incarnation string) (contents, error) {
	j := contents{segments: map[uint64]value{}, versions: map[uint64]uint64{}}
	err := list(ctx, s, segmentsPrefix(incarnation), j.addSegment)
	if err != nil {
		return j, err
	}
	snapshots := snapshotReader{}
	if err = list(ctx, s, snapshotsPrefix(incarnation), snapshots.add); err != nil {
		return j, err
	}
	j.damage = cmp.Or(j.damage, snapshots.damage)
	j.covered, j.snapshot = snapshots.covered, snapshots.records
	return j, nil
}

// addSegment adds a value of a listing. One that can't be decoded keeps its number, so that
// the journal can still be sealed.
func (j *contents) addSegment(e platform.Entry) error {
	number, ok := segmentNumber(e.Key)
	if !ok {
		j.damage = fmt.Errorf("%s: %w", e.Key, ErrCorrupt)
		return nil
	}
	v, err := decode(e.Value)
	if err != nil {
		j.damage = fmt.Errorf("%s: %w", e.Key, err)
		v = value{kind: kindCorrupt, number: number}
	}
	j.segments[number], j.versions[number] = v, e.Version
	j.lastNumber = max(j.lastNumber, number)
	return nil
}

// seal returns the number of the seal, or false if the journal is not sealed. A seal
// whose number is covered by a snapshot has no effect, since the owner had already
// used that number.
func (j *contents) seal() (uint64, bool) {
	if j.lastNumber <= j.covered {
		return 0, false
	}
	k := j.segments[j.lastNumber].kind
	return j.lastNumber, k == kindSeal || k == kindTombstone
}

// snapshotReader finds the last complete snapshot in a listing sorted by key.
type snapshotReader struct {
	covered uint64
	records [][]byte

	prefix      string // key prefix of the snapshot being read
	partRecords [][]byte
	nextPart    uint32
	damage      error // ErrCorrupt if a part can't be decoded, else nil
}

func (r *snapshotReader) add(e platform.Entry) error {
	v, err := decode(e.Value)
	if err != nil {
		r.damage = fmt.Errorf("%s: %w", e.Key, err)
		return nil
	}
	prefix := e.Key[:len(e.Key)-len("/0000")]
	if prefix != r.prefix {
		r.prefix, r.partRecords, r.nextPart = prefix, nil, 0
	}
	if v.part != r.nextPart {
		r.nextPart = v.parts + 1 // a part is missing, so this snapshot can't become complete
		return nil
	}
	r.nextPart++
	r.partRecords = append(r.partRecords, v.records...)
	if r.nextPart == v.parts {
		r.covered, r.records = v.number, r.partRecords
	}
	return nil
}

func list(ctx context.Context, s platform.Store, prefix string, add func(platform.Entry) error) error {
	after := ""
	for {
		page, err := s.List(ctx, prefix, after, pageLimit)
		if err != nil {
			return err
		}
		for _, e := range page.Entries {
			if err = add(e); err != nil {
				return err
			}
			after = e.Key
		}
		if !page.More {
			return nil
		}
	}
}
