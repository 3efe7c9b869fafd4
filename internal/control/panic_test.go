package control

import (
	"bytes"
	"context"
	"encoding/gob"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateyard/agateyard/internal/job"
	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/scheduler"
)

// panickingRunners panic in every call, as a client with a fault in its decoder would.
type panickingRunners struct{ noRunners }

func (panickingRunners) Start(context.Context, scheduler.RunnerRef, StartRequest) (scheduler.StartOutcome, error) {
	panic("start")
}

func (panickingRunners) Stop(context.Context, scheduler.RunnerRef, StopRequest) error { panic("stop") }

func (panickingRunners) Poll(context.Context, scheduler.RunnerRef, PollRequest) (scheduler.Report, error) {
	panic("poll")
}

type panickingAdvisor struct{}

func (panickingAdvisor) Advise(context.Context, job.StepID, []string) ([]scheduler.EligibleRunner, time.Duration, error) {
	panic("advise")
}

// panickingDirectory panics in the decoder of every entry.
type panickingDirectory struct{ emptyDirectory }

func (panickingDirectory) DecodeRunner(Item) (scheduler.RunnerInfo, error) { panic("runner entry") }

// putValue writes a value to the store.
func putValue(t *testing.T, store *memoryStore, key, value string) {
	t.Helper()
	if _, err := store.Commit(context.Background(), Commit{Puts: []Put{{Key: key, Value: []byte(value)}}}); err != nil {
		t.Fatal(err)
	}
}

// TestPanicsInCallsEndNoProcess guards against a process that ends because a client, a decoder or the handler of another
// process's call panics. Starts that panic must not count as answered.
func TestPanicsInCallsEndNoProcess(t *testing.T) {
	deps := testDeps()
	deps.Runners, deps.Advisor, deps.Directory = panickingRunners{}, panickingAdvisor{}, panickingDirectory{}
	store := newMemoryStore()
	putValue(t, store, "op/config", "\x01")
	putValue(t, store, "servers/r1", "x")
	node := startNodeWith(t, deps, store, testWeight)
	eventually(t, 5*time.Second, "an owner", func() bool { return node.ownership.Load() != nil && node.Ready() })
	putValue(t, store, "op/config", "") // panics in the decoder of emptyDirectory

	client := &peerClient{address: node.opt.Address}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if err := call(ctx, client, "Advise", AdviseArgs{Within: time.Second}, &AdviseReply{}); err == nil {
		t.Error("advice of a service whose client panics: no error")
	}
	for name, args := range map[string]RelayArgs{
		"start": {Within: time.Second, Fence: 1 << 40, Start: &StartRequest{}},
		"stop":  {Within: time.Second, Fence: 1 << 40, Stop: &StopRequest{}},
		"poll":  {Within: time.Second, Fence: 1 << 40, Poll: &PollRequest{}},
	} {
		var reply RelayReply
		if err := call(ctx, client, "Relay", args, &reply); err == nil && reply.Error == "" {
			t.Errorf("%s that panics: no error", name)
		}
		if args.Start != nil && reply.Outcome != scheduler.StartUnknown {
			t.Errorf("start that panics: outcome %s", reply.Outcome)
		}
	}
	if got := submit(node, testSpec(1)); got != OutcomeStored {
		t.Errorf("submission afterwards: %s", got)
	}
}

// TestPanicInEventLoopEndsOnlyTheOwnership guards against a process that ends, or an event loop that stops while its
// process still counts as the owner, because the handling of one message panics.
func TestPanicInEventLoopEndsOnlyTheOwnership(t *testing.T) {
	_, nodes := startCell(t, 3)
	owner := ownersOf(nodes)[0]
	if got := submit(owner, testSpec(1)); got != OutcomeStored {
		t.Fatal(got)
	}
	old := owner.ownership.Load()
	old.post(func() { panic("malformed message") })
	select {
	case <-old.ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the ownership has not ended")
	}
	rest := others(nodes, owner)
	eventually(t, 3*time.Second, "a successor in another process", func() bool { return len(ownersOf(rest)) == 1 })
	if state, found := stateOf(t, owner, testSpec(1).ID); !found || state.Final() {
		t.Errorf("accepted job at the process that was the owner: found %v, state %q", found, state)
	}
	if got := submit(owner, testSpec(2)); got != OutcomeStored {
		t.Errorf("submission through the process that was the owner: %s", got)
	}
}

