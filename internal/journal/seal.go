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

// Seal ends the journal of an incarnation, so that its owner can't append any more,
// and names the sealer. Sealing a sealed journal is no error. After any other error it
// can be repeated; the journal may be sealed by then.
func Seal(ctx context.Context, s platform.Store, incarnation, by string) error {
	for {
		j, err := read(ctx, s, incarnation)
		if err != nil {
			return fmt.Errorf("seal %s: %w", incarnation, err)
		}
		if _, sealed := j.seal(); sealed {
			return nil
		}
		// The loop confirms the seal by reading again: the owner may have used the
		// number, covered it with a snapshot and deleted it since the reading.
		err = createSeal(ctx, s, incarnation, max(j.last, j.covered)+1, by)
		if err != nil && !errors.Is(err, platform.ErrConflict) {
			return fmt.Errorf("seal %s: %w", incarnation, err)
		}
	}
}

func createSeal(ctx context.Context, s platform.Store, incarnation string, number uint64, by string) error {
	v := value{
		kind: kindSeal, change: uuid.New(), number: number,
		records: [][]byte{[]byte(by), []byte(strconv.FormatInt(time.Now().UnixMilli(), 10))},
	}
	_, err := platform.PutWithReadBack(ctx, s, segmentKey(incarnation, number), v.encode(),
		platform.PutOptions{IfVersion: platform.CreateOnly}, v.change.String(), changeOf)
	return err
}
