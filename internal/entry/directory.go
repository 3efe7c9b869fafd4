package entry

import (
	"context"
	"maps"
	"math/rand"
	"slices"
	"time"

	"github.com/agateyard/agateyard/internal/model"
	"github.com/agateyard/agateyard/internal/platform"
)

// directoryInterval is the time between two reads of the VM list. With the lag
// of the list it must stay under the 3 s within which a leaving endpoint gets
// no more work.
const directoryInterval = time.Second

// runDirectory polls the VM list and posts it to the loop.
func (n *Node) runDirectory(ctx context.Context) error {
	rnd := rand.New(rand.NewSource(time.Now().UnixNano()))
	for {
		call, cancel := context.WithTimeout(ctx, 2*directoryInterval)
		vms, err := n.cfg.VMs.VMs(call)
		cancel()
		if err == nil {
			n.post(vmList{vms: vms})
		} else if ctx.Err() == nil {
			n.log.WithError(err).Debug("entry: VM list can't be read")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(directoryInterval + time.Duration(rnd.Int63n(int64(directoryInterval/10)))):
		}
	}
}

// vmList is a fresh copy of the platform's VM list.
type vmList struct {
	vms []platform.VM
}

func (e vmList) apply(l *loop) {
	l.vmsKnown = true
	if !slices.Equal(l.vmsRead, e.vms) {
		e.replace(l)
	}
	l.refreshPools()
}

// replace takes the endpoints of the list.
func (e vmList) replace(l *loop) {
	l.vmsRead = e.vms
	l.vms = make(map[string]platform.VM, len(e.vms))
	for _, vm := range e.vms {
		if vm.Kind == platform.VMEntry {
			continue
		}
		l.vms[vm.ID] = vm
	}
}

// poolOf returns the pool that a VM belongs to.
func poolOf(vm platform.VM) model.PoolID {
	if vm.Kind == platform.VMRunner {
		return model.RunnerPool(vm.Service, vm.Zone)
	}
	return model.WorkerPool(vm.Zone, vm.Rack)
}

// knownPools returns the pools of all listed endpoints.
func (l *loop) knownPools() []model.PoolID {
	seen := make(map[model.PoolID]bool)
	for _, vm := range l.vms {
		seen[poolOf(vm)] = true
	}
	return slices.Sorted(maps.Keys(seen))
}
