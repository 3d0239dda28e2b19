package scheduler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// A task whose two queues both make no progress, behind tasks that run far longer than
// estimated, is placed on a third worker when that has free resources. It waited for ever, next
// to idle workers.
func TestTaskStuckInTwoQueuesIsPlacedOnThirdWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 2, 0)
		stop := cluster.run()
		// Workers are full for so many seconds; a third one comes later, and is idle.
		observe := func(fullS ...float64) {
			for i, seconds := range fullS {
				if i == len(cluster.views) {
					cluster.views = append(cluster.views, dispatch.WorkerView{Name: "n-000009", Type: "m", Zone: "z", Spot: true, Session: 1, Token: 7, Dispatcher: "a"})
				}
				cluster.sendHeartbeat(i, seconds)
			}
			time.Sleep(time.Second)
			cluster.scheduler.Pass()
		}
		cluster.acceptArray(1)
		observe(0.2, 0.2)
		observe(0.2, 0.2)
		first := cluster.scheduler.PlacementsOf("j-1")[0]
		for range 6 { // its queue takes longer than estimated, and the other worker looks better
			if cluster.views[0].Name == first.Worker {
				observe(600, 0.2)
			} else {
				observe(0.2, 600)
			}
		}
		if n := len(cluster.scheduler.PlacementsOf("j-1")); n != 2 {
			t.Fatalf("the task waits on %d workers", n)
		}
		for range 20 {
			observe(600, 600)
		}
		for range 10 {
			observe(600, 600, 0)
		}
		found := false
		for _, ref := range cluster.scheduler.PlacementsOf("j-1") {
			found = found || ref.Worker == "n-000009"
		}
		if !found {
			t.Errorf("next to an idle worker the task waits at %v", cluster.scheduler.PlacementsOf("j-1"))
		}
		stop()
	})
}

// A worker's heartbeats reach one dispatcher and then another, which has its task queued still.
// If the task was seen running and was lost with the worker's lease, or if its start was granted
// and surely had no effect, the worker's heartbeats show it, and the task is placed elsewhere.
// The first was taken as running for ever, the second as granted for ever, behind tasks that ran
// for long.
func TestTaskWithLostStartQueuedAtOtherDispatcherIsPlacedElsewhere(t *testing.T) {
	for _, c := range []struct{ ran, raised bool }{{true, true}, {false, true}, {false, false}} {
		ran := c.ran
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster(t, 1, 0)
			stop := cluster.run()
			observe := func(i int, fullS float64, tasks ...dispatch.TaskView) {
				cluster.sendHeartbeat(i, fullS, tasks...)
				time.Sleep(time.Second)
				cluster.scheduler.Pass()
			}
			cluster.acceptArray(1)
			observe(0, 0.2)
			observe(0, 0.2)
			ref := cluster.scheduler.PlacementsOf("j-1")[0]
			if !cluster.scheduler.GrantLocal(dispatch.GrantRequest{TaskRef: ref, Dispatcher: "a", Token: 7, Session: 1}).OK {
				t.Fatal("not granted")
			}
			cluster.views[0].Dispatcher = "b"
			if ran {
				observe(0, 5, dispatch.TaskView{Task: wire.Task{Task: ref.Task, Attempt: ref.Attempt, State: wire.TaskRunning}})
				cluster.views[0].Session++
			}
			cluster.views[0].Dispatcher = "a"
			if c.raised {
				cluster.views[0].Token = 9
			} // else the scheduler instructs to raise it, after a while
			cluster.views = append(cluster.views, dispatch.WorkerView{Name: "n-000009", Type: "m", Zone: "z", Spot: true, Session: 1, Token: 9, Dispatcher: "a"})
			for range 24 {
				observe(0, 600)
				if cluster.raiseTokenAbove > 0 {
					cluster.views[0].Token = cluster.raiseTokenAbove + 1
				}
				observe(1, 0.1)
			}
			refs := cluster.scheduler.PlacementsOf("j-1")
			if last := len(refs) - 1; last < 0 || refs[last].Worker != "n-000009" || ran && refs[0] == ref {
				t.Errorf("ran %v: lost, or never begun, on %v, it waits at %v", ran, ref, refs)
			}
			stop()
		})
	}
}

// Jobs that are alike share the candidate workers that a pass found for them; a job that may run
// nowhere must not take them from others of the same size.
func TestJobsShareCandidatesOnlyIfRequirementsAreEqual(t *testing.T) {
	cluster := newCluster(t, 90, 0)
	elsewhere := "y"
	for i, job := range []wire.Job{{Types: []string{"x"}}, {Zone: &elsewhere}, {Spot: false}, {Spot: true}, {Types: []string{"m"}, Spot: true}} {
		job.UID, job.Class, job.Team, job.Kind, job.Priority = fmt.Sprintf("j-%d", i), "c", "t", wire.KindArray, "normal"
		job.Tasks, job.CPUs, job.MemoryGB, job.Image, job.EstimateS = 5, 2, 1, "i", 30
		cluster.scheduler.JobAccepted(&job, nil, 0, int64(i), uint64(i+1))
	}
	cluster.scheduler.Pass()
	if pending := cluster.scheduler.QueueDepths()["pending"]; pending != 10 {
		t.Errorf("%d tasks wait, and not the 10 that may run nowhere", pending)
	}
}

// What a leader has just placed on a worker of a peer's dispatcher takes resources there,
// although a view arrives that was made before the dispatcher got the instructions.
func TestOwnPlacementReservesResourcesDespiteOlderView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1, 0)
		stop := cluster.run()
		observeIdle := func() {
			view := &cluster.views[0]
			view.Seq++
			view.Dispatcher = "b"
			view.Matrix = matching.NewWaitMatrix(matching.Resources{CPUs: machineType.CPUs, MemoryGB: machineType.MemoryGB}, nil, nil)
			cluster.scheduler.ObserveWorker(*view)
		}
		submit := func(uid string) {
			cluster.scheduler.JobAccepted(&wire.Job{UID: uid, Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 1, CPUs: machineType.CPUs, MemoryGB: 1, EstimateS: 30, Spot: true},
				nil, 0, time.Now().UnixMilli(), 1)
		}
		observeIdle()
		submit("j-1")
		time.Sleep(300 * time.Millisecond)
		if cluster.scheduler.PlacedTasks("j-1") != 1 {
			t.Fatal("the first job is not placed")
		}
		observeIdle()
		submit("j-2")
		time.Sleep(300 * time.Millisecond)
		if cluster.scheduler.PlacedTasks("j-2") != 0 {
			t.Error("the resources of the first job are given away again")
		}
		ref := cluster.scheduler.PlacementsOf("j-1")[0]
		if !cluster.scheduler.GrantAll([]dispatch.GrantRequest{{TaskRef: ref, Dispatcher: "b", Token: 7, Session: 1}})[0].OK {
			t.Fatal("no grant")
		}
		observeIdle()
		time.Sleep(300 * time.Millisecond)
		if cluster.scheduler.PlacedTasks("j-2") != 0 {
			t.Error("the resources of the first job, which was just granted, are given away again")
		}
		stop()
	})
}
