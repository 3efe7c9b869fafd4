package entry

import (
	"bytes"
	"encoding/gob"
	"encoding/json"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
	"github.com/agateyard/agateyard/internal/shard"
)

// ownerNode returns a node that owns every shard and the pools of one worker and one runner.
func ownerNode(t testing.TB) *Node {
	n, _ := testNode(t)
	ownAll(n)
	return n
}

// ownAll makes the node own every shard and the pools of one worker and one runner.
func ownAll(n *Node) {
	l := n.loop
	id := model.TemplateID{Workspace: "w", Name: "job"}
	l.templates[id] = model.Template{ID: id, Kind: model.KindJob, Idempotent: true, Resources: model.Resources{CoresMilli: 1}, Tasks: 1, FloodShare: 1, Weight: 1}
	l.table.SetTemplates(l.now(), l.templates)
	vmListFetched{vms: []platform.VM{
		{ID: "a", Kind: platform.VMWorker, Zone: "z", Rack: "r"}, {ID: "b", Kind: platform.VMRunner, Zone: "z", Service: "s"},
	}}.apply(l)
	l.installView(model.View{Number: 1, Members: []model.Member{n.self, {Incarnation: "peer", Zone: "y", RPCAddress: "127.0.0.1:1"}}})
	for s := range model.ShardID(model.ShardCount) {
		if _, held := l.takeover.held[s]; !held {
			l.takeover.held[s] = 1
			l.table.Own(l.now(), s, shard.Recovery{})
		}
	}
}

// peerMessages returns the events of the messages that a peer may send, with the given JSON
// text as the content of each.
func peerMessages(data []byte) []event {
	var (
		demand    DemandArgs
		grants    GrantsArgs
		ended     EndedArgs
		gossip    GossipArgs
		dispatch  DispatchArgs
		hold      HoldArgs
		attempts  AttemptsArgs
		claim     ClaimArgs
		submit    SubmitArgs
		cancel    CancelArgs
		delivered DeliveredArgs
		stop      StopAttemptsArgs
		returned  ReturnArgs
		released  ReleasedArgs
		recovered AttemptsReply
		started   DispatchReply
	)
	for _, into := range []any{
		&demand, &grants, &ended, &gossip, &dispatch, &hold, &attempts, &claim, &submit, &cancel,
		&delivered, &stop, &returned, &released, &recovered, &started,
	} {
		_ = json.Unmarshal(data, into) // what could be decoded is applied
	}
	all := make(map[model.ShardID]bool, model.ShardCount)
	for s := range model.ShardID(model.ShardCount) {
		all[s] = true
	}
	return []event{
		demandReceived{args: demand},
		grantsReceived{grants: grants.Grants},
		completionsReceived{settled: ended.Settled, result: make(chan bool, 1)},
		gossipReceived{args: gossip},
		beginDispatch{args: dispatch, result: make(chan beginDispatchResult, 1)},
		reserveRequest{args: hold, result: make(chan HoldReply, 1)},
		submitRequest{submission: submit.Submission, waiter: make(chan model.Reply, 1)},
		cancelRequest{keys: cancel.Keys, result: make(chan cancelResult, 1)},
		deliveryConfirmed{args: delivered},
		stopReceived{args: stop},
		returnReceived{grants: returned.Grants},
		dispatchReturned{reply: started},
		poolRecovered{pool: attempts.Pool, shards: all, reply: recovered},
		attemptsRequest{args: attempts, result: make(chan AttemptsReply, 1)},
		claimReceived{args: claim, result: make(chan claimResult, 1)},
		releaseReceived{shards: released.Shards},
	}
}

