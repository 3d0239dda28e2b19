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

// A task may be queued on two workers whose tasks run far longer than estimated, so that
// neither queue makes progress. It must then be placed on a third worker that has free
// resources, instead of waiting indefinitely while workers are idle.
func TestTaskStuckInTwoQueuesIsPlacedOnThirdWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 2, 0)
		stop := cluster.run()
		// observe sends heartbeats of workers that are full for fullS seconds each. The third
		// worker joins later and is idle.
		observe := func(fullS ...float64) {
			for i, seconds := range fullS {
				if i == len(cluster.views) {
					cluster.addWorker("n-000009", "z")
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
		for range 6 { // the queue moves more slowly than estimated, and the other worker has a shorter wait
			if cluster.views[0].Name == first.Worker {
				observe(600, 0.2)
			} else {
				observe(0.2, 600)
			}
		}
		if n := len(cluster.scheduler.PlacementsOf("j-1")); n != 2 {
			t.Fatalf("the task is queued on %d workers", n)
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
			t.Errorf("the task is queued at %v although a worker is idle", cluster.scheduler.PlacementsOf("j-1"))
		}
		stop()
	})
}

// A worker's heartbeats reach one dispatcher and then another, which still has the task in its
// queue. If the task was reported as running and was lost with the worker's lease, or if its
// start was granted and can no longer take effect, the worker's heartbeats show that, and the
// task must be placed on another worker. Otherwise a lost task counts as running, or an
// ineffective grant as granted, for as long as other tasks occupy the worker.
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
			} // else the scheduler instructs the dispatcher to raise the token after a while
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
				t.Errorf("ran: %v; after the task was lost or not started on %v, it is placed at %v", ran, ref, refs)
			}
			stop()
		})
	}
}

// Jobs with equal requirements share the candidate workers that a pass finds for them. A job
// that fits no worker must not hide the candidates from other jobs of the same size.
func TestJobsShareCandidatesOnlyIfRequirementsAreEqual(t *testing.T) {
	const tasks = 5 // of each job
	for _, c := range []struct {
		name    string
		workers int
		passes  int // until all tasks that fit are placed
	}{
		{"all workers are candidates", 60, 1},
		// The jobs' samples may overlap; each pass places at least one more task of a job.
		{"sampled workers are candidates", 90, tasks},
	} {
		t.Run(c.name, func(t *testing.T) {
			cluster := newCluster(t, c.workers, 0)
			elsewhere := "y"
			for i, job := range []wire.Job{{Types: []string{"x"}}, {Zone: &elsewhere}, {Spot: false}, {Spot: true}, {Types: []string{"m"}, Spot: true}} {
				job.UID, job.Class, job.Team, job.Kind, job.Priority = fmt.Sprintf("j-%d", i), "c", "t", wire.KindArray, "normal"
				job.Tasks, job.CPUs, job.MemoryGB, job.Image, job.EstimateS = tasks, 2, 1, "i", 30
				cluster.scheduler.JobAccepted(&job, nil, 0, int64(i), uint64(i+1))
			}
			for range c.passes {
				cluster.scheduler.Pass()
				if pending := cluster.scheduler.QueueDepths()["pending"]; pending < 2*tasks {
					t.Fatalf("%d tasks wait, want the %d that fit no worker", pending, 2*tasks)
				}
			}
			if pending := cluster.scheduler.QueueDepths()["pending"]; pending != 2*tasks {
				t.Errorf("%d tasks wait after %d passes, want only the %d that fit no worker", pending, c.passes, 2*tasks)
			}
		})
	}
}

// A placement that a leader has just made on a worker of a peer's dispatcher reserves resources
// there, even if a view arrives that the dispatcher made before it received the instructions.
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
			t.Error("the resources reserved for the first job are assigned again")
		}
		ref := cluster.scheduler.PlacementsOf("j-1")[0]
		if !cluster.scheduler.GrantAll([]dispatch.GrantRequest{{TaskRef: ref, Dispatcher: "b", Token: 7, Session: 1}})[0].OK {
			t.Fatal("not granted")
		}
		observeIdle()
		time.Sleep(300 * time.Millisecond)
		if cluster.scheduler.PlacedTasks("j-2") != 0 {
			t.Error("the resources of the first job, whose start was just granted, are assigned again")
		}
		stop()
	})
}
