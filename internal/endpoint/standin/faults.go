package standin

import (
	"slices"
	"time"
)

// Faults are the faults that are injected into an endpoint. Setting them replaces
// all of them; the zero value means no faults.
type Faults struct {
	FailAll           bool     `json:"fail_all,omitempty"`           // all work ends with status 500 and no effect
	FailTemplates     []string `json:"fail_templates,omitempty"`     // the same for these templates, as "workspace/name"
	Hang              bool     `json:"hang,omitempty"`               // commands block before processing; dropped if the client disconnects
	Freeze            bool     `json:"freeze,omitempty"`             // the endpoint is paused, as if its process had been stopped; the admin API still works
	TruncateAnswers   bool     `json:"truncate_answers,omitempty"`   // the connection is closed after half of the body of any reply to a command
	LoseReplies       bool     `json:"lose_replies,omitempty"`       // the command is processed, then the connection is closed without a reply
	DelayRepliesMS    int64    `json:"delay_replies_ms,omitempty"`   // delay between processing and reply
	RefuseConnections bool     `json:"refuse_connections,omitempty"` // the port is closed, including the admin API; reopened through the host's admin address or by for_ms
	UsageLagMS        int64    `json:"usage_lag_ms,omitempty"`       // overrides the configured lag
	Leaving           bool     `json:"leaving,omitempty"`            // reported to the pool owner and the platform; starts are refused
	LeavingAccepts    bool     `json:"leaving_accepts,omitempty"`    // with Leaving: starts are still accepted, and marked in the effect log
	ForMS             int64    `json:"for_ms,omitempty"`             // all faults are cleared after this time; 0 for never
}

// fails reports whether work of the template fails.
func (f Faults) fails(template string) bool {
	return f.FailAll || slices.Contains(f.FailTemplates, template)
}

// usageLag returns the age of reported usage.
func (f Faults) usageLag(configured time.Duration) time.Duration {
	if f.UsageLagMS > 0 {
		return time.Duration(f.UsageLagMS) * time.Millisecond
	}
	return configured
}
