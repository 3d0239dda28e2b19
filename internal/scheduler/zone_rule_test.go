package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// While a replica waits for a machine in another zone, no room may be reserved for it where the zone
// rule of its service forbids it: work of lower priority would wait beside free room for as long.
func TestNoRoomIsReservedWhereZoneRuleForbidsTheTask(t *testing.T) {
	for name, rule := range map[string]wire.Job{"spread": {Spread: true}, "one zone": {OneZone: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(t, 1, 0)
				cluster.sendRunning(0)
				now := time.Now().UnixMilli()
				service := rule
				service.UID, service.Class, service.Team, service.Kind, service.Priority = "j-1", "c", "t", wire.KindService, "urgent"
				service.Tasks, service.CPUs, service.Spot = 2, 8, true
				if service.OneZone {
					service.CPUs = 9
				}
				cluster.scheduler.JobAccepted(&service, nil, 0, now, 1)
				cluster.scheduler.Pass()
				ref := cluster.scheduler.PlacementsOf("j-1")[0]
				cluster.grant(ref.Task, ref.Attempt)
				cluster.sendRunning(service.CPUs, ref.Task)
				if service.OneZone { // the free worker is in another zone
					cluster.addWorker("n-000009", "y")
					cluster.sendHeartbeat(1, 0)
				}
				cluster.scheduler.JobAccepted(&wire.Job{UID: "j-2", Class: "c", Team: "t", Kind: wire.KindArray, Priority: "low", Tasks: 1, CPUs: 8, EstimateS: 30, Spot: true}, nil, 0, now, 2)
				cluster.scheduler.Pass()
				if n := cluster.scheduler.PlacedTasks("j-1"); n != 1 {
					t.Errorf("%d replicas are placed", n)
				}
				if cluster.scheduler.PlacedTasks("j-2") != 1 {
					t.Error("the job of lower priority is not placed although a worker has room")
				}
			})
		})
	}
}

// Preemption must not place more tasks of a job on a worker than its zone rule allows: the work
// stopped for the others would be wasted, and they would wait for a grant that is refused.
func TestPreemptionPlacesOnlyTasksThatZoneRuleAllows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1, 0)
		cluster.platform.Params.Objectives = []config.Objective{{Kind: "wait", Class: "quote", WithinS: 10, Share: 0.9}}
		now := time.Now().UnixMilli()
		cluster.sendRunning(0)
		cluster.scheduler.JobAccepted(&wire.Job{UID: "j-1", Class: "study", Team: "t", Kind: wire.KindArray, Priority: "low", Tasks: 2, CPUs: 8, EstimateS: 300, Spot: true}, nil, 0, now, 1)
		cluster.scheduler.Pass()
		tasks := []string{wire.TaskName("j-1", 0), wire.TaskName("j-1", 1)}
		for i, task := range tasks {
			cluster.grant(task, uint64(i+1))
		}
		cluster.sendRunning(16, tasks...)
		cluster.scheduler.OutboxCounts()
		cluster.scheduler.JobAccepted(&wire.Job{UID: "j-2", Class: "quote", Team: "t", Kind: wire.KindArray, Priority: "urgent", Tasks: 2, CPUs: 8, EstimateS: 300, Spread: true, Spot: true}, nil, 0, now, 2)
		time.Sleep(time.Second)
		cluster.sendRunning(16, tasks...)
		cluster.scheduler.Pass()
		halts, _ := cluster.scheduler.OutboxCounts()
		if placed := cluster.scheduler.PlacedTasks("j-2"); placed != 1 || halts != 1 {
			t.Errorf("%d tasks are placed and %d stopped in the only zone, in which one may run", placed, halts)
		}
	})
}

// A duplicate of a queued task may start in another zone than the one in which the job's other tasks
// are queued. If all must be in one zone, those are never granted, and must not stay queued beside
// free room that they may not use.
func TestTaskQueuedInZoneThatItsJobHasLeftIsPlacedInItsZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1, 0)
		stop := cluster.run()
		defer stop()
		cluster.addWorker("n-000001", "z")
		// observe sends heartbeats of workers that are full for fullS seconds each.
		observe := func(fullS ...float64) {
			for i, seconds := range fullS {
				cluster.sendHeartbeat(i, seconds)
			}
			time.Sleep(time.Second)
			cluster.scheduler.Pass()
		}
		cluster.scheduler.JobAccepted(&wire.Job{
			UID: "j-1", Class: "c", Team: "t", Kind: wire.KindService, Priority: "normal", Tasks: 2, CPUs: 9, OneZone: true, Spot: true,
		}, nil, 0, time.Now().UnixMilli(), 1)
		observe(0.2, 0.2)
		cluster.addWorker("n-000002", "y")
		for range 20 {
			observe(600, 0.2, 0)
		}
		duplicates := cluster.placementsOn("n-000002")
		if len(duplicates) != 1 || len(cluster.placementsOn("n-000001")) != 1 {
			t.Fatalf("queued at %v", cluster.scheduler.PlacementsOf("j-1"))
		}
		started := duplicates[0]
		cluster.scheduler.GrantLocal(dispatch.GrantRequest{TaskRef: started, Token: 7, Session: 1})
		cluster.addWorker("n-000003", "y")
		for range 120 {
			observe(0, 0, 600, 0)
		}
		if on := cluster.placementsOn("n-000003"); len(on) != 1 || on[0].Task == started.Task {
			t.Errorf("queued at %v, want the task that does not run on n-000003", cluster.scheduler.PlacementsOf("j-1"))
		}
	})
}
