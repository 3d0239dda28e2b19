package testkit_test

import (
	"slices"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// Guards against shards without a leader after a transfer to a controller whose watch lags: that
// controller must lead the shards within seconds nevertheless.
func TestTransferredShardsAreLedWhileWatchLags(t *testing.T) {
	const lag = 10 * time.Second
	for _, c := range []struct {
		name        string
		answerLost  bool // the response to the transfer's transaction is lost
		within      int  // seconds until the new leader must lead the shards
		alsoOldLags bool // the old leader's watch lags too
	}{
		{name: "the transfer is answered", within: 2},
		{name: "its answer is lost", answerLost: true, within: 4},
		{name: "its answer is lost, and both watches lag", answerLost: true, alsoOldLags: true, within: 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			runOnCluster(t, 1700, 3, 8, func(w *cluster) {
				w.submit("j-80", 6)
				w.runFor(8)
				from := w.nodes[w.leader()]
				to := w.otherControllers(from.name)[0]
				lost := false
				w.mu.Lock()
				w.watchLagOf = func(n *node, _ string) time.Duration {
					if n.name == to || c.alsoOldLags && n == from {
						return lag
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
				go w.transferShards(from)
				for range c.within {
					w.runFor(1)
				}
				if at := w.leader(); at != to {
					t.Errorf("%v after the transfer began, %q leads, not %s", time.Since(began), at, to)
				}
				w.mu.Lock()
				wasLost := lost
				w.mu.Unlock()
				if wasLost != c.answerLost {
					t.Errorf("whether the response was lost: %v", wasLost)
				}
				w.runFor(15)
				if at := w.leader(); at != to {
					t.Errorf("15 s later %q leads, not %s", at, to)
				}
			})
		})
	}
}
