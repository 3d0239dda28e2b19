package testkit_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/config"
)

// runOnCluster runs play on a new cluster, in which the tasks of the jobs j-80 and above run long. No
// fault is drawn except lost messages.
func runOnCluster(t *testing.T, seed uint64, controllers, workers int, play func(w *cluster)) {
	runOnClusterWithTeams(t, seed, []config.Team{{Name: "t"}}, controllers, workers, play)
}

// runOnClusterWithTeams is runOnCluster with the given teams.
func runOnClusterWithTeams(t *testing.T, seed uint64, teams []config.Team, controllers, workers int, play func(w *cluster)) {
	runOnPreparedCluster(t, seed, controllers, workers, func(w *cluster) { w.cfg.Params.Teams = teams }, play)
}

// runOnPreparedCluster runs play on a new cluster, which setUp changes before its controllers start.
func runOnPreparedCluster(t *testing.T, seed uint64, controllers, workers int, setUp, play func(w *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, seed)
		setUp(w)
		defer func() {
			w.stopAll()
			time.Sleep(15 * time.Second) // for transactions still in flight
		}()
		w.resize(controllers, workers)
		w.setLongTasks()
		w.startControllersOneByOne()
		w.keepBrokenLinks = true
		w.runFor(5)
		play(w)
	})
}

// startControllers starts all controllers at once.
func (w *cluster) startControllers() {
	for _, name := range w.controllerNames {
		w.start(name)
	}
}

// startControllersOneByOne starts the controllers at intervals of 100 ms.
func (w *cluster) startControllersOneByOne() {
	for _, name := range w.controllerNames {
		w.start(name)
		time.Sleep(100 * time.Millisecond)
	}
}

// leader returns the first controller that leads shards, or "".
func (w *cluster) leader() string {
	for _, n := range w.controllerNames {
		if x := w.nodes[n]; !x.down && len(x.member.LedShards()) > 0 {
			return n
		}
	}
	return ""
}

// runUntil lets time pass until the condition holds, for at most the given number of seconds.
func (w *cluster) runUntil(seconds int, condition func() bool) bool {
	for range seconds {
		if condition() {
			return true
		}
		w.runFor(1)
	}
	return condition()
}

// sessionSum sums the session numbers of all workers: it grows by one with each lease that expires.
func (w *cluster) sessionSum() (sum int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		sum += int(k.Session())
	}
	return sum
}

// lastStartTime returns the time of the last task start.
func (w *cluster) lastStartTime() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lastStart
}

// isDown reports whether a controller has crashed.
func (w *cluster) isDown(name string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.nodes[name].down
}

// step lets one heartbeat interval pass and checks the invariants. It draws faults until calm;
// afterwards it heals all links, unless keepBrokenLinks is set.
func (w *cluster) step(calm time.Time) {
	time.Sleep(reportEvery)
	w.checkInvariants()
	w.exchangeReachability()
	w.publishViews()
	w.checkWaits()
	if time.Now().Before(calm) {
		if w.planIntN(4) == 0 {
			w.toggleDrawnFault()
		}
		return
	}
	if !w.keepBrokenLinks {
		w.healAllLinks()
	}
}

// runFor lets the given number of seconds pass without drawing faults.
func (w *cluster) runFor(seconds int) {
	for range seconds {
		w.sendReports()
		w.step(time.Time{}.Add(1))
	}
}
