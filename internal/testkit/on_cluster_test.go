package testkit_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/config"
)

// onCluster plays a test on a new cluster, in which the tasks of jobs from 80
// on run for long. Nothing is drawn but lost messages.
func onCluster(t *testing.T, seed uint64, controllers, workers int, play func(w *cluster)) {
	onClusterWith(t, seed, []config.Team{{Name: "t"}}, controllers, workers, play)
}

// onClusterWith is onCluster with these teams.
func onClusterWith(t *testing.T, seed uint64, teams []config.Team, controllers, workers int, play func(w *cluster)) {
	playOn(t, seed, controllers, workers, func(w *cluster) { w.cfg.Params.Teams = teams }, play)
}

// playOn plays a test on a new cluster that setUp has prepared before its controllers start.
func playOn(t *testing.T, seed uint64, controllers, workers int, setUp, play func(w *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, seed)
		setUp(w)
		defer func() {
			w.stopAll()
			time.Sleep(15 * time.Second) // what is still on its way in the store
		}()
		w.bigger(controllers, workers)
		w.long()
		w.startInTurn()
		w.keepCuts = true
		w.live(5)
		play(w)
	})
}

// startNodes starts all controllers at once.
func (w *cluster) startNodes() {
	for _, name := range w.names {
		w.start(name)
	}
}

// startInTurn starts the controllers one after the other.
func (w *cluster) startInTurn() {
	for _, name := range w.names {
		w.start(name)
		time.Sleep(100 * time.Millisecond)
	}
}

// leader is the controller that owns the jobs, or "".
func (w *cluster) leader() string {
	for _, n := range w.names {
		if x := w.nodes[n]; !x.down && len(x.member.LedShards()) > 0 {
			return n
		}
	}
	return ""
}

// within lives until something holds, for at most so many seconds.
func (w *cluster) within(seconds int, holds func() bool) bool {
	for range seconds {
		if holds() {
			return true
		}
		w.live(1)
	}
	return holds()
}

// sessions sums the sessions of all workers: it grows by one with each lease that ends.
func (w *cluster) sessions() (sum int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		sum += int(k.Session())
	}
	return sum
}

// lastStart is when a task last started.
func (w *cluster) lastStart() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
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
	w.check()
	w.exchangeReachability()
	w.publishViews()
	w.checkWaits()
	if time.Now().Before(calm) {
		if w.draw(4) == 0 {
			w.trouble()
		}
		return
	}
	if !w.keepCuts {
		w.healed()
	}
}

// live lets seconds pass, with no faults drawn and nothing healed.
func (w *cluster) live(seconds int) {
	for range seconds {
		w.sendReports()
		w.step(time.Time{}.Add(1))
	}
}
