package testkit_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// delayWatch delays the events of a controller's watch of a prefix, or of all its watches if prefix is empty.
func (w *cluster) delayWatch(name, prefix string, by time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	previous := w.watchLagOf
	w.watchLagOf = func(n *node, watched string) time.Duration {
		switch {
		case n.name == name && (prefix == "" || watched == prefix):
			return by
		case previous != nil:
			return previous(n, watched)
		}
		return 0
	}
}

// A job is accepted and done at one leader, which then transfers its shards, or crashes, before the
// successor's watch delivers the acceptance. The successor reads the records after the job's end, so the
// watch events of the job are outdated: the job must not run again, and every controller reports it as done.
func TestLateWatchEventOfEndedJobAdmitsNothing(t *testing.T) {
	const lag = 15 * time.Second
	for _, how := range []string{"transfer", "crash"} {
		t.Run(how, func(t *testing.T) {
			runOnCluster(t, 3710, 2, 6, func(w *cluster) {
				first := w.leader()
				second := w.otherControllers(first)[0]
				for _, n := range w.nodes {
					n.view.LoseResponse, n.view.Hold = nil, nil
				}
				w.delayWatch(second, "live/", lag)
				for _, k := range w.workers {
					k.RunTime = func(string) time.Duration { return time.Second }
				}
				w.submit("j-1", 1)
				accepted := time.Now()
				if !w.runUntil(10, w.jobsEnded("j-1")) {
					t.Fatal("the job did not end")
				}
				if stage, ok := w.userRequest(first, http.MethodGet, "j-1"); !ok || stage != wire.StageDone {
					t.Fatalf("%s reports stage %s, %v", first, stage, ok)
				}
				started := w.startCount
				if how == "crash" {
					w.crash(first)
				} else if err := w.nodes[first].member.TransferShards(context.Background(), second); err != nil {
					t.Fatal(err)
				}
				if !w.runUntil(8, func() bool { return w.leader() == second && w.nodes[second].scheduler.Counters().Failovers > 0 }) || time.Since(accepted) > lag {
					t.Fatalf("the successor did not take over before its watch delivered the acceptance, %v ago", time.Since(accepted))
				}
				for time.Since(accepted) < 2*lag+5*time.Second {
					w.runFor(1)
					w.userRequest(second, http.MethodGet, "j-1") // fails the test if the stage is not done
				}
				if w.startCount != started {
					t.Errorf("%d starts after the job was done", w.startCount-started)
				}
			})
		})
	}
}
