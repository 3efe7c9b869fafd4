package standin

import (
	"time"

	"github.com/agateyard/agateyard/internal/model"
)

// EffectEvent is a step of an attempt that the effect log records.
type EffectEvent string

// The steps of an attempt.
const (
	EffectStart     EffectEvent = "start"
	EffectPerformed EffectEvent = "effect"
	EffectEnd       EffectEvent = "end"
)

// EndReason says why an attempt ended.
type EndReason string

// The reasons of an end.
const (
	EndDone         EndReason = "done"
	EndFailed       EndReason = "failed"
	EndCancelled    EndReason = "cancelled"
	EndCheckpointed EndReason = "checkpointed"
	EndRunLimit     EndReason = "run-limit"
	EndLeaseExpired EndReason = "lease-lapsed"
	EndRestart      EndReason = "restarted"
)

// Effect is one entry of the effect log.
type Effect struct {
	Event    EffectEvent     `json:"event"`
	Endpoint string          `json:"endpoint"`
	Instance string          `json:"instance"`
	Attempt  model.AttemptID `json:"attempt"`
	Template string          `json:"template"`
	Echo     string          `json:"echo,omitempty"`
	Token    uint64          `json:"token"` // that started the attempt
	Reason   EndReason       `json:"reason,omitempty"`
	AtMicros int64           `json:"at_us"` // wall clock

	// LeavingMS is how long before the start the endpoint had announced that it
	// leaves; 0 if it had not.
	LeavingMS int64 `json:"leaving_ms,omitempty"`
}

// Time returns the wall time of the entry.
func (e Effect) Time() time.Time { return time.UnixMicro(e.AtMicros) }

// EffectLog is the body of GET /admin/effects.
type EffectLog struct {
	Effects []Effect `json:"effects"`
	Dropped int      `json:"dropped"` // entries beyond the limit; a check of an incomplete log proves nothing
}
