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

// vmListInterval is the time between two reads of the VM list. A leaving endpoint
// must get no new work after 3 s, so this interval plus the lag of the list must
// stay below that.
const vmListInterval = time.Second

// pollVMList polls the VM list and posts it to the loop.
func (n *Node) pollVMList(ctx context.Context) error {
	rnd := rand.New(rand.NewSource(time.Now().UnixNano()))
	for {
		call, cancel := context.WithTimeout(ctx, 2*vmListInterval)
		var vms []platform.VM
		err := n.protect("VM list", func() (err error) {
			vms, err = n.cfg.VMs.VMs(call)
			return err
		})
		cancel()
		if err == nil {
			n.post(vmListFetched{vms: vms})
		} else if ctx.Err() == nil {
			n.log.WithError(err).Debug("entry: can't read the VM list")
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(vmListInterval + time.Duration(rnd.Int63n(int64(vmListInterval/10)))):
		}
	}
}

// vmListFetched carries a new copy of the platform's VM list.
type vmListFetched struct {
	vms []platform.VM
}

func (e vmListFetched) apply(l *loop) {
	l.vmListLoaded = true
	if !slices.Equal(l.lastVMList, e.vms) {
		e.replace(l)
	}
	l.refreshPools()
}

// replace replaces the known endpoints by those of the list.
func (e vmListFetched) replace(l *loop) {
	l.lastVMList = e.vms
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
