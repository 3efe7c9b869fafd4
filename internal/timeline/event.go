package timeline

// Event is one entry of the event timeline.
type Event struct {
	Time    Timestamp `json:"time"`
	Process string    `json:"process"`
	Part    string    `json:"part"`              // component of the process, e.g. "shard"
	Name    string    `json:"name"`              // e.g. "queued"
	Request string    `json:"request,omitempty"` // identifier of the request
	Attempt string    `json:"attempt,omitempty"`
	Detail  string    `json:"detail,omitempty"`
}
