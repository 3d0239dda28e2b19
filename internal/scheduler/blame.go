package scheduler

import (
	"time"
)

const (
	faultyOn    = 3 // machines on which a job must have failed, and none done, to be at fault itself
	faultyTries = 2 // tasks of such a job that are tried at a time
	faultyLeast = 4 // errors on a machine, of two jobs at least, without a task done, that make it faulty
	deafReports = 2 // reports in a row that show that nothing sent has had an effect
)

// failed notes that a task of the job ended with an error on the machine. A job that
// was submitted with a mistake fails wherever it is tried: it blames no machine, and
// only a few of its tasks are tried at a time, until one is done. Before this, each such
// job put every machine that it touched back for all others, and had sound ones returned.
func (o *Scheduler) failed(j *Job, m *Worker) {
	j.Errors++
	j.Avoid[m.Index] = time.Now().Add(time.Minute)
	if j.Faulty {
		return
	}
	m.Failures[j.Spec.UID]++
	if j.Done > 0 {
		return
	}
	if j.FailedOn == nil {
		j.FailedOn = map[int]bool{}
	}
	j.FailedOn[m.Index] = true
	if len(j.FailedOn) < faultyOn {
		return
	}
	j.Faulty, j.FailedOn = true, nil
	for _, x := range o.machines {
		delete(x.Failures, j.Spec.UID)
	}
	o.log.Info("a job fails wherever it is tried", "job", j.Spec.UID, "class", j.Spec.Class, "errors", j.Errors)
}

// Faulty reports whether the machine fails what runs elsewhere.
func (m *Worker) Faulty() bool {
	sum := 0
	for _, n := range m.Failures {
		sum += n
	}
	return sum >= faultyLeast && len(m.Failures) >= 2
}

// heeds looks whether what is sent to a machine comes through, by what its newest
// report shows: a machine whose reports arrive, and which no answer and no command
// reaches, looks idle, and would take one task after the other for nothing until its
// lease ends, and again. It gets no work until it answers a request, or shows a
// start. Nothing on it is settled by this.
func (o *Scheduler) heeds(m *Worker, now time.Time) {
	heeded := m.CommandObserved || m.View.Asked
	m.CommandObserved = false
	if heeded {
		o.hears(m)
		return
	}
	wait := o.heedWait()
	var since time.Time
	for p := range m.Placements {
		if p.SeenInView == o.views {
			continue
		}
		var sent time.Time
		switch {
		case p.State == PlacementGranted && unsent(m.View.Queue, p.Ref):
			// The grant has not reached the holder, which says nothing of the machine: over a
			// slow link between controllers, machines that worked were returned as deaf.
			continue
		case p.State == PlacementGranted:
			sent = p.GrantedAt
		case p.State == PlacementUnconfirmed && m.View.Token <= p.MaxToken:
			sent = p.CreatedAt
		default:
			continue
		}
		if now.Sub(sent) > wait && (since.IsZero() || sent.Before(since)) {
			since = sent
		}
	}
	if since.IsZero() {
		return
	}
	if m.UnresponsiveReports++; m.UnresponsiveReports >= deafReports && m.UnresponsiveSince.IsZero() {
		m.UnresponsiveSince = now.Add(-wait)
		m.RecentLost++
		o.log.Info("a machine reports, and nothing sent to it has an effect", "machine", m.Name, "holder", m.View.Holder, "for_s", now.Sub(since).Seconds())
	}
}

// hears notes that something that was sent to the machine came through.
func (o *Scheduler) hears(m *Worker) {
	if !m.UnresponsiveSince.IsZero() {
		o.log.Info("what is sent to the machine has an effect again", "machine", m.Name, "after_s", time.Since(m.UnresponsiveSince).Seconds())
	}
	m.UnresponsiveSince, m.UnresponsiveReports, m.RespondedAt = time.Time{}, 0, time.Now()
}

// heedWait is the time after which a report shows what was sent.
func (o *Scheduler) heedWait() time.Duration { return seconds(2 + 1.5*o.cfg.Params.Workers.ReportS) }

// WorkerAnswered notes that a machine answered a request, by whichever controller.
func (o *Scheduler) WorkerAnswered(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if m := o.machines[name]; m != nil {
		o.hears(m)
	}
}
