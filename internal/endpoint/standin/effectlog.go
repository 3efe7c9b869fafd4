package standin

import (
	"sync"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// effectLog keeps the effects of an endpoint over restarts. It is safe for concurrent use.
type effectLog struct {
	mu      sync.Mutex
	limit   int
	entries []Effect
	dropped int
}

func (l *effectLog) add(e Effect) {
	e.AtMicros = time.Now().UnixMicro()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.entries) >= l.limit {
		l.dropped++
		return
	}
	l.entries = append(l.entries, e)
}

func (l *effectLog) snapshot() EffectLog {
	l.mu.Lock()
	defer l.mu.Unlock()
	return EffectLog{Effects: append([]Effect{}, l.entries...), Dropped: l.dropped}
}

// progress holds the progress of checkpointed tasks, shared by the workers of a
// host as saved progress is not bound to a worker. It is safe for concurrent use.
type progress struct {
	mu    sync.Mutex
	saved map[string]time.Duration
}

func newProgress() *progress { return &progress{saved: map[string]time.Duration{}} }

// save records how much of the task is done.
func (p *progress) save(id model.AttemptID, done time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saved[TaskKey(id)] = done
}

// take returns and removes the progress of the task.
func (p *progress) take(id model.AttemptID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := TaskKey(id)
	done := p.saved[key]
	delete(p.saved, key)
	return done
}
