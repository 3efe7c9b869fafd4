package control

import (
	"errors"
	"sync"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/job"
)

// errUnreadable means that a job has a record that can't be decoded, so nobody can tell its state.
var errUnreadable = errors.New("the record of the job can't be read")

// maxBadRecords bounds the records that are remembered as logged.
const maxBadRecords = 4096

// badRecords remembers which unreadable records of jobs this process has logged.
type badRecords struct {
	mu     sync.Mutex
	logged map[string]bool // by key
}

// reportBadRecord logs that the record of a job can't be used, once for each key.
func (n *Node) reportBadRecord(key, problem string) {
	b := &n.badRecords
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.logged[key] || len(b.logged) >= maxBadRecords {
		return
	}
	if b.logged == nil {
		b.logged = map[string]bool{}
	}
	b.logged[key] = true
	n.dep.Log.Log("bad-record", logrus.Fields{"key": key, "error": problem})
}

// decodeRecord decodes the record of a job. The error of a record that can't be decoded is logged and contains errUnreadable.
func (n *Node) decodeRecord(item Item) (*job.Record, error) {
	record, err := job.DecodeRecord(item.Value)
	if err == nil && jobPrefix+record.ID != item.Key {
		err = oops.Errorf("the record of job %s is stored under another key", record.ID)
	}
	if err != nil {
		n.reportBadRecord(item.Key, err.Error())
		return nil, errors.Join(errUnreadable, err)
	}
	return record, nil
}
