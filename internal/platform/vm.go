package platform

import "context"

// VMState is the state of a VM in the VM list.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VMKind is the role of a VM.
type VMKind string

// The kinds of VM.
const (
	VMRunner VMKind = "runner"
	VMWorker VMKind = "worker"
	VMEntry  VMKind = "entry"
)

// VM is one entry of the platform's VM list, which may be out of date.
type VM struct {
	ID      string  `json:"id"`
	Address string  `json:"address"` // ip:port of its HTTP server
	Kind    VMKind  `json:"kind"`
	Zone    string  `json:"zone"`
	Rack    string  `json:"rack,omitempty"`    // only for workers
	Service string  `json:"service,omitempty"` // only for runners
	State   VMState `json:"state"`
}

// VMList is the platform's list of live and leaving VMs.
type VMList interface {
	// VMs returns the list as the platform knows it.
	VMs(ctx context.Context) ([]VM, error)
}
