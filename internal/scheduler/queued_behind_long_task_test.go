package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// A task is queued on a worker whose tasks run a thousand times longer than estimated, and a
// duplicate of it is to go to a worker with free resources. If in each pass the tasks of a
// later job take all free resources before the pass looks for duplicates, the task waits for
// minutes although it is first in line and later tasks start every second.
// TestTenCrashesInOneStateStoreOutage reaches this situation after an outage in one seed of
// ten; it counts tasks behind long-running ones separately.

// A queued task whose wait has turned out much longer than planned gets free resources before
// tasks that come later in line.
func TestTaskQueuedBehindLongTasksIsPlacedBeforeLaterJobs(t *testing.T) {
	const long, busy, allowedS = 0, 1, 90 // indices of workers, and how long in seconds a job may wait despite free resources
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 2, 0)
		stop := cluster.run()
		defer stop()
		cluster.acceptArray(1)
		for range 3 {
			cluster.sendHeartbeat(long, 0.2)
			cluster.sendHeartbeat(busy, 600)
			time.Sleep(time.Second)
		}
		refs := cluster.scheduler.PlacementsOf("j-1")
		if len(refs) != 1 || refs[0].Worker != cluster.views[long].Name {
			t.Fatalf("queued on %v", refs)
		}
		cluster.scheduler.JobAccepted(&wire.Job{
			UID: "j-2", Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 5000,
			CPUs: 2, MemoryGB: 1, EstimateS: 5, Spot: true,
		}, nil, 0, time.Now().UnixMilli(), 2)
		started := 0
		for second := range allowedS {
			var done []dispatch.TaskView // tasks that started on the busy worker a second ago
			for _, ref := range cluster.scheduler.PlacementsOf("j-2") {
				granted := ref.Worker == cluster.views[busy].Name &&
					cluster.scheduler.GrantLocal(dispatch.GrantRequest{TaskRef: ref, Dispatcher: "a", Token: 7, Session: 1}).OK
				if granted {
					started++
					done = append(done, dispatch.TaskView{Task: wire.Task{Task: ref.Task, Attempt: ref.Attempt, State: wire.TaskExited, Cause: wire.CauseDone}})
				}
			}
			cluster.sendHeartbeat(long, float64(second))
			cluster.sendHeartbeat(busy, 0, done...)
			time.Sleep(time.Second)
			for _, ref := range cluster.scheduler.PlacementsOf("j-1") {
				if ref.Worker == cluster.views[busy].Name {
					t.Logf("placed on the other worker after %d s, after %d starts of later tasks", second, started)
					return
				}
			}
		}
		t.Errorf("after %d s the task is still queued at %v, while %d later tasks started elsewhere", allowedS, cluster.scheduler.PlacementsOf("j-1"), started)
	})
}
