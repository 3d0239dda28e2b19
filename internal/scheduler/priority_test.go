package scheduler_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/wire"
)

// Only a job at risk of missing its objective may preempt other tasks. If an objective for
// starts with a distant limit (100 s) made every job of its class preempt work of lower
// priority at once, most started tasks (three in five) would have to start again.
func TestOnlyJobAtRiskOfMissingObjectivePreempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1, 0)
		cluster.platform.Params.Objectives = []config.Objective{{Kind: "wait", Class: "quote", WithinS: 100, Share: 0.9}}
		now := time.Now().UnixMilli()
		cluster.scheduler.JobAccepted(&wire.Job{UID: "j-1", Class: "study", Team: "t", Kind: wire.KindArray, Priority: "low", Tasks: 2, CPUs: 8, EstimateS: 300, Spot: true}, nil, 0, now, 1)
		cluster.sendRunning(0)
		cluster.scheduler.Pass()
		tasks := []string{wire.TaskName("j-1", 0), wire.TaskName("j-1", 1)}
		for i, task := range tasks {
			cluster.grant(task, uint64(i+1))
		}
		cluster.sendRunning(16, tasks...)
		cluster.scheduler.JobAccepted(&wire.Job{UID: "j-2", Class: "quote", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 1, CPUs: 8, EstimateS: 300, Spot: true}, nil, 0, now, 2)
		preempted := func() int {
			cluster.sendRunning(16, tasks...)
			cluster.scheduler.OutboxCounts()
			cluster.scheduler.Pass()
			halts, _ := cluster.scheduler.OutboxCounts()
			return halts
		}
		time.Sleep(20 * time.Second)
		if n := preempted(); n != 0 {
			t.Errorf("%d tasks preempted 80 s before the objective's limit", n)
		}
		time.Sleep(75 * time.Second)
		if preempted() == 0 {
			t.Error("no task preempted 5 s before the objective's limit")
		}
	})
}

// Jobs that can't meet their deadline are placed after jobs of the same priority that can, and
// never before work of higher priority. If under overload the jobs of one priority were placed
// in the order of their deadlines, nearly all would be slightly late (a share of 0.14 on time).
func TestJobsThatCanMeetTheirDeadlineArePlacedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 10, 0) // 160 CPUs, free resources for one task on each worker
		due := 60.0
		add := func(uid, priority string, tasks int, age time.Duration) {
			job := wire.Job{UID: uid, Class: "c", Team: "t", Kind: wire.KindArray, Priority: priority, Tasks: tasks, CPUs: 4, EstimateS: 20, Spot: true, DueS: &due}
			cluster.revision++
			cluster.scheduler.JobAccepted(&job, nil, 0, time.Now().Add(-age).UnixMilli(), cluster.revision)
		}
		add("j-over", "normal", 12, 70*time.Second)   // its deadline has passed
		add("j-large", "normal", 400, 20*time.Second) // earliest deadline, but too much work to meet it
		add("j-small", "normal", 4, 0)
		add("j-urgent", "urgent", 3, 70*time.Second)
		cluster.scheduler.Pass()
		got := map[string]int{}
		for _, uid := range []string{"j-over", "j-large", "j-small", "j-urgent"} {
			got[uid] = cluster.scheduler.PlacedTasks(uid)
		}
		if got["j-urgent"] != 3 || got["j-small"] != 4 || got["j-over"]+got["j-large"] != 3 {
			t.Errorf("placed: %v", got)
		}
	})
}

// Every job must begin within four minutes, including the largest job of the lowest priority,
// even while more urgent work could fill all workers indefinitely. After two minutes the job's
// first task, and only that one, is placed before all others.
func TestLongWaitingJobBeginsBeforeUrgentWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 10, 0) // free resources for one task of 4 CPUs on each worker
		add := func(uid, priority string, tasks int, age time.Duration) {
			job := wire.Job{UID: uid, Class: "c" + priority, Team: "t", Kind: wire.KindArray, Priority: priority, Tasks: tasks, CPUs: 4, EstimateS: 20, Spot: true}
			cluster.revision++
			cluster.scheduler.JobAccepted(&job, nil, 0, time.Now().Add(-age).UnixMilli(), cluster.revision)
		}
		for i := range 12 {
			add(fmt.Sprintf("j-small%d", i), "low", 2, 10*time.Second)
		}
		add("j-largest", "low", 900, 3*time.Minute)
		add("j-later", "low", 900, time.Minute)
		add("j-urgent", "urgent", 500, 0)
		cluster.scheduler.Pass()
		if large, later, urgent := cluster.scheduler.PlacedTasks("j-largest"), cluster.scheduler.PlacedTasks("j-later"), cluster.scheduler.PlacedTasks("j-urgent"); large != 1 || later != 0 || urgent != 9 {
			t.Errorf("placed tasks: %d of the largest job, %d of a younger one, %d of the urgent one", large, later, urgent)
		}
		served := cluster.scheduler.Served()
		if s := served["class"]["clow"]; s.Offered != 14 || s.Started != 0 || s.Waiting != 14 {
			t.Errorf("served by class: %+v", s)
		}
		if s := served["largest"]["clow"]; s.Offered < 1 || s.Offered > 4 {
			t.Errorf("served of the largest jobs: %+v", s)
		}
		if s := served["team"]["t"]; s.Offered != 15 {
			t.Errorf("served by team: %+v", s)
		}
	})
}
