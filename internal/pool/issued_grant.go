package pool

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// issuedGrant is a grant that is neither used nor void. Its tasks are charged.
type issuedGrant struct {
	grant     model.Grant
	to        string
	template  *templateState
	share     *classShare // demand that it serves; nil for a held part of a gang
	endpoints []*endpointState
	expires   time.Time
	probe     bool
	done      bool // used, returned or void
}
