package gateway

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// CellStatus is the state of the cell as seen by one process.
type CellStatus struct {
	At             time.Time        `json:"at"`
	Process        string           `json:"process"` // name of the responding process
	Incarnation    string           `json:"incarnation"`
	View           uint64           `json:"view"` // view number
	StoreReachable bool             `json:"store_reachable"`
	Members        []MemberStatus   `json:"members"` // members of the view
	Pools          []PoolStatus     `json:"pools"`
	Templates      []TemplateStatus `json:"templates"`
}

// MemberStatus is the state of one entry process.
type MemberStatus struct {
	Incarnation    string            `json:"incarnation"`
	Name           string            `json:"name,omitempty"`
	Zone           string            `json:"zone"`
	HTTPAddress    string            `json:"http_address"`
	Reachable      bool              `json:"reachable"` // whether it answered the responding process
	Ready          bool              `json:"ready"`
	View           uint64            `json:"view"`
	StoreReachable bool              `json:"store_reachable"`
	Revisions      map[string]uint64 `json:"revisions"` // in force at the member, by document
	Shards         int               `json:"shards"`    // owned shards
	Pools          int               `json:"pools"`     // owned pools
	Queued         int               `json:"queued"`
	Running        int               `json:"running"`
}

// PoolStatus is the state of one pool.
type PoolStatus struct {
	Pool      model.PoolID    `json:"pool"`
	Owner     string          `json:"owner"`
	Total     model.Resources `json:"total"`
	Free      model.Resources `json:"free"`
	Waiting   int             `json:"waiting"`
	Endpoints int             `json:"endpoints"` // schedulable endpoints
}

// TemplateStatus summarizes the work of one template.
type TemplateStatus struct {
	Template     model.TemplateID `json:"template"`
	Paused       bool             `json:"paused,omitempty"`
	Queued       int              `json:"queued"`
	Running      int              `json:"running"`
	OldestWaitMS int64            `json:"oldest_wait_ms"`
}

// InForce reports whether every member of the view is reachable and has the given
// revision of the document, or a later one, in force. The second result lists the
// members for which this does not hold.
func (s CellStatus) InForce(document string, revision uint64) (bool, []string) {
	var missing []string
	for _, m := range s.Members {
		if !m.Reachable || m.Revisions[document] < revision {
			missing = append(missing, m.Incarnation)
		}
	}
	return len(s.Members) > 0 && len(missing) == 0, missing
}
