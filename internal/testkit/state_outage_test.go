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

// outageCluster is a cluster in which long tasks of some jobs run, in the hands of the old
// leader.
type outageCluster struct {
	*cluster
	leader string
	others []string
	jobs   []string
}

const outageSeconds = 70 // seconds, longer than a cancelled task may go on

// runningTasks counts the tasks of the jobs that are runningTasks workers.
func (g *outageCluster) runningTasks() (n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, k := range g.workers {
		for _, task := range k.On() {
			if uid, _, _ := strings.Cut(task, "/"); slices.Contains(g.jobs, uid) {
				n++
			}
		}
	}
	return n
}

// outageScenario is a course of cancels around an outage of the state service for all.
type outageScenario struct {
	name string
	play func(g *outageCluster) // up to the end of the outage
	// minCancels is how many cancels must have been confirmed, so that cancels and
	// the outage coincided.
	minCancels int
	// mayLapse is whether a controller may have to stop answering workers for not
	// knowing of all cancels; mayLoseLeases whether leases may end. They may where workers
	// have seen a higher fencing token than anybody's who is left.
	mayLapse, mayLoseLeases bool
}

// isolateLeader leaves the leader the workers alone, and neither state service nor peers:
// a failover follows.
func (g *outageCluster) isolateLeader() {
	g.workersHear(g.leader)
	g.refuse(g.leader)
	g.cutAll(g.leader, g.others...)
	g.live(8)
}

var outageScenarios = []outageScenario{
	{"refused alone, then out for all", func(g *outageCluster) {
		g.refuse(g.leader)
		g.live(2)
		g.cancelAll(g.others[0], g.jobs, 3)
		g.refuse(g.names...)
		g.live(outageSeconds)
	}, 3, false, false},
	{"cancelled before the refusal", func(g *outageCluster) {
		g.cancelAll(g.others[0], g.jobs, 3)
		g.refuse(g.leader)
		g.live(1)
		g.refuse(g.names...)
		g.live(outageSeconds)
	}, 3, false, false},
	{"a new leader confirms, the old one hears its peers again", func(g *outageCluster) {
		g.isolateLeader()
		g.cancelAll(g.others[0], g.jobs, 12)
		g.refuse(g.names...)
		g.healLinks(g.leader, g.others...)
		g.live(outageSeconds)
	}, 3, false, true},
	{"a new leader confirms, and never talks to the old one", func(g *outageCluster) {
		g.isolateLeader()
		g.cancelAll(g.others[0], g.jobs, 12)
		g.refuse(g.names...)
		g.live(outageSeconds)
	}, 3, true, true},
	{"the confirmer ends at once, and stays away", func(g *outageCluster) {
		g.isolateLeader()
		for _, n := range g.others {
			g.cancelAll(n, g.jobs[:1], 6)
		}
		g.refuse(g.names...)
		for _, n := range g.others {
			g.crash(n)
		}
		g.healLinks(g.leader, g.others...)
		g.live(outageSeconds)
	}, 1, true, true},
	{"the confirmer is back within a second, and has forgotten", func(g *outageCluster) {
		g.isolateLeader()
		for _, n := range g.others {
			g.cancelAll(n, g.jobs[:1], 6)
		}
		g.refuse(g.names...)
		for _, n := range g.others {
			g.crash(n)
			time.Sleep(300 * time.Millisecond)
			g.start(n)
		}
		g.healLinks(g.leader, g.others...)
		g.live(outageSeconds)
	}, 1, true, true},
	{"the old leader is back within a second, in the outage", func(g *outageCluster) {
		g.refuse(g.leader)
		g.live(2)
		g.cancelAll(g.others[0], g.jobs, 3)
		g.refuse(g.names...)
		g.live(7)
		g.crash(g.leader)
		time.Sleep(400 * time.Millisecond)
		g.start(g.leader)
		g.live(outageSeconds)
	}, 3, false, true},
	{"another is back within four seconds, in the outage", func(g *outageCluster) {
		g.cancelAll(g.others[0], g.jobs, 3)
		g.refuse(g.names...)
		g.live(8)
		g.crash(g.others[0])
		g.live(4)
		g.start(g.others[0])
		g.live(outageSeconds)
	}, 3, false, true},
	{"machines hang and go on", func(g *outageCluster) {
		for _, k := range g.workers[:6] {
			g.cutAll(k.Name, g.names...)
		}
		g.refuse(g.leader)
		g.live(2)
		g.cancelAll(g.others[0], g.jobs, 3)
		g.refuse(g.names...)
		g.live(5)
		for _, k := range g.workers[:6] {
			g.healLinks(k.Name, g.names...)
		}
		g.live(outageSeconds)
	}, 3, false, true},
	{"one link of a pair is cut, a third talks to both", func(g *outageCluster) {
		g.cancelAll(g.others[0], g.jobs[:1], 3)
		g.refuse(g.names...)
		g.cutAll(g.leader, g.others[0])
		g.live(outageSeconds)
	}, 1, false, false},
	{"two in a row", func(g *outageCluster) {
		for i := range 2 {
			g.refuse(g.leader)
			g.live(2)
			g.cancelAll(g.others[i%2], g.jobs[i:i+1], 15)
			g.refuse(g.names...)
			g.live(outageSeconds)
			g.healed()
			g.live(1)
		}
	}, 2, false, true},
	{"out for all, and every controller but one ends", func(g *outageCluster) {
		g.workersHear(g.leader)
		g.cancelAll(g.others[0], g.jobs[:1], 3)
		g.refuse(g.names...)
		for _, n := range g.others {
			g.crash(n)
		}
		g.live(outageSeconds)
	}, 1, true, true},
}

