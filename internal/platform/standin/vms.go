package standin

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/platform"
)

// vmChange is the registration or, if removed is set, the removal of a VM.
type vmChange struct {
	at      time.Time
	vm      platform.VM
	removed bool
}

// vmList holds the visible VMs and the changes that are not visible yet.
type vmList struct {
	lag     time.Duration
	visible map[string]platform.VM
	pending []vmChange // ordered by time
}

// RegisterVM adds a VM or replaces the one with the same ID. An empty state means live.
func (s *Server) RegisterVM(vm platform.VM) {
	if vm.State == "" {
		vm.State = platform.VMLive
	}
	s.changeVM(vmChange{at: time.Now(), vm: vm})
}

// RemoveVM removes a VM; it stays in the list until the lag has passed.
func (s *Server) RemoveVM(id string) {
	s.changeVM(vmChange{at: time.Now(), vm: platform.VM{ID: id}, removed: true})
}

// SetVMLag sets how long changes take to appear in the list, pending changes included.
func (s *Server) SetVMLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.lag = lag
}

func (s *Server) changeVM(c vmChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vms.pending = append(s.vms.pending, c)
}

// VMs implements platform.VMList.
func (s *Server) VMs(ctx context.Context) ([]platform.VM, error) {
	if err := s.admit(ctx, platform.CallVMs); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.vms.list(time.Now()), nil
}

// list applies the pending changes whose lag has passed and returns the list ordered by ID.
func (l *vmList) list(now time.Time) []platform.VM {
	if l.visible == nil {
		l.visible = map[string]platform.VM{}
	}
	for len(l.pending) > 0 && !now.Before(l.pending[0].at.Add(l.lag)) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.removed {
			delete(l.visible, c.vm.ID)
		} else {
			l.visible[c.vm.ID] = c.vm
		}
	}
	out := make([]platform.VM, 0, len(l.visible))
	for _, vm := range l.visible {
		out = append(out, vm)
	}
	slices.SortFunc(out, func(a, b platform.VM) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
