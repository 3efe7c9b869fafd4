package standin

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/platform"
)

// vmChange is a registration or, with gone set, the removal of a VM.
type vmChange struct {
	at   time.Time
	vm   platform.VM
	gone bool
}

// vmList keeps the true state and the changes that are not visible yet.
type vmList struct {
	lag     time.Duration
	visible map[string]platform.VM
	pending []vmChange // ordered by time
}

// RegisterVM adds a VM or replaces the one with its identifier. An empty state means live.
func (s *Server) RegisterVM(vm platform.VM) {
	if vm.State == "" {
		vm.State = platform.VMLive
	}
	s.changeVM(vmChange{at: time.Now(), vm: vm})
}

// RemoveVM removes a VM; it stays in the list for the lag.
func (s *Server) RemoveVM(id string) {
	s.changeVM(vmChange{at: time.Now(), vm: platform.VM{ID: id}, gone: true})
}

// SetVMLag sets how long changes take to appear, those under way included.
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

// list makes due changes visible and returns the list ordered by identifier.
func (l *vmList) list(now time.Time) []platform.VM {
	if l.visible == nil {
		l.visible = map[string]platform.VM{}
	}
	for len(l.pending) > 0 && !now.Before(l.pending[0].at.Add(l.lag)) {
		c := l.pending[0]
		l.pending = l.pending[1:]
		if c.gone {
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
