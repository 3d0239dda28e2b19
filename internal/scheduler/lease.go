package scheduler

import (
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/matching"
)

// A worker that reaches no controller loses its lease and all its tasks, although
// direct commands still reach it: they don't renew the lease. Until then its owner reads
// what is done there, stops what can be saved or is better begun elsewhere, and gives it
// nothing new.

const (
	reportOverdue  = 1.25 // report intervals without an answered report, and overdueSlack, after which a worker is asked
	renewOverdue   = 1.5  // the same, after which it gets no work that its lease may cut short
	haltOverdue    = 2    // the same, after which tasks on it are stopped
	sameRenewal    = 0.25 // the same, within which two times are of one renewal
	overdueSlack   = time.Second
	haltTakes      = 3.0 // seconds from the decision to stop a task until its worker has surely got the command
	surelyLate     = 1.5 // by which a task's estimated rest exceeds that of its lease if it surely is not done in time
	showTakes      = 2.0 // seconds before the end of a lease at which its worker is asked a last time
	settleTakes    = time.Second
	unansweredAsks = 2   // requests without an answer after which a machine is left to the rules of silence
	asksAtOnce     = 6   // machines asked in one round, at least
	askShare       = 16  // one in so many of those whose report is overdue, if that is more
	mostOverdue    = 0.5 // of the machines; if more are overdue the fault is hardly theirs, and no room is elsewhere
)

// LastRenewal is when a report of the machine's worker was last answered, as far as this
// owner knows: by any controller, or before it knew of the machine.
func (m *Worker) LastRenewal() time.Time { return later(m.RenewedAt, m.KnownSince) }

// LastContact is when a report of the machine's worker last came, or was last answered. One
// that came is mostly answered a moment later, which the next view tells: over slow links a
// worker whose reports all arrive looked overdue at each of them by the answer alone.
func (m *Worker) LastContact() time.Time { return later(m.LastRenewal(), m.LastReport) }

// overdue reports whether a machine that was heard by request had not reported for so
// many report intervals then. An owner that stood still itself finds none overdue: it has
// heard nobody since.
func (o *Scheduler) overdue(m *Worker, intervals float64) bool {
	return m.LastHeartbeat.Sub(m.LastContact()) > seconds(intervals*o.cfg.Params.Workers.ReportS)+overdueSlack
}

// leaseEnd is when the lease of the machine's worker ends if it is not renewed: each
// session after the one in which it was renewed last has had a lease to itself.
func (o *Scheduler) leaseEnd(m *Worker) time.Time {
	leases := 1.0
	if m.View.Session > m.RenewedSession {
		leases += float64(m.View.Session - m.RenewedSession)
	}
	return m.LastRenewal().Add(seconds(leases * o.cfg.Params.Workers.LeaseS))
}

// LeaseUnknown reports whether a predecessor renewed the worker's lease last: it may end
// at any time.
func (m *Worker) LeaseUnknown() bool { return m.RenewedAt.Before(m.KnownSince) }

// fitsLease reports whether a task of the job that starts on the machine now would be
// done, and read, before a lease ends that is not renewed.
func (o *Scheduler) fitsLease(j *Job, m *Worker) bool {
	if !o.overdue(m, renewOverdue) {
		return true
	}
	if m.LeaseUnknown() || j.Spec.Service() || j.Spec.Gang() {
		return false
	}
	takes := startTakes + o.fetchTime(j, m) + pessimism*j.RunEstimate() + showTakes
	return takes < time.Until(o.leaseEnd(m)).Seconds()
}

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
		return a.rest+showTakes >= surelyLate*left && a.elapsed < left
	}
}

// HandleExpiringLeases stops tasks on machines whose workers' leases are about to end unrenewed, and
// returns the addresses of those to be asked for their reports now.
// It is to be called several times a second.
func (o *Scheduler) HandleExpiringLeases() map[string]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.member.LeaseRemaining() <= 0 {
		return nil
	}
	now := time.Now()
	o.now = now
	var late []*Worker
	for _, m := range o.machines {
		if !m.Gone && len(m.Placements) > 0 && m.View.Endpoint != "" && o.expiring(m, now) {
			late = append(late, m)
		}
	}
	for _, m := range late {
		if o.overdue(m, haltOverdue) {
			o.stopExpiring(m, now, float64(len(late)) <= mostOverdue*float64(len(o.machines)))
		}
	}
	// In turn, so that none waits for ever behind others.
	slices.SortFunc(late, func(a, b *Worker) int {
		return later(a.LastHeartbeat, a.PolledAt).Compare(later(b.LastHeartbeat, b.PolledAt))
	})
	ask := map[string]string{}
	for _, m := range late {
		if len(ask) < max(asksAtOnce, len(late)/askShare) && o.askDue(m, now) {
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
func (o *Scheduler) expiring(m *Worker, now time.Time) bool {
	w := &o.cfg.Params.Workers
	return now.Sub(m.LastContact()) > seconds(reportOverdue*w.ReportS)+overdueSlack && now.Before(o.leaseEnd(m).Add(seconds(w.ReportS)+settleTakes))
}

// askDue reports whether an unrenewed worker is to be asked for its report: as often as
// it would report, shortly before its lease ends for what is done, shortly after it for
// what is lost, and each second while a task is being stopped.
func (o *Scheduler) askDue(m *Worker, now time.Time) bool {
	w := &o.cfg.Params.Workers
	last := later(m.LastHeartbeat, m.PolledAt)
	if m.PolledAt.After(m.LastHeartbeat) && m.UnansweredPolls >= unansweredAsks {
		return false
	}
	interval := w.ReportS
	if !o.overdue(m, haltOverdue) {
		interval /= 2
	}
	for p := range m.Placements {
		if p.MayRun() && !p.HaltedAt.IsZero() {
			interval = min(interval, 1)
		}
	}
	ends := o.leaseEnd(m)
	for _, at := range []time.Time{ends.Add(-seconds(showTakes)), ends.Add(settleTakes)} {
		if last.Before(at) && !now.Before(at) {
			return true
		}
	}
	return now.Sub(last) >= seconds(interval)
}

// stopExpiring stops what is to be stopped on a machine whose worker's lease is about to
// end. If not early, only tasks that save are.
func (o *Scheduler) stopExpiring(m *Worker, now time.Time, early bool) {
	left := o.leaseEnd(m).Sub(now).Seconds()
	for p := range m.Placements {
		j := p.Job
		if p.State != PlacementReported || p.Exited || !p.HaltedAt.IsZero() || j.Cancelled || j.Spec.Service() {
			continue
		}
		a := expiringTask{rest: j.RunEstimate(), save: -1}
		if p.RunningSince.IsZero() {
			a.rest += o.fetchTime(j, m)
		} else {
			a.elapsed = now.Sub(p.RunningSince).Seconds()
			a.rest = matching.RemainingRun(a.rest, a.elapsed)
			a.counted = len(j.Class.StartAims) > 0 && a.elapsed < countedStart
		}
		if j.Spec.MarkS > 0 {
			a.save = j.Spec.SaveS
		} else if !early || j.Spec.Gang() || !p.StartObserved && !p.RunningSince.IsZero() {
			continue // a gang's tasks go together; how long one has run that a predecessor started is not known
		}
		if stopBeforeExpiry(a, left) || m.LeaseUnknown() && a.save >= 0 {
			o.halt(p, max(0, a.save)+1)
			o.stats.LeaseExpiring++
		}
	}
}
