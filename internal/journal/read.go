package journal

import (
	"context"
	"fmt"

	"github.com/agateyard/agateyard/internal/platform"
)

// pageLimit is the number of values of one page of a listing.
const pageLimit = 200

// stored is the content of a journal in the store.
type stored struct {
	segments map[uint64]value
	versions map[uint64]uint64 // store versions of the segments
	last     uint64            // highest segment, 0 for none
	covered  uint64            // by the snapshot, 0 without one
	snapshot [][]byte
}

// read lists the segments first and the snapshots after them. An owner deletes
// segments only once a snapshot covers them, so whatever the first listing misses the
// second one has.
func read(ctx context.Context, s platform.Store, incarnation string) (stored, error) {
	j := stored{segments: map[uint64]value{}, versions: map[uint64]uint64{}}
	err := list(ctx, s, segmentsOf(incarnation), j.addSegment)
	if err != nil {
		return j, err
	}
	snapshots := snapshotReader{}
	if err = list(ctx, s, snapshotsOf(incarnation), snapshots.add); err != nil {
		return j, err
	}
	j.covered, j.snapshot = snapshots.covered, snapshots.records
	return j, nil
}

func (j *stored) addSegment(e platform.Entry) error {
	number, ok := segmentNumber(e.Key)
	if !ok {
		return fmt.Errorf("%s: %w", e.Key, ErrCorrupt)
	}
	v, err := decode(e.Value)
	if err != nil {
		return fmt.Errorf("%s: %w", e.Key, err)
	}
	j.segments[number], j.versions[number] = v, e.Version
	j.last = max(j.last, number)
	return nil
}

// seal returns the number of the seal, or false for a journal that is not sealed. A
// seal at a covered number has no effect: the owner had used that number before.
func (j *stored) seal() (uint64, bool) {
	if j.last <= j.covered {
		return 0, false
	}
	k := j.segments[j.last].kind
	return j.last, k == kindSeal || k == kindTombstone
}

// snapshotReader finds the last complete snapshot in a listing ordered by key.
type snapshotReader struct {
	covered uint64
	records [][]byte

	group   string // of the parts being read
	partial [][]byte
	next    uint32
}

func (r *snapshotReader) add(e platform.Entry) error {
	v, err := decode(e.Value)
	if err != nil {
		return fmt.Errorf("%s: %w", e.Key, err)
	}
	group := e.Key[:len(e.Key)-len("/0000")]
	if group != r.group {
		r.group, r.partial, r.next = group, nil, 0
	}
	if v.part != r.next {
		r.next = v.parts + 1 // a part is missing: the group can't become complete
		return nil
	}
	r.next++
	r.partial = append(r.partial, v.records...)
	if r.next == v.parts {
		r.covered, r.records = v.number, r.partial
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
