package testkit_test

import (
	"testing"
	"time"
)

// Guards against dead machines that stay rented after a restart of all controllers, one of which
// stays away: it may answer them for its grace period, and their leases last for a lease more.
func TestDeadMachinesAreReturnedAfterRestartOfAllControllers(t *testing.T) {
	const (
		dead  = 3
		slack = 15 * time.Second // the failover, the detector's timeout and a probe
	)
	for i, c := range []struct {
		name   string
		away   time.Duration // until the last controller is back; 0: never
		within time.Duration // of the start of the others
	}{
		{"one stays away", 0, testGrace + workerLease + slack},
		{"one is back after 5 s", 5 * time.Second, 5*time.Second + workerLease + slack},
		{"all are back", time.Nanosecond, workerLease + slack},
	} {
		t.Run(c.name, func(t *testing.T) {
			runOnCluster(t, 4900+uint64(i), 3, 12, func(w *cluster) {
				w.submit("j-80", 24)
				w.runFor(10)
				for _, k := range w.workers[:dead] {
					w.breakLinks(k.Name, w.controllerNames...)
				}
				w.runFor(1)
				last := w.controllerNames[len(w.controllerNames)-1]
				w.stopAll()
				for _, name := range w.controllerNames {
					if name != last || c.away == time.Nanosecond {
						w.start(name)
					}
				}
				began := time.Now()
				for w.deletedMachines < dead && time.Since(began) < c.within {
					if c.away > time.Nanosecond && time.Since(began) >= c.away && w.nodes[last].down {
						w.start(last)
					}
					w.runFor(1)
				}
				t.Logf("%d of %d returned after %v", w.deletedMachines, dead, time.Since(began))
				if w.deletedMachines != dead {
					t.Errorf("%d of %d dead machines are returned %v after the restart", w.deletedMachines, dead, time.Since(began))
				}
			})
		})
	}
}
