package scheduler_test

import (
	"testing"
	"time"
)

// A dispatcher may publish a heartbeat that a worker sent before its deletion. The late view
// must not restore the worker, or tasks would be placed on it.
func TestLateViewDoesNotRestoreDeletedWorker(t *testing.T) {
	cluster := newCluster(t, 2, 0)
	cluster.scheduler.WorkerDeleted(cluster.views[0].Name)
	cluster.views[0].Seq++
	cluster.scheduler.ObserveWorker(cluster.views[0])
	if n := cluster.scheduler.QueueDepths()["known_machines"]; n != 1 {
		t.Errorf("%d workers known after one of two was deleted", n)
	}
}

// A heartbeat without changes does not wait for a scheduling pass, which would delay the
// response to its worker. The leader applies it afterwards, with its time of arrival.
func TestUnchangedHeartbeatDoesNotWaitForPass(t *testing.T) {
	cluster := newCluster(t, 1, 0)
	view := cluster.views[0]
	view.Seq, view.Unchanged = view.Seq+1, true
	time.Sleep(50 * time.Millisecond)
	arrived := time.Now()
	cluster.scheduler.WithStateLocked(func() {
		observed := make(chan struct{})
		go func() { cluster.scheduler.ObserveWorker(view); close(observed) }()
		select {
		case <-observed:
		case <-time.After(5 * time.Second):
			t.Error("the heartbeat waits for the state's lock")
		}
		time.Sleep(50 * time.Millisecond)
	})
	view.Seq, view.Unchanged = view.Seq-1, false // an outdated view, which has no effect by itself
	cluster.scheduler.ObserveWorker(view)
	age, since := cluster.scheduler.HeartbeatAge(view.Name), time.Since(arrived)
	if age > since || age < since-40*time.Millisecond {
		t.Errorf("the last heartbeat is recorded as %v ago, but arrived %v ago", age, since)
	}
}
