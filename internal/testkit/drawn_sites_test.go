package testkit_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	drawnSites = 48  // number of drawn sites
	drawnCPUs  = 100 // bound of the CPUs of all live jobs, well below those of the cloud
)

// drawnSite is a cluster that draws jobs with each constraint, cancels and faults.
type drawnSite struct {
	*cloudCluster
	zones   *zonedCluster // checks the zone of each start
	live    []*wire.Job   // jobs that were not cancelled
	lastJob int
}

func newDrawnSite(t *testing.T, seed uint64) *drawnSite {
	c := newCloudCluster(t, seed)
	s := &drawnSite{cloudCluster: c, zones: &zonedCluster{cluster: c.cluster, jobs: map[string]*zonedJob{}, startsByZone: map[string]int{}}}
	c.spotOffered = c.planRand.IntN(4) > 0
	c.onStart = s.checkStart
	c.taskDuration = func(task string) time.Duration {
		var number, index int
		if _, err := fmt.Sscanf(task, "j-%d/%d", &number, &index); err != nil || number%2 == 0 {
			return serviceDuration // of an even job
		}
		return variedTaskDuration(task)
	}
	c.startAndSettle()
	return s
}

// checkStart checks a task's start on a worker. The caller holds the cluster's lock.
func (s *drawnSite) checkStart(k *testkit.Worker, task string, attempt uint64) {
	uid, _, _ := strings.Cut(task, "/")
	if job := s.zones.jobs[uid]; job != nil && k.Spot && !job.Spot {
		s.fail("%s starts on the spot worker %s", task, k.Name)
	}
	s.zones.checkZonedStart(k, task, attempt)
}

// submitDrawn submits a job with drawn constraints. Services have even numbers.
func (s *drawnSite) submitDrawn() {
	s.lastJob++
	job := &wire.Job{UID: fmt.Sprintf("j-%d", s.lastJob), Kind: wire.KindArray, Tasks: 1 + s.planRand.IntN(5), CPUs: float64(1 + s.planRand.IntN(4)), EstimateS: 6}
	if s.lastJob%2 == 0 {
		job.Kind, job.EstimateS = wire.KindService, 0
	}
	job.Spot = s.planRand.IntN(3) > 0
	switch s.planRand.IntN(5) {
	case 0:
		job.OneZone = true
	case 1:
		job.Spread = true
	case 2:
		zone := []string{"y", "z"}[s.planRand.IntN(2)]
		job.Zone = &zone
	}
	if s.liveCPUs()+job.CPUs*float64(job.Tasks) > drawnCPUs {
		return
	}
	s.mu.Lock()
	s.zones.jobs[job.UID] = &zonedJob{Job: *job, done: map[string]bool{}}
	s.mu.Unlock()
	s.live = append(s.live, job)
	s.submitToCloud(job)
}

func (s *drawnSite) liveCPUs() (cpus float64) {
	for _, job := range s.live {
		cpus += job.CPUs * float64(job.Tasks)
	}
	return cpus
}

// cancelDrawn cancels about the given share of the services.
func (s *drawnSite) cancelDrawn(share float64) {
	var cancelled []string
	s.live = slices.DeleteFunc(s.live, func(job *wire.Job) bool {
		if job.Kind != wire.KindService || s.planRand.Float64() >= share {
			return false
		}
		cancelled = append(cancelled, job.UID)
		return true
	})
	for range 20 {
		cancelled = slices.DeleteFunc(cancelled, func(uid string) bool { return s.cancelJobs(s.controllerNames[0], []string{uid}, 0) > 0 })
		if len(cancelled) == 0 {
			return
		}
		s.advance(time.Second, nil)
	}
	s.t.Errorf("cancels of %v are not confirmed", cancelled)
}

// loseDrawnMachine has the cloud take one of the machines.
func (s *drawnSite) loseDrawnMachine() {
	s.mu.Lock()
	names := s.workerNames()
	s.mu.Unlock()
	if len(names) > 0 {
		s.loseMachine(names[s.planRand.IntN(len(names))])
	}
}

