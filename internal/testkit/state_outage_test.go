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

// gap is a cluster in which long tasks of some jobs run, in the hands of the old
// leader.
type gap struct {
	*cluster
	leader string
	others []string
	jobs   []string
}

const outage = 70 // seconds, longer than a cancelled task may go on

// on counts the tasks of the jobs that are on workers.
func (g *gap) on() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, k := range g.workers {
		for _, task := range k.UnfinishedTasks() {
			if uid, _, _ := strings.Cut(task, "/"); slices.Contains(g.jobs, uid) {
				n++
			}
		}
	}
	return n
}

// outageScene is a course of cancels around an outage of the state service for all.
type outageScene struct {
	name string
	play func(g *gap) // up to the end of the outage
	// least is how many cancels must have been confirmed, so that cancels and
	// the outage coincided.
	least int
	// lapses is whether a controller may have to stop answering workers for not
	// knowing of all cancels; ends whether leases may end. They may where workers
	// have seen a higher fencing token than anybody's who is left.
	lapses, ends bool
}

// isolateLeader leaves the leader the workers alone, and neither state service nor peers:
// a failover follows.
func (g *gap) isolateLeader() {
	g.connectWorkersOnlyTo(g.leader)
	g.cutFromStateService(g.leader)
	g.breakLinks(g.leader, g.others...)
	g.runFor(8)
}

var outageScenes = []outageScene{
	{"refused alone, then out for all", func(g *gap) {
		g.cutFromStateService(g.leader)
		g.runFor(2)
		g.cancelJobs(g.others[0], g.jobs, 3)
		g.cutFromStateService(g.controllerNames...)
		g.runFor(outage)
	}, 3, false, false},
	{"cancelled before the refusal", func(g *gap) {
		g.cancelJobs(g.others[0], g.jobs, 3)
		g.cutFromStateService(g.leader)
		g.runFor(1)
		g.cutFromStateService(g.controllerNames...)
		g.runFor(outage)
	}, 3, false, false},
	{"a new leader confirms, the old one hears its peers again", func(g *gap) {
		g.isolateLeader()
		g.cancelJobs(g.others[0], g.jobs, 12)
		g.cutFromStateService(g.controllerNames...)
		g.healLinks(g.leader, g.others...)
		g.runFor(outage)
	}, 3, false, true},
	{"a new leader confirms, and never talks to the old one", func(g *gap) {
		g.isolateLeader()
		g.cancelJobs(g.others[0], g.jobs, 12)
		g.cutFromStateService(g.controllerNames...)
		g.runFor(outage)
	}, 3, true, true},
	{"the confirmer ends at once, and stays away", func(g *gap) {
		g.isolateLeader()
		for _, n := range g.others {
			g.cancelJobs(n, g.jobs[:1], 6)
		}
		g.cutFromStateService(g.controllerNames...)
		for _, n := range g.others {
			g.crash(n)
		}
		g.healLinks(g.leader, g.others...)
		g.runFor(outage)
	}, 1, true, true},
	{"the confirmer is back within a second, and has forgotten", func(g *gap) {
		g.isolateLeader()
		for _, n := range g.others {
			g.cancelJobs(n, g.jobs[:1], 6)
		}
		g.cutFromStateService(g.controllerNames...)
		for _, n := range g.others {
			g.crash(n)
			time.Sleep(300 * time.Millisecond)
			g.start(n)
		}
		g.healLinks(g.leader, g.others...)
		g.runFor(outage)
	}, 1, true, true},
	{"the old leader is back within a second, in the outage", func(g *gap) {
		g.cutFromStateService(g.leader)
		g.runFor(2)
		g.cancelJobs(g.others[0], g.jobs, 3)
		g.cutFromStateService(g.controllerNames...)
		g.runFor(7)
		g.crash(g.leader)
		time.Sleep(400 * time.Millisecond)
		g.start(g.leader)
		g.runFor(outage)
	}, 3, false, true},
	{"another is back within four seconds, in the outage", func(g *gap) {
		g.cancelJobs(g.others[0], g.jobs, 3)
		g.cutFromStateService(g.controllerNames...)
		g.runFor(8)
		g.crash(g.others[0])
		g.runFor(4)
		g.start(g.others[0])
		g.runFor(outage)
	}, 3, false, true},
	{"machines hang and go on", func(g *gap) {
		for _, k := range g.workers[:6] {
			g.breakLinks(k.Name, g.controllerNames...)
		}
		g.cutFromStateService(g.leader)
		g.runFor(2)
		g.cancelJobs(g.others[0], g.jobs, 3)
		g.cutFromStateService(g.controllerNames...)
		g.runFor(5)
		for _, k := range g.workers[:6] {
			g.healLinks(k.Name, g.controllerNames...)
		}
		g.runFor(outage)
	}, 3, false, true},
	{"one link of a pair is cut, a third talks to both", func(g *gap) {
		g.cancelJobs(g.others[0], g.jobs[:1], 3)
		g.cutFromStateService(g.controllerNames...)
		g.breakLinks(g.leader, g.others[0])
		g.runFor(outage)
	}, 1, false, false},
	{"two in a row", func(g *gap) {
		for i := range 2 {
			g.cutFromStateService(g.leader)
			g.runFor(2)
			g.cancelJobs(g.others[i%2], g.jobs[i:i+1], 15)
			g.cutFromStateService(g.controllerNames...)
			g.runFor(outage)
			g.healAllLinks()
			g.runFor(1)
		}
	}, 2, false, true},
	{"out for all, and every controller but one ends", func(g *gap) {
		g.connectWorkersOnlyTo(g.leader)
		g.cancelJobs(g.others[0], g.jobs[:1], 3)
		g.cutFromStateService(g.controllerNames...)
		for _, n := range g.others {
			g.crash(n)
		}
		g.runFor(outage)
	}, 1, true, true},
}

