package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/config"
)

const (
	CountedStart = 30  // seconds within which a stop undoes a start that an aim counts
	renewOverdue = 1.5 // the same, after which it gets no work that its lease may cut short
	OverdueSlack = time.Second
	ShowTakes    = 2.0 // seconds before the end of a lease at which its worker is asked a last time
	StartTakes   = 0.3 // seconds from a match to the start, without wait and fetch
)

// overdue reports whether a machine that was heard by request had not reported for so
// many report intervals then. An owner that stood still itself finds none overdue: it has
// heard nobody since.
func (s *State) ReportOverdue(worker *Worker, intervals float64) bool {
	return worker.LastHeartbeat.Sub(worker.LastContact()) > config.Seconds(intervals*s.Platform.Params.Workers.ReportS)+OverdueSlack
}

// leaseEnd is when the lease of the machine's worker ends if it is not renewed: each
// session after the one in which it was renewed last has had a lease to itself.
func (s *State) LeaseEnd(worker *Worker) time.Time {
	leases := 1.0
	if worker.View.Session > worker.RenewedSession {
		leases += float64(worker.View.Session - worker.RenewedSession)
	}
	return worker.LastRenewal().Add(config.Seconds(leases * s.Platform.Params.Workers.LeaseS))
}

// fitsLease reports whether a task of the job that starts on the machine now would be
// done, and read, before a lease ends that is not renewed.
func (s *State) FitsLease(job *Job, worker *Worker) bool {
	if !s.ReportOverdue(worker, renewOverdue) {
		return true
	}
	if worker.LeaseUnknown() || job.Spec.Service() || job.Spec.Gang() {
		return false
	}
	takes := StartTakes + s.FetchTime(job, worker) + Pessimism*job.RunEstimate() + ShowTakes
	return takes < time.Until(s.LeaseEnd(worker)).Seconds()
}
