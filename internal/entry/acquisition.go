package entry

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"time"

	"github.com/agateyard/agateyard/internal/journal"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

const (
	claimTimeout = time.Second
	// journalTimeout bounds the reading of one predecessor's journal.
	journalTimeout = 5 * time.Second
)

// acquisition collects the state of shards that a view gives to this process.
// It is complete when every other process has answered and every journal of a
// dead one has been sealed and read.
type acquisition struct {
	t       *takeover
	view    model.View
	shards  []model.ShardID
	ctx     context.Context
	cancel  context.CancelFunc
	pending map[string]sourceKind
	asking  map[string]bool
	retryAt time.Time

	best    map[model.ShardID]candidateState
	holders map[string][]model.ShardID // live holders to be released
}

// sourceKind says where the state of a process comes from.
type sourceKind int

const (
	sourceLive    sourceKind = iota // a member, or one that leaves: it must answer
	sourceJournal                   // dead: its journal tells
)

// candidateState is the state of a shard with the highest epoch so far.
type candidateState struct {
	epoch    uint64
	snapshot *shard.Snapshot // from a live holder
	records  []shard.Record  // from a journal
}

func newAcquisition(t *takeover, v model.View, shards []model.ShardID) *acquisition {
	ctx, cancel := context.WithCancel(t.l.n.ctx)
	a := &acquisition{
		t: t, view: v, shards: shards, ctx: ctx, cancel: cancel,
		pending: make(map[string]sourceKind),
		asking:  make(map[string]bool),
		best:    make(map[model.ShardID]candidateState),
		holders: make(map[string][]model.ShardID),
	}
	for _, m := range v.Members {
		if m.Incarnation != t.l.n.self.Incarnation {
			a.pending[m.Incarnation] = sourceLive
		}
	}
	for _, id := range v.Leaving {
		a.pending[id] = sourceLive
	}
	for _, id := range v.Predecessors {
		a.pending[id] = sourceJournal
	}
	return a
}

func (a *acquisition) start() { a.tick(a.t.l.now()) }

func (a *acquisition) stop() { a.cancel() }

// tick asks every source that has not answered.
func (a *acquisition) tick(now time.Time) {
	if now.Before(a.retryAt) {
		return
	}
	a.retryAt = now.Add(claimRetryInterval)
	for id, kind := range a.pending {
		if a.asking[id] {
			continue
		}
		a.asking[id] = true
		if kind == sourceJournal {
			go a.readJournal(id)
		} else {
			go a.claim(id)
		}
	}
	a.completeIfDone()
}

// claim asks a process for its state of the shards.
func (a *acquisition) claim(id string) {
	n := a.t.l.n
	ctx, cancel := context.WithTimeout(a.ctx, claimTimeout)
	defer cancel()
	if err := n.locate(ctx, id); err != nil {
		n.post(claimAnswered{acquisition: a, from: id, err: err})
		return
	}
	args := ClaimArgs{Header: n.header(), Latest: a.view, Shards: a.shards}
	var reply ClaimReply
	err := n.peers.call(ctx, id, connControl, "Shard.Claim", args, &reply)
	var exports []shardExport
	if err == nil {
		n.observe(reply.Header)
		exports, err = decodeExports(reply.Exports)
	}
	n.post(claimAnswered{acquisition: a, from: id, exports: exports, err: err})
}

// readJournal seals and reads the journal of a dead process.
func (a *acquisition) readJournal(id string) {
	n := a.t.l.n
	ctx, cancel := context.WithTimeout(a.ctx, journalTimeout)
	defer cancel()
	err := journal.Seal(ctx, n.cfg.Store, id, n.self.Incarnation)
	var entries []journalEntry
	if err == nil {
		err = journal.Replay(ctx, n.cfg.Store, id, func(data []byte) error {
			e, err := decodeJournalEntry(data)
			if err != nil {
				return err
			}
			entries = append(entries, e)
			return nil
		})
	}
	n.post(journalRead{acquisition: a, from: id, entries: entries, err: err})
}

// claimAnswered is the answer of a process to a claim.
type claimAnswered struct {
	acquisition *acquisition
	from        string
	exports     []shardExport
	err         error
}

func (e claimAnswered) apply(l *loop) {
	a := e.acquisition
	if l.takeover.acquire != a {
		return
	}
	delete(a.asking, e.from)
	if e.err != nil {
		return
	}
	delete(a.pending, e.from)
	for _, x := range e.exports {
		a.holders[e.from] = append(a.holders[e.from], x.Shard)
		if best, ok := a.best[x.Shard]; ok && best.epoch >= x.Epoch {
			continue
		}
		snapshot := x.Snapshot
		a.best[x.Shard] = candidateState{epoch: x.Epoch, snapshot: &snapshot}
	}
	a.completeIfDone()
}

