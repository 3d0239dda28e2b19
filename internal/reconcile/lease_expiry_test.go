package reconcile

import (
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

// A task is stopped before a lease without renewal expires if that loses less work than the
// expiry.
func TestTaskIsStoppedBeforeLeaseExpiryIfThatLosesLessWork(t *testing.T) {
	cannot := -1.0
	for _, c := range []struct {
		name string
		task expiringTask
		left float64
		want bool
	}{
		{"it saves, and there is time", expiringTask{elapsedS: 5, remainingS: 60, saveS: 4}, 20, false},
		{"it saves, and there is just time", expiringTask{elapsedS: 90, remainingS: 60, saveS: 4}, 4 + haltDeliveryS, true},
		{"it saves, and the lease has expired", expiringTask{elapsedS: 90, remainingS: 60, saveS: 4}, 0, false},
		{"it will be done in time", expiringTask{elapsedS: 1, remainingS: 10, saveS: cannot}, 25, false},
		{"it may be done in time", expiringTask{elapsedS: 1, remainingS: 30, saveS: cannot}, 25, false},
		{"it has run for less than the rest of the lease", expiringTask{elapsedS: 20, remainingS: 60, saveS: cannot}, 25, true},
		{"it has run for longer than the rest of the lease", expiringTask{elapsedS: 30, remainingS: 60, saveS: cannot}, 25, false},
		{"it has not begun to run", expiringTask{remainingS: 60, saveS: cannot}, 25, true},
		{"a stop would undo its start", expiringTask{elapsedS: 20, remainingS: 60, saveS: cannot, stopUndoesStart: true}, 25, false},
		{"it saves, and a stop would undo its start", expiringTask{elapsedS: 20, remainingS: 60, saveS: 4, stopUndoesStart: true}, 5, false},
	} {
		if got := stopBeforeExpiry(c.task, c.left); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}

// A worker with an overdue heartbeat is polled at the heartbeat interval and around the end of
// its lease; a worker that responds to no poll is not polled again. Times are seconds since the
// last heartbeat that was responded to.
func TestWorkerWithOverdueHeartbeatIsPolled(t *testing.T) {
	r := &Reconciler{state: &jobstate.State{Platform: &config.Platform{Params: config.Params{Workers: config.Workers{ReportS: 8, LeaseS: 44}}}}}
	began := time.Now()
	at := func(s float64) time.Time { return began.Add(config.Seconds(s)) }
	for _, c := range []struct {
		name              string
		now, seen, polled float64
		unanswered        int
		stopping          bool
		due               bool
	}{
		{"its heartbeat is not overdue", 10, 0, 0, 0, false, false},
		{"its heartbeat is overdue", 11.5, 0, 0, 0, false, true},
		{"it was polled a moment ago", 14, 11.5, 11.5, 0, false, false},
		{"at half the interval while it is unclear whether it is lost", 16, 11.5, 11.5, 0, false, true},
		{"at the heartbeat interval, not yet due", 26, 19, 19, 0, false, false},
		{"at the heartbeat interval, due", 27.5, 19, 19, 0, false, true},
		{"a task is being stopped", 20.5, 19, 19, 0, true, true},
		{"shortly before its lease expires", 42.2, 40, 40, 0, false, true},
		{"after that", 43, 42.2, 42.2, 0, false, false},
		{"shortly after its lease expired", 45.2, 42.2, 42.2, 0, false, true},
		{"long after its lease expired", 60, 45.2, 45.2, 0, false, false},
		{"it responds to no poll", 30, 0, 20, maxUnansweredPolls, false, false},
		{"it did not respond once", 30, 0, 20, 1, false, true},
	} {
		worker := &jobstate.Worker{RenewedAt: began, LastHeartbeat: at(c.seen), PolledAt: at(c.polled), UnansweredPolls: c.unanswered, Placements: map[*jobstate.Placement]struct{}{}}
		if c.stopping {
			worker.Placements[&jobstate.Placement{State: jobstate.PlacementReported, FirstHaltAt: at(19)}] = struct{}{}
		}
		if due := r.leaseExpiring(worker, at(c.now)) && r.pollDue(worker, at(c.now)); due != c.due {
			t.Errorf("%s: %v", c.name, due)
		}
	}
}

// Each session of a worker has its own lease. While that lease is not being renewed, only tasks
// that finish before it expires may start.
func TestTaskStartsOnlyIfItFitsRestOfUnrenewedLease(t *testing.T) {
	r := &Reconciler{state: &jobstate.State{Platform: &config.Platform{Params: config.Params{Workers: config.Workers{ReportS: 8, LeaseS: 44}}}}}
	ago := func(s float64) time.Time { return time.Now().Add(-config.Seconds(s)) }
	for _, c := range []struct {
		name                    string
		renewed, known          float64 // seconds ago
		session, renewedSession uint64  // now, and when it was renewed
		run                     float64
		kind                    string
		want                    bool
	}{
		{"its heartbeats are responded to", 5, 100, 1, 1, 600, wire.KindArray, true},
		{"a short task in the rest of the lease", 20, 100, 1, 1, 10, wire.KindArray, true},
		{"a long task in the rest of the lease", 20, 100, 1, 1, 20, wire.KindArray, false},
		{"the same in the next session's lease", 46, 100, 2, 1, 20, wire.KindArray, true},
		{"the lease has expired, and the session is not known to have ended", 46, 100, 1, 1, 1, wire.KindArray, false},
		{"a service", 20, 100, 1, 1, 1, wire.KindService, false},
		{"an earlier leader renewed it last", 40, 20, 1, 1, 1, wire.KindArray, false},
	} {
		worker := &jobstate.Worker{RenewedAt: ago(c.renewed), KnownSince: ago(c.known), LastHeartbeat: time.Now(), RenewedSession: c.renewedSession}
		worker.View.Session = c.session
		job := &jobstate.Job{Spec: &wire.Job{Kind: c.kind, EstimateS: c.run}, Class: &jobstate.Class{EstimateRatio: 1}}
		if got := r.state.FitsLease(job, worker); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
