package gateway

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// CellStatus is the state of the cell as one process sees it.
type CellStatus struct {
	At             time.Time        `json:"at"`
	Process        string           `json:"process"` // name of the answering process
	Incarnation    string           `json:"incarnation"`
	View           uint64           `json:"view"` // number of the view
	StoreReachable bool             `json:"store_reachable"`
	Members        []MemberStatus   `json:"members"` // of the view
	Pools          []PoolStatus     `json:"pools"`
	Templates      []TemplateStatus `json:"templates"`
}

// MemberStatus is the state of one entry process.
type MemberStatus struct {
	Incarnation    string            `json:"incarnation"`
	Name           string            `json:"name,omitempty"`
	Zone           string            `json:"zone"`
	HTTPAddress    string            `json:"http_address"`
	Reachable      bool              `json:"reachable"` // answered the process that reports
	Ready          bool              `json:"ready"`
	View           uint64            `json:"view"`
	StoreReachable bool              `json:"store_reachable"`
	Revisions      map[string]uint64 `json:"revisions"` // in force there, by document
	Shards         int               `json:"shards"`    // owned
	Pools          int               `json:"pools"`     // owned
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
	Endpoints int             `json:"endpoints"` // that take work
}

// TemplateStatus sums up the work of one template.
type TemplateStatus struct {
	Template     model.TemplateID `json:"template"`
	Paused       bool             `json:"paused,omitempty"`
	Queued       int              `json:"queued"`
	Running      int              `json:"running"`
	OldestWaitMS int64            `json:"oldest_wait_ms"`
}

// InForce reports whether every member of the view is reachable and has the
// document in the revision or a later one. The second result names the members
// that lack it.
func (s CellStatus) InForce(document string, revision uint64) (bool, []string) {
	var lacking []string
	for _, m := range s.Members {
		if !m.Reachable || m.Revisions[document] < revision {
			lacking = append(lacking, m.Incarnation)
		}
	}
	return len(s.Members) > 0 && len(lacking) == 0, lacking
}
