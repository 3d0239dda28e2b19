package testkit_test

import (
	"maps"
	"net/http"
	"testing"
	"time"
)

// roomForWorkers is how many workers a controller has connections for, of spreadWorkers.
const (
	roomForWorkers = 4
	spreadWorkers  = 9
)

// spread plays on a cluster of three controllers none of which has connections for all
// workers, so that they share them.
func spread(t *testing.T, seed uint64, play func(w *cluster, owner, holder string)) {
	runOnClusterWithTeams(t, seed, limitedTeams, 3, spreadWorkers, func(w *cluster) {
		w.connectionLimits = map[string]int{"a": roomForWorkers, "b": roomForWorkers, "c": roomForWorkers}
		w.losslessReports = true // a worker that moved for a lost message stays away for up to 30 s
		w.runFor(40)
		w.losslessReports = false
		owner := w.leader()
		holder := w.otherControllers(owner)[0]
		if held := w.held(); held[owner] == 0 || held[holder] == 0 {
			t.Fatalf("workers are not shared: %v, owner %s", held, owner)
		}
		play(w, owner, holder)
	})
}

// holders names the controller that each worker reports to.
func (w *cluster) holders() map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := map[string]string{}
	for _, k := range w.workers {
		out[k.Name] = w.controllerNames[w.dispatcherOf[k]%len(w.controllerNames)]
	}
	return out
}

// held counts the workers that report to each controller.
func (w *cluster) held() map[string]int {
	out := map[string]int{}
	for _, holder := range w.holders() {
		out[holder]++
	}
	return out
}

// TestWorkersAreSharedByConnectionLimit: a controller that has no connections for all workers keeps as many
// as it has, others hold the rest, each worker stays where it is, and no dispatcher raises its
// term above another's again and again.
func TestWorkersAreSharedByConnectionLimit(t *testing.T) {
	spread(t, 1, func(w *cluster, owner, _ string) {
		w.losslessReports, w.reliableStore, w.promptCommands = true, true, true
		w.submitArray("j-9", "t", "normal", 30, 1)
		w.runFor(40)
		before, terms := w.holders(), map[string]uint64{}
		for _, name := range w.controllerNames {
			terms[name] = w.nodes[name].member.FencingToken()
			if n := w.held()[name]; n > roomForWorkers+1 {
				t.Errorf("%s holds %d workers and has room for %d", name, n, roomForWorkers)
			}
		}
		w.submitArray("j-10", "t", "normal", 30, 1)
		if !w.runUntil(60, w.jobsEnded("j-10")) {
			t.Error("a job of short tasks does not end")
		}
		w.runFor(20)
		if after := w.holders(); !maps.Equal(before, after) {
			t.Errorf("workers moved: %v, then %v", before, after)
		}
		for _, name := range w.controllerNames {
			if term := w.nodes[name].member.FencingToken(); term != terms[name] {
				t.Errorf("%s raised its term from %d to %d", name, terms[name], term)
			}
		}
		w.connectionLimits = nil
		if !w.runUntil(80, func() bool { return w.held()[owner] == spreadWorkers }) {
			t.Errorf("with room for all at %s: %v", owner, w.held())
		}
	})
}

// TestWorkersStayWithLeaderWhileConnectionsSuffice: where one controller has room for all, it holds all.
func TestWorkersStayWithLeaderWhileConnectionsSuffice(t *testing.T) {
	runOnClusterWithTeams(t, 2, limitedTeams, 3, spreadWorkers, func(w *cluster) {
		w.losslessReports = true
		w.connectionLimits = map[string]int{"a": spreadWorkers, "b": spreadWorkers, "c": spreadWorkers}
		w.runFor(40)
		if held := w.held(); held[w.leader()] != spreadWorkers {
			t.Errorf("held: %v, owner %s", held, w.leader())
		}
		for _, name := range w.controllerNames {
			if r := &w.nodes[name].reach; r.seats != nil || r.room != 0 {
				t.Errorf("%s tells of seats %v, room %d", name, r.seats, r.room)
			}
		}
	})
}

// TestFaultsOfDispatcherThatIsNotLeader: a dispatcher that is not the leader dies, comes back at once, is cut
// from the leader with or without a way round, or its views stop: what runs is never started
// twice, limits and cancels hold, and all jobs end.
func TestFaultsOfDispatcherThatIsNotLeader(t *testing.T) {
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
			w.cutBetween(owner, holder, true)
			return func() { w.cutBetween(owner, holder, false) }
		},
		"is cut from both": func(w *cluster, _, holder string) func() {
			for _, other := range w.otherControllers(holder) {
				w.cutBetween(other, holder, true)
			}
			return func() {
				for _, other := range w.otherControllers(holder) {
					w.cutBetween(other, holder, false)
				}
			}
		},
		"its views stop": func(w *cluster, _, holder string) func() {
			w.loseViews = func(from, to *node) bool { return from.name == holder || to.name == holder }
			return func() { w.loseViews = nil }
		},
		"half of its views are lost": func(w *cluster, _, _ string) func() {
			w.loseViews = func(*node, *node) bool { return w.messageIntN(2) == 0 }
			return func() { w.loseViews = nil }
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				spread(t, 20+seed, func(w *cluster, owner, holder string) {
					w.submitArray("j-10", "t", "normal", 60, 1)
					w.submitArray("j-11", "capped", "normal", 30, 1)
					w.submitArray("j-12", "assured", "urgent", 20, 2)
					w.submitArray("j-80", "t", "low", 6, 1) // of long tasks
					w.runFor(4)
					over := trouble(w, owner, holder)
					w.runFor(2)
					cancelled := w.runUntil(30, func() bool {
						_, heard := w.userRequest(owner, http.MethodPost, "j-80")
						return heard
					})
					w.runFor(14)
					over()
					if !cancelled {
						t.Error("nobody confirms the cancel")
					}
					if !w.runUntil(60, func() bool { return w.unfinishedTasks("j-80") == 0 }) {
						t.Errorf("%d cancelled tasks go on", w.unfinishedTasks("j-80"))
					}
					if !w.runUntil(240, w.jobsEnded("j-10", "j-11", "j-12", "j-80")) {
						t.Errorf("ended: %v", w.store.Keys("final/"))
					}
				})
			}
		})
	}
}

// cutBetween breaks the links between two controllers, or mends them.
func (w *cluster) cutBetween(a, b string, off bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.brokenLinks[[2]string{a, b}], w.brokenLinks[[2]string{b, a}] = off, off
}
