package owner

import (
	"slices"
	"time"
)

// A worker that reaches no controller loses its lease and all its tasks, although
// direct commands still reach it: they don't renew the lease. Until then its owner reads
// what is done there, stops what can be saved or is better begun elsewhere, and gives it
// nothing new.

const (
	reportOverdue  = 1.25 // report intervals without an answered report, and overdueSlack, after which a worker is asked
	renewOverdue   = 1.5  // the same, after which it gets no new work
	haltOverdue    = 2    // the same, after which tasks on it are stopped
	overdueSlack   = time.Second
	haltTakes      = 3.0 // seconds from the decision to stop a task until its worker has surely got the command
	showTakes      = 2.0 // seconds before the end of a lease at which its worker is asked a last time
	settleTakes    = time.Second
	unansweredAsks = 2   // requests without an answer after which a machine is left to the rules of silence
	asksAtOnce     = 6   // machines asked in one round, at least
	askShare       = 16  // one in so many of those whose report is overdue, if that is more
	mostOverdue    = 0.5 // of the machines; if more are overdue the fault is hardly theirs, and no room is elsewhere
)

// renewedAt is when a report of the machine's worker was last answered, as far as this
// owner knows: by any controller, or before it knew of the machine.
func (m *mach) renewedAt() time.Time { return later(m.renewed, m.since) }

// overdue reports whether a machine that was heard by request had not had a report
// answered for so many report intervals then. An owner that stood still itself finds
// none overdue: it has heard nobody since.
func (o *Owner) overdue(m *mach, intervals float64) bool {
	return m.heard.Sub(m.renewedAt()) > seconds(intervals*o.cfg.Params.Workers.ReportS)+overdueSlack
}

// takesNoWork reports whether what is started on the machine would be lost: commands
// don't reach it, or its worker's lease is not renewed.
func (o *Owner) takesNoWork(m *mach) bool { return !m.deaf.IsZero() || o.overdue(m, renewOverdue) }

// attempt is a task on a worker whose lease is not renewed. Times are in seconds.
type attempt struct {
	elapsed float64 // it has run for
	rest    float64 // until it ends, as estimated, its image's fetch included
	save    float64 // that it takes to save; negative: it can't
	counted bool    // to stop it now would undo a start that an aim counts
}

// stopBeforeExpiry decides whether to stop a task now, left seconds before its worker
// kills it. One that saves runs on as long as it can be saved. Any other that will not
// be done in time loses its run if the lease ends, and the rest of the lease too: it is
// stopped while it has run for less than that, so that no more is lost than twice the
// least possible, whether or not the worker is heard again.
func stopBeforeExpiry(a attempt, left float64) bool {
	switch {
	case left <= 0 || a.counted:
		return false
	case a.save >= 0:
		return left <= a.save+haltTakes
	default:
		return a.rest+showTakes >= left && a.elapsed < left
	}
}

// Expiring stops tasks on machines whose workers' leases are about to end unrenewed, and
// returns the addresses of those to be asked for their reports now.
// It is to be called several times a second.
func (o *Owner) Expiring() map[string]string {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.member.Held() <= 0 {
		return nil
	}
	now := time.Now()
	o.now = now
	var late []*mach
	for _, m := range o.machines {
		if !m.gone && len(m.places) > 0 && m.view.Endpoint != "" && o.expiring(m, now) {
			late = append(late, m)
		}
	}
	for _, m := range late {
		if o.overdue(m, haltOverdue) {
			o.stopExpiring(m, now, float64(len(late)) <= mostOverdue*float64(len(o.machines)))
		}
	}
	// In turn, so that none waits for ever behind others.
	slices.SortFunc(late, func(a, b *mach) int { return later(a.heard, a.askedAt).Compare(later(b.heard, b.askedAt)) })
	ask := map[string]string{}
	for _, m := range late {
		if len(ask) < max(asksAtOnce, len(late)/askShare) && o.askDue(m, now) {
			if m.askedAt.After(m.heard) {
				m.unanswered++
			} else {
				m.unanswered = 0
			}
			m.askedAt = now
			ask[m.name] = m.view.Endpoint
		}
	}
	return ask
}

// expiring reports whether a worker's report is overdue, and its lease has not ended for
// long.
func (o *Owner) expiring(m *mach, now time.Time) bool {
	w := &o.cfg.Params.Workers
	unrenewed := now.Sub(m.renewedAt())
	return unrenewed > seconds(reportOverdue*w.ReportS)+overdueSlack && unrenewed < seconds(w.LeaseS+w.ReportS)+settleTakes
}

// askDue reports whether an unrenewed worker is to be asked for its report: as often as
// it would report, shortly before its lease ends for what is done, shortly after it for
// what is lost, and each second while a task is being stopped.
func (o *Owner) askDue(m *mach, now time.Time) bool {
	w := &o.cfg.Params.Workers
	last := later(m.heard, m.askedAt)
	if m.askedAt.After(m.heard) && m.unanswered >= unansweredAsks {
		return false
	}
	interval := w.ReportS
	if !o.overdue(m, haltOverdue) {
		interval /= 2
	}
	for p := range m.places {
		if p.on() && !p.halted.IsZero() {
			interval = min(interval, 1)
		}
	}
	ends := m.renewedAt().Add(seconds(w.LeaseS))
	for _, at := range []time.Time{ends.Add(-seconds(showTakes)), ends.Add(settleTakes)} {
		if last.Before(at) && !now.Before(at) {
			return true
		}
	}
	return now.Sub(last) >= seconds(interval)
}

// stopExpiring stops what is to be stopped on a machine whose worker's lease is about to
// end. If not early, only tasks that save are.
func (o *Owner) stopExpiring(m *mach, now time.Time, early bool) {
	left := (seconds(o.cfg.Params.Workers.LeaseS) - now.Sub(m.renewedAt())).Seconds()
	unknown := m.renewed.Before(m.since) // renewed by a predecessor: the lease may end at any time
	for p := range m.places {
		j := p.job
		if p.state != placeSeen || p.exited || !p.halted.IsZero() || j.cancelled || j.spec.Service() {
			continue
		}
		a := attempt{rest: j.runEstimate(), save: -1}
		if p.running.IsZero() {
			a.rest += o.fetchTime(j, m)
		} else {
			a.elapsed = now.Sub(p.running).Seconds()
			a.rest = max(a.rest-a.elapsed, 1+0.15*a.elapsed)
			a.counted = len(j.class.starts) > 0 && a.elapsed < countedStart
		}
		if j.spec.MarkS > 0 {
			a.save = j.spec.SaveS
		} else if !early || j.spec.Gang() || !p.whole && !p.running.IsZero() {
			continue // a gang's tasks go together; how long one has run that a predecessor started is not known
		}
		if stopBeforeExpiry(a, left) || unknown && a.save >= 0 {
			o.halt(p, max(0, a.save)+1)
			o.stats.Expiring++
		}
	}
}
