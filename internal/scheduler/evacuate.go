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
func (o *Scheduler) evacuate() {
	var closing []*Worker
	room := 0.0
	for _, m := range o.byIndex {
		switch {
		case m == nil || len(m.Matrix) == 0:
		case m.Cordoned:
			closing = append(closing, m)
		case !m.View.Draining && m.NoticeAt.IsZero():
			room += max(0, m.Matrix[0].Free.CPUs)
		}
	}
	if len(closing) == 0 {
		return
	}
	for _, j := range o.order {
		if !j.Cancelled {
			room -= float64(len(j.Pending)) * j.Resources.CPUs
		}
	}
	sort.Slice(closing, func(a, b int) bool {
		x, y := closing[a], closing[b]
		if len(x.Placements) != len(y.Placements) {
			return len(x.Placements) < len(y.Placements)
		}
		return x.Index < y.Index
	})
	for _, m := range closing {
		for p := range m.Placements {
			if !p.MayRun() && !p.Exited && o.now.Sub(p.CreatedAt) > closingQueueWait {
				o.unqueue(p) // never granted: it can simply look elsewhere
			}
		}
		for _, e := range o.evacuees(m, room) {
			p := e.placement
			room -= p.Job.Resources.CPUs
			if p.Job.Evicted == nil {
				p.Job.Evicted = map[int]bool{}
			}
			p.Job.Evicted[p.Task] = true
			o.halt(p, p.Job.Spec.SaveS+1)
			o.stats.Evacuated++
		}
	}
}

// evictionCandidate is a task that may be stopped to empty its machine sooner.
type evictionCandidate struct {
	placement  *Placement
	left, loss float64 // seconds until it ends, and that stopping it wastes
	evictable  bool
}

// evacuees picks the tasks to be stopped on a machine: those that would keep it
// longest, as far as that saves several times what it wastes. The others end
// soon by themselves. Tasks that save nothing go only if all can.
func (o *Scheduler) evacuees(m *Worker, room float64) []evictionCandidate {
	t := o.typeOf(m)
	if t.CPUs <= 0 || t.SpotPrice <= 0 {
		return nil
	}
	var all []evictionCandidate
	for p := range m.Placements {
		if p.Exited || !p.HaltedAt.IsZero() {
			continue // as good as gone
		}
		e := evictionCandidate{placement: p, left: p.Job.RunEstimate()}
		if !p.RunningSince.IsZero() {
			elapsed := o.now.Sub(p.RunningSince).Seconds()
			e.left = matching.RemainingRun(e.left, elapsed)
		}
		e.loss, e.evictable = o.evacuable(p)
		all = append(all, e)
	}
	sort.Slice(all, func(a, b int) bool {
		if all[a].left != all[b].left {
			return all[a].left > all[b].left
		}
		return all[a].placement.Attempt < all[b].placement.Attempt
	})
	pick, best, wasted, saves := 0, 0.0, 0.0, true
	for i, e := range all {
		cpus := e.placement.Job.Resources.CPUs
		if room -= cpus; !e.evictable || room < 0 {
			break
		}
		wasted += e.loss * cpus * t.SpotPrice / t.CPUs
		saves = saves && (e.placement.Job.Spec.MarkS > 0 || e.loss == 0)
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
func (o *Scheduler) evacuable(p *Placement) (loss float64, ok bool) {
	j := p.Job
	if p.State != PlacementReported || p.Exited || !p.HaltedAt.IsZero() || j.Cancelled || j.Spec.Gang() || j.Spec.Service() || j.Evicted[p.Task] {
		return 0, false // each task moves once
	}
	if p.RunningSince.IsZero() {
		return 0, true
	}
	elapsed := o.now.Sub(p.RunningSince).Seconds()
	if len(j.Class.StartAims) > 0 && elapsed < countedStart {
		return 0, false
	}
	if j.Spec.MarkS > 0 {
		return math.Min(elapsed, j.Spec.SaveS), true
	}
	// No aim that it meets by running on may be missed by starting again. What
	// is late already must not become later still: it is what the whole of the
	// work waits for in the end.
	age, run := o.now.Sub(j.AcceptedAt).Seconds(), j.RunEstimate()
	left, late := max(run-elapsed, 1), true
	for _, limit := range o.limits(j) {
		late = late && limit < age+left
		if limit >= age+left && limit < age+pessimism*run+restartTakes {
			return 0, false
		}
	}
	return elapsed, !late && elapsed < evacuateLoss*run
}
