package pool

import (
	"slices"
	"testing"
	"time"

	"github.com/agateyard/agateyard/internal/endpoint"
	"github.com/agateyard/agateyard/internal/model"
)

// TestPreempt guards against urgent work that waits behind less urgent tasks,
// against preemption of non-idempotent work, and against preemption of more tasks
// than needed.
func TestPreempt(t *testing.T) {
	lowUrgency, nonIdempotent, sameUrgency := job("lesser", 1), job("once", 1), job("same", 9)
	nonIdempotent.Idempotent = false
	urgent := job("urgent", 9)
	urgent.Resources.CoresMilli = 2000
	for _, c := range []struct {
		name   string
		filled model.Template
		want   int // tasks stopped
	}{
		{"idempotent", lowUrgency, 2},
		{"not idempotent", nonIdempotent, 0},
		{"same urgency", sameUrgency, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPool("worker/z/r")
			setTemplates(p, lowUrgency, nonIdempotent, sameUrgency, urgent)
			addEndpoints(p, 2, worker(4, 64, 0))
			var next uint64
			p.SetDemand(at(0), "s", 1, []model.Demand{demand(c.filled, 8, at(0))})
			startAll(t, p, at(0), p.Schedule(at(0)), &next)
			p.SetDemand(at(0), "s", 2, []model.Demand{demand(c.filled, 50, at(0)), demand(urgent, 1, at(0))})
			commands := map[CommandKind][]model.AttemptID{}
			var placed time.Duration
			for d := time.Duration(0); d <= 2300*time.Millisecond && placed == 0; d += 50 * time.Millisecond {
				for _, a := range p.Schedule(at(d)) {
					if a.Grant.Template != urgent.ID {
						t.Fatalf("%s took the capacity freed for urgent work", a.Grant.Template)
					}
					placed = d
				}
				e := p.Tick(at(d))
				for _, o := range e.Commands {
					commands[o.Kind] = append(commands[o.Kind], o.Attempt)
				}
				// The tasks ignore checkpoints and end when stopped; the reply to the session call that
				// e.Poll requests lists them as ended.
				for _, id := range e.Poll {
					p.HandleSessionReply(at(d+20*time.Millisecond), id, at(d+10*time.Millisecond), stoppedReport(p, id, commands[CommandStop]))
				}
			}
			if len(commands[CommandStop]) != c.want || len(commands[CommandThrottle]) != c.want || len(commands[CommandCheckpoint]) != c.want {
				t.Fatalf("commands %v, want %d tasks preempted", commands, c.want)
			}
			if c.want > 0 && placed == 0 {
				t.Fatal("urgent work not placed within 2.3 s")
			}
			t.Logf("placed after %v", placed)
		})
	}
}

func stoppedReport(p *Pool, id string, stopped []model.AttemptID) endpoint.SessionReply {
	r := report(worker(4, 64, 0))
	for i, a := range sortedAttempts(p.endpoints[id]) {
		if slices.Contains(stopped, a.id) {
			r.Ended = append(r.Ended, endpoint.EndedAttempt{Seq: uint64(i + 1), Attempt: a.id, Stopped: true})
			continue
		}
		r.Running = append(r.Running, endpoint.RunningAttempt{Attempt: a.id, Template: a.template.ID.String(), Resources: a.resources})
	}
	return r
}

// TestUnthrottle guards against tasks that stay throttled after the urgent work was
// withdrawn.
func TestUnthrottle(t *testing.T) {
	p := newTestPool("worker/z/r")
	lowUrgency, urgent := job("lesser", 1), job("urgent", 9)
	setTemplates(p, lowUrgency, urgent)
	addEndpoints(p, 1, worker(4, 64, 0))
	var next uint64
	p.SetDemand(at(0), "s", 1, []model.Demand{demand(lowUrgency, 4, at(0))})
	startAll(t, p, at(0), p.Schedule(at(0)), &next)
	p.SetDemand(at(0), "s", 2, []model.Demand{demand(urgent, 1, at(0))})
	p.Schedule(at(0))
	if o := p.Tick(at(150 * time.Millisecond)).Commands; len(o) != 1 || o[0].Kind != CommandThrottle {
		t.Fatalf("got %v, want one throttle", o)
	}
	p.SetDemand(at(160*time.Millisecond), "s", 3, nil)
	if o := p.Tick(at(200 * time.Millisecond)).Commands; len(o) != 1 || o[0].Kind != CommandUnthrottle {
		t.Fatalf("got %v, want one unthrottle", o)
	}
}

// TestStarving guards against starvation of a large task by a stream of smaller
// tasks of the same urgency.
func TestStarving(t *testing.T) {
	p := newTestPool("worker/z/r")
	small, large := job("small", 5), job("large", 5)
	large.Resources.CoresMilli = 4000
	setTemplates(p, small, large)
	addEndpoints(p, 2, worker(4, 64, 0))
	var next, seq uint64
	var running []model.AttemptID
	p.SetDemand(at(0), "s", 1, []model.Demand{demand(small, 8, at(0))})
	running = startAll(t, p, at(0), p.Schedule(at(0)), &next)
	for d := 100 * time.Millisecond; d < 20*time.Second; d += 100 * time.Millisecond {
		keepLeases(p, at(d))
		if len(running) > 0 { // one small task ends in each step
			ended := running[0]
			running = running[1:]
			p.settle(at(d), p.attempts[ended], model.Settled{Attempt: ended, End: model.AttemptEnded})
		}
		seq++
		p.SetDemand(at(d), "s", seq+1, []model.Demand{demand(small, 20, at(0)), demand(large, 1, at(0))})
		list := p.Schedule(at(d))
		if byTemplate(list)["large"] > 0 {
			t.Logf("placed after %v", d)
			return
		}
		running = append(running, startAll(t, p, at(d), list, &next)...)
		p.Tick(at(d))
	}
	t.Fatal("the large task was never placed")
}
