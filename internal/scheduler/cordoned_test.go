package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// A cordoned worker that is occupied for long by a task which can't be moved gets only tasks
// that end well before that task. A worker that will be empty soon gets none.
func TestCordonedWorkerTakesOnlyTasksThatEndBeforeItIsEmpty(t *testing.T) {
	for _, c := range []struct {
		name             string
		occupiedS, takeS float64 // estimated run times in seconds of the occupying task and of the other task
		cordoned, placed bool    // whether the worker is cordoned, and whether it gets the other task
	}{
		{"ends before", 300, 20, true, true},
		{"ends after", 300, 400, true, false},
		{"ends just before", 300, 280, true, false},
		{"empty soon", 14, 1, true, false},
		{"not cordoned", 300, 400, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(t, 1, 0)
				// The job has no objective, so its tasks aren't preempted once they run.
				cluster.scheduler.JobAccepted(&wire.Job{
					UID: "j-1", Class: "long", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 1, CPUs: 8,
					MemoryGB: 1, EstimateS: c.occupiedS, Spot: true,
				}, nil, 0, time.Now().UnixMilli(), 1)
				cluster.sendHeartbeat(0, 0)
				cluster.scheduler.Pass()
				if err := cluster.scheduler.WriteAll(t.Context()); err != nil {
					t.Fatal(err)
				}
				first := cluster.scheduler.PlacementsOf("j-1")
				if len(first) != 1 {
					t.Fatalf("the occupying task is placed at %v", first)
				}
				if !cluster.scheduler.GrantLocal(dispatch.GrantRequest{TaskRef: first[0], Dispatcher: "a", Token: 7, Session: 1}).OK {
					t.Fatal("not granted")
				}
				observe := func() {
					view := &cluster.views[0]
					view.Seq++
					view.Tasks = []dispatch.TaskView{{Task: wire.Task{Task: first[0].Task, Attempt: first[0].Attempt, State: wire.TaskRunning}}}
					view.Matrix = matching.NewWaitMatrix(matching.Resources{CPUs: machineType.CPUs, MemoryGB: machineType.MemoryGB},
						[]matching.Allocation{{Resources: matching.Resources{CPUs: 8, MemoryGB: 1}, RemainingS: c.occupiedS}}, nil)
					cluster.scheduler.ObserveWorker(*view)
				}
				observe()
				cluster.scheduler.SetCordoned(map[string]bool{cluster.views[0].Name: c.cordoned})
				cluster.scheduler.JobAccepted(&wire.Job{
					UID: "j-2", Class: "short", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 1, CPUs: 2,
					MemoryGB: 1, EstimateS: c.takeS, Spot: true,
				}, nil, 0, time.Now().UnixMilli(), 2)
				cluster.scheduler.Pass()
				if placed := cluster.scheduler.PlacedTasks("j-2") > 0; placed != c.placed {
					t.Errorf("the other task is placed: %v", placed)
				}
			})
		})
	}
}