// In TestCancelDuringStateStoreOutage the state service refuses
// the leader alone, another controller confirms cancels, and then the state service is
// out for all for longer than a cancelled task may go on, while workers go on
// reporting to the old leader. The tasks must be gone in time all the same, and
// nothing else that runs may be lost where all controllers talk to each other.
func TestCancelDuringStateStoreOutage(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		for i := range outageScenarios {
			scene := &outageScenarios[i]
			t.Run(fmt.Sprintf("%d: %s", controllers, scene.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playOutage(t, scene, uint64(700+i), controllers) })
			})
		}
	}
}

// newOutageCluster starts a cluster in which the long tasks run.
func newOutageCluster(t *testing.T, seed uint64, controllers int) *outageCluster {
	t.Helper()
	w, leader, others, _ := settledCluster(t, seed, controllers, 12)
	g := &outageCluster{cluster: w, leader: leader, others: others, jobs: []string{"j-81", "j-82", "j-83"}}
	w.long()
	for _, uid := range g.jobs {
		w.submit(uid, 4)
	}
	w.submit("j-90", 6) // goes on
	// They wait for room among the tasks of a large job.
	w.live(30)
	w.within(120, func() bool { return g.runningTasks() >= 10 })
	if n := g.runningTasks(); n < 10 {
		w.stopAll()
		t.Fatalf("%d long tasks run before the trouble", n)
	}
	return g
}

// playOutage plays a scene, and checks what was kept over it and what works afterwards.
func playOutage(t *testing.T, s *outageScenario, seed uint64, controllers int) {
	t.Helper()
	g := newOutageCluster(t, seed, controllers)
	w := g.cluster
	sessions := w.sessions()
	// A worker that a lost report sends to a controller with another token
	// can't go back in an outage: not what is counted here.
	w.losslessReports = !s.mayLoseLeases
	s.play(g)
	w.mu.Lock()
	heard := len(w.confirmedCancels)
	w.mu.Unlock()
	if heard < s.minCancels {
		t.Errorf("%d cancels were confirmed: too few to test cancels during the outage", heard)
	}
	sessions -= w.sessions()
	if sessions != 0 && !s.mayLoseLeases || w.lapses > 0 && !s.mayLapse {
		t.Errorf("%d leases ended, controllers stopped answering %d times", -sessions, w.lapses)
	}
	w.healed()
	w.startAll()
	w.live(20)
	for _, n := range w.names {
		for uid := range w.confirmedCancels {
			if stage, ok := w.user(n, http.MethodGet, uid); !ok {
				t.Errorf("20 s after the last trouble %s says nothing of %s (%s)", n, uid, stage)
			}
		}
	}
	// Where all leases ended, tasks start and end in waves.
	if time.Since(w.lastStart()) > 10*time.Second {
		t.Errorf("after the healing no start for %v", time.Since(w.lastStart()))
	}
	w.stopAll()
}
