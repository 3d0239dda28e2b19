package reachability_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/reachability"
)

// A status of an earlier incarnation or with a lower sequence number is dropped, on whichever path
// it arrives.
func TestOldStatusesAreDropped(t *testing.T) {
	table := reachability.NewTable("a", []string{"b"})
	update := func(startedMs int64, seq uint64, reports int, path reachability.Path) {
		table.Update(reachability.NodeStatus{Node: "b", StartedMs: startedMs, Seq: seq, Heartbeats: reports}, path, 0, noon)
	}
	for i, step := range []struct {
		startedMs int64
		seq       uint64
		reports   int
		want      int
	}{{1, 5, 10, 10}, {1, 4, 20, 10}, {2, 1, 30, 30}, {1, 9, 40, 30}, {2, 2, 50, 50}} {
		update(step.startedMs, step.seq, step.reports, reachability.Path(i%3))
		if got := table.View(reachability.NodeStatus{}, noon).Peers[0].Status.Heartbeats; got != step.want {
			t.Errorf("step %d: %d, not %d", i, got, step.want)
		}
	}
	update(9, 9, 9, reachability.Direct)
	table.Update(reachability.NodeStatus{Node: "x", StartedMs: 1, Seq: 1}, reachability.Direct, 0, noon)
	if n := len(table.View(reachability.NodeStatus{}, noon).Peers); n != 1 {
		t.Errorf("%d peers", n)
	}
}

// A controller restarts while another one is cut off or stopped. A third controller reports when it
// last heard the lost one, and the restarted controller uses this to judge unresponsive workers.
// Without that report, it must assume that the lost one was cut off at the time of the restart.
// Outdated statuses are relayed only shortly after the start.
func TestRestartedControllerLearnsOfLostPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		third := reachability.NewTable("c", []string{"a", "b"})
		status := func(node string, startedMs int64, unreached ...string) reachability.NodeStatus {
			return reachability.NodeStatus{Node: node, StartedMs: startedMs, Seq: 1, UnreachedPeers: unreached}
		}
		third.Update(status("a", 1), reachability.Direct, 0, time.Now())
		third.Update(status("b", 1), reachability.Direct, 0, time.Now())
		for _, lostFor := range []time.Duration{20 * time.Second, 50 * time.Second} { // since b's last status, after which b may answer workers for 61 s
			time.Sleep(lostFor)
			if relayed := third.RelayFor("a", time.Now()); len(relayed) > 0 {
				t.Errorf("relayed to a process that has not restarted: %+v", relayed)
			}
			incarnation := int64(lostFor)
			third.Update(status("a", incarnation, "b"), reachability.Direct, 0, time.Now())
			for _, informed := range []bool{true, false} {
				table := reachability.NewTable("a", []string{"b", "c"})
				if informed {
					relayed := third.RelayFor("a", time.Now())
					if len(relayed) != 1 || relayed[0].Status.Node != "b" {
						t.Fatalf("relayed to a restarted process: %+v", relayed)
					}
					table.UpdateRelayed(relayed, time.Now())
				}
				table.Update(status("c", 1), reachability.Direct, 0, time.Now())
				time.Sleep(time.Second)
				v := table.View(reachability.NodeStatus{Node: "a", Heartbeats: 380, ExpectedHeartbeats: 400}, time.Now())
				detector, failed := newDetector(), 0
				for i := range 2 {
					got := detector.Evaluate(time.Now().Add(time.Duration(i)*time.Second), &v, reachability.ReceiveHealth{}, 1000, notHeardSinceFailover(unresponsiveWorkers(70, 15*time.Second)))
					for name := range got.Probe {
						detector.RecordProbe(name, false, time.Now().Add(time.Duration(i)*time.Second))
					}
					failed = len(got.Failed)
				}
				if want := informed && lostFor > 44*time.Second; (failed > 0) != want {
					t.Errorf("informed %v, lost for %v: %d workers failed", informed, lostFor, failed)
				}
			}
			time.Sleep(10 * time.Second)
			if relayed := third.RelayFor("a", time.Now()); len(relayed) > 0 {
				t.Errorf("relayed long after the restart: %+v", relayed)
			}
		}
	})
}
