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

// waitLimit is how long a job may wait, faults over, while a worker has room for it.
const waitLimit = 90 * time.Second

// zonedJob is a job with a constraint on zones, and what is known of its tasks.
type zonedJob struct {
	wire.Job
	done    map[string]bool
	waiting time.Time // since when a task waits beside a worker with room for it; zero: none does
}

// zonedCluster checks each start against the constraints of its job.
type zonedCluster struct {
	*cluster
	jobs   map[string]*zonedJob
	starts map[string]int // checked, by zone
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

// zonesOf counts a job's tasks that are on, by zone, but for one task.
func (z *zonedCluster) zonesOf(uid, except string) map[string]int {
	zones := map[string]int{}
	for _, k := range z.workers {
		for _, task := range k.UnfinishedTasks() {
			if strings.HasPrefix(task, uid+"/") && task != except {
				zones[k.Zone]++
			}
		}
	}
	return zones
}

// misplaced says why a task of the job may not start in a zone now, or "".
func (z *zonedCluster) misplaced(job *zonedJob, task, zone string) string {
	on := z.zonesOf(job.UID, task)
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

// started checks a start; the cluster's lock is held.
func (z *zonedCluster) started(k *testkit.Worker, task string, _ uint64) {
	uid, _, _ := strings.Cut(task, "/")
	job := z.jobs[uid]
	if job == nil {
		return
	}
	z.starts[k.Zone]++
	job.waiting = time.Time{}
	if why := z.misplaced(job, task, k.Zone); why != "" {
		z.fail("%s starts on %s in zone %s: %s", task, k.Name, k.Zone, why)
	}
}

// lookWaiting looks for jobs that wait beside a worker with room, faults over.
func (z *zonedCluster) lookWaiting() {
	z.mu.Lock()
	defer z.mu.Unlock()
	for _, job := range z.jobs {
		on := 0
		for _, n := range z.zonesOf(job.UID, "") {
			on += n
		}
		room := ""
		for _, k := range z.workers {
			if len(k.UnfinishedTasks()) < int(z.machineTypes) && z.misplaced(job, "", k.Zone) == "" {
				room = k.Name
			}
		}
		switch {
		case on+len(job.done) >= job.Tasks || room == "":
			job.waiting = time.Time{}
		case job.waiting.IsZero():
			job.waiting = time.Now()
		case time.Since(job.waiting) > waitLimit:
			z.fail("%s waits for %v beside %s; %d of %d tasks are on, %d done", job.UID, time.Since(job.waiting), room, on, job.Tasks, len(job.done))
		}
	}
}

// Jobs bound to a zone, to any one zone, or spread over zones lose workers; a zone with
// its workers and a controller is cut off for longer than a worker's lease; all controllers
// are away for longer than that. No task starts where its job's other tasks, at that
// moment, don't allow it, and afterwards all jobs end or run, none waiting beside room.
func TestZoneConstraintsUnderFaults(t *testing.T) {
	troubles := []struct {
		name string
		play func(z *zonedCluster)
	}{
		{"machines of the zone are lost, one by one, and the leader ends", func(z *zonedCluster) {
			lost := z.inZone("y")[:3]
			for i, k := range lost {
				z.breakLinks(k.Name, z.controllerNames...)
				if i == 1 {
					z.restart(z.leader(), 300*time.Millisecond)
				}
				z.runFor(7)
			}
			z.runFor(10)
			if z.deletedMachines == 0 {
				z.fail("no machine was lost")
			}
		}},
		{"the zone is cut off with another controller", func(z *zonedCluster) { z.cutZone(z.otherControllers(z.leader())[0]) }},
		{"the zone is cut off with the leader", func(z *zonedCluster) { z.cutZone(z.leader()) }},
		{"the zone is cut off with a controller that the next leader never heard", func(z *zonedCluster) {
			z.cutZoneUnheard(func(leader, other string) {
				z.restart(other, 300*time.Millisecond)
				z.runFor(4)
				z.restart(leader, 300*time.Millisecond)
			})
		}},
		{"the zone is cut off with a controller that no other has heard", func(z *zonedCluster) {
			z.cutZoneUnheard(func(leader, other string) {
				z.crash(leader)
				z.restart(other, 300*time.Millisecond)
				z.start(leader)
			})
		}},
		{"all controllers are away", func(z *zonedCluster) {
			z.stopAll()
			sessions := z.sessionSum()
			time.Sleep(workerLease + 3*time.Second)
			z.checkInvariants()
			z.startStopped()
			z.runFor(5)
			if z.sessionSum() != sessions+len(z.workers) {
				z.fail("not every lease ended")
			}
		}},
	}
	for _, trouble := range troubles {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%s, %d", trouble.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playZones(t, 1300+seed, trouble.play) })
			})
		}
	}
}

