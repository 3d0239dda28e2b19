// Package periodic calls functions at a fixed interval.
package periodic

import (
	"context"
	"time"
)

// Run calls call at each interval until ctx ends, and returns ctx's error. The first call is made
// after one interval. If a call takes longer than the interval, the next call follows immediately,
// and any further calls missed in the meantime are skipped.
func Run(ctx context.Context, interval time.Duration, call func()) error {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			call()
		}
	}
}
