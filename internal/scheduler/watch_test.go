package scheduler_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/statestore"
)

// However many changes there are, a leader polls for changed live records 20 times a second, so
// that a job accepted by another controller starts soon, and a controller without shards polls
// 5 times a second. A few changes are returned without delay.
func TestWatchOfLiveRecordsIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1, 0)
		ctx, cancel := context.WithCancel(t.Context())
		cluster.onWatch = func(ctx context.Context) {
			defer cancel()
			pacer := statestore.NewPacer(ctx)
			responses := func(n int) time.Duration {
				start := time.Now()
				for range n {
					pacer.Wait(ctx)
				}
				return time.Since(start).Round(time.Millisecond)
			}
			if took := responses(4); took != 0 {
				t.Errorf("the first 4 responses take %v", took)
			}
			if took := responses(20); took != time.Second {
				t.Errorf("20 responses to a leader take %v", took)
			}
			cluster.leadsNoShard.Store(true)
			if took := responses(5); took != time.Second {
				t.Errorf("5 responses to a controller without shards take %v", took)
			}
		}
		_ = cluster.scheduler.Run(ctx) // ends with the context
	})
}

// A lagging watch returns the acceptance of a job that ended under the predecessor of a new
// leader. The job must not become live again. A job that was accepted after the listing becomes
// live.
func TestLaggingWatchDoesNotReviveEndedJob(t *testing.T) {
	for version, alive := range map[uint64]bool{9: false, 10: false, 11: true} {
		leader, _ := newScriptedScheduler(t)
		if err := leader.Load(t.Context()); err != nil {
			t.Fatal(err)
		}
		job, _ := acceptedJob(t, version)
		leader.JobAccepted(job, nil, 0, 0, version)
		if state, ok := leader.LocalState("j-1"); ok != alive {
			t.Errorf("job accepted at version %d, listing at revision 10: %+v, %v", version, state, ok)
		}
	}
}