// journalRead is the content of the journal of a dead process.
type journalRead struct {
	acquisition *acquisition
	from        string
	entries     []journalEntry
	err         error
}

func (e journalRead) apply(l *loop) {
	a := e.acquisition
	if l.takeover.acquire != a {
		return
	}
	delete(a.asking, e.from)
	if e.err != nil {
		if !errors.Is(e.err, context.Canceled) {
			l.n.log.WithError(e.err).WithField("incarnation", e.from).Warn("journal: predecessor can't be read yet")
		}
		return
	}
	delete(a.pending, e.from)
	a.takeEntries(e.entries)
	a.completeIfDone()
}

// takeEntries sorts the entries of a journal by shard and keeps those of the
// last ownership of each.
func (a *acquisition) takeEntries(entries []journalEntry) {
	states := make(map[model.ShardID]candidateState)
	for _, e := range entries {
		switch {
		case e.Own != nil:
			states[e.Own.Shard] = candidateState{epoch: e.Own.Epoch}
		case e.Record == nil:
		case e.Record.Kind == shard.RecordRelease:
			delete(states, e.Record.Shard)
		default:
			s := states[e.Record.Shard]
			s.records = append(s.records, *e.Record)
			states[e.Record.Shard] = s
		}
	}
	for id, s := range states {
		if best, ok := a.best[id]; ok && best.epoch >= s.epoch {
			continue
		}
		a.best[id] = s
	}
}

// completeIfDone takes the shards once every source has answered.
func (a *acquisition) completeIfDone() {
	if len(a.pending) > 0 || a.t.acquire != a {
		return
	}
	// The VM list names the pools that have to report on a recovery.
	if !a.t.l.vmsKnown {
		return
	}
	a.t.acquire = nil
	a.install()
	a.cancel()
	a.t.adoptAll(a.view)
}

func (a *acquisition) install() {
	l := a.t.l
	now := l.now()
	var recovered []model.ShardID
	named := make(namedEndpoints)
	for _, id := range a.shards {
		best, found := a.best[id]
		switch {
		case found && best.snapshot != nil:
			a.t.hold(now, id, a.view.Number, func() shard.Effects { return l.table.Import(now, *best.snapshot) })
		case len(a.view.Predecessors) > 0 || found:
			recovered = append(recovered, id)
			for _, r := range best.records {
				named.add(r)
			}
			a.t.hold(now, id, a.view.Number, func() shard.Effects { return a.recover(now, id, best.records) })
		default:
			a.t.hold(now, id, a.view.Number, func() shard.Effects {
				l.table.Own(now, id, shard.Recovery{})
				return shard.Effects{}
			})
		}
	}
	a.releaseHolders()
	if len(recovered) > 0 {
		l.startRecovery(a.view, recovered, named)
	}
}

// recover takes a shard whose last owner is dead.
func (a *acquisition) recover(now time.Time, id model.ShardID, records []shard.Record) shard.Effects {
	l := a.t.l
	l.table.Own(now, id, shard.Recovery{TakenAt: now, Pools: l.knownPools()})
	a.t.recovery[id] = true
	for _, r := range records {
		l.table.Replay(now, r)
	}
	return l.table.Replayed(now, id)
}

// releaseHolders tells live holders that they may drop their state, once it is
// durable here.
func (a *acquisition) releaseHolders() {
	if len(a.holders) == 0 {
		return
	}
	n, holders := a.t.l.n, a.holders
	go func() {
		if n.journal.Flush(n.ctx) != nil {
			return
		}
		for id, shards := range holders {
			go n.sendReleased(id, shards)
		}
	}()
}

// sendReleased tells a holder to drop shards, until it has heard it or is gone.
func (n *Node) sendReleased(to string, shards []model.ShardID) {
	for range 20 {
		ctx, cancel := context.WithTimeout(n.ctx, claimTimeout)
		var reply Empty
		err := n.peers.call(ctx, to, connControl, "Shard.Released", ReleasedArgs{Header: n.header(), Shards: shards}, &reply)
		cancel()
		if err == nil || n.ctx.Err() != nil {
			return
		}
		time.Sleep(claimRetryInterval)
	}
}

func encodeExports(exports []shardExport) ([]byte, error) {
	var buf bytes.Buffer
	err := gob.NewEncoder(&buf).Encode(exports)
	return buf.Bytes(), err
}

func decodeExports(data []byte) ([]shardExport, error) {
	var out []shardExport
	if len(data) == 0 {
		return nil, nil
	}
	err := gob.NewDecoder(bytes.NewReader(data)).Decode(&out)
	return out, err
}
