package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// A dispatcher reports that it doesn't know the resources of a task that runs on one of its
// workers: it received an old heartbeat, without the task, when the task was assigned. The
// leader must repeat the assignment at intervals until the dispatcher knows the task.
func TestTaskUnknownToDispatcherIsAssignedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1, 0)
		stop := cluster.run()
		cluster.acceptArray(1)
		for range 2 {
			cluster.sendHeartbeat(0, 0.2)
			time.Sleep(time.Second)
		}
		ref := cluster.scheduler.PlacementsOf("j-1")[0]
		if !cluster.scheduler.GrantLocal(dispatch.GrantRequest{TaskRef: ref, Dispatcher: "a", Token: 7, Session: 1}).OK {
			t.Fatal("not granted")
		}
		running := dispatch.TaskView{Task: wire.Task{Task: ref.Task, Attempt: ref.Attempt, State: wire.TaskRunning}}
		assigned := func(unknown bool) int64 {
			before := cluster.reportedAssignments.Load()
			running.ResourcesUnknown = unknown
			for range 12 {
				cluster.sendHeartbeat(0, 3, running)
				time.Sleep(time.Second)
			}
			return cluster.reportedAssignments.Load() - before
		}
		if n := assigned(false); n > 0 {
			t.Errorf("a task that the dispatcher knows was assigned %d times", n)
		}
		if n := assigned(true); n < 3 || n > 6 {
			t.Errorf("a task that the dispatcher does not know was assigned %d times in 12 s", n)
		}
		if n := assigned(false); n > 0 {
			t.Errorf("the task was assigned %d more times after the dispatcher knew it", n)
		}
		stop()
	})
}
