package standin

import (
	"slices"
	"time"
)

// Faults are the switches of an endpoint. Setting them replaces all of them;
// the zero value is a healthy endpoint.
type Faults struct {
	FailAll           bool     `json:"fail_all,omitempty"`           // all work ends with status 500 and no effect
	FailTemplates     []string `json:"fail_templates,omitempty"`     // the same for these "workspace/name"
	Hang              bool     `json:"hang,omitempty"`               // commands wait unprocessed; dropped if the client leaves
	Freeze            bool     `json:"freeze,omitempty"`             // the whole process stands still, except for the admin calls
	TruncateAnswers   bool     `json:"truncate_answers,omitempty"`   // half the body, then the connection is closed
	LoseReplies       bool     `json:"lose_replies,omitempty"`       // the command is processed, the connection closed
	DelayRepliesMS    int64    `json:"delay_replies_ms,omitempty"`   // after processing
	RefuseConnections bool     `json:"refuse_connections,omitempty"` // the port is closed; only the host's admin address can reopen it
	UsageLagMS        int64    `json:"usage_lag_ms,omitempty"`       // in place of the configured lag
	Leaving           bool     `json:"leaving,omitempty"`            // announced in reports and to the platform; starts are refused
	LeavingAccepts    bool     `json:"leaving_accepts,omitempty"`    // with Leaving: starts are still accepted, and marked in the log
	ForMS             int64    `json:"for_ms,omitempty"`             // all switches are reset after this time; 0 for never
}

// fails reports whether work of the template fails.
func (f Faults) fails(template string) bool {
	return f.FailAll || slices.Contains(f.FailTemplates, template)
}

// usageLag returns the lag of reported usage.
func (f Faults) usageLag(configured time.Duration) time.Duration {
	if f.UsageLagMS > 0 {
		return time.Duration(f.UsageLagMS) * time.Millisecond
	}
	return configured
}
