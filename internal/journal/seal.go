package journal

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/agateyard/agateyard/internal/platform"
)

// Seal closes the journal of an incarnation, so that its owner can't append any more,
// and records by whom. Sealing a sealed journal is not an error. After an error Seal
// can be retried; the journal may be sealed already.
func Seal(ctx context.Context, s platform.Store, incarnation, by string) error {
	for {
		j, err := read(ctx, s, incarnation)
		if err != nil {
			return fmt.Errorf("seal %s: %w", incarnation, err)
		}
		if _, sealed := j.seal(); sealed {
			return nil
		}
		// The next iteration reads again to confirm the seal: since the last read, the
		// owner may have used the number, covered it with a snapshot and deleted it.
		err = createSeal(ctx, s, incarnation, max(j.lastNumber, j.covered)+1, by)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return fmt.Errorf("seal %s: %w", incarnation, err)
		}
	}
}

func createSeal(ctx context.Context, s platform.Store, incarnation string, number uint64, by string) error {
	v := value{
		kind: kindSeal, changeID: uuid.New(), number: number,
		records: [][]byte{[]byte(by), []byte(strconv.FormatInt(time.Now().UnixMilli(), 10))},
	}
	_, err := platform.PutWithReadBack(ctx, s, segmentKey(incarnation, number), v.encode(),
		platform.PutOptions{IfVersion: platform.CreateOnly}, v.changeID.String(), changeIDs)
	return err
}
