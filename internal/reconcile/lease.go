package reconcile

import (
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

const (
	reportOverdue  = 1.25 // report intervals without an answered report, and overdueSlack, after which a worker is asked
	haltOverdue    = 2    // the same, after which tasks on it are stopped
	sameRenewal    = 0.25 // the same, within which two times are of one renewal
	haltTakes      = 3.0  // seconds from the decision to stop a task until its worker has surely got the command
	surelyLate     = 1.5  // by which a task's estimated rest exceeds that of its lease if it surely is not done in time
	settleTakes    = time.Second
	unansweredAsks = 2   // requests without an answer after which a machine is left to the rules of silence
	asksAtOnce     = 6   // machines asked in one round, at least
	askShare       = 16  // one in so many of those whose report is overdue, if that is more
	mostOverdue    = 0.5 // of the machines; if more are overdue the fault is hardly theirs, and no room is elsewhere
)

// expiringTask is a task on a worker whose lease is not renewed. Times are in seconds.
type expiringTask struct {
	elapsed float64 // it has run for
	rest    float64 // until it ends, as estimated, its image's fetch included
	save    float64 // that it takes to save; negative: it can't
	counted bool    // to stop it now would undo a start that an aim counts
}

// stopBeforeExpiry decides whether to stop a task now, left seconds before its worker
// kills it. One that saves runs on as long as it can be saved. Any other that surely
// will not be done in time loses its run if the lease ends, and the rest of the lease too:
// it is stopped while it has run for less than that, so that no more is lost than twice
// the least possible, whether or not the worker is heard again. What may be done runs on:
// its machine is of use to nobody else.
func stopBeforeExpiry(a expiringTask, left float64) bool {
	switch {
	case left <= 0 || a.counted:
		return false
	case a.save >= 0:
		return left <= a.save+haltTakes
	default:
		return a.rest+jobstate.ShowTakes >= surelyLate*left && a.elapsed < left
	}
}

// HandleExpiringLeases stops tasks on machines whose workers' leases are about to end unrenewed, and
// returns the addresses of those to be asked for their reports now.
// It is to be called several times a second.
func (r *Reconciler) HandleExpiringLeases() map[string]string {
	r.state.Mu.Lock()
	defer r.state.Mu.Unlock()
	if r.state.Member.LeaseRemaining() <= 0 {
		return nil
	}
	now := time.Now()
	r.state.Now = now
	var late []*jobstate.Worker
	for _, m := range r.state.Workers {
		if !m.Gone && len(m.Placements) > 0 && m.View.Endpoint != "" && r.expiring(m, now) {
			late = append(late, m)
		}
	}
	for _, m := range late {
		if r.state.ReportOverdue(m, haltOverdue) {
			r.stopExpiring(m, now, float64(len(late)) <= mostOverdue*float64(len(r.state.Workers)))
		}
	}
	// In turn, so that none waits for ever behind others.
	slices.SortFunc(late, func(worker, b *jobstate.Worker) int {
		return jobstate.Later(worker.LastHeartbeat, worker.PolledAt).Compare(jobstate.Later(b.LastHeartbeat, b.PolledAt))
	})
	ask := map[string]string{}
	for _, m := range late {
		if len(ask) < max(asksAtOnce, len(late)/askShare) && r.askDue(m, now) {
			if m.PolledAt.After(m.LastHeartbeat) {
				m.UnansweredPolls++
			} else {
				m.UnansweredPolls = 0
			}
			m.PolledAt = now
			ask[m.Name] = m.View.Endpoint
		}
	}
	return ask
}

// expiring reports whether a worker's report is overdue, and its lease has not ended for
// long.
func (r *Reconciler) expiring(worker *jobstate.Worker, now time.Time) bool {
	w := &r.state.Platform.Params.Workers
	return now.Sub(worker.LastContact()) > config.Seconds(reportOverdue*w.ReportS)+jobstate.OverdueSlack && now.Before(r.state.LeaseEnd(worker).Add(config.Seconds(w.ReportS)+settleTakes))
}

// askDue reports whether an unrenewed worker is to be asked for its report: as often as
// it would report, shortly before its lease ends for what is done, shortly after it for
// what is lost, and each second while a task is being stopped.
func (r *Reconciler) askDue(worker *jobstate.Worker, now time.Time) bool {
	w := &r.state.Platform.Params.Workers
	last := jobstate.Later(worker.LastHeartbeat, worker.PolledAt)
	if worker.PolledAt.After(worker.LastHeartbeat) && worker.UnansweredPolls >= unansweredAsks {
		return false
	}
	interval := w.ReportS
	if !r.state.ReportOverdue(worker, haltOverdue) {
		interval /= 2
	}
	for placement := range worker.Placements {
		if placement.MayRun() && !placement.HaltedAt.IsZero() {
			interval = min(interval, 1)
		}
	}
	ends := r.state.LeaseEnd(worker)
	for _, at := range []time.Time{ends.Add(-config.Seconds(jobstate.ShowTakes)), ends.Add(settleTakes)} {
		if last.Before(at) && !now.Before(at) {
			return true
		}
	}
	return now.Sub(last) >= config.Seconds(interval)
}

// stopExpiring stops what is to be stopped on a machine whose worker's lease is about to
// end. If not early, only tasks that save are.
func (r *Reconciler) stopExpiring(worker *jobstate.Worker, now time.Time, early bool) {
	left := r.state.LeaseEnd(worker).Sub(now).Seconds()
	for placement := range worker.Placements {
		job := placement.Job
		if placement.State != jobstate.PlacementReported || placement.Exited || !placement.HaltedAt.IsZero() || job.Cancelled || job.Spec.Service() {
			continue
		}
		a := expiringTask{rest: job.RunEstimate(), save: -1}
		if placement.RunningSince.IsZero() {
			a.rest += r.state.FetchTime(job, worker)
		} else {
			a.elapsed = now.Sub(placement.RunningSince).Seconds()
			a.rest = matching.RemainingRun(a.rest, a.elapsed)
			a.counted = len(job.Class.StartAims) > 0 && a.elapsed < jobstate.CountedStart
		}
		if job.Spec.MarkS > 0 {
			a.save = job.Spec.SaveS
		} else if !early || job.Spec.Gang() || !placement.StartObserved && !placement.RunningSince.IsZero() {
			continue // a gang's tasks go together; how long one has run that a predecessor started is not known
		}
		if stopBeforeExpiry(a, left) || worker.LeaseUnknown() && a.save >= 0 {
			r.state.HaltTask(placement, max(0, a.save)+1)
			r.state.Stats.LeaseExpiring++
		}
	}
}
