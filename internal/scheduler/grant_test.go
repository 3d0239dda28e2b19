package scheduler_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// A queued placement does not count against the team's limit until its start is granted. The
// grant itself enforces the limit, however many tasks are queued, until a task has left its
// worker.
func TestGrantIsRefusedAtTeamLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1, 0)
		stop := cluster.run()
		cluster.acceptArray(2)
		for range 3 {
			cluster.sendHeartbeat(0, 0)
			time.Sleep(time.Second)
		}
		refs := cluster.scheduler.PlacementsOf("j-1")
		if len(refs) != 2 {
			t.Fatalf("placed at %v", refs)
		}
		cluster.scheduler.SetTeamCPULimit("t", 3)
		grant := func(i int) bool {
			return cluster.scheduler.GrantLocal(dispatch.GrantRequest{TaskRef: refs[i], Dispatcher: "a", Token: 7, Session: 1}).OK
		}
		if !grant(0) || grant(1) || !grant(0) {
			t.Error("want grants of one task only, repeated if requested again")
		}
		task := wire.Task{Task: refs[0].Task, Attempt: refs[0].Attempt, State: wire.TaskExited, Cause: wire.CauseDone}
		cluster.sendHeartbeat(0, 0, dispatch.TaskView{Task: task})
		if !grant(1) {
			t.Error("the grant is refused although the other task has exited")
		}
		stop()
	})
}

// The start of a cancelled task was granted to a dispatcher whose start command is delayed. Its
// worker's heartbeats then reach another dispatcher, or the restarted first one, which has the
// task in its queue and did not send a start. The start must still count against the team's
// limit: only a dispatcher that alone received the grant can attest that no start command is in
// flight.
func TestCancelledGrantCountsUntilItsOnlyDispatcherReportsItUnsent(t *testing.T) {
	for _, c := range []struct {
		name           string
		granted, again uint64 // tokens of the dispatchers to which the start was granted
		dispatcher     uint64 // token of the dispatcher that reports the start as not sent
		counts         bool
	}{
		{"the only dispatcher", 7, 0, 7, false},
		{"another dispatcher", 7, 0, 8, true},
		{"another dispatcher, granted too", 7, 8, 8, true},
		{"the first of two", 7, 8, 7, true},
		{"the first of two, of the higher token", 8, 7, 8, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster(t, 1, 0)
				stop := cluster.run()
				cluster.acceptArray(1)
				for range 2 {
					cluster.sendHeartbeat(0, 0.2)
					time.Sleep(time.Second)
				}
				ref := cluster.scheduler.PlacementsOf("j-1")[0]
				for _, token := range []uint64{c.granted, c.again} {
					if token > 0 && !cluster.scheduler.GrantLocal(dispatch.GrantRequest{TaskRef: ref, Dispatcher: "a", Token: token, Session: 1}).OK {
						t.Fatal("not granted")
					}
				}
				cluster.unlaunched = dispatch.Unlaunched{Refs: []dispatch.TaskRef{ref}, Token: c.dispatcher}
				cluster.scheduler.ApplyCancel("j-1")
				time.Sleep(3 * time.Second)
				if used := cluster.scheduler.TeamCPUs("t"); (used > 0) != c.counts {
					t.Errorf("%v CPUs count against the team's limit", used)
				}
				stop()
			})
		})
	}
}

// A dispatcher that has not received a grant yet still has the task in its queue. Its worker
// must not be reported as unreachable by commands (outbound lost), which leads to its deletion.
// Outbound is lost if the dispatcher has sent the start and the worker's heartbeats do not
// report it.
func TestDelayedGrantIsNotReportedAsOutboundLost(t *testing.T) {
	for _, unsent := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster(t, 2, 0)
			stop := cluster.run()
			cluster.acceptArray(1)
			var ref dispatch.TaskRef
			observe := func() {
				for i := range cluster.views {
					view := &cluster.views[i]
					view.Seq, view.Dispatcher, view.Queue = view.Seq+1, "b", nil
					if view.Polled = view.Name != ref.Worker; !view.Polled {
						view.Queue = []dispatch.QueueView{{TaskRef: ref, Unsent: unsent}}
					}
					cluster.scheduler.ObserveWorker(*view)
				}
				time.Sleep(time.Second)
			}
			for range 2 {
				cluster.sendHeartbeat(0, 0.2)
				time.Sleep(time.Second)
			}
			ref = cluster.scheduler.PlacementsOf("j-1")[0]
			if !cluster.scheduler.GrantLocal(dispatch.GrantRequest{TaskRef: ref, Dispatcher: "b", Token: 7, Session: 1}).OK {
				t.Fatal("not granted")
			}
			outboundLost := false
			for range 9 { // less than the time after which the leader instructs to raise the token
				observe()
				_, unresponsive := cluster.scheduler.UnresponsiveWorkers(2 * time.Second)
				for i := range unresponsive {
					outboundLost = outboundLost || unresponsive[i].Name == ref.Worker && unresponsive[i].OutboundLost
				}
			}
			if outboundLost == unsent {
				t.Errorf("start not sent: %v; reported as outbound lost: %v", unsent, outboundLost)
			}
			stop()
		})
	}
}
