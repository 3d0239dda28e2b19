package scheduler

import (
	"math"
	"sort"

	"github.com/wallrack/wallrack/internal/matching"
)

const (
	evacuateGain = 3    // times what stopping tasks wastes that it must save
	evacuateLoss = 0.35 // of a task's run, at most, that stopping it may waste
	countedStart = 30   // seconds within which a stop undoes a start that an aim counts
)

// evacuate stops what runs longest on machines that are to be returned, where
// that wastes much less than the machine costs until those tasks end: a few
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
		for p := range m.places {
			if !p.on() && !p.exited && o.now.Sub(p.made) > closingQueueWait {
				o.unqueue(p) // never granted: it can simply look elsewhere
			}
		}
		for _, e := range o.evacuees(m, room) {
			p := e.p
			room -= p.job.shape.CPUs
			if p.job.moved == nil {
				p.job.moved = map[int]bool{}
			}
			p.job.moved[p.task] = true
			o.halt(p, p.job.spec.SaveS+1)
			o.stats.Evacuated++
		}
	}
}

// evacuee is a task that may be stopped to empty its machine sooner.
type evacuee struct {
	p          *place
	left, loss float64 // seconds until it ends, and that stopping it wastes
	ok         bool
}

// evacuees picks the tasks to be stopped on a machine: those that would keep it
// longest, as far as that saves several times what it wastes. The others end
// soon by themselves. Tasks that save nothing go only if all can.
func (o *Owner) evacuees(m *mach, room float64) []evacuee {
	t := o.typeOf(m)
	if t.CPUs <= 0 || t.SpotPrice <= 0 {
		return nil
	}
	var all []evacuee
	for p := range m.places {
		if p.exited || !p.halted.IsZero() {
			continue // as good as gone
		}
		e := evacuee{p: p, left: p.job.runEstimate()}
		if !p.running.IsZero() {
			elapsed := o.now.Sub(p.running).Seconds()
			e.left = matching.RestOfRun(e.left, elapsed)
		}
		e.loss, e.ok = o.evacuable(p)
		all = append(all, e)
	}
	sort.Slice(all, func(a, b int) bool {
		if all[a].left != all[b].left {
			return all[a].left > all[b].left
		}
		return all[a].p.attempt < all[b].p.attempt
	})
	pick, best, wasted, saves := 0, 0.0, 0.0, true
	for i, e := range all {
		cpus := e.p.job.shape.CPUs
		if room -= cpus; !e.ok || room < 0 {
			break
		}
		wasted += e.loss * cpus * t.SpotPrice / t.CPUs
		saves = saves && (e.p.job.spec.MarkS > 0 || e.loss == 0)
		until := 0.0
		if i+1 < len(all) {
			until = all[i+1].left
		}
		if !saves && i+1 < len(all) {
			continue // what begins anew may come late: only to empty the machine at once
		}
		if gain := t.Price*(all[0].left-until) - evacuateGain*wasted; gain > best {
			pick, best = i+1, gain
		}
	}
	return all[:pick]
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
