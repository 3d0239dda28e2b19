package scheduler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// A worker that reaches no controller is given up, or its tasks are stopped, and they are to run
// elsewhere at once. They were queued on workers without room, beside idle ones: a wait that
// was estimated at 0 to 1 s costs less than the second (pack-s) by which full workers are
// preferred. The estimate was of tasks that were to end by then, by a report that was up to
// two seconds old, or lost; they ran on, and the wait took 4 to 6 s, until it counted as proved
// worse than planned. The traces of TestWorkersReachingNoController that failed with "until
// tasks ran elsewhere" all show such a placement: "wait=0.0" on a worker with 8 of 8 CPUs in
// use and a report 2.02 s old, "wait=0.4" and "wait=1.0" on others, next to workers that had
// none in use.

// A task is placed where it starts now, and not where it has to wait for a task that may
// outrun its estimate, whatever the age of the report that the estimate was made of.
func TestTaskIsPlacedOnIdleWorkerNotBehindRunningTask(t *testing.T) {
	const full, endsSoon, idle = 0, 1, 2 // workers, the last two of the same price
	for _, c := range []struct{ remainingS, ageS float64 }{{0.4, 0}, {1, 0}, {1.4, 1}, {2, 1}, {2, 2.1}, {3, 2.1}} {
		t.Run(fmt.Sprintf("%v s at a report %v s old", c.remainingS, c.ageS), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for range 20 { // the costs have a random part
					cluster := newCluster(t, 3, 0)
					cluster.acceptArray(1)
					cluster.sendHeartbeat(full, 600)
					cluster.sendHeartbeat(endsSoon, c.remainingS)
					time.Sleep(time.Duration(c.ageS * float64(time.Second)))
					cluster.sendHeartbeat(idle, 0)
					cluster.scheduler.Pass()
					refs := cluster.scheduler.PlacementsOf("j-1")
					if len(refs) != 1 || refs[0].Worker != cluster.views[idle].Name {
						t.Fatalf("placed on %v, and not on %s, which is idle", refs, cluster.views[idle].Name)
					}
				}
			})
		})
	}
}

// With no room anywhere a task is still queued where its wait is shortest.
func TestTaskIsQueuedWhereWaitIsShortest(t *testing.T) {
	for range 20 {
		cluster := newCluster(t, 3, 0)
		cluster.acceptArray(1)
		for i, fullS := range []float64{600, 0.9, 0.1} {
			cluster.sendHeartbeat(i, fullS)
		}
		cluster.scheduler.Pass()
		if refs := cluster.scheduler.PlacementsOf("j-1"); len(refs) != 1 || refs[0].Worker != cluster.views[2].Name {
			t.Fatalf("queued on %v, and not on %s", refs, cluster.views[2].Name)
		}
	}
}
