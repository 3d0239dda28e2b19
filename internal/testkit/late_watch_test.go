package testkit_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// delayWatch delays what a controller's watch of a prefix tells it, of any if there is no prefix.
func (w *cluster) delayWatch(name, prefix string, by time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	others := w.watchLagOf
	w.watchLagOf = func(n *node, of string) time.Duration {
		switch {
		case n.name == name && (prefix == "" || of == prefix):
			return by
		case others != nil:
			return others(n, of)
		}
		return 0
	}
}

// A job is accepted and done at one leader, which then transfers its shards, or ends, before the
// successor's watch has told it of the acceptance. The successor has read the records after
// the job's end, so what the watch still brings of it is old: the job is not run again, and
// nobody calls it anything but done.
func TestLateWatchEventOfEndedJobAdmitsNothing(t *testing.T) {
	const lag = 15 * time.Second
	for _, how := range []string{"hand-over", "end"} {
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
					t.Fatalf("%s says %s, %v", first, stage, ok)
				}
				started := w.startCount
				if how == "end" {
					w.crash(first)
				} else if err := w.nodes[first].member.TransferShards(context.Background(), second); err != nil {
					t.Fatal(err)
				}
				if !w.runUntil(8, func() bool { return w.leader() == second && w.nodes[second].scheduler.Counters().Failovers > 0 }) || time.Since(accepted) > lag {
					t.Fatalf("the successor did not act before its watch told of the acceptance, %v ago", time.Since(accepted))
				}
				for time.Since(accepted) < 2*lag+5*time.Second {
					w.runFor(1)
					w.userRequest(second, http.MethodGet, "j-1") // fails on anything but done
				}
				if w.startCount != started {
					t.Errorf("%d starts after the job was done", w.startCount-started)
				}
			})
		})
	}
}
