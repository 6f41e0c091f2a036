package peer

import (
	"time"

	"github.com/baobabhub/baobabhub/pkg/outcome"
	"github.com/baobabhub/baobabhub/pkg/peer/peerpb"
)

// ToRefusal converts a refusal to its protobuf message. It returns nil for nil.
func ToRefusal(r *outcome.Refusal) *peerpb.Refusal {
	if r == nil {
		return nil
	}
	return &peerpb.Refusal{
		Code:         string(r.Code),
		Ran:          uint32(r.Ran),
		RetryAfterMs: ceilMilliseconds(r.RetryAfter),
		Message:      r.Message,
	}
}

// FromRefusal converts a refusal from its protobuf message. It returns nil for nil.
func FromRefusal(r *peerpb.Refusal) *outcome.Refusal {
	if r == nil {
		return nil
	}
	return &outcome.Refusal{
		Code:       outcome.Code(r.Code),
		Ran:        outcome.Ran(r.Ran),
		RetryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond,
		Message:    r.Message,
	}
}

// ceilMilliseconds converts a duration to milliseconds, rounding up. A retry delay
// below 1 ms must not become 0, which means that waiting does not help.
func ceilMilliseconds(d time.Duration) uint32 {
	return uint32((d + time.Millisecond - 1) / time.Millisecond)
}