// step draws what happens next.
func (s *drawnSite) step() {
	leader := s.leader()
	switch draw := s.planRand.IntN(24); {
	case draw < 10:
		s.submitDrawn()
	case draw < 12:
		s.cancelDrawn(0.2)
	case draw < 15:
		s.loseDrawnMachine()
	case draw == 15:
		s.cutFromStateService(s.controllerNames...)
		s.advance(7*time.Second, nil)
		s.healAllLinks()
	case draw == 16 && leader != "":
		s.transferShards(s.nodes[leader])
	case draw == 17 && leader != "":
		s.restart(leader, time.Duration(200+s.planRand.IntN(3000))*time.Millisecond)
	case draw == 18:
		s.setCloudOutage(true)
		s.advance(time.Duration(2+s.planRand.IntN(20))*time.Second, nil)
		s.setCloudOutage(false)
	}
	s.advance(time.Duration(500+s.planRand.IntN(5000))*time.Millisecond, nil)
}

// interruptDrains takes the lead from the leader while workers are drained, which the cloud does not
// delete meanwhile.
func (s *drawnSite) interruptDrains() {
	s.setCloudOutage(true)
	s.advance(2*time.Minute, func() bool { return s.drainingWorkers() > 0 })
	s.cutFromStateService(s.controllerNames...)
	s.advance(7*time.Second, nil)
	s.healAllLinks()
	s.setCloudOutage(false)
}

// unfinished returns the jobs that have not ended and of which fewer tasks run than should.
func (s *drawnSite) unfinished() (jobs []string) {
	for _, job := range s.live {
		running := s.unfinishedTasks(job.UID)
		switch {
		case job.Kind == wire.KindService && running < job.Tasks, job.Kind == wire.KindArray && !s.jobsEnded(job.UID)():
			jobs = append(jobs, fmt.Sprintf("%s (%s, %d of %d tasks run, %v CPUs, spot %v, one zone %v, spread %v, zone %v, in %v)", job.UID, job.Kind, running, job.Tasks, job.CPUs, job.Spot, job.OneZone, job.Spread, zoneOf(job), s.tasksByZone(job.UID)))
		}
	}
	return jobs
}

// zoneOf returns the zone to which a job is bound; "" if it is not.
func zoneOf(job *wire.Job) string {
	if job.Zone == nil {
		return ""
	}
	return *job.Zone
}

// Jobs with each constraint are submitted and cancelled while machines are lost, the lead changes, and
// the state service or the cloud is out; machines are cordoned, drained and deleted meanwhile. No task
// may start where its job's constraints forbid it. Once all faults are over, no task may wait for 90 s,
// since the cloud has machines for all: either a worker on which it may run has room, or the plan must
// want one. Guards against a plan that counts on workers which the scheduler may not use.
func TestNoTaskWaitsOnDrawnSites(t *testing.T) {
	for seed := range uint64(drawnSites) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playDrawnSite(t, 7500+seed) })
		})
	}
}

func playDrawnSite(t *testing.T, seed uint64) {
	s := newDrawnSite(t, seed)
	for range 3 {
		for range 15 {
			s.step()
		}
		s.cancelDrawn(0.6)
		if s.planRand.IntN(2) == 0 {
			s.interruptDrains()
		} else {
			s.advance(time.Duration(10+s.planRand.IntN(90))*time.Second, nil)
		}
	}
	s.startStopped()
	for range 6 {
		s.submitDrawn()
	}
	if !s.advance(maxProvisionWait, func() bool { return len(s.unfinished()) == 0 }) {
		rented, existing := s.countMachines()
		t.Errorf("after %v, with %d machines of %d rented, these wait: %v", maxProvisionWait, existing, rented, s.unfinished())
	}
	s.stopSite()
}
