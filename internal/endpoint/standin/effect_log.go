package standin

import (
	"sync"
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// effectLog records the effects of an endpoint across restarts. It is safe for concurrent use.
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

// progress stores the progress of checkpointed tasks. The endpoints of a host
// share it, because any worker may resume a task. It is safe for concurrent use.
type progress struct {
	mu    sync.Mutex
	saved map[string]time.Duration
}

func newProgress() *progress { return &progress{saved: map[string]time.Duration{}} }

// save records how much of the run time of the task has been completed.
func (p *progress) save(id model.AttemptID, done time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.saved[TaskKey(id)] = done
}

// take returns and removes the saved progress of the task.
func (p *progress) take(id model.AttemptID) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	key := TaskKey(id)
	done := p.saved[key]
	delete(p.saved, key)
	return done
}
