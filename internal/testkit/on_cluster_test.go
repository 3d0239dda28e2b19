package testkit_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/config"
)

// runOnCluster plays a test on a new cluster, in which the tasks of jobs from 80
// on run for long. Nothing is drawn but lost messages.
func runOnCluster(t *testing.T, seed uint64, controllers, workers int, play func(w *cluster)) {
	runOnClusterWithTeams(t, seed, []config.Team{{Name: "t"}}, controllers, workers, play)
}

// runOnClusterWithTeams is onCluster with these teams.
func runOnClusterWithTeams(t *testing.T, seed uint64, teams []config.Team, controllers, workers int, play func(w *cluster)) {
	runOnPreparedCluster(t, seed, controllers, workers, func(w *cluster) { w.cfg.Params.Teams = teams }, play)
}

// runOnPreparedCluster plays a test on a new cluster that setUp has prepared before its controllers start.
func runOnPreparedCluster(t *testing.T, seed uint64, controllers, workers int, setUp, play func(w *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, seed)
		setUp(w)
		defer func() {
			w.stopAll()
			time.Sleep(15 * time.Second) // what is still on its way in the store
		}()
		w.bigger(controllers, workers)
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

// startControllersOneByOne starts the controllers one after the other.
func (w *cluster) startControllersOneByOne() {
	for _, name := range w.controllerNames {
		w.start(name)
		time.Sleep(100 * time.Millisecond)
	}
}

// leader is the controller that owns the jobs, or "".
func (w *cluster) leader() string {
	for _, n := range w.controllerNames {
		if x := w.nodes[n]; !x.down && len(x.member.LedShards()) > 0 {
			return n
		}
	}
	return ""
}

// runUntil lives until something holds, for at most so many seconds.
func (w *cluster) runUntil(seconds int, holds func() bool) bool {
	for range seconds {
		if holds() {
			return true
		}
		w.runFor(1)
	}
	return holds()
}

// sessionSum sums the sessionSum of all workers: it grows by one with each lease that ends.
func (w *cluster) sessionSum() (sum int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		sum += int(k.Session())
	}
	return sum
}

// lastStartTime is when a task last started.
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

// step lets a time between reports pass, with faults until it is calm.
func (w *cluster) step(calm time.Time) {
	time.Sleep(reportEvery)
	w.checkInvariants()
	w.exchange()
	w.publish()
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

// runFor lets seconds pass, with no faults drawn and nothing healed.
func (w *cluster) runFor(seconds int) {
	for range seconds {
		w.reportAll()
		w.step(time.Time{}.Add(1))
	}
}