// TestMalformedPeerMessages guards against a process that ends because of what it reads from a connection of a peer.
func TestMalformedPeerMessages(t *testing.T) {
	_, nodes := startCell(t, 1)
	spec := testSpec(1)
	spec.Steps = []job.Step{{Count: 2, After: []int{7}, Need: model.Resources{CoresMilli: -1}}}
	for name, message := range map[string][]byte{
		"not gob":      []byte("GET / HTTP/1.1\r\n\r\n"),
		"long message": {0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"wrong type":   gobMessage(t, rpc.Request{ServiceMethod: "Peer.Ping", Seq: 1}, 17),
		"wrong method": gobMessage(t, rpc.Request{ServiceMethod: "Peer.Nothing", Seq: 1}, PingArgs{}),
		"invalid job":  gobMessage(t, rpc.Request{ServiceMethod: "Peer.Submit", Seq: 1}, SubmitArgs{Spec: spec, Within: time.Second}),
		"invalid id":   gobMessage(t, rpc.Request{ServiceMethod: "Peer.Submit", Seq: 1}, SubmitArgs{Spec: job.Spec{ID: "x"}, Within: time.Second}),
	} {
		conn, err := net.Dial("tcp", nodes[0].opt.Address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = conn.Write(message) // the process may have closed the connection already
		_ = conn.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		buffer := make([]byte, 1024)
		n, _ := conn.Read(buffer)
		if strings.HasPrefix(name, "invalid") && !bytes.Contains(buffer[:n], []byte("malformed job")) {
			t.Errorf("%s: the answer is %q", name, buffer[:n])
		}
		_ = conn.Close()
	}
	if got := submit(nodes[0], testSpec(2)); got != OutcomeStored {
		t.Errorf("submission afterwards: %s", got)
	}
	if len(ownersOf(nodes)) != 1 {
		t.Error("the ownership has ended")
	}
}

func gobMessage(t *testing.T, parts ...any) []byte {
	t.Helper()
	var out bytes.Buffer
	enc := gob.NewEncoder(&out)
	for _, p := range parts {
		if err := enc.Encode(p); err != nil {
			t.Fatal(err)
		}
	}
	return out.Bytes()
}

// TestMalformedStoredValues guards against a cell that never has an owner again because a value in the store that the
// owner reads can't be decoded.
func TestMalformedStoredValues(t *testing.T) {
	for name, values := range map[string]map[string]string{
		"claim":              {ownerKey: "{"},
		"claim of no one":    {ownerKey: "null"},
		"claim out of range": {ownerKey: `{"Term":-9223372036854775808,"Incarnation":"x","Address":"127.0.0.1:1"}`},
		"last claim":         {ownerKey: `{"Term":9223372036854775807,"Incarnation":"x","Address":"127.0.0.1:1"}`},
		"member":             {memberPrefix + "a": `{"Weight":1e99}`, memberPrefix + "b": `{"Incarnation":"c"}`, memberPrefix + "d": "["},
		"used runners":       {runnersKey: `["r1"]`},
		"no used runners":    {runnersKey: "null"},
		"record":             {jobPrefix + "000000000000000a": "{", jobPrefix + "000000000000000b": `{"id":"000000000000000b","steps":[{"count":-1}]}`},
		"progress":           {jobPrefix + "000000000000000c": `{"id":"000000000000000c","queue":"q","steps":[{"count":1}],"progress":[{"k":0,"s":-1},{"k":0,"s":0,"done":[-1]}]}`},
		"record elsewhere":   {jobPrefix + "000000000000000d": `{"id":"000000000000000e","queue":"q","steps":[{"count":1}]}`},
		"all occurrences":    {jobPrefix + "000000000000000f": `{"id":"000000000000000f","queue":"q","steps":[{"count":20000}],"times":100000}`},
	} {
		t.Run(name, func(t *testing.T) {
			store := newMemoryStore()
			putValue(t, store, "op/config", "\x01")
			for key, value := range values {
				putValue(t, store, key, value)
			}
			node := startNode(t, store, testWeight)
			eventually(t, 8*time.Second, "an owner that accepts jobs", func() bool { return submit(node, testSpec(1)) == OutcomeStored })
		})
	}
}

// panicLog keeps the last reported panic.
type panicLog struct {
	mu   sync.Mutex
	last string
}

func (l *panicLog) Log(event string, fields logrus.Fields) {
	if event == "panic" {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.last = fmt.Sprint(fields)
	}
}

func (*panicLog) EndJob(string, bool) {}

func (l *panicLog) text() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.last
}

// TestEveryPeerCallRecovers guards against a call of another process whose handler lacks the recovery: net/rpc runs the
// handlers in goroutines of its own, outside of any other one.
func TestEveryPeerCallRecovers(t *testing.T) {
	peer := reflect.ValueOf(&Peer{nil}) // each handler fails on the missing node
	for i := range peer.NumMethod() {
		method := peer.Method(i)
		args := []reflect.Value{reflect.New(method.Type().In(0)).Elem(), reflect.New(method.Type().In(1).Elem())}
		name := peer.Type().Method(i).Name
		if name == "Submit" {
			args[0] = reflect.ValueOf(SubmitArgs{Spec: testSpec(1)}) // passes the check of the job
		}
		func() {
			defer func() {
				if value := recover(); value != nil {
					t.Errorf("%s panics: %v", name, value)
				}
			}()
			if out := method.Call(args); out[0].IsNil() {
				t.Errorf("%s: no error", name)
			}
		}()
	}
}

// TestUnreadableRecordIsKept guards against a job that is started again, and its record overwritten, because the record
// can't be decoded: a caller that repeats its request would have work run twice.
func TestUnreadableRecordIsKept(t *testing.T) {
	store := newMemoryStore()
	putValue(t, store, "op/config", "\x01")
	spec := testSpec(7)
	const record = `{"id":1}`
	putValue(t, store, jobPrefix+spec.ID, record)
	node := startNode(t, store, testWeight)
	eventually(t, 5*time.Second, "an owner that accepts jobs", func() bool { return submit(node, testSpec(1)) == OutcomeStored })
	o := node.ownership.Load()
	if got := o.submit(context.Background(), SubmitArgs{Spec: spec, Within: time.Second}).Outcome; got != OutcomeUnreadable {
		t.Errorf("submission: %s", got)
	}
	if got := o.cancelJob(context.Background(), JobArgs{ID: spec.ID, Within: time.Second}); got != OutcomeUnreadable {
		t.Errorf("cancellation: %s", got)
	}
	if item, _, _ := store.Get(context.Background(), jobPrefix+spec.ID); string(item.Value) != record {
		t.Errorf("the record is now %s", item.Value)
	}
}
