package testkit_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// settledCluster starts a cluster and runs it with a large job for 25 s. It returns the cluster, the
// names of the leader and of the other controllers, and the function live, which runs the cluster
// for some seconds without random faults and without healing links.
func settledCluster(t *testing.T, seed uint64, controllers, workers int) (w *cluster, leader string, others []string, live func(seconds int)) {
	w = newCluster(t, seed)
	w.resize(controllers, workers)
	w.startControllersOneByOne()
	live = w.runFor
	w.submit("j-0", 6000)
	w.keepBrokenLinks = true
	live(25)
	for _, n := range w.controllerNames {
		if len(w.nodes[n].member.LedShards()) > 0 {
			leader = n
		} else {
			others = append(others, n)
		}
	}
	if leader == "" || time.Since(w.lastStartTime()) > 3*time.Second {
		t.Fatalf("no task started just before the fault; leader %q", leader)
	}
	return w, leader, others, live
}

// Guards against a leader that keeps granting starts to workers that it cannot reach: their
// reports arrive, but no response and no command reaches them. This holds for one worker, a tenth
// of the workers, and all workers, whether only the leader's messages are lost or those of all
// controllers. Running tasks continue, and only the machines of unreachable workers are returned.
func TestWorkersUnresponsiveToCommands(t *testing.T) {
	for i, c := range []struct {
		name        string
		unreachable int           // workers that receive no responses and no commands
		leaderOnly  bool          // only the leader's messages are lost
		maxGap      time.Duration // between two task starts in the cluster; 0: not checked
		maxWasted   int           // starts that were granted but did not run
		maxDeleted  int           // machines
		minDeleted  int           // machines
	}{
		{"one", 1, false, 6 * time.Second, 60, 1, 1},
		{"a tenth", 3, false, 6 * time.Second, 120, 3, 3},
		{"all of the leader's", 24, true, 12 * time.Second, 300, 0, 0},
		{"all", 24, false, 0, 400, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, leader, _, live := settledCluster(t, uint64(300+i), 3, 24)
				by := w.controllerNames
				if c.leaderOnly {
					by = []string{leader}
				}
				for _, k := range w.workers[:c.unreachable] {
					w.breakLinksTo(k, by...)
				}
				ran, before := w.startCount, w.nodes[leader].scheduler.Counters().Granted
				longest := time.Duration(0)
				for range 60 {
					live(1)
					longest = max(longest, time.Since(w.lastStartTime()))
				}
				granted := 0
				for _, n := range w.nodes {
					granted += n.scheduler.Counters().Granted
				}
				ran = w.startCount - ran
				t.Logf("%s: longest time without a start %v, %d starts granted, %d ran, %d machines returned", c.name, longest, granted-before, ran, w.deletedMachines)
				if c.maxGap > 0 && longest > c.maxGap {
					t.Errorf("no task started for %v", longest)
				}
				if wasted := granted - before - ran; wasted > c.maxWasted {
					t.Errorf("%d granted starts did not run", wasted)
				}
				if w.deletedMachines > c.maxDeleted || w.deletedMachines < c.minDeleted {
					t.Errorf("%d machines returned", w.deletedMachines)
				}
				w.healAllLinks()
				live(30)
				if time.Since(w.lastStartTime()) > 3*time.Second {
					t.Errorf("after the links healed, no task started for %v", time.Since(w.lastStartTime()))
				}
				w.stopAll()
			})
		})
	}
}

// Workers must move away from a controller that reaches neither the state service nor its peers,
// since it cannot start tasks. This holds for short and long partitions, for the leader, for
// another controller, and for both at once.
func TestWorkersLeaveIsolatedController(t *testing.T) {
	for i, long := range []int{5, 12, 120} {
		for _, who := range []string{"leader", "another", "both"} {
			t.Run(fmt.Sprintf("%s for %d s", who, long), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w, leader, others, live := settledCluster(t, uint64(400+i), 5, 24)
					cut := map[string][]string{"leader": {leader}, "another": {others[0]}, "both": {leader, others[0]}}[who]
					for _, n := range cut {
						for _, x := range append([]string{stateService}, w.controllerNames...) {
							if x != n {
								w.breakLinks(n, x)
							}
						}
					}
					longest := time.Duration(0)
					for range long {
						live(1)
						longest = max(longest, time.Since(w.lastStartTime()))
					}
					remaining := 0
					for _, k := range w.workers {
						for _, n := range cut {
							if w.nodes[n].dispatcher.UnansweredFor(k.Name) < 10*time.Second {
								remaining++
							}
						}
					}
					t.Logf("longest time without a start %v, %d workers still at an isolated controller, %d machines returned", longest, remaining, w.deletedMachines)
					if longest > 9*time.Second || w.deletedMachines > 0 {
						t.Errorf("no task started for %v, %d machines returned", longest, w.deletedMachines)
					}
					if long > 60 && remaining > 0 {
						t.Errorf("%d workers still report to an isolated controller", remaining)
					}
					w.healAllLinks()
					live(20)
					if time.Since(w.lastStartTime()) > 3*time.Second {
						t.Errorf("after the links healed, no task started for %v", time.Since(w.lastStartTime()))
					}
					w.stopAll()
				})
			})
		}
	}
}

// Jobs with an error in their specification fail on every worker. They must not cause working
// workers to be marked faulty, and must not use up starts in endless retries. They stay known to
// the cluster and complete once the error is fixed. A worker on which tasks of other jobs fail is
// still marked faulty.
func TestFailingJobsDoNotMarkWorkersFaulty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, leader, _, live := settledCluster(t, 500, 3, 24)
		fixed, faultyWorker, attempts := false, w.workers[0].Name, 0
		for _, k := range w.workers {
			k.ExitCode = func(task string) int {
				bad := strings.HasPrefix(task, "j-bad")
				if bad {
					attempts++
				}
				if bad && !fixed || k.Name == faultyWorker {
					return 3
				}
				return 0
			}
		}
		for i := range 4 {
			w.submit(fmt.Sprintf("j-bad%d", i), 40)
			w.submit(fmt.Sprintf("j-%d", 1+i), 2000)
		}
		before := w.startCount
		live(90)
		if good := w.startCount - before - attempts; good < 1000 {
			t.Errorf("only %d starts of the working jobs in 90 s", good)
		}
		t.Logf("%d attempts of failing jobs", attempts)
		if attempts > 110 {
			t.Errorf("%d attempts of failing jobs", attempts)
		}
		_, loads := w.nodes[leader].scheduler.Demand(10)
		found := false
		for _, l := range loads {
			if l.Faulty && l.Name != faultyWorker {
				t.Errorf("%s is marked faulty", l.Name)
			}
			found = found || l.Faulty
		}
		if !found {
			t.Error("the faulty worker was not marked faulty")
		}
		for i := range 4 {
			if s, ok := w.poll(w.nodes[leader], fmt.Sprintf("j-bad%d", i)); !ok || s.Stage == wire.StageDone {
				t.Errorf("a failing job has state %+v, known: %v", s, ok)
			}
		}
		fixed = true
		for end := time.Now().Add(5 * time.Minute); len(w.store.Keys("final/j-bad")) < 4 && time.Now().Before(end); {
			live(1)
		}
		if n := len(w.store.Keys("final/j-bad")); n < 4 {
			t.Errorf("%d of 4 fixed jobs are done", n)
		}
		w.stopAll()
	})
}
