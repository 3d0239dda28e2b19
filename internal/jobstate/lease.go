package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/config"
)

const (
	// MinCountedRunS is the time in seconds that a task must run for an objective to count its
	// start: a stop before that undoes the start.
	MinCountedRunS = 30
	// OverdueSlack is the delay that is tolerated before a heartbeat counts as overdue.
	OverdueSlack = time.Second
	// FinalPollS is the time in seconds before the expiry of a lease at which its worker is
	// polled for the last time: the completion of a task that ends later is not observed.
	FinalPollS = 2.0

	// renewalOverdueIntervals is the number of heartbeat intervals without contact after which a
	// worker is given no task that might not end before its lease expires.
	renewalOverdueIntervals = 1.5
)

// HeartbeatOverdue reports whether the time between the worker's last contact (see LastContact) and
// its last heartbeat exceeds the given number of heartbeat intervals plus OverdueSlack. This happens
// with workers that only respond to polls. It does not compare with the current time, because a leader that was paused would
// find every worker overdue.
func (s *State) HeartbeatOverdue(worker *Worker, intervals float64) bool {
	return worker.LastHeartbeat.Sub(worker.LastContact()) > config.Seconds(intervals*s.Platform.Params.Workers.ReportS)+OverdueSlack
}

// LatestLeaseEnd returns the latest time at which the worker's lease expires if it is not
// renewed again, assuming that the response to the last heartbeat arrived.
func (s *State) LatestLeaseEnd(worker *Worker) time.Time {
	return s.leaseEndAfter(worker, worker.lastRenewal())
}

// EarliestLeaseEnd returns the earliest time at which the worker's lease may expire, assuming
// that the response to the last heartbeat was lost. Anything that must happen before the expiry
// has to be done by this time: otherwise tasks that can save their state may be killed before
// they are told to.
func (s *State) EarliestLeaseEnd(worker *Worker) time.Time {
	return s.leaseEndAfter(worker, Later(worker.confirmedRenewal(), worker.KnownSince))
}

// leaseEndAfter returns when the worker's lease expires if it was last renewed at the given
// time. Each session after the one of the last renewal extends the time by one lease.
func (s *State) leaseEndAfter(worker *Worker, renewedAt time.Time) time.Time {
	leases := 1.0
	if worker.View.Session > worker.RenewedSession {
		leases += float64(worker.View.Session - worker.RenewedSession)
	}
	return renewedAt.Add(config.Seconds(leases * s.Platform.Params.Workers.LeaseS))
}

// FitsLease reports whether a task of the job that starts on the worker now would complete, and
// be observed to complete, before the worker's lease expires. It is true if the lease is being
// renewed, and false if the lease has expired unreported. If the lease is not being renewed, it is
// false for services and gangs, and if the time of expiry is unknown.
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
	durationS := StartOverheadS + s.FetchTime(job, worker) + RunTimeMargin*job.RunEstimate() + FinalPollS
	return durationS < time.Until(s.EarliestLeaseEnd(worker)).Seconds()
}