// In TestCancelDuringStateStoreOutage the state service refuses
// the leader alone, another controller confirms cancels, and then the state service is
// out for all for longer than a cancelled task may go on, while workers go on
// reporting to the old leader. The tasks must be gone in time all the same, and
// nothing else that runs may be lost where all controllers talk to each other.
func TestCancelDuringStateStoreOutage(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		for i := range outageScenes {
			scene := &outageScenes[i]
			t.Run(fmt.Sprintf("%d: %s", controllers, scene.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playOutage(t, scene, uint64(700+i), controllers) })
			})
		}
	}
}

// newGap starts a cluster in which the long tasks run.
func newGap(t *testing.T, seed uint64, controllers int) *gap {
	t.Helper()
	w, leader, others, _ := settled(t, seed, controllers, 12)
	g := &gap{cluster: w, leader: leader, others: others, jobs: []string{"j-81", "j-82", "j-83"}}
	w.setLongTasks()
	for _, uid := range g.jobs {
		w.submit(uid, 4)
	}
	w.submit("j-90", 6) // goes on
	// They wait for room among the tasks of a large job.
	w.runFor(30)
	w.runUntil(120, func() bool { return g.on() >= 10 })
	if n := g.on(); n < 10 {
		w.stopAll()
		t.Fatalf("%d long tasks run before the trouble", n)
	}
	return g
}

// playOutage plays a scene, and checks what was kept over it and what works afterwards.
func playOutage(t *testing.T, s *outageScene, seed uint64, controllers int) {
	t.Helper()
	g := newGap(t, seed, controllers)
	w := g.cluster
	sessions := w.sessionSum()
	// A worker that a lost report sends to a controller with another token
	// can't go back in an outage: not what is counted here.
	w.losslessReports = !s.ends
	s.play(g)
	w.mu.Lock()
	heard := len(w.confirmedCancels)
	w.mu.Unlock()
	if heard < s.least {
		t.Errorf("%d cancels were confirmed: too few to test cancels during the outage", heard)
	}
	sessions -= w.sessionSum()
	if sessions != 0 && !s.ends || w.stoppedAnswering > 0 && !s.lapses {
		t.Errorf("%d leases ended, controllers stopped answering %d times", -sessions, w.stoppedAnswering)
	}
	w.healAllLinks()
	w.startStopped()
	w.runFor(20)
	for _, n := range w.controllerNames {
		for uid := range w.confirmedCancels {
			if stage, ok := w.userRequest(n, http.MethodGet, uid); !ok {
				t.Errorf("20 s after the last trouble %s says nothing of %s (%s)", n, uid, stage)
			}
		}
	}
	// Where all leases ended, tasks start and end in waves.
	if time.Since(w.lastStartTime()) > 10*time.Second {
		t.Errorf("after the healing no start for %v", time.Since(w.lastStartTime()))
	}
	w.stopAll()
}
