// Package clock provides a sleep that a context can interrupt.
package clock

import (
	"context"
	"time"
)

// Sleep waits for the given duration or until ctx is done. It reports whether the
// full duration elapsed.
func Sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
