package testkit_test

import (
	"slices"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// Guards against shards that nobody leads after a transfer: the new leader's watch is behind.

// A controller that shards are transferred to leads them soon, although its watch is behind.
func TestTransferredShardsAreLedWhileWatchLags(t *testing.T) {
	const behind = 10 * time.Second
	for _, c := range []struct {
		name        string
		answerLost  bool // of the transfer's transaction
		within      int  // seconds until the shards are led
		alsoOldLags bool // the watch of the old leader is behind too
	}{
		{name: "the transfer is answered", within: 2},
		{name: "its answer is lost", answerLost: true, within: 4},
		{name: "its answer is lost, and both watches are behind", answerLost: true, alsoOldLags: true, within: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			onCluster(t, 1700, 3, 8, func(w *cluster) {
				w.submit("j-80", 6)
				w.live(8)
				from := w.nodes[w.leader()]
				to := w.others(from.name)[0]
				lost := false
				w.mu.Lock()
				w.behind = func(n *node, _ string) time.Duration {
					if n.name == to || c.alsoOldLags && n == from {
						return behind
					}
					return 0
				}
				w.loseAnswer = func(n *node, t wire.Txn, _ uint64) bool {
					transfers := n == from && slices.ContainsFunc(t.Then, func(op wire.Op) bool { return op.Put == "c/moves" })
					lost = lost || c.answerLost && transfers
					return c.answerLost && transfers
				}
				w.mu.Unlock()
				began := time.Now()
				go w.moveJobs(from)
				for range c.within {
					w.live(1)
				}
				if at := w.leader(); at != to {
					t.Errorf("%v after the transfer began, %q leads, not %s", time.Since(began), at, to)
				}
				w.mu.Lock()
				wasLost := lost
				w.mu.Unlock()
				if wasLost != c.answerLost {
					t.Errorf("the answer was lost: %v", wasLost)
				}
				w.live(15)
				if at := w.leader(); at != to {
					t.Errorf("in the end %q leads, not %s", at, to)
				}
			})
		})
	}
}
