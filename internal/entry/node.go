package entry

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/agateyard/agateyard/internal/configstore"
	"github.com/agateyard/agateyard/internal/journal"
	"github.com/agateyard/agateyard/internal/membership"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/timeline"
	"github.com/sirupsen/logrus"
)

// errStopped means that the process or this incarnation has ended.
var errStopped = errors.New("process is stopping")

// Node is one incarnation of an entry process.
type Node struct {
	cfg      Config
	self     model.Member
	log      *logrus.Entry
	clock    *timeline.Clock
	recorder *timeline.Recorder
	config   *configstore.Cache
	members  *membership.Manager
	journal  *journal.Writer
	peers    *peers
	loop     *loop
	view     atomic.Pointer[model.View]
	viewNews *broadcast

	ctx  context.Context // ends with the incarnation
	done <-chan struct{}
}

// header returns the header for a message that leaves now.
func (n *Node) header() Header {
	return Header{From: n.self.Incarnation, View: n.currentView().Number, Time: n.clock.Now()}
}

// observe takes the header of a received message.
func (n *Node) observe(h Header) {
	n.clock.Observe(h.Time)
	if h.View > n.currentView().Number {
		n.fetchView(h.From)
	}
}

// currentView returns the newest view that the process knows.
func (n *Node) currentView() model.View {
	return *n.view.Load()
}
