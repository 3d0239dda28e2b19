package testkit_test

import (
	"testing"
	"time"
)

// Guards against dead machines that stay rented after all controllers restart and one stays down.
// The others must assume that it still answers the machines' workers during its grace period,
// after which the workers' leases can last for one more lease duration.
func TestDeadMachinesAreReturnedAfterRestartOfAllControllers(t *testing.T) {
	const (
		dead  = 3
		slack = 15 * time.Second // for the failover, the failure detector's timeout and a probe
	)
	for i, c := range []struct {
		name   string
		away   time.Duration // time until the last controller restarts; 0: never
		within time.Duration // time after the others' restart until all dead machines must be returned
	}{
		{"one stays down", 0, dispatchGrace + workerLease + slack},
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
				t.Logf("%d of %d dead machines returned after %v", w.deletedMachines, dead, time.Since(began))
				if w.deletedMachines != dead {
					t.Errorf("only %d of %d dead machines were returned %v after the restart", w.deletedMachines, dead, time.Since(began))
				}
			})
		})
	}
}
