package journal

import (
	"fmt"
	"strconv"
	"strings"
)

// Key prefixes in the store.
const (
	journalRoot  = "journal/"
	snapshotRoot = "snapshot/"
)

func segmentsPrefix(incarnation string) string { return journalRoot + incarnation + "/" }

func snapshotsPrefix(incarnation string) string { return snapshotRoot + incarnation + "/" }

// segmentKey pads the number with zeros, so that keys sort by number.
func segmentKey(incarnation string, number uint64) string {
	return fmt.Sprintf("%s%020d", segmentsPrefix(incarnation), number)
}

// snapshotKey makes snapshots sort by covered segment and then by the number of the
// compaction attempt, so that a listing that runs while a newer snapshot replaces an
// older one finds the newer one.
func snapshotKey(incarnation string, covered uint64, compaction, part int) string {
	return fmt.Sprintf("%s%020d/%06d/%04d", snapshotsPrefix(incarnation), covered, compaction, part)
}

// segmentNumber parses the number in the key of a segment.
func segmentNumber(key string) (uint64, bool) {
	n, err := strconv.ParseUint(key[strings.LastIndexByte(key, '/')+1:], 10, 64)
	return n, err == nil
}
