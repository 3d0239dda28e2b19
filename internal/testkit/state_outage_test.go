package testkit_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// outageCluster is a cluster in which long tasks of the given jobs run, with the names of the
// controller that leads before the faults and of the others.
type outageCluster struct {
	*cluster
	leader string
	others []string
	jobs   []string
}

const outageSeconds = 70 // longer than the 40 s for which a cancelled task may continue

// runningTasks returns the number of the jobs' tasks on workers.
func (c *outageCluster) runningTasks() (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, k := range c.workers {
		for _, task := range k.UnfinishedTasks() {
			if uid, _, _ := strings.Cut(task, "/"); slices.Contains(c.jobs, uid) {
				n++
			}
		}
	}
	return n
}

// outageScenario is a sequence of cancels and faults that ends with an outage of the state service
// for all controllers.
type outageScenario struct {
	name string
	play func(c *outageCluster) // returns at the end of the outage
	// minCancels is how many cancels must be confirmed for the scenario to test anything.
	minCancels int
	// mayLapse states whether controllers may stop answering workers because they may not know of all
	// cancels. mayLoseLeases states whether workers' leases may end, which happens if workers have
	// seen a higher fencing token than those of all remaining controllers.
	mayLapse, mayLoseLeases bool
}

// isolateLeader cuts the leader off from the state service and its peers, and all workers off from
// the other controllers. A failover follows.
func (c *outageCluster) isolateLeader() {
	c.connectWorkersOnlyTo(c.leader)
	c.cutFromStateService(c.leader)
	c.breakLinks(c.leader, c.others...)
	c.runFor(8)
}

var outageScenarios = []outageScenario{
	{"the leader loses the state service, then all do", func(c *outageCluster) {
		c.cutFromStateService(c.leader)
		c.runFor(2)
		c.cancelJobs(c.others[0], c.jobs, 3)
		c.cutFromStateService(c.controllerNames...)
		c.runFor(outageSeconds)
	}, 3, false, false},
	{"cancelled before the leader loses the state service", func(c *outageCluster) {
		c.cancelJobs(c.others[0], c.jobs, 3)
		c.cutFromStateService(c.leader)
		c.runFor(1)
		c.cutFromStateService(c.controllerNames...)
		c.runFor(outageSeconds)
	}, 3, false, false},
	{"a new leader confirms, the old one reaches its peers again", func(c *outageCluster) {
		c.isolateLeader()
		c.cancelJobs(c.others[0], c.jobs, 12)
		c.cutFromStateService(c.controllerNames...)
		c.healLinks(c.leader, c.others...)
		c.runFor(outageSeconds)
	}, 3, false, true},
	{"a new leader confirms, and never reaches the old one", func(c *outageCluster) {
		c.isolateLeader()
		c.cancelJobs(c.others[0], c.jobs, 12)
		c.cutFromStateService(c.controllerNames...)
		c.runFor(outageSeconds)
	}, 3, true, true},
	{"the confirming controller crashes at once, and stays down", func(c *outageCluster) {
		c.isolateLeader()
		for _, n := range c.others {
			c.cancelJobs(n, c.jobs[:1], 6)
		}
		c.cutFromStateService(c.controllerNames...)
		for _, n := range c.others {
			c.crash(n)
		}
		c.healLinks(c.leader, c.others...)
		c.runFor(outageSeconds)
	}, 1, true, true},
	{"the confirming controller restarts within a second, without memory", func(c *outageCluster) {
		c.isolateLeader()
		for _, n := range c.others {
			c.cancelJobs(n, c.jobs[:1], 6)
		}
		c.cutFromStateService(c.controllerNames...)
		for _, n := range c.others {
			c.crash(n)
			time.Sleep(300 * time.Millisecond)
			c.start(n)
		}
		c.healLinks(c.leader, c.others...)
		c.runFor(outageSeconds)
	}, 1, true, true},
	{"the old leader restarts within a second, in the outage", func(c *outageCluster) {
		c.cutFromStateService(c.leader)
		c.runFor(2)
		c.cancelJobs(c.others[0], c.jobs, 3)
		c.cutFromStateService(c.controllerNames...)
		c.runFor(7)
		c.crash(c.leader)
		time.Sleep(400 * time.Millisecond)
		c.start(c.leader)
		c.runFor(outageSeconds)
	}, 3, false, true},
	{"another controller restarts after four seconds, in the outage", func(c *outageCluster) {
		c.cancelJobs(c.others[0], c.jobs, 3)
		c.cutFromStateService(c.controllerNames...)
		c.runFor(8)
		c.crash(c.others[0])
		c.runFor(4)
		c.start(c.others[0])
		c.runFor(outageSeconds)
	}, 3, false, true},
	{"workers lose their links for a while", func(c *outageCluster) {
		for _, k := range c.workers[:6] {
			c.breakLinks(k.Name, c.controllerNames...)
		}
		c.cutFromStateService(c.leader)
		c.runFor(2)
		c.cancelJobs(c.others[0], c.jobs, 3)
		c.cutFromStateService(c.controllerNames...)
		c.runFor(5)
		for _, k := range c.workers[:6] {
			c.healLinks(k.Name, c.controllerNames...)
		}
		c.runFor(outageSeconds)
	}, 3, false, true},
	{"the link between two controllers is cut, a third reaches both", func(c *outageCluster) {
		c.cancelJobs(c.others[0], c.jobs[:1], 3)
		c.cutFromStateService(c.controllerNames...)
		c.breakLinks(c.leader, c.others[0])
		c.runFor(outageSeconds)
	}, 1, false, false},
	{"two outages in a row", func(c *outageCluster) {
		for i := range 2 {
			c.cutFromStateService(c.leader)
			c.runFor(2)
			c.cancelJobs(c.others[i%2], c.jobs[i:i+1], 15)
			c.cutFromStateService(c.controllerNames...)
			c.runFor(outageSeconds)
			c.healAllLinks()
			c.runFor(1)
		}
	}, 2, false, true},
	{"outage for all, and all controllers but one crash", func(c *outageCluster) {
		c.connectWorkersOnlyTo(c.leader)
		c.cancelJobs(c.others[0], c.jobs[:1], 3)
		c.cutFromStateService(c.controllerNames...)
		for _, n := range c.others {
			c.crash(n)
		}
		c.runFor(outageSeconds)
	}, 1, true, true},
}

