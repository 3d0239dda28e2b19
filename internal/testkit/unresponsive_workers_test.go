package testkit_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// settledCluster starts a cluster with so many controllers, lets it run with a long job, and
// returns the leader's name and the others'. live lets seconds pass, with no faults
// drawn and nothing healed.
func settledCluster(t *testing.T, seed uint64, controllers, workers int) (w *cluster, owner string, others []string, live func(seconds int)) {
	w = newCluster(t, seed)
	w.bigger(controllers, workers)
	w.startInTurn()
	live = w.live
	w.submit("j-0", 6000)
	w.keepCuts = true
	live(25)
	for _, n := range w.names {
		if len(w.nodes[n].member.LedShards()) > 0 {
			owner = n
		} else {
			others = append(others, n)
		}
	}
	if owner == "" || time.Since(w.lastStart()) > 3*time.Second {
		t.Fatalf("no start before the trouble; owner %q", owner)
	}
	return w, owner, others, live
}

// Workers whose reports arrive and which no answer and no command reaches must not
// take one start after the other for nothing: by one worker, by a tenth, by all that
// the leader reaches, by all. What runs goes on, those that nothing reaches are
// returned in time, and no other.
func TestWorkersUnresponsiveToCommands(t *testing.T) {
	for i, c := range []struct {
		name    string
		deaf    int  // workers
		owner   bool // by the leader alone
		gap     time.Duration
		wasted  int // starts granted and not run, at most
		back    int // machines deleted, at most
		atLeast int
	}{
		{"one", 1, false, 6 * time.Second, 60, 1, 1},
		{"a tenth", 3, false, 6 * time.Second, 120, 3, 3},
		{"all of the owner's", 24, true, 12 * time.Second, 300, 0, 0},
		{"all", 24, false, 0, 400, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w, owner, _, live := settledCluster(t, uint64(300+i), 3, 24)
				by := w.names
				if c.owner {
					by = []string{owner}
				}
				for _, k := range w.workers[:c.deaf] {
					w.unheard(k, by...)
				}
				ran, before := w.starts, w.nodes[owner].scheduler.Counters().Granted
				longest := time.Duration(0)
				for range 60 {
					live(1)
					longest = max(longest, time.Since(w.lastStart()))
				}
				granted := 0
				for _, n := range w.nodes {
					granted += n.scheduler.Counters().Granted
				}
				ran = w.starts - ran
				t.Logf("%s: %v without a start, %d granted, %d ran, %d returned", c.name, longest, granted-before, ran, w.returnedMachines)
				if c.gap > 0 && longest > c.gap {
					t.Errorf("%v without a start", longest)
				}
				if wasted := granted - before - ran; wasted > c.wasted {
					t.Errorf("%d starts for nothing", wasted)
				}
				if w.returnedMachines > c.back || w.returnedMachines < c.atLeast {
					t.Errorf("%d machines returned", w.returnedMachines)
				}
				w.healed()
				live(30)
				if time.Since(w.lastStart()) > 3*time.Second {
					t.Errorf("after the healing no start for %v", time.Since(w.lastStart()))
				}
				w.stopAll()
			})
		})
	}
}

// A controller that loses the state service and the other controllers, and not its
// workers, lets them go: for whatever time, as leader or not, and two at once.
func TestWorkersLeaveIsolatedController(t *testing.T) {
	for i, long := range []int{5, 12, 120} {
		for _, who := range []string{"owner", "another", "both"} {
			t.Run(fmt.Sprintf("%s for %d s", who, long), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w, owner, others, live := settledCluster(t, uint64(400+i), 5, 24)
					cut := map[string][]string{"owner": {owner}, "another": {others[0]}, "both": {owner, others[0]}}[who]
					for _, n := range cut {
						for _, x := range append([]string{stateService}, w.names...) {
							if x != n {
								w.cutAll(n, x)
							}
						}
					}
					longest := time.Duration(0)
					for range long {
						live(1)
						longest = max(longest, time.Since(w.lastStart()))
					}
					held := 0
					for _, k := range w.workers {
						for _, n := range cut {
							if w.nodes[n].dispatcher.UnansweredFor(k.Name) < 10*time.Second {
								held++
							}
						}
					}
					t.Logf("%v without a start, %d workers still there, %d returned", longest, held, w.returnedMachines)
					if longest > 9*time.Second || w.returnedMachines > 0 {
						t.Errorf("%v without a start, %d machines returned", longest, w.returnedMachines)
					}
					if long > 60 && held > 0 {
						t.Errorf("%d workers are still held by who can start nothing", held)
					}
					w.healed()
					live(20)
					if time.Since(w.lastStart()) > 3*time.Second {
						t.Errorf("after the healing no start for %v", time.Since(w.lastStart()))
					}
					w.stopAll()
				})
			})
		}
	}
}

// Jobs that were submitted with a mistake fail on every worker. They must not make
// sound workers faulty, or take a start after the other; they stay known, and are
// done in earnest once they can be. A worker that fails what runs elsewhere is still
// told apart.
func TestFailingJobsDoNotMarkWorkersFaulty(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, owner, _, live := settledCluster(t, 500, 3, 24)
		mended, sick, tried := false, w.workers[0].Name, 0
		for _, k := range w.workers {
			k.Exit = func(task string) int {
				bad := strings.HasPrefix(task, "j-bad")
				if bad {
					tried++
				}
				if bad && !mended || k.Name == sick {
					return 3
				}
				return 0
			}
		}
		for i := range 4 {
			w.submit(fmt.Sprintf("j-bad%d", i), 40)
			w.submit(fmt.Sprintf("j-%d", 1+i), 2000)
		}
		before := w.starts
		live(90)
		if good := w.starts - before - tried; good < 1000 {
			t.Errorf("%d starts of the sound job in 90 s", good)
		}
		t.Logf("%d tries", tried)
		if tried > 110 {
			t.Errorf("%d tries of faulty jobs", tried)
		}
		_, loads := w.nodes[owner].scheduler.Demand(10)
		found := false
		for _, l := range loads {
			if l.Faulty && l.Name != sick {
				t.Errorf("%s is called faulty", l.Name)
			}
			found = found || l.Faulty
		}
		if !found {
			t.Error("the sick machine was not found out")
		}
		for i := range 4 {
			if s, ok := w.poll(w.nodes[owner], fmt.Sprintf("j-bad%d", i)); !ok || s.Stage == wire.StageDone {
				t.Errorf("a faulty job: %+v, %v", s, ok)
			}
		}
		mended = true
		for end := time.Now().Add(5 * time.Minute); len(w.store.Keys("final/j-bad")) < 4 && time.Now().Before(end); {
			live(1)
		}
		if n := len(w.store.Keys("final/j-bad")); n < 4 {
			t.Errorf("%d of 4 mended jobs are done", n)
		}
		w.stopAll()
	})
}
