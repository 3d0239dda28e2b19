package periodic

import (
	"context"
	"time"
)

// Sleep waits for the given time, or until ctx ends. It returns false if ctx ended first.
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
