package testkit_test

import (
	"maps"
	"net/http"
	"testing"
	"time"
)

// connectionsPerController is how many workers a controller has connections for, of sharedWorkers.
const (
	connectionsPerController = 4
	sharedWorkers  = 9
)

// onSharedWorkers plays on a cluster of three controllers none of which has connections for all
// workers, so that they share them.
func onSharedWorkers(t *testing.T, seed uint64, play func(w *cluster, owner, holder string)) {
	onClusterWith(t, seed, limitedTeams, 3, sharedWorkers, func(w *cluster) {
		w.connectionLimits = map[string]int{"a": connectionsPerController, "b": connectionsPerController, "c": connectionsPerController}
		w.losslessReports = true // a worker that moved for a lost message stays away for up to 30 s
		w.live(40)
		w.losslessReports = false
		owner := w.leader()
		holder := w.others(owner)[0]
		if held := w.workerCounts(); held[owner] == 0 || held[holder] == 0 {
			t.Fatalf("workers are not shared: %v, owner %s", held, owner)
		}
		play(w, owner, holder)
	})
}

// dispatcherNames names the controller that each worker reports to.
func (w *cluster) dispatcherNames() map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]string{}
	for _, k := range w.workers {
		out[k.Name] = w.names[w.dispatcherOf[k]%len(w.names)]
	}
	return out
}

// workerCounts counts the workers that report to each controller.
func (w *cluster) workerCounts() map[string]int {
	out := map[string]int{}
	for _, holder := range w.dispatcherNames() {
		out[holder]++
	}
	return out
}

// TestWorkersAreSharedByConnectionLimit: a controller that has no connections for all workers keeps as many
// as it has, others hold the rest, each worker stays where it is, and no dispatcher raises its
// term above another's again and again.
func TestWorkersAreSharedByConnectionLimit(t *testing.T) {
	onSharedWorkers(t, 1, func(w *cluster, owner, _ string) {
		w.losslessReports, w.reliableStore, w.promptCommands = true, true, true
		w.job("j-9", "t", "normal", 30, 1)
		w.live(40)
		before, terms := w.dispatcherNames(), map[string]uint64{}
		for _, name := range w.names {
			terms[name] = w.nodes[name].member.FencingToken()
			if n := w.workerCounts()[name]; n > connectionsPerController+1 {
				t.Errorf("%s holds %d workers and has room for %d", name, n, connectionsPerController)
			}
		}
		w.job("j-10", "t", "normal", 30, 1)
		if !w.within(60, w.ended("j-10")) {
			t.Error("a job of short tasks does not end")
		}
		w.live(20)
		if after := w.dispatcherNames(); !maps.Equal(before, after) {
			t.Errorf("workers moved: %v, then %v", before, after)
		}
		for _, name := range w.names {
			if term := w.nodes[name].member.FencingToken(); term != terms[name] {
				t.Errorf("%s raised its term from %d to %d", name, terms[name], term)
			}
		}
		w.connectionLimits = nil
		if !w.within(80, func() bool { return w.workerCounts()[owner] == sharedWorkers }) {
			t.Errorf("with room for all at %s: %v", owner, w.workerCounts())
		}
	})
}

// TestWorkersStayWithLeaderWhileConnectionsSuffice: where one controller has room for all, it holds all.
func TestWorkersStayWithLeaderWhileConnectionsSuffice(t *testing.T) {
	onClusterWith(t, 2, limitedTeams, 3, sharedWorkers, func(w *cluster) {
		w.losslessReports = true
		w.connectionLimits = map[string]int{"a": sharedWorkers, "b": sharedWorkers, "c": sharedWorkers}
		w.live(40)
		if held := w.workerCounts(); held[w.leader()] != sharedWorkers {
			t.Errorf("held: %v, owner %s", held, w.leader())
		}
		for _, name := range w.names {
			if r := &w.nodes[name].reach; r.assignments != nil || r.workerCapacity != 0 {
				t.Errorf("%s tells of seats %v, room %d", name, r.assignments, r.workerCapacity)
			}
		}
	})
}

// TestFaultsOfNonLeaderDispatcher: a dispatcher that is not the leader dies, comes back at once, is cut
// from the leader with or without a way round, or its views stop: what runs is never started
// twice, limits and cancels hold, and all jobs end.
func TestFaultsOfNonLeaderDispatcher(t *testing.T) {
	for name, trouble := range map[string]func(w *cluster, owner, holder string) (over func()){
		"dies": func(w *cluster, _, holder string) func() {
			w.crash(holder)
			return func() { w.start(holder) }
		},
		"returns within a second": func(w *cluster, _, holder string) func() {
			w.restart(holder, 300*time.Millisecond)
			return func() {}
		},
		"is cut from the owner": func(w *cluster, owner, holder string) func() {
			w.setLinksBroken(owner, holder, true)
			return func() { w.setLinksBroken(owner, holder, false) }
		},
		"is cut from both": func(w *cluster, _, holder string) func() {
			for _, other := range w.others(holder) {
				w.setLinksBroken(other, holder, true)
			}
			return func() {
				for _, other := range w.others(holder) {
					w.setLinksBroken(other, holder, false)
				}
			}
		},
		"its views stop": func(w *cluster, _, holder string) func() {
			w.loseViews = func(from, to *node) bool { return from.name == holder || to.name == holder }
			return func() { w.loseViews = nil }
		},
		"half of its views are lost": func(w *cluster, _, _ string) func() {
			w.loseViews = func(*node, *node) bool { return w.chance(2) == 0 }
			return func() { w.loseViews = nil }
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				onSharedWorkers(t, 20+seed, func(w *cluster, owner, holder string) {
					w.job("j-10", "t", "normal", 60, 1)
					w.job("j-11", "capped", "normal", 30, 1)
					w.job("j-12", "assured", "urgent", 20, 2)
					w.job("j-80", "t", "low", 6, 1) // of long tasks
					w.live(4)
					over := trouble(w, owner, holder)
					w.live(2)
					cancelled := w.within(30, func() bool {
						_, heard := w.user(owner, http.MethodPost, "j-80")
						return heard
					})
					w.live(14)
					over()
					if !cancelled {
						t.Error("nobody confirms the cancel")
					}
					if !w.within(60, func() bool { return w.onMachines("j-80") == 0 }) {
						t.Errorf("%d cancelled tasks go on", w.onMachines("j-80"))
					}
					if !w.within(240, w.ended("j-10", "j-11", "j-12", "j-80")) {
						t.Errorf("ended: %v", w.store.Keys("final/"))
					}
				})
			}
		})
	}
}

// setLinksBroken breaks the links between two controllers, or mends them.
func (w *cluster) setLinksBroken(a, b string, off bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.brokenLinks[[2]string{a, b}], w.brokenLinks[[2]string{b, a}] = off, off
}
