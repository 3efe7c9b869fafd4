package entry

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/agateyard/agateyard/internal/journal"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/shard"
)

const (
	claimTimeout = time.Second
	// journalTimeout limits the time to seal and read, or to remove, the journal
	// of one dead process.
	journalTimeout = 5 * time.Second
	// maxJournalReads is how often a damaged journal is read before what can be read counts.
	// The damage may be that of one reply of the store.
	maxJournalReads = 10
)

// acquisition collects the state of shards that a view assigns to this process.
// It is complete when every other live process has replied and the journal of
// every dead one has been sealed and read.
type acquisition struct {
	t        *takeover
	view     model.View
	shards   []model.ShardID
	ctx      context.Context
	cancel   context.CancelFunc
	pending  map[string]sourceKind
	inFlight map[string]bool
	retryAt  time.Time

	best    map[model.ShardID]candidateState
	partial map[model.ShardID]uint64   // epoch of a dead holder that has not recorded all of its state
	reads   map[string]int             // of the journal of each dead process
	damaged bool                       // records of a dead process could not be read
	holders map[string][]model.ShardID // shards of live holders, to be released
}

// sourceKind is the way in which the state of a process is obtained.
type sourceKind int

const (
	sourceLive    sourceKind = iota // a member or a leaving process: it must reply to a claim
	sourceJournal                   // a dead process: its journal is read
)

// candidateState is the state of a shard with the highest epoch so far.
type candidateState struct {
	epoch    uint64
	snapshot *shard.Snapshot // from a live holder
	records  []shard.Record  // from a journal
	partial  bool            // not all records were written
	damaged  bool            // records of an earlier owner are missing
	previous *candidateState // of the same journal, valid if this one is partial
}