// The leader alone loses the state service and another controller confirms cancels. Then the state
// service fails for all controllers for longer than a cancelled task may continue, while workers
// keep reporting to the old leader. The cancelled tasks must still stop in time, and no other
// running task may be lost if all controllers reach each other.
func TestCancelDuringStateStoreOutage(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		for i := range outageScenarios {
			scenario := &outageScenarios[i]
			t.Run(fmt.Sprintf("%d: %s", controllers, scenario.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playOutage(t, scenario, uint64(700+i), controllers) })
			})
		}
	}
}

// newOutageCluster starts a cluster and waits until its long tasks run.
func newOutageCluster(t *testing.T, seed uint64, controllers int) *outageCluster {
	t.Helper()
	w, leader, others, _ := settledCluster(t, seed, controllers, 12)
	c := &outageCluster{cluster: w, leader: leader, others: others, jobs: []string{"j-81", "j-82", "j-83"}}
	w.setLongTasks()
	for _, uid := range c.jobs {
		w.submit(uid, 4)
	}
	w.submit("j-90", 6) // never cancelled
	// The tasks have to wait until tasks of a large job end.
	w.runFor(30)
	w.runUntil(120, func() bool { return c.runningTasks() >= 10 })
	if n := c.runningTasks(); n < 10 {
		w.stopAll()
		t.Fatalf("only %d long tasks run before the faults", n)
	}
	return c
}

// playOutage plays a scenario, and checks which leases were kept during it and that cancels and
// starts work afterwards.
func playOutage(t *testing.T, s *outageScenario, seed uint64, controllers int) {
	t.Helper()
	c := newOutageCluster(t, seed, controllers)
	w := c.cluster
	sessions := w.sessionSum()
	// Where no lease may end, no report is lost: a worker that moves to a controller with a higher
	// fencing token after a lost report cannot move back during an outage, and loses its lease.
	w.losslessReports = !s.mayLoseLeases
	s.play(c)
	w.mu.Lock()
	confirmed := len(w.confirmedCancels)
	w.mu.Unlock()
	if confirmed < s.minCancels {
		t.Errorf("only %d cancels were confirmed: too few to test cancels during the outage", confirmed)
	}
	sessions -= w.sessionSum()
	if sessions != 0 && !s.mayLoseLeases || w.stoppedAnswering > 0 && !s.mayLapse {
		t.Errorf("%d leases ended, controllers stopped answering %d times", -sessions, w.stoppedAnswering)
	}
	w.healAllLinks()
	w.startStopped()
	w.runFor(20)
	for _, n := range w.controllerNames {
		for uid := range w.confirmedCancels {
			if stage, ok := w.userRequest(n, http.MethodGet, uid); !ok {
				t.Errorf("20 s after the last fault %s does not answer for job %s (%s)", n, uid, stage)
			}
		}
	}
	// 10 s, since tasks start and end in waves if all leases have ended at once.
	if time.Since(w.lastStartTime()) > 10*time.Second {
		t.Errorf("after the links healed, no task started for %v", time.Since(w.lastStartTime()))
	}
	w.stopAll()
}
