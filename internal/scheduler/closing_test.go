package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// A closing machine that a task which can't be moved occupies for long takes tasks that end
// well before it, and no others; one that empties soon takes none.
func TestClosingMachineTakesOnlyTasksThatEndBeforeItIsEmpty(t *testing.T) {
	for _, c := range []struct {
		name            string
		occupied, takes float64 // seconds that the occupying task takes, and the other one
		closing, placed bool    // whether the machine is closing, and gets the other task
	}{
		{"ends before", 300, 20, true, true},
		{"ends after", 300, 400, true, false},
		{"ends just before", 300, 280, true, false},
		{"empty soon", 14, 1, true, false},
		{"not closing", 300, 400, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 1, 0)
				// A job without aims: its tasks aren't stopped once they run.
				f.owner.JobAccepted(&wire.Job{
					UID: "j-1", Class: "long", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 1, CPUs: 8,
					MemoryGB: 1, Estimate: c.occupied, Spot: true,
				}, nil, 0, time.Now().UnixMilli(), 1)
				f.show(0, 0)
				f.owner.Pass()
				if err := f.owner.Record(t.Context()); err != nil {
					t.Fatal(err)
				}
				first := f.owner.PlacesOf("j-1")
				if len(first) != 1 {
					t.Fatalf("the occupying task is placed at %v", first)
				}
				if !f.owner.GrantLocal(dispatch.GrantRequest{TaskRef: first[0], Holder: "a", Token: 7, Session: 1}).OK {
					t.Fatal("not granted")
				}
				show := func() {
					v := &f.views[0]
					v.Seq++
					v.Tasks = []dispatch.TaskView{{Task: wire.Task{Task: first[0].Task, Attempt: first[0].Attempt, State: wire.TaskRunning}}}
					v.Matrix = matching.NewWaitMatrix(matching.Resources{CPUs: size.CPUs, MemoryGB: size.MemoryGB},
						[]matching.Allocation{{Resources: matching.Resources{CPUs: 8, MemoryGB: 1}, RemainingS: c.occupied}}, nil)
					f.owner.ObserveWorker(*v)
				}
				show()
				f.owner.SetCordoned(map[string]bool{f.views[0].Name: c.closing})
				f.owner.JobAccepted(&wire.Job{
					UID: "j-2", Class: "short", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 1, CPUs: 2,
					MemoryGB: 1, Estimate: c.takes, Spot: true,
				}, nil, 0, time.Now().UnixMilli(), 2)
				f.owner.Pass()
				if placed := f.owner.Placed("j-2") > 0; placed != c.placed {
					t.Errorf("placed: %v", placed)
				}
			})
		})
	}
}
