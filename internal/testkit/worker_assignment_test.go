package testkit_test

import (
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"
)

const (
	connectionsPerController = 4 // workers that one controller can serve
	sharedWorkers            = 9 // workers in the cluster
)

// onSharedWorkers runs a test on a cluster of three controllers, none of which has connections
// for all workers, so that several dispatchers share them.
func onSharedWorkers(t *testing.T, seed uint64, play func(w *cluster, leader, dispatcher string)) {
	runOnClusterWithTeams(t, seed, limitedTeams, 3, sharedWorkers, func(w *cluster) {
		w.connectionLimits = map[string]int{"a": connectionsPerController, "b": connectionsPerController, "c": connectionsPerController}
		w.losslessReports = true // a worker that moved after a lost message returns only after up to 30 s
		w.runFor(40)
		w.losslessReports = false
		leader := w.leader()
		dispatcher := w.otherControllers(leader)[0]
		if counts := w.workerCounts(); counts[leader] == 0 || counts[dispatcher] == 0 {
			t.Fatalf("workers are not shared: %v, leader %s", counts, leader)
		}
		play(w, leader, dispatcher)
	})
}

// dispatcherNames returns, by worker, the name of the controller that it reports to.
func (w *cluster) dispatcherNames() map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]string{}
	for _, k := range w.workers {
		out[k.Name] = w.controllerNames[w.dispatcherOf[k]%len(w.controllerNames)]
	}
	return out
}

// workerCounts returns the number of workers that report to each controller.
func (w *cluster) workerCounts() map[string]int {
	out := map[string]int{}
	for _, dispatcher := range w.dispatcherNames() {
		out[dispatcher]++
	}
	return out
}

// fencingTokens returns the fencing token of each controller.
func (w *cluster) fencingTokens() map[string]uint64 {
	tokens := map[string]uint64{}
	for _, name := range w.controllerNames {
		tokens[name] = w.nodes[name].member.FencingToken()
	}
	return tokens
}

// A controller without connections for all workers serves as many as it has connections for, and
// other controllers serve the rest. No worker moves, and dispatchers acquire new fencing tokens
// only so that exited tasks can be forgotten, one in forgetTokenInterval at most: otherwise
// dispatchers could acquire ever higher tokens in turn without end.
func TestWorkersAreSharedByConnectionLimit(t *testing.T) {
	const forgetTokenInterval = 10 * time.Second
	onSharedWorkers(t, 1, func(w *cluster, leader, _ string) {
		w.losslessReports, w.reliableStore, w.promptCommands = true, true, true
		w.submitArray("j-9", "t", "normal", 30, 1)
		w.runFor(40)
		before, tokens, began := w.dispatcherNames(), w.fencingTokens(), time.Now()
		for _, name := range w.controllerNames {
			if n := w.workerCounts()[name]; n > connectionsPerController+1 {
				t.Errorf("%s serves %d workers and has connections for %d", name, n, connectionsPerController)
			}
		}
		w.submitArray("j-10", "t", "normal", 30, 1)
		if !w.runUntil(60, w.jobsEnded("j-10")) {
			t.Error("a job of short tasks did not end within 60 s")
		}
		w.runFor(20)
		if after := w.dispatcherNames(); !maps.Equal(before, after) {
			t.Errorf("workers moved between controllers: before %v, after %v", before, after)
		}
		// All tokens come from one counter, which counts the raises of all dispatchers.
		limit := uint64(len(w.controllerNames)) * uint64(1+time.Since(began)/forgetTokenInterval)
		settled := w.fencingTokens()
		if raises := slices.Max(slices.Collect(maps.Values(settled))) - slices.Max(slices.Collect(maps.Values(tokens))); raises > limit {
			t.Errorf("the fencing tokens rose %d times in %v, from %v to %v", raises, time.Since(began), tokens, settled)
		}
		w.submitArray("j-81", "t", "normal", 9, 1) // its tasks run for long
		w.runFor(60)
		if after := w.fencingTokens(); !maps.Equal(settled, after) {
			t.Errorf("the fencing tokens rose from %v to %v while no task exited", settled, after)
		}
		if after := w.dispatcherNames(); !maps.Equal(before, after) {
			t.Errorf("workers moved between controllers: before %v, after %v", before, after)
		}
		w.connectionLimits = nil
		if !w.runUntil(80, func() bool { return w.workerCounts()[leader] == sharedWorkers }) {
			t.Errorf("%s has connections for all workers, but workers by controller are %v", leader, w.workerCounts())
		}
	})
}

