package testkit_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// maxZonedWait is how long a job may wait, once faults are over, while a worker can run its task.
const maxZonedWait = 90 * time.Second

// zonedJob is a job with a zone constraint and the progress of its tasks.
type zonedJob struct {
	wire.Job
	done         map[string]bool
	waitingSince time.Time // start of the time in which a task waits although a worker can run it; zero if none does
}

// zonedCluster is a cluster that checks each task start against its job's zone constraint.
type zonedCluster struct {
	*cluster
	jobs         map[string]*zonedJob
	startsByZone map[string]int // starts of tasks of zoned jobs, by zone
}

func (z *zonedCluster) submitZoned(job *wire.Job) {
	job.Class, job.Team, job.Priority, job.CPUs, job.MemoryGB = "c", "t", "normal", 1, 1
	job.Image, job.ImageGB, job.EstimateS, job.Spot, job.Kind = "i", 0.1, 4, true, wire.KindArray
	guards, ops := jobrecord.AcceptanceTxn(job, nil, jobrecord.HashShard(job, nil, 4), time.Now().UnixMilli())
	if _, err := (&testkit.View{Store: z.store}).Txn(context.Background(), guards, ops...); err != nil {
		z.t.Fatal(err)
	}
	z.mu.Lock()
	z.jobs[job.UID] = &zonedJob{Job: *job, done: map[string]bool{}}
	z.mu.Unlock()
}

// tasksByZone is runningByZone for all tasks, for callers that do not hold the cluster's lock.
func (w *cluster) tasksByZone(uid string) map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runningByZone(uid, "")
}

// runningByZone returns the number of a job's tasks on workers in each zone, excluding one task. The
// caller holds the cluster's lock.
func (w *cluster) runningByZone(uid, except string) map[string]int {
	zones := map[string]int{}
	for _, k := range w.workers {
		for _, task := range k.UnfinishedTasks() {
			if strings.HasPrefix(task, uid+"/") && task != except {
				zones[k.Zone]++
			}
		}
	}
	return zones
}

// constraintViolation returns why a task of the job must not start in a zone now, or "" if it may.
func (z *zonedCluster) constraintViolation(job *zonedJob, task, zone string) string {
	on := z.runningByZone(job.UID, task)
	switch {
	case job.Zone != nil && *job.Zone != zone:
		return "its job is bound to " + *job.Zone
	case job.OneZone && len(on) > 0 && on[zone] == 0:
		return fmt.Sprintf("its job's other tasks are in %v", on)
	case job.Spread && on[zone]+1 > (job.Tasks+1)/2:
		return fmt.Sprintf("%d of %d tasks are there", on[zone], job.Tasks)
	}
	return ""
}

// checkZonedStart checks a task's start on a worker. The caller holds the cluster's lock.
func (z *zonedCluster) checkZonedStart(k *testkit.Worker, task string, _ uint64) {
	uid, _, _ := strings.Cut(task, "/")
	job := z.jobs[uid]
	if job == nil {
		return
	}
	z.startsByZone[k.Zone]++
	job.waitingSince = time.Time{}
	if why := z.constraintViolation(job, task, k.Zone); why != "" {
		z.fail("%s starts on %s in zone %s: %s", task, k.Name, k.Zone, why)
	}
}

// checkZonedWaits fails if a job has waited for too long although a worker can run its task. Call
// it only when no fault is active.
func (z *zonedCluster) checkZonedWaits() {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, job := range z.jobs {
		running := 0
		for _, n := range z.runningByZone(job.UID, "") {
			running += n
		}
		workerWithRoom := ""
		for _, k := range z.workers {
			if len(k.UnfinishedTasks()) < int(z.machineTypes) && z.constraintViolation(job, "", k.Zone) == "" {
				workerWithRoom = k.Name
			}
		}
		switch {
		case running+len(job.done) >= job.Tasks || workerWithRoom == "":
			job.waitingSince = time.Time{}
		case job.waitingSince.IsZero():
			job.waitingSince = time.Now()
		case time.Since(job.waitingSince) > maxZonedWait:
			z.fail("%s has waited for %v although %s can run its task; %d of %d tasks are running, %d done", job.UID, time.Since(job.waitingSince), workerWithRoom, running, job.Tasks, len(job.done))
		}
	}
}

