package membership

import (
	"encoding/json"

	"github.com/agateyard/agateyard/internal/model"
)

// Keys in the store.
const (
	clusterPrefix = "cluster/"
	memberPrefix  = "cluster/members/"
	viewKey       = "cluster/view"
)

// memberRecord is the value of a member key.
type memberRecord struct {
	model.Member
	Leaving bool   `json:"leaving,omitempty"` // set before the process is moved to Leaving in the view
	Change  string `json:"change"`            // unique identifier of the write
}

func memberChange(value []byte) []string {
	var r memberRecord
	if json.Unmarshal(value, &r) != nil {
		return nil
	}
	return []string{r.Change}
}

func viewChange(value []byte) []string {
	var v model.View
	if json.Unmarshal(value, &v) != nil {
		return nil
	}
	return []string{v.Change}
}

// encode returns the JSON of v, whose type must not have values that can't be encoded.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
