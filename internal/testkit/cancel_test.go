package testkit_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// A cancel recorded behind the leader's back let the leader, whose watch lagged,
// call the job running after its user had heard that it was cancelled.
func TestCancelRecordedElsewhereIsSeenByLaggingLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 1)
		w.reliableStore = true
		w.startNodes()
		time.Sleep(2 * time.Second)
		w.submit("j-1", 3)
		time.Sleep(time.Second)
		leader := w.nodes["a"].member.ShardLeaders()[0]
		for name, n := range w.nodes {
			if name == leader {
				continue
			}
			if s, err := n.scheduler.Cancel(context.Background(), "j-1"); err == nil {
				t.Errorf("%s is not the owner and says %+v", name, s)
			}
		}
		if s, ok := w.nodes[leader].scheduler.LocalState("j-1"); !ok || s.Stage != wire.StageQueued {
			t.Errorf("the owner says %+v, %v", s, ok)
		}
		if s, err := w.nodes[leader].scheduler.Cancel(context.Background(), "j-1"); err != nil || s.Stage != wire.StageCancelled {
			t.Errorf("the owner says %+v, %v", s, err)
		}
		if s, ok := w.nodes[leader].scheduler.LocalState("j-1"); ok && s.Stage != wire.StageCancelled {
			t.Errorf("after the cancel the owner says %+v", s)
		}
		w.stopAll()
	})
}

// The state service refuses the write of a cancel, and then everything: the job goes on, and
// its user, who was told nothing, hears so at every controller.
func TestCancelRefusedByStateStoreLeavesJobRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 2)
		w.resize(3, 8)
		w.long()
		w.losslessReports, w.reliableStore, w.keepCuts = true, true, true
		w.startNodes()
		w.live(3)
		w.submit("j-80", 4)
		if !w.within(10, func() bool { return w.onMachines("j-80") == 4 }) {
			t.Fatal("the job does not run")
		}
		w.live(2)
		owner := w.leader()
		refused := 0
		w.nodes[owner].view.Refuse.Set(func(txn wire.Txn) bool {
			ours := txn.Then[0].Put == "live/j-80"
			if ours {
				refused++
			}
			return ours
		})
		if stage, heard := w.user(owner, http.MethodPost, "j-80"); heard || refused == 0 {
			t.Errorf("the cancel is answered %q, refused %d times", stage, refused)
		}
		w.nodes[owner].view.Refuse.Set(nil)
		for _, outage := range []bool{false, true} {
			if outage {
				w.refuse(w.names...)
			}
			for range 3 { // less than a lease, after which no leader answers from memory in an outage
				for _, name := range w.names {
					if stage, heard := w.user(name, http.MethodGet, "j-80"); !heard || stage != wire.StageRunning {
						t.Errorf("outage %v: %s calls the job %q, %v", outage, name, stage, heard)
					}
				}
				w.live(1)
			}
		}
		w.healed()
		w.live(8)
		if on := w.onMachines("j-80"); on != 4 {
			t.Errorf("%d of 4 tasks are on", on)
		}
		w.stopAll()
	})
}
