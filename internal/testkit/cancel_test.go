package testkit_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// A controller that does not lead a job's shard must not record its cancel: the leader, whose watch
// may lag, would still report the job as queued or running after the user was told of the cancel.
func TestCancelIsRecordedByLeaderOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 1)
		w.reliableStore = true
		w.startControllers()
		time.Sleep(2 * time.Second)
		w.submit("j-1", 3)
		time.Sleep(time.Second)
		leader := w.nodes["a"].member.ShardLeaders()[0]
		for name, n := range w.nodes {
			if name == leader {
				continue
			}
			if s, err := n.scheduler.Cancel(context.Background(), "j-1"); err == nil {
				t.Errorf("%s does not lead the shard and returned state %+v", name, s)
			}
		}
		if s, ok := w.nodes[leader].scheduler.LocalState("j-1"); !ok || s.Stage != wire.StageQueued {
			t.Errorf("the leader returned state %+v, %v", s, ok)
		}
		if s, err := w.nodes[leader].scheduler.Cancel(context.Background(), "j-1"); err != nil || s.Stage != wire.StageCancelled {
			t.Errorf("the leader returned state %+v, error %v", s, err)
		}
		if s, ok := w.nodes[leader].scheduler.LocalState("j-1"); ok && s.Stage != wire.StageCancelled {
			t.Errorf("after the cancel the leader returned state %+v", s)
		}
		w.stopAll()
	})
}

// The state service refuses the write of a cancel, and later every request. The cancel must not be
// confirmed, the job must keep running, and every controller must report it as running.
func TestCancelRefusedByStateStoreLeavesJobRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 2)
		w.resize(3, 8)
		w.setLongTasks()
		w.losslessReports, w.reliableStore, w.keepBrokenLinks = true, true, true
		w.startControllers()
		w.runFor(3)
		w.submit("j-80", 4)
		if !w.runUntil(10, func() bool { return w.unfinishedTasks("j-80") == 4 }) {
			t.Fatal("not all tasks of the job are running")
		}
		w.runFor(2)
		owner := w.leader()
		refused := 0
		w.nodes[owner].view.RefuseTxn.Set(func(txn wire.Txn) bool {
			isCancel := txn.Then[0].Put == "live/j-80"
			if isCancel {
				refused++
			}
			return isCancel
		})
		if stage, answered := w.userRequest(owner, http.MethodPost, "j-80"); answered || refused == 0 {
			t.Errorf("the cancel was answered %q, its write was refused %d times", stage, refused)
		}
		w.nodes[owner].view.RefuseTxn.Set(nil)
		for _, outage := range []bool{false, true} {
			if outage {
				w.cutFromStateService(w.controllerNames...)
			}
			for range 3 { // shorter than a lease; once it has expired no leader answers from memory in an outage
				for _, name := range w.controllerNames {
					if stage, answered := w.userRequest(name, http.MethodGet, "j-80"); !answered || stage != wire.StageRunning {
						t.Errorf("outage %v: %s reports stage %q, answered %v", outage, name, stage, answered)
					}
				}
				w.runFor(1)
			}
		}
		w.healAllLinks()
		w.runFor(8)
		if on := w.unfinishedTasks("j-80"); on != 4 {
			t.Errorf("%d of 4 tasks are running", on)
		}
		w.stopAll()
	})
}
