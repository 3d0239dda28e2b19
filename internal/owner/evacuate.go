package owner

import (
	"math"
	"sort"
)

const (
	evacuateGain = 3    // times what keeping a machine must cost more than what stopping its tasks wastes
	evacuateLoss = 0.35 // of a task's run, at most, that stopping it may waste
	countedStart = 30   // seconds within which a stop undoes a start that an aim counts
)

// evacuate stops what still runs on machines that are to be returned, where
// that wastes much less than the machine costs until the last task ends: a few
// small tasks would keep a large machine for minutes. There must be room for
// them elsewhere.
func (o *Owner) evacuate() {
	var closing []*mach
	room := 0.0
	for _, m := range o.byIndex {
		switch {
		case m == nil || len(m.matrix) == 0:
		case m.closing:
			closing = append(closing, m)
		case !m.view.Draining && m.notice.IsZero():
			room += max(0, m.matrix[0].Free.CPUs)
		}
	}
	if len(closing) == 0 {
		return
	}
	for _, j := range o.order {
		if !j.cancelled {
			room -= float64(len(j.pending)) * j.shape.CPUs
		}
	}
	sort.Slice(closing, func(a, b int) bool {
		x, y := closing[a], closing[b]
		if len(x.places) != len(y.places) {
			return len(x.places) < len(y.places)
		}
		return x.index < y.index
	})
	for _, m := range closing {
		t := o.typeOf(m)
		if t.CPUs <= 0 || t.SpotPrice <= 0 {
			continue
		}
		used, lost, can := 0.0, 0.0, len(m.places) > 0
		for p := range m.places {
			loss, ok := o.evacuable(p)
			if !ok {
				can = false
				break
			}
			used += p.job.shape.CPUs
			lost += loss * p.job.shape.CPUs
		}
		left := m.matrix[len(m.matrix)-1].Wait
		if !can || used > room || t.Price*left < evacuateGain*lost*t.SpotPrice/t.CPUs {
			continue
		}
		room -= used
		for p := range m.places {
			if p.job.moved == nil {
				p.job.moved = map[int]bool{}
			}
			p.job.moved[p.task] = true
			o.halt(p, p.job.spec.SaveS+1)
			o.stats.Evacuated++
		}
	}
}

// evacuable reports whether a task may be stopped to empty its machine, and
// how many seconds of its run that wastes.
func (o *Owner) evacuable(p *place) (loss float64, ok bool) {
	j := p.job
	if p.state != placeSeen || p.exited || !p.halted.IsZero() || j.cancelled || j.spec.Gang() || j.spec.Service() || j.moved[p.task] {
		return 0, false // each task moves once
	}
	if p.running.IsZero() {
		return 0, true
	}
	elapsed := o.now.Sub(p.running).Seconds()
	if len(j.class.starts) > 0 && elapsed < countedStart {
		return 0, false
	}
	if j.spec.MarkS > 0 {
		return math.Min(elapsed, j.spec.SaveS), true
	}
	// No aim that it meets by running on may be missed by starting again. What
	// is late already must not become later still: it is what the whole of the
	// work waits for in the end.
	age, run := o.now.Sub(j.accepted).Seconds(), j.runEstimate()
	left, late := max(run-elapsed, 1), true
	for _, limit := range o.limits(j) {
		late = late && limit < age+left
		if limit >= age+left && limit < age+pessimism*run+restartTakes {
			return 0, false
		}
	}
	return elapsed, !late && elapsed < evacuateLoss*run
}