func newAcquisition(t *takeover, v model.View, shards []model.ShardID) *acquisition {
	ctx, cancel := context.WithCancel(t.l.n.ctx)
	a := &acquisition{
		t: t, view: v, shards: shards, ctx: ctx, cancel: cancel,
		pending:  make(map[string]sourceKind),
		inFlight: make(map[string]bool),
		best:     make(map[model.ShardID]candidateState),
		partial:  make(map[model.ShardID]uint64),
		reads:    make(map[string]int),
		holders:  make(map[string][]model.ShardID),
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

// tick queries every source that has not replied and has no query in flight.
func (a *acquisition) tick(now time.Time) {
	if now.Before(a.retryAt) {
		return
	}
	a.retryAt = now.Add(claimRetryInterval)
	for id, kind := range a.pending {
		if a.inFlight[id] {
			continue
		}
		a.inFlight[id] = true
		if kind == sourceJournal {
			a.reads[id]++
			acceptDamage := a.reads[id] > maxJournalReads
			a.t.l.n.start("read journal", func() { a.readJournal(id, acceptDamage) })
		} else {
			a.t.l.n.start("Shard.Claim", func() { a.claim(id) })
		}
	}
	a.completeIfDone()
}

// claim requests the state of the shards from a process.
func (a *acquisition) claim(id string) {
	n := a.t.l.n
	ctx, cancel := context.WithTimeout(a.ctx, claimTimeout)
	defer cancel()
	if err := n.locate(ctx, id); err != nil {
		n.post(claimReplied{acquisition: a, from: id, err: err})
		return
	}
	args := ClaimArgs{Header: n.header(), Latest: a.view, Shards: a.shards}
	var reply ClaimReply
	err := n.peers.call(ctx, id, connControl, "Shard.Claim", args, &reply)
	var exports []shardExport
	if err == nil {
		n.observe(reply.Header)
		err = n.protect("decode exports", func() (err error) {
			exports, err = decodeExports(reply.Exports)
			return err
		})
	}
	n.post(claimReplied{acquisition: a, from: id, exports: exports, err: err})
}

// readJournal seals and reads the journal of a dead process. With acceptDamage it reads what
// can be read: the shards would have no owner until an operator had repaired the journal.
func (a *acquisition) readJournal(id string, acceptDamage bool) {
	n := a.t.l.n
	ctx, cancel := context.WithTimeout(a.ctx, journalTimeout)
	defer cancel()
	err := journal.Seal(ctx, n.cfg.Store, id, n.self.Incarnation)
	var entries []journalEntry
	var damage error
	if err == nil {
		var undecodable error
		damage, err = journal.ReplayReadable(ctx, n.cfg.Store, id, func(data []byte) {
			e, err := decodeJournalEntry(data)
			if err != nil {
				undecodable = err
				return
			}
			entries = append(entries, e)
		})
		damage = cmp.Or(damage, undecodable)
	}
	if err == nil && !acceptDamage {
		err = damage
	}
	if errors.Is(err, journal.ErrRemoved) {
		err = nil // every member of an earlier view has its state
	}
	n.post(journalRead{acquisition: a, from: id, entries: entries, damage: damage, err: err})
}

// claimReplied is the reply of a process to a claim.
type claimReplied struct {
	acquisition *acquisition
	from        string
	exports     []shardExport
	err         error
}

func (e claimReplied) apply(l *loop) {
	a := e.acquisition
	if l.takeover.activeAcquisition != a {
		return
	}
	delete(a.inFlight, e.from)
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
	damage      error // what could not be read
	err         error
}

func (e journalRead) apply(l *loop) {
	a := e.acquisition
	if l.takeover.activeAcquisition != a {
		return
	}
	delete(a.inFlight, e.from)
	if e.err != nil {
		if !errors.Is(e.err, context.Canceled) {
			l.n.log.WithError(e.err).WithField("incarnation", e.from).Warn("journal: can't read the journal of a dead process; will retry")
		}
		return
	}
	delete(a.pending, e.from)
	if e.damage != nil {
		a.damaged = true
		l.n.log.WithError(e.damage).WithField("incarnation", e.from).Error("journal: records of a dead process are lost; older requests without a record get no certain outcome")
	}
	a.addJournalEntries(e.entries)
	a.completeIfDone()
}

// addJournalEntries groups the entries of a journal by shard and keeps those
// written since the last ownership entry of each shard.
func (a *acquisition) addJournalEntries(entries []journalEntry) {
	states := make(map[model.ShardID]candidateState)
	for _, e := range entries {
		switch {
		case e.Own != nil:
			s := candidateState{epoch: e.Own.Epoch, partial: e.Own.Loading, damaged: e.Own.Incomplete}
			if earlier, ok := states[e.Own.Shard]; ok && s.partial {
				s.previous = &earlier
			}
			states[e.Own.Shard] = s
		case e.Loaded != nil:
			if s, ok := states[*e.Loaded]; ok {
				s.partial, s.previous = false, nil
				states[*e.Loaded] = s
			}
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
		for s.partial && s.previous != nil {
			a.partial[id] = max(a.partial[id], s.epoch)
			s = *s.previous
		}
		if s.partial {
			a.partial[id] = max(a.partial[id], s.epoch)
			continue
		}
		if best, ok := a.best[id]; ok && best.epoch >= s.epoch {
			continue
		}
		a.best[id] = s
	}
}

// completeIfDone installs the shards once every source has replied and the VM list
// has been read.
func (a *acquisition) completeIfDone() {
	if len(a.pending) > 0 || a.t.activeAcquisition != a {
		return
	}
	// The VM list determines the pools that have to report for a recovery.
	if !a.t.l.vmListLoaded {
		return
	}
	a.t.activeAcquisition = nil
	a.installShards()
	a.cancel()
	a.t.markAdoptedWhenDurable(a.view)
}

func (a *acquisition) installShards() {
	l := a.t.l
	now := l.now()
	var recovered []model.ShardID
	intended := make(intentEndpoints)
	for _, id := range a.shards {
		best, found := a.bestState(now, id)
		best.damaged = best.damaged || a.damaged
		own := ownership{Shard: id, Epoch: a.view.Number, Incomplete: best.damaged}
		switch {
		case found && best.snapshot != nil:
			snapshot := *best.snapshot
			if a.needsRecovery(now, best.epoch, &snapshot) {
				recovered = append(recovered, id)
				a.t.recovering[id] = true
				intended.addAll(snapshot.Records)
			}
			own.Incomplete = snapshot.Recovery.Incomplete
			a.t.takeOwnership(own, snapshot.Records, func() shard.Effects { return l.importShard(now, snapshot) })
		case len(a.view.Predecessors) > 0 || found:
			recovered = append(recovered, id)
			intended.addAll(best.records)
			a.t.takeOwnership(own, best.records, func() shard.Effects { return a.recoverShard(now, id, best) })
		default:
			a.t.takeOwnership(own, nil, func() shard.Effects {
				l.table.Own(now, id, shard.Recovery{})
				return shard.Effects{}
			})
		}
	}
	a.releaseHolders()
	if len(recovered) > 0 {
		l.startRecovery(a.view, recovered, intended)
	}
}

// bestState returns the state of a shard with the highest epoch, including the frozen one
// of this process.
func (a *acquisition) bestState(now time.Time, id model.ShardID) (candidateState, bool) {
	best, found := a.best[id]
	if a.t.frozen[id] {
		if own := a.t.removeFrozen(now, id); !found || own.epoch >= best.epoch {
			return own, true
		}
	}
	return best, found
}

// needsRecovery reports whether the pool owners have to be queried about a shard that was
// exported, and sets the recovery of the snapshot accordingly: its holder has not finished
// its own recovery, or a dead process has held the shard since.
func (a *acquisition) needsRecovery(now time.Time, epoch uint64, snapshot *shard.Snapshot) bool {
	heldSince := a.partial[snapshot.Shard] > epoch || a.damaged
	snapshot.Recovery.Incomplete = snapshot.Recovery.Incomplete || a.damaged
	if !heldSince && len(snapshot.Recovery.Pools) == 0 {
		return false
	}
	if heldSince {
		snapshot.Recovery.TakenAt = now
	}
	snapshot.Recovery.Pools = a.t.l.knownPools()
	return true
}

// importShard restores an exported shard. The records of the export are in the journal.
func (l *loop) importShard(now time.Time, snapshot shard.Snapshot) shard.Effects {
	fx := l.table.Import(now, snapshot)
	fx.Records = fx.Records[min(len(snapshot.Records), len(fx.Records)):]
	return fx
}

// recoverShard rebuilds a shard whose last owner is dead, or may be, from its
// journal records.
func (a *acquisition) recoverShard(now time.Time, id model.ShardID, state candidateState) shard.Effects {
	l := a.t.l
	l.table.Own(now, id, shard.Recovery{TakenAt: now, Pools: l.knownPools(), Incomplete: state.damaged})
	a.t.recovering[id] = true
	for _, r := range state.records {
		l.table.Replay(now, r)
	}
	return l.table.Replayed(now, id)
}

// releaseHolders tells live holders to drop their state once it is durable in
// the journal of this process.
func (a *acquisition) releaseHolders() {
	if len(a.holders) == 0 {
		return
	}
	n, holders, epoch := a.t.l.n, a.holders, a.view.Number
	a.t.l.acks.whenDurable(func() {
		for id, shards := range holders {
			n.start("Shard.Released", func() { n.sendReleased(id, shards, epoch) })
		}
	})
}

// sendReleased tells a holder to drop shards. It retries until the holder replies or has
// left the view: a holder that is not told could neither leave nor compact its journal.
func (n *Node) sendReleased(to string, shards []model.ShardID, epoch uint64) {
	for n.ctx.Err() == nil && n.currentView().Has(to) {
		ctx, cancel := context.WithTimeout(n.ctx, claimTimeout)
		args := ReleasedArgs{Header: n.header(), Shards: shards, Epoch: epoch}
		err := n.peers.call(ctx, to, connControl, "Shard.Released", args, &Empty{})
		cancel()
		if err == nil {
			return
		}
		time.Sleep(claimRetryInterval)
	}
}
