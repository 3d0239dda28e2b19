// Package periodic runs long-lived duties at an interval.
package periodic

import (
	"context"
	"time"
)

// Run calls do after each interval until ctx ends, and returns ctx's error. The first call
// comes after one interval. A call that takes longer than the interval delays the next one;
// calls that were missed meanwhile are left out.
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
