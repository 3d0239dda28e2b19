package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/config"
)

const (
	// MinCountedRunS is the time in seconds after a start within which a stop undoes a start
	// that an objective counts.
	MinCountedRunS = 30
	// OverdueSlack is how much later than due a heartbeat may arrive.
	OverdueSlack = time.Second
	// FinalPollS is the time in seconds before the expiry of a lease at which its worker is
	// polled for the last time: a task that ends later is not seen to be done.
	FinalPollS = 2.0

	// renewalOverdueIntervals is the number of heartbeat intervals without contact after which a worker
	// gets no task that the expiry of its lease may kill.
	renewalOverdueIntervals = 1.5
)

// HeartbeatOverdue reports whether, at the worker's last heartbeat, the contact before it was older
// than so many heartbeat intervals, which happens to workers that only respond to polls. It
// doesn't compare with the present: a leader that was paused would find every worker overdue.
func (s *State) HeartbeatOverdue(worker *Worker, intervals float64) bool {
	return worker.LastHeartbeat.Sub(worker.LastContact()) > config.Seconds(intervals*s.Platform.Params.Workers.ReportS)+OverdueSlack
}

// LatestLeaseEnd returns when the worker's lease expires, at the latest, if it is not renewed any
// more: the response to its last heartbeat arrived.
func (s *State) LatestLeaseEnd(worker *Worker) time.Time {
	return s.leaseEndAfter(worker, worker.lastRenewal())
}

// EarliestLeaseEnd returns when the worker's lease expires at the earliest: the response to its
// last heartbeat may be lost. What has to be done before the expiry is done by this time: tasks
// that could have saved were killed before they were told to.
func (s *State) EarliestLeaseEnd(worker *Worker) time.Time {
	return s.leaseEndAfter(worker, Later(worker.confirmedRenewal(), worker.KnownSince))
}

// leaseEndAfter returns when the worker's lease expires if it was last renewed at a time. Each
// session after the one of the last renewal has had a lease of its own.
func (s *State) leaseEndAfter(worker *Worker, renewedAt time.Time) time.Time {
	leases := 1.0
	if worker.View.Session > worker.RenewedSession {
		leases += float64(worker.View.Session - worker.RenewedSession)
	}
	return renewedAt.Add(config.Seconds(leases * s.Platform.Params.Workers.LeaseS))
}

// FitsLease reports whether a task of the job that starts on the worker now would be done, and
// seen to be done, before the worker's lease expires. It is true if the lease is being renewed.
func (s *State) FitsLease(job *Job, worker *Worker) bool {
	if worker.LeaseExpiredUnreported {
		return false
	}
	if !s.HeartbeatOverdue(worker, renewalOverdueIntervals) {
		return true
	}
	if worker.LeaseUnknown() || job.Spec.Service() || job.Spec.Gang() {
		return false
	}
	takes := StartOverheadS + s.FetchTime(job, worker) + RunTimeMargin*job.RunEstimate() + FinalPollS
	return takes < time.Until(s.EarliestLeaseEnd(worker)).Seconds()
}
