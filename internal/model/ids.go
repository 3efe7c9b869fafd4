package model

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// ShardCount is the fixed number of shards of a cell.
const ShardCount = 256

// ShardID numbers a shard, 0 to ShardCount-1.
type ShardID uint16

// RequestKey identifies a request within the cell.
type RequestKey struct {
	Template    TemplateID `json:"template"`
	OrderingKey string     `json:"ordering_key,omitempty"` // value of the ordering key, empty without one
	ID          string     `json:"id"`                     // the caller's Idempotency-Key or a generated UUIDv7
}

// Shard returns the shard that owns the request. Requests of one template that
// share an ordering key share a shard.
func (k RequestKey) Shard() ShardID {
	item := k.OrderingKey
	if item == "" {
		item = k.ID
	}
	return ShardID(xxhash.Sum64String(k.Template.Workspace+"\x00"+k.Template.Name+"\x00"+item) % ShardCount)
}

// String returns the key for logs and the event timeline.
func (k RequestKey) String() string {
	return k.Template.String() + "/" + k.ID
}

// AttemptID identifies one attempt to run one task of a request. It contains the shard and the
// hash of the request key, so that a new owner can match the attempts that endpoints list with
// their requests, including requests that have no record.
type AttemptID string

// NewAttemptID returns the identifier of an attempt. The nonce distinguishes the attempts of one
// task, also those of successive shard owners.
func NewAttemptID(key RequestKey, task int, nonce uint64) AttemptID {
	return AttemptID(fmt.Sprintf("%d.%016x.%d.%016x", key.Shard(), key.Hash(), task, nonce))
}

// Hash returns a 64-bit hash of the whole key.
func (k RequestKey) Hash() uint64 {
	return xxhash.Sum64String(k.Template.Workspace + "\x00" + k.Template.Name + "\x00" + k.OrderingKey + "\x00" + k.ID)
}

// Shard returns the shard of the attempt, or false for an identifier that does not have the
// format of NewAttemptID.
func (a AttemptID) Shard() (ShardID, bool) {
	head, _, ok := strings.Cut(string(a), ".")
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(head, 10, 16)
	if err != nil || n >= ShardCount {
		return 0, false
	}
	return ShardID(n), true
}

// RequestHash returns the hash of the request key of the attempt, or false for an identifier
// that does not have the format of NewAttemptID.
func (a AttemptID) RequestHash() (uint64, bool) {
	parts := strings.Split(string(a), ".")
	if len(parts) != 4 {
		return 0, false
	}
	h, err := strconv.ParseUint(parts[1], 16, 64)
	return h, err == nil
}

// IDTimestamp returns the timestamp of a UUIDv7 identifier, or false for any other identifier.
func IDTimestamp(id string) (time.Time, bool) {
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return time.Time{}, false
	}
	ms := int64(u[0])<<40 | int64(u[1])<<32 | int64(u[2])<<24 | int64(u[3])<<16 | int64(u[4])<<8 | int64(u[5])
	return time.UnixMilli(ms), true
}

// Task returns the number of the task of the attempt, or false for an identifier that does not
// have the format of NewAttemptID.
func (a AttemptID) Task() (int, bool) {
	parts := strings.Split(string(a), ".")
	if len(parts) != 4 {
		return 0, false
	}
	n, err := strconv.Atoi(parts[2])
	return n, err == nil && n >= 0
}