// Guards against a message of a peer that makes the event loop panic: it would end the
// incarnation, and that of every process to which the message is repeated.
func FuzzPeerMessages(f *testing.F) {
	for _, seed := range []string{
		`{}`,
		`{"From":"peer","Pools":[{"Pool":"worker/z/r","Demands":[{"Template":{"workspace":"w","name":"job"},"Tasks":0,"Count":-1}]}]}`,
		`{"From":"peer","Pool":"worker/z/r","Template":{"workspace":"w","name":"job"},"Tasks":1000000000000}`,
		`{"Grants":[{"Pool":"worker/z/r","Hold":true,"Endpoints":["a","a"],"Instances":[]}]}`,
		`{"Grants":[{"Pool":"worker/z/r","ID":1}],"Shards":[65535,0]}`,
		`{"Settled":[{"Attempt":"300.x.-1.0"},{"Attempt":"0.0000000000000000.9999999999.0","End":"ended"}],"Attempts":["x"]}`,
		`{"Complete":true,"Attempts":[{"Attempt":"0.0000000000000000.0.0","Running":true}],"Shards":[0],"Pool":"worker/z/r"}`,
		`{"Submission":{"Key":{"template":{"workspace":"w","name":"job"},"id":"x"},"Async":true,"Body":"eA=="}}`,
		`{"Keys":[{}],"Latest":{"number":18446744073709551615,"members":[{}]}}`,
		`{"Summaries":[{"Pool":"worker/z/r","Owner":"peer","Version":1,"Total":{"cores_milli":-1}}],"Adopted":[""]}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		n := ownerNode(t)
		for _, e := range peerMessages(data) {
			e.apply(n.loop)
			n.loop.flushChanges()
		}
		n.loop.tick()
	})
}

// Guards against a journal or an export whose content makes the next owner of the shards
// panic, and then each further one.
func FuzzTakenOverState(f *testing.F) {
	for _, seed := range []string{
		`{"own":{"shard":0,"epoch":1}}`, `{"own":{"shard":60000,"epoch":1,"loading":true}}`, `{"loaded":0}`,
		`{"record":{"kind":"acceptance","shard":0,"time":"2026-01-01T00:00:00Z","async":true,"acceptance":{"kind":"job","tasks":1000000000000}}}`,
		`{"record":{"kind":"acceptance","shard":0,"time":"2026-01-01T00:00:00Z","async":true,"acceptance":{"kind":"gang","tasks":-1}}}`,
		`{"record":{"kind":"intent","shard":0,"intent":{"attempts":[{"attempt":"x","task":-1}]}}}`,
		`{"record":{"kind":"end","shard":0,"end":{"task":5,"round":-1}}}`,
		`{"record":{"kind":"outcome","shard":0,"outcome":{"outcome":"?","tasks":-1}}}`,
		`{"record":{"kind":"release","shard":60000}}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		n := ownerNode(t)
		l := n.loop
		var entries []journalEntry
		for line := range bytes.Lines(data) {
			if e, err := decodeJournalEntry(line); err == nil {
				entries = append(entries, e)
			}
		}
		a := newAcquisition(l.takeover, l.view, []model.ShardID{0})
		a.addJournalEntries(entries)
		takeOver(l, a)
		var snapshot shard.Snapshot
		if json.Unmarshal(data, &snapshot) == nil {
			a = newAcquisition(l.takeover, l.view, []model.ShardID{0})
			a.best[0] = candidateState{epoch: 1, snapshot: &snapshot}
			takeOver(l, a)
		}
		exports, err := decodeExports(data)
		if err == nil && len(exports) > 0 {
			l.table.Import(l.now(), exports[0].Snapshot)
		}
	})
}

// takeOver drops the shard and installs its state from the acquisition.
func takeOver(l *loop, a *acquisition) {
	l.takeover.freeze(l.now(), 0)
	l.takeover.release([]model.ShardID{0}, 0)
	a.installShards()
	for _, p := range l.knownPools() {
		l.table.RecoveryResult(l.now(), shard.RecoveryReport{Shard: 0, Pool: p, Reachable: true})
	}
	l.table.Tick(l.now().Add(time.Hour))
	l.table.Snapshot(l.now())
}

// Guards against an export of a peer that can't be decoded but ends the process.
func FuzzDecodeExports(f *testing.F) {
	var valid bytes.Buffer
	if err := gob.NewEncoder(&valid).Encode([]shardExport{{Shard: 1, Epoch: 2}}); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes())
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		n, _ := testNode(t)
		_ = n.protect("decode", func() error { _, err := decodeExports(data); return err })
	})
}