// Runs jobs that are bound to one given zone, to any single zone, or spread over zones, while
// workers are lost, a zone is partitioned with one controller for longer than a worker's lease, or
// all controllers are down for longer than that. No task starts in a zone that its job's
// constraint excludes at that moment. Afterwards all jobs run or end, and none waits while a
// worker can run its tasks.
func TestZoneConstraintsUnderFaults(t *testing.T) {
	faults := []struct {
		name string
		play func(z *zonedCluster)
	}{
		{"workers of the zone are lost, one by one, and the leader restarts", func(z *zonedCluster) {
			lost := z.workersInZone("y")[:3]
			for i, k := range lost {
				z.breakLinks(k.Name, z.controllerNames...)
				if i == 1 {
					z.restart(z.leader(), 300*time.Millisecond)
				}
				z.runFor(7)
			}
			z.runFor(10)
			if z.deletedMachines == 0 {
				z.fail("no machine was returned")
			}
		}},
		{"the zone is cut off with another controller", func(z *zonedCluster) { z.isolateZone(z.otherControllers(z.leader())[0]) }},
		{"the zone is cut off with the leader", func(z *zonedCluster) { z.isolateZone(z.leader()) }},
		{"the zone is cut off with a controller that the next leader never heard", func(z *zonedCluster) {
			z.isolateZoneWithUnheardController(func(leader, other string) {
				z.restart(other, 300*time.Millisecond)
				z.runFor(4)
				z.restart(leader, 300*time.Millisecond)
			})
		}},
		{"the zone is cut off with a controller that no other has heard", func(z *zonedCluster) {
			z.isolateZoneWithUnheardController(func(leader, other string) {
				z.crash(leader)
				z.restart(other, 300*time.Millisecond)
				z.start(leader)
			})
		}},
		{"all controllers are down", func(z *zonedCluster) {
			z.stopAll()
			sessions := z.sessionSum()
			time.Sleep(workerLease + 3*time.Second)
			z.checkInvariants()
			z.startStopped()
			z.runFor(5)
			if z.sessionSum() != sessions+len(z.workers) {
				z.fail("not every worker's lease ended")
			}
		}},
	}
	for _, fault := range faults {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s, %d", fault.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playZoneFaults(t, 1300+seed, fault.play) })
			})
		}
	}
}

func (z *zonedCluster) workersInZone(zone string) (ks []*testkit.Worker) {
	for _, k := range z.workers {
		if k.Zone == zone {
			ks = append(ks, k)
		}
	}
	return ks
}

// isolateZone partitions zone y, with its workers and a controller, from the rest and from the
// state service for longer than any worker's lease can last, then heals all links.
func (z *zonedCluster) isolateZone(inside string) {
	z.partitionZone(inside)
	before := z.startsByZone["z"]
	z.runFor(int((dispatchGrace + 2*workerLease).Seconds()))
	if z.startsByZone["z"] == before {
		z.fail("no task started in the other zone")
	}
	z.healAllLinks()
}

