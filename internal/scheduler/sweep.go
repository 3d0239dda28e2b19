package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/matching"
)

// lookAgain re-places queued tasks that wait much longer than planned, with a
// duplicate where another machine is now better.
func (o *Scheduler) lookAgain() {
	o.now = time.Now()
	now := o.now
	fresh := seconds(3*o.cfg.Params.Workers.ReportS + 1)
	open := o.openMachines()
	o.forgetRoom()
	budget := lookAtOnce
	waits := map[*Placement]float64{}
	stage := map[*Job]*Average{}
	var silent []*Placement
	for _, m := range o.machines {
		for _, q := range m.View.Queue {
			for p := range m.Placements {
				if p.State == PlacementRecorded && p.Attempt == q.Attempt && p.Ref == q.TaskRef {
					waits[p] = q.WaitS
					a := stage[p.Job]
					if a == nil {
						a = &Average{}
						stage[p.Job] = a
					}
					a.Add(min(q.WaitS, 600))
				}
			}
		}
	}
	for _, j := range o.order {
		if j.Cancelled || j.EndStage != "" {
			continue
		}
		if j.Spec.Gang() {
			continue
		}
		avg := 0.0
		if a := stage[j]; a != nil {
			avg = a.Mean()
		}
		for task, ps := range j.Placements {
			silent = silent[:0]
			for _, p := range ps {
				if m := p.Worker; p.State == PlacementRecorded &&
					(now.Sub(later(m.LastHeartbeat, p.CreatedAt)) > fresh || !m.NoticeAt.IsZero() || m.View.Draining || !m.UnresponsiveSince.IsZero() || !o.fitsLease(j, m)) {
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
				if x.State != PlacementRecorded || !known || !matching.ShouldReplace(x.PlannedWait, now.Sub(x.CreatedAt).Seconds(), w, max(avg, x.PlannedWait), o.op.ReplaceS) {
					p = nil
					break
				}
				if w > waits[p] {
					p = x
				}
				current = min(current, matching.Cost(o.fetchTime(j, x.Worker), w, j.RunEstimate(), o.success(x.Worker), o.op.KFail))
			}
			if p == nil {
				continue
			}
			var best *Worker
			bestE := Estimate{cost: current - 1}
			if budget--; budget < 0 {
				return
			}
			for _, m := range o.candidates(j, o.roomFor(j, open)) {
				if slices.ContainsFunc(ps, func(x *Placement) bool { return x.Worker == m }) {
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
func (o *Scheduler) sweep() {
	for _, j := range o.order {
		o.overTime(j)
		if !j.Cancelled && (j.Constraints == nil || j.Finished == j.Done) {
			continue
		}
		for _, ps := range j.Placements {
			for _, p := range append([]*Placement(nil), ps...) {
				if !p.Exited && (j.Cancelled || p.Chunk.IsDone(p.Task)) {
					o.halt(p, 0)
				}
			}
		}
	}
	poke(o.flush) // for changes that were not urgent
	for _, m := range o.machines {
		if len(m.Placements) == 0 && time.Since(later(m.ViewAt, m.KnownSince)) > 10*time.Minute {
			o.byIndex[m.Index] = nil
			delete(o.machines, m.Name)
		}
	}
}
