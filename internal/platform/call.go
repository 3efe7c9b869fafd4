package platform

// Call is a kind of call to the platform. The client and the stand-in count calls by kind.
type Call string

// Kinds of calls.
const (
	CallGet       Call = "get"
	CallList      Call = "list"
	CallWatch     Call = "watch"
	CallVMs       Call = "vms"
	CallPut       Call = "put"
	CallDelete    Call = "delete"
	CallGrant     Call = "grant"
	CallKeepAlive Call = "keepalive"
	CallRevoke    Call = "revoke"
)

// Writes reports whether the call changes the store and counts against the store's limit of writes.
func (c Call) Writes() bool {
	switch c {
	case CallPut, CallDelete, CallGrant, CallKeepAlive, CallRevoke:
		return true
	default:
		return false
	}
}
