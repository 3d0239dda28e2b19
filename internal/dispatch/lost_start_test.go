package dispatch_test

import (
	"testing"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// A task whose start command was lost waits behind long tasks that have since taken its resources.
// If it still counted as starting, its expected wait would be about 0, and its leader would find
// no better worker for it.
func TestLostStartQueuesBehindRunningTasks(t *testing.T) {
	s := &stub{token: 5, respond: func(wire.PushedCommands) (*wire.Report, bool, error) { return nil, false, dispatch.ErrNotSent }}
	d := newDispatcher(t.Context(), s)
	d.HandleReport(t.Context(), report(1, 5))
	d.ApplyInstructions(dispatch.Instructions{From: "a", Assign: []dispatch.QueueEntry{entry(1)}})
	d.Wait()
	if _, body := d.HandleReport(t.Context(), report(2, 5)); countVerb(body, wire.VerbStart) != 1 {
		t.Fatalf("no start: %+v", body)
	}
	// The response is lost, and other controllers start tasks that fill the worker.
	const tasks = 4
	others := make([]wire.Task, 0, tasks)
	entries := make([]dispatch.QueueEntry, 0, tasks)
	for i := range tasks {
		other := entry(9)
		other.Task, other.RunS = wire.TaskName("j-2", i), 600
		entries = append(entries, other)
		others = append(others, wire.Task{Task: other.Task, Attempt: other.Attempt, State: wire.TaskRunning})
	}
	d.HandleReport(t.Context(), report(3, 5, others...))
	d.ApplyInstructions(dispatch.Instructions{From: "a", Assign: entries})
	d.Wait()
	_, body := d.HandleReport(t.Context(), report(4, 5, others...))
	view := s.views[len(s.views)-1]
	if countVerb(body, wire.VerbStart) != 0 || len(view.Queue) != 1 || view.Queue[0].WaitS < 100 || view.Queue[0].Unsent {
		t.Errorf("queued behind tasks of 10 minutes: %+v, %+v", body, view.Queue)
	}
	if free := view.Matrix[0].Free.CPUs; free != 0 {
		t.Errorf("%v CPUs are free on a full worker", free)
	}
}
