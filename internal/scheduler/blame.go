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
func (o *Owner) failed(j *job, m *mach) {
	j.errors++
	j.avoid[m.index] = time.Now().Add(time.Minute)
	if j.faulty {
		return
	}
	m.blame[j.spec.UID]++
	if j.done > 0 {
		return
	}
	if j.failedOn == nil {
		j.failedOn = map[int]bool{}
	}
	j.failedOn[m.index] = true
	if len(j.failedOn) < faultyOn {
		return
	}
	j.faulty, j.failedOn = true, nil
	for _, x := range o.machines {
		delete(x.blame, j.spec.UID)
	}
	o.log.Info("a job fails wherever it is tried", "job", j.spec.UID, "class", j.spec.Class, "errors", j.errors)
}

// faulty reports whether the machine fails what runs elsewhere.
func (m *mach) faulty() bool {
	sum := 0
	for _, n := range m.blame {
		sum += n
	}
	return sum >= faultyLeast && len(m.blame) >= 2
}

// heeds looks whether what is sent to a machine comes through, by what its newest
// report shows: a machine whose reports arrive, and which no answer and no command
// reaches, looks idle, and would take one task after the other for nothing until its
// lease ends, and again. It gets no work until it answers a request, or shows a
// start. Nothing on it is settled by this.
func (o *Owner) heeds(m *mach, now time.Time) {
	heeded := m.heeded || m.view.Asked
	m.heeded = false
	if heeded {
		o.hears(m)
		return
	}
	wait := o.heedWait()
	var since time.Time
	for p := range m.places {
		if p.shownIn == o.views {
			continue
		}
		var sent time.Time
		switch {
		case p.state == placeGranted && unsent(m.view.Queue, p.ref):
			// The grant has not reached the holder, which says nothing of the machine: over a
			// slow link between controllers, machines that worked were returned as deaf.
			continue
		case p.state == placeGranted:
			sent = p.grantedAt
		case p.state == placeUnsettled && m.view.Token <= p.token:
			sent = p.made
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
	if m.unheeded++; m.unheeded >= deafReports && m.deaf.IsZero() {
		m.deaf = now.Add(-wait)
		m.lost++
		o.log.Info("a machine reports, and nothing sent to it has an effect", "machine", m.name, "holder", m.view.Holder, "for_s", now.Sub(since).Seconds())
	}
}

// hears notes that something that was sent to the machine came through.
func (o *Owner) hears(m *mach) {
	if !m.deaf.IsZero() {
		o.log.Info("what is sent to the machine has an effect again", "machine", m.name, "after_s", time.Since(m.deaf).Seconds())
	}
	m.deaf, m.unheeded, m.heededAt = time.Time{}, 0, time.Now()
}

// heedWait is the time after which a report shows what was sent.
func (o *Owner) heedWait() time.Duration { return seconds(2 + 1.5*o.cfg.Params.Workers.ReportS) }

// Answered notes that a machine answered a request, by whichever controller.
func (o *Owner) Answered(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if m := o.machines[name]; m != nil {
		o.hears(m)
	}
}
