package platform

import (
	"encoding/json"
	"net/http"
	"sync"
)

// vmCache caches the last VM list with its entity tag, so that the platform does
// not send an unchanged list again. A list of 8,100 VMs takes 1 MB.
type vmCache struct {
	mu   sync.Mutex
	etag string
	vms  []VM
}

// vmReply is the reply to one read of the VM list.
type vmReply struct {
	requestTag  string // entity tag of the cached list; empty for none
	etag        string // entity tag of the reply
	notModified bool   // the cached list is current
	vms         []VM
}

// request returns a reply with the cached list and its entity tag, for a call to fill in.
func (c *vmCache) request() vmReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	return vmReply{requestTag: c.etag, vms: c.vms}
}

// store caches the list of a reply and returns it. Callers must not change it.
func (c *vmCache) store(r vmReply) []VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !r.notModified {
		c.etag, c.vms = r.etag, r.vms
	}
	return r.vms
}

// setIfNoneMatch makes the request conditional if there is a cached list.
func (r *vmReply) setIfNoneMatch(req *http.Request) {
	if r.requestTag != "" {
		req.Header.Set("If-None-Match", r.requestTag)
	}
}

// unchanged reports whether the reply says that the cached list is current.
func (r *vmReply) unchanged(resp *http.Response) bool {
	r.etag = resp.Header.Get("ETag")
	r.notModified = r.requestTag != "" && resp.StatusCode == http.StatusNotModified
	return r.notModified
}

// UnmarshalJSON decodes a full list.
func (r *vmReply) UnmarshalJSON(data []byte) error {
	var vms []VM
	err := json.Unmarshal(data, &vms)
	r.vms = vms
	return err
}
