package scheduler_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/statestore"
)

// However many changes come, an owner asks for changes of living jobs 20 times a second, so
// that a job starts soon after another controller accepted it, and a controller without
// jobs asks 5 times. Few changes are told at once.
func TestWatchOfLivingJobsIsPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, 0)
		ctx, cancel := context.WithCancel(t.Context())
		f.watch = func(ctx context.Context) {
			defer cancel()
			pacer := statestore.NewPacer(ctx)
			answers := func(n int) time.Duration {
				start := time.Now()
				for range n {
					pacer.Wait(ctx)
				}
				return time.Since(start).Round(time.Millisecond)
			}
			if took := answers(4); took != 0 {
				t.Errorf("the first 4 answers take %v", took)
			}
			if took := answers(20); took != time.Second {
				t.Errorf("20 answers take an owner %v", took)
			}
			f.none.Store(true)
			if took := answers(5); took != time.Second {
				t.Errorf("5 answers take a controller without jobs %v", took)
			}
		}
		_ = f.owner.Run(ctx) // ends with the context
	})
}