// isolateZoneWithUnheardController partitions zone y with a controller that does not lead, then
// calls end to crash or restart the other controllers: the next leader has never heard from the
// partitioned one. None of the zone's machines may be deleted while that controller may still
// answer their heartbeats.
func (z *zonedCluster) isolateZoneWithUnheardController(end func(leader, other string)) {
	leader := z.leader()
	inside, other := z.otherControllers(leader)[0], z.otherControllers(leader)[1]
	z.partitionZone(inside)
	cut, returned := time.Now(), z.deletedMachines
	z.runFor(4)
	end(leader, other)
	for z.leader() == "" && time.Since(cut) < dispatchGrace {
		z.runFor(1)
	}
	took := time.Since(cut)
	for time.Since(cut) < dispatchGrace+workerLease-2*time.Second {
		z.runFor(1)
	}
	next := z.leader()
	if next == "" || next == inside || took > dispatchGrace-workerLease/2 {
		z.fail("%q leads %v after the partition began", next, took)
	}
	for _, p := range z.nodes[next].reachabilityView().Peers {
		if p.Name == inside && p.SinceHeard < time.Hour {
			z.fail("%s has heard from %s", next, inside)
		}
	}
	if z.deletedMachines > returned {
		z.fail("%d machines of the zone were returned", z.deletedMachines-returned)
	}
	z.runFor(int(workerLease.Seconds()))
	z.healAllLinks()
}

// partitionZone cuts zone y, with its workers and a controller, off from the rest and from the
// state service.
func (z *zonedCluster) partitionZone(inside string) {
	z.breakLinks(inside, append(z.otherControllers(inside), stateService)...)
	for _, k := range z.workers {
		if k.Zone == "y" {
			z.breakLinks(k.Name, z.otherControllers(inside)...)
		} else {
			z.breakLinks(k.Name, inside)
		}
	}
}

func playZoneFaults(t *testing.T, seed uint64, play func(z *zonedCluster)) {
	w := newCluster(t, seed)
	w.resize(3, 12)
	w.setLongTasks()
	w.keepBrokenLinks = true
	z := &zonedCluster{cluster: w, jobs: map[string]*zonedJob{}, startsByZone: map[string]int{}}
	w.onStart = z.checkZonedStart
	for i, k := range w.workers {
		if i%2 == 1 {
			k.Zone = "y"
		}
		k.ExitCode = func(task string) int {
			if uid, _, _ := strings.Cut(task, "/"); z.jobs[uid] != nil {
				z.jobs[uid].done[task] = true
			}
			return 0
		}
	}
	w.startControllersOneByOne()
	w.runFor(3)
	y := "y"
	for i := range 2 {
		z.submitZoned(&wire.Job{UID: fmt.Sprintf("j-%d", 80+i), Tasks: 4, OneZone: true})
		z.submitZoned(&wire.Job{UID: fmt.Sprintf("j-%d", 84+i), Tasks: 5, Spread: true})
		z.submitZoned(&wire.Job{UID: fmt.Sprintf("j-%d", 10+i), Tasks: 80, OneZone: true})
		z.submitZoned(&wire.Job{UID: fmt.Sprintf("j-%d", 20+i), Tasks: 60, Zone: &y})
		z.submitZoned(&wire.Job{UID: fmt.Sprintf("j-%d", 30+i), Tasks: 9, Spread: true})
	}
	z.submitZoned(&wire.Job{UID: "j-88", Tasks: 3, Zone: &y})
	w.submit("j-1", 200)
	w.runFor(8)
	if z.startsByZone["y"] == 0 || z.startsByZone["z"] == 0 {
		t.Errorf("starts by zone before the fault: %v", z.startsByZone)
	}
	play(z)
	secondsLeft := 300
	done := w.jobsEnded("j-10", "j-11", "j-20", "j-21", "j-30", "j-31", "j-1")
	for ; secondsLeft > 0 && !done(); secondsLeft-- {
		w.runFor(1)
		z.checkZonedWaits()
	}
	if !done() {
		t.Errorf("not all jobs with short tasks ended; ended: %v", w.store.Keys("final/"))
	}
	for range 20 {
		w.runFor(1)
		z.checkZonedWaits()
	}
	for uid, job := range z.jobs {
		if strings.HasPrefix(uid, "j-8") && w.unfinishedTasks(uid) < job.Tasks {
			t.Errorf("%d of %d long tasks of %s are running", w.unfinishedTasks(uid), job.Tasks, uid)
		}
	}
	w.stopAll()
}
