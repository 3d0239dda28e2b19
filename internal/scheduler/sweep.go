package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/matching"
)

// lookAgain re-places queued tasks that wait much longer than planned, with a
// duplicate where another machine is now better.
func (o *Owner) lookAgain() {
	o.now = time.Now()
	now := o.now
	fresh := seconds(3*o.cfg.Params.Workers.ReportS + 1)
	open := o.openMachines()
	o.forgetRoom()
	budget := lookAtOnce
	waits := map[*place]float64{}
	stage := map[*job]*average{}
	var silent []*place
	for _, m := range o.machines {
		for _, q := range m.view.Queue {
			for p := range m.places {
				if p.state == placeRecorded && p.attempt == q.Attempt && p.ref == q.Ref {
					waits[p] = q.WaitS
					a := stage[p.job]
					if a == nil {
						a = &average{}
						stage[p.job] = a
					}
					a.add(min(q.WaitS, 600))
				}
			}
		}
	}
	for _, j := range o.order {
		if j.cancelled || j.ended != "" {
			continue
		}
		if j.spec.Gang() {
			continue
		}
		avg := 0.0
		if a := stage[j]; a != nil {
			avg = a.mean()
		}
		for task, ps := range j.places {
			silent = silent[:0]
			for _, p := range ps {
				if m := p.mach; p.state == placeRecorded &&
					(now.Sub(later(m.heard, p.made)) > fresh || !m.notice.IsZero() || m.view.Draining || !m.deaf.IsZero() || !o.fitsLease(j, m)) {
					silent = append(silent, p)
				}
			}
			if len(silent) > 0 {
				// Never granted: the task can simply look elsewhere.
				for _, p := range silent {
					o.unqueue(p)
				}
				continue
			}
			// Of two choices that both prove wrong, the one that waits longer makes
			// room for a third: a task stood for ever behind two that ran for long,
			// beside an idle machine.
			p, current := ps[0], math.Inf(1)
			for _, x := range ps {
				w, known := waits[x]
				if x.state != placeRecorded || !known || !matching.LookAgain(x.planned, now.Sub(x.made).Seconds(), w, max(avg, x.planned), o.op.ReplaceS) {
					p = nil
					break
				}
				if w > waits[p] {
					p = x
				}
				current = min(current, matching.Cost(o.fetchTime(j, x.mach), w, j.runEstimate(), o.success(x.mach), o.op.KFail))
			}
			if p == nil {
				continue
			}
			var best *mach
			bestE := estimate{cost: current - 1}
			if budget--; budget < 0 {
				return
			}
			for _, m := range o.candidates(j, o.roomFor(j, open)) {
				if slices.ContainsFunc(ps, func(x *place) bool { return x.mach == m }) {
					continue
				}
				if e, ok := o.estimate(j, m); ok && e.cost < bestE.cost {
					best, bestE = m, e
				}
			}
			if best != nil {
				if len(ps) >= maxPlaces {
					o.unqueue(p)
				}
				o.stats.Duplicates++
				o.put(j, task, best, bestE.wait)
			}
		}
	}
}

// sweep repeats what may have been lost on the way.
func (o *Owner) sweep() {
	for _, j := range o.order {
		o.overTime(j)
		if !j.cancelled && (j.asked == nil || j.over == j.done) {
			continue
		}
		for _, ps := range j.places {
			for _, p := range append([]*place(nil), ps...) {
				if !p.exited && (j.cancelled || p.chunk.isDone(p.task)) {
					o.halt(p, 0)
				}
			}
		}
	}
	poke(o.flush) // for changes that were not urgent
	for _, m := range o.machines {
		if len(m.places) == 0 && time.Since(later(m.at, m.since)) > 10*time.Minute {
			o.byIndex[m.index] = nil
			delete(o.machines, m.name)
		}
	}
}