func (z *zonedCluster) inZone(zone string) (ks []*testkit.Worker) {
	for _, k := range z.workers {
		if k.Zone == zone {
			ks = append(ks, k)
		}
	}
	return ks
}

// cutZone cuts zone y, with its workers and a controller, off from the rest and from the
// state service for longer than the workers' leases could last.
func (z *zonedCluster) cutZone(inside string) {
	z.divide(inside)
	before := z.starts["z"]
	z.runFor(int((testGrace + 2*workerLease).Seconds()))
	if z.starts["z"] == before {
		z.fail("nothing started in the other zone")
	}
	z.healAllLinks()
}

// cutZoneUnheard cuts zone y off with a controller that doesn't lead, and has the others end
// while it is: whoever then leads has never heard that controller. None of the zone's
// machines is deleted while that one may answer them.
func (z *zonedCluster) cutZoneUnheard(end func(leader, other string)) {
	leader := z.leader()
	inside, other := z.otherControllers(leader)[0], z.otherControllers(leader)[1]
	z.divide(inside)
	cut, returned := time.Now(), z.deletedMachines
	z.runFor(4)
	end(leader, other)
	for z.leader() == "" && time.Since(cut) < testGrace {
		z.runFor(1)
	}
	took := time.Since(cut)
	for time.Since(cut) < testGrace+workerLease-2*time.Second {
		z.runFor(1)
	}
	next := z.leader()
	if next == "" || next == inside || took > testGrace-workerLease/2 {
		z.fail("%q leads, after %v", next, took)
	}
	for _, p := range z.nodes[next].linksSeen().Peers {
		if p.Name == inside && p.SinceHeard < time.Hour {
			z.fail("%s has heard %s", next, inside)
		}
	}
	if z.deletedMachines > returned {
		z.fail("%d machines of the zone are returned", z.deletedMachines-returned)
	}
	z.runFor(int(workerLease.Seconds()))
	z.healAllLinks()
}

// divide cuts zone y, with a controller, off from the rest and from the state service.
func (z *zonedCluster) divide(inside string) {
	z.breakLinks(inside, append(z.otherControllers(inside), stateService)...)
	for _, k := range z.workers {
		if k.Zone == "y" {
			z.breakLinks(k.Name, z.otherControllers(inside)...)
		} else {
			z.breakLinks(k.Name, inside)
		}
	}
}

func playZones(t *testing.T, seed uint64, play func(z *zonedCluster)) {
	w := newCluster(t, seed)
	w.resize(3, 12)
	w.setLongTasks()
	w.keepBrokenLinks = true
	z := &zonedCluster{cluster: w, jobs: map[string]*zonedJob{}, starts: map[string]int{}}
	w.onStart = z.started
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
	if z.starts["y"] == 0 || z.starts["z"] == 0 {
		t.Errorf("starts before the trouble: %v", z.starts)
	}
	play(z)
	bounded := 300
	done := w.jobsEnded("j-10", "j-11", "j-20", "j-21", "j-30", "j-31", "j-1")
	for ; bounded > 0 && !done(); bounded-- {
		w.runFor(1)
		z.lookWaiting()
	}
	if !done() {
		t.Errorf("of the jobs with short tasks only %v ended", w.store.Keys("final/"))
	}
	for range 20 {
		w.runFor(1)
		z.lookWaiting()
	}
	for uid, job := range z.jobs {
		if strings.HasPrefix(uid, "j-8") && w.unfinishedTasks(uid) < job.Tasks {
			t.Errorf("%d of %d long tasks of %s are on", w.unfinishedTasks(uid), job.Tasks, uid)
		}
	}
	w.stopAll()
}