// While the leader has connections for all workers, all of them report to it.
func TestWorkersStayWithLeaderWhileConnectionsSuffice(t *testing.T) {
	runOnClusterWithTeams(t, 2, limitedTeams, 3, sharedWorkers, func(w *cluster) {
		w.losslessReports = true
		w.connectionLimits = map[string]int{"a": sharedWorkers, "b": sharedWorkers, "c": sharedWorkers}
		w.runFor(40)
		if counts := w.workerCounts(); counts[w.leader()] != sharedWorkers {
			t.Errorf("workers by controller: %v, leader %s", counts, w.leader())
		}
		for _, name := range w.controllerNames {
			if r := &w.nodes[name].reach; r.assignments != nil || r.workerCapacity != 0 {
				t.Errorf("%s announces assignments %v and capacity %d", name, r.assignments, r.workerCapacity)
			}
		}
	})
}

// A dispatcher that is not the leader crashes, restarts, loses its link to the leader or to both
// other controllers, or its views are lost. No running task is started twice, limits and cancels
// are enforced, and all jobs end.
func TestFaultsOfNonLeaderDispatcher(t *testing.T) {
	for name, fault := range map[string]func(w *cluster, leader, dispatcher string) (heal func()){
		"dies": func(w *cluster, _, dispatcher string) func() {
			w.crash(dispatcher)
			return func() { w.start(dispatcher) }
		},
		"returns within a second": func(w *cluster, _, dispatcher string) func() {
			w.restart(dispatcher, 300*time.Millisecond)
			return func() {}
		},
		"is cut from the leader": func(w *cluster, leader, dispatcher string) func() {
			w.setLinksBroken(leader, dispatcher, true)
			return func() { w.setLinksBroken(leader, dispatcher, false) }
		},
		"is cut from both": func(w *cluster, _, dispatcher string) func() {
			for _, other := range w.otherControllers(dispatcher) {
				w.setLinksBroken(other, dispatcher, true)
			}
			return func() {
				for _, other := range w.otherControllers(dispatcher) {
					w.setLinksBroken(other, dispatcher, false)
				}
			}
		},
		"its views stop": func(w *cluster, _, dispatcher string) func() {
			w.loseViews = func(from, to *node) bool { return from.name == dispatcher || to.name == dispatcher }
			return func() { w.loseViews = nil }
		},
		"half of its views are lost": func(w *cluster, _, _ string) func() {
			w.loseViews = func(*node, *node) bool { return w.messageIntN(2) == 0 }
			return func() { w.loseViews = nil }
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				onSharedWorkers(t, 20+seed, func(w *cluster, leader, dispatcher string) {
					w.submitArray("j-10", "t", "normal", 60, 1)
					w.submitArray("j-11", "capped", "normal", 30, 1)
					w.submitArray("j-12", "assured", "urgent", 20, 2)
					w.submitArray("j-80", "t", "low", 6, 1) // its tasks run for long
					w.runFor(4)
					heal := fault(w, leader, dispatcher)
					w.runFor(2)
					cancelled := w.runUntil(30, func() bool {
						_, heard := w.userRequest(leader, http.MethodPost, "j-80")
						return heard
					})
					w.runFor(14)
					heal()
					if !cancelled {
						t.Error("the cancel was not confirmed within 30 s")
					}
					if !w.runUntil(60, func() bool { return w.unfinishedTasks("j-80") == 0 }) {
						t.Errorf("%d cancelled tasks are still running", w.unfinishedTasks("j-80"))
					}
					if !w.runUntil(240, w.jobsEnded("j-10", "j-11", "j-12", "j-80")) {
						t.Errorf("not all jobs ended; ended: %v", w.store.Keys("final/"))
					}
				})
			}
		})
	}
}

// setLinksBroken breaks or heals both links between two controllers.
func (w *cluster) setLinksBroken(a, b string, broken bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.brokenLinks[[2]string{a, b}], w.brokenLinks[[2]string{b, a}] = broken, broken
}
