package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// A leader without a lease must not halt or clear tasks that it does not know. A leader that is
// cut off from the state service would otherwise halt and clear tasks that its successor has
// started on workers whose heartbeats still reach the old leader. The successor could then
// never settle some of them, and their jobs would never end.
func TestUnknownTasksAreNotHaltedOrClearedWithoutLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1, 0)
		time.Sleep(time.Minute)
		observe := func(state, cause string) {
			view := &cluster.views[0]
			view.Seq++
			view.Tasks = []dispatch.TaskView{{Task: wire.Task{Task: "j-9/0", Attempt: 1, State: state, Cause: cause}}}
			cluster.scheduler.ObserveWorker(*view)
		}
		cluster.leaseRemaining = 0
		observe(wire.TaskRunning, "")
		observe(wire.TaskExited, wire.CauseError)
		if halts, clears := cluster.scheduler.OutboxCounts(); halts+clears != 0 {
			t.Errorf("%d halts and %d clears without the lease", halts, clears)
		}
		cluster.leaseRemaining = time.Minute
		observe(wire.TaskExited, wire.CauseError)
		if _, clears := cluster.scheduler.OutboxCounts(); clears != 1 {
			t.Error("the unknown task is not cleared although the lease holds")
		}
	})
}
