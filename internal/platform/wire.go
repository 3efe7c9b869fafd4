package platform

// Paths of the platform's HTTP/JSON protocol. All calls use POST except the VM list.
const (
	PathGet       = "/v1/kv/get"
	PathList      = "/v1/kv/list"
	PathPut       = "/v1/kv/put"
	PathDelete    = "/v1/kv/delete"
	PathWatch     = "/v1/kv/watch"
	PathGrant     = "/v1/lease/grant"
	PathKeepAlive = "/v1/lease/keepalive"
	PathRevoke    = "/v1/lease/revoke"
	PathVMs       = "/v1/vms"
)

// GetRequest is the body of PathGet; the reply is an Entry.
type GetRequest struct {
	Key string `json:"key"`
}

// ListRequest is the body of PathList; the reply is a Page.
type ListRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after,omitempty"`
	Limit  int    `json:"limit"`
}

// PutRequest is the body of PathPut; the reply is a PutReply.
type PutRequest struct {
	Key       string  `json:"key"`
	Value     []byte  `json:"value"`
	IfVersion uint64  `json:"if_version"`
	Lease     LeaseID `json:"lease,omitempty"`
}

// PutReply carries the new version of a key.
type PutReply struct {
	Version uint64 `json:"version"`
}

// DeleteRequest is the body of PathDelete; the reply is empty.
type DeleteRequest struct {
	Key       string `json:"key"`
	IfVersion uint64 `json:"if_version"`
}

// WatchRequest is the body of PathWatch; the reply is a Changes.
type WatchRequest struct {
	Prefix string `json:"prefix"`
	After  uint64 `json:"after"`
	WaitMS int64  `json:"wait_ms"`
}

// GrantRequest is the body of PathGrant; the reply is a LeaseBody.
type GrantRequest struct {
	TTLMS int64 `json:"ttl_ms"`
}

// LeaseBody is the body of PathKeepAlive and PathRevoke and the reply of PathGrant.
type LeaseBody struct {
	Lease LeaseID `json:"lease"`
}

// ErrorReply is the body of every reply with a status of 400 or above.
type ErrorReply struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
}
