package dispatch_test

import (
	"testing"

	"github.com/wallrack/wallrack/internal/wire"
)

// A worker that is drained here and then reports elsewhere for a while may come back with tasks. If it
// stayed drained, its free resources would be lost for as long as these tasks run.
func TestDrainEndsWhenAnotherDispatcherHasStartedTasks(t *testing.T) {
	s := &stub{token: 5}
	d := newDispatcher(t.Context(), s)
	draining := func(seq uint64, tasks ...wire.Task) bool {
		d.HandleReport(t.Context(), report(seq, 5, tasks...))
		return d.WorkerViews()[0].Draining
	}
	exited := wire.Task{Task: "j-1/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseDone}
	running := wire.Task{Task: "j-2/0", Attempt: 1, State: wire.TaskRunning}
	draining(1)
	if !d.Drain("n-1") {
		t.Fatal("not drained")
	}
	if !draining(2) || !draining(3, exited) {
		t.Error("the drain ended although no task runs")
	}
	if draining(4, exited, running) || draining(5) {
		t.Error("the worker is still drained after another dispatcher started a task")
	}
}
