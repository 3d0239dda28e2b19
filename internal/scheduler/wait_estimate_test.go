package scheduler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// Tasks of a worker that reaches no controller must run elsewhere at once. Full workers are
// preferred by one second of cost (pack-s). If a short estimated wait (0 to 1 s) costs less, the
// tasks are queued on full workers although others are idle. The estimate assumes that running
// tasks end on time, and the heartbeat that it is based on may be up to two seconds old, or lost.
// If those tasks run on, the task waits 4 to 6 s until its wait counts as longer than planned.
// TestWorkersReachingNoController then fails with "until tasks ran elsewhere"; its traces show
// waits of 0.0 s, 0.4 s and 1.0 s for full workers (8 of 8 CPUs in use, one with a heartbeat
// 2.02 s old) next to workers without a CPU in use.

// A task is placed where it can start now instead of behind a task that may exceed its
// estimate, however old the heartbeat is from which the wait was estimated.
func TestTaskIsPlacedOnIdleWorkerNotBehindRunningTask(t *testing.T) {
	const full, endsSoon, idle = 0, 1, 2 // indices of workers; the last two have the same price
	for _, c := range []struct{ remainingS, ageS float64 }{{0.4, 0}, {1, 0}, {1.4, 1}, {2, 1}, {2, 2.1}, {3, 2.1}} {
		t.Run(fmt.Sprintf("%v s at a report %v s old", c.remainingS, c.ageS), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for range 20 { // the placement costs have a random part
					cluster := newCluster(t, 3, 0)
					cluster.acceptArray(1)
					cluster.sendHeartbeat(full, 600)
					cluster.sendHeartbeat(endsSoon, c.remainingS)
					time.Sleep(time.Duration(c.ageS * float64(time.Second)))
					cluster.sendHeartbeat(idle, 0)
					cluster.scheduler.Pass()
					refs := cluster.scheduler.PlacementsOf("j-1")
					if len(refs) != 1 || refs[0].Worker != cluster.views[idle].Name {
						t.Fatalf("placed on %v, want %s, which is idle", refs, cluster.views[idle].Name)
					}
				}
			})
		})
	}
}

// If no worker has free resources, a task is queued where its wait is shortest.
func TestTaskIsQueuedWhereWaitIsShortest(t *testing.T) {
	for range 20 {
		cluster := newCluster(t, 3, 0)
		cluster.acceptArray(1)
		for i, fullS := range []float64{600, 0.9, 0.1} {
			cluster.sendHeartbeat(i, fullS)
		}
		cluster.scheduler.Pass()
		if refs := cluster.scheduler.PlacementsOf("j-1"); len(refs) != 1 || refs[0].Worker != cluster.views[2].Name {
			t.Fatalf("queued on %v, want %s", refs, cluster.views[2].Name)
		}
	}
}
