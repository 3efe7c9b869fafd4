package standin

import (
	"context"
	"sync"
)

// gate blocks goroutines while it is closed. The zero value is open.
type gate struct {
	mu     sync.Mutex
	opened chan struct{} // closed when the gate opens; nil while it is open
}

// set closes or opens the gate.
func (g *gate) set(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case closed && g.opened == nil:
		g.opened = make(chan struct{})
	case !closed && g.opened != nil:
		close(g.opened)
		g.opened = nil
	}
}

// wait blocks until the gate is open. It reports false when the context ends first.
func (g *gate) wait(ctx context.Context) bool {
	for {
		g.mu.Lock()
		ch := g.opened
		g.mu.Unlock()
		if ch == nil {
			return true
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return false
		}
	}
}
