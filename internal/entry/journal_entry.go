package entry

import (
	"encoding/json"

	"github.com/samber/oops"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

// journalEntry is one entry of the journal: a shard record, the start of the ownership of a
// shard, or the end of the records that were taken over with it.
type journalEntry struct {
	Own    *ownership     `json:"own,omitempty"`
	Record *shard.Record  `json:"record,omitempty"`
	Loaded *model.ShardID `json:"loaded,omitempty"`
}

// ownership records that the writer owns a shard from a view on. If several
// processes hold state of a shard, the state with the highest epoch is valid.
type ownership struct {
	Shard model.ShardID `json:"shard"`
	Epoch uint64        `json:"epoch"` // number of the view
	// Loading means that the records taken over follow, up to an entry with Loaded. Until that
	// entry is written the state is incomplete, and the one before it is valid.
	Loading bool `json:"loading,omitempty"`
	// Incomplete means that records of an earlier owner could not be read.
	Incomplete bool `json:"incomplete,omitempty"`
}

func (e journalEntry) encode() ([]byte, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return nil, oops.In("entry").Wrapf(err, "encode journal entry")
	}
	return data, nil
}

func decodeJournalEntry(data []byte) (journalEntry, error) {
	var e journalEntry
	if err := json.Unmarshal(data, &e); err != nil {
		return e, oops.In("entry").Wrapf(err, "decode journal entry")
	}
	return e, nil
}
