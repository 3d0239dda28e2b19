package planner

import (
	"math"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

// lookAgain re-places queued tasks that wait much longer than planned, with a
// duplicate where another machine is now better.
func (o *Planner) Rebalance() {
	o.state.Now = time.Now()
	now := o.state.Now
	fresh := config.Seconds(3*o.state.Platform.Params.Workers.ReportS + 1)
	open := o.openMachines()
	o.resetRoom()
	budget := lookAtOnce
	waits := map[*jobstate.Placement]float64{}
	stage := map[*jobstate.Job]*jobstate.Average{}
	var silent []*jobstate.Placement
	for _, worker := range o.state.Workers {
		for _, q := range worker.View.Queue {
			for placement := range worker.Placements {
				if placement.State == jobstate.PlacementRecorded && placement.Attempt == q.Attempt && placement.Ref == q.TaskRef {
					waits[placement] = q.WaitS
					a := stage[placement.Job]
					if a == nil {
						a = &jobstate.Average{}
						stage[placement.Job] = a
					}
					a.Add(min(q.WaitS, 600))
				}
			}
		}
	}
	for _, job := range o.state.JobOrder {
		if job.Cancelled || job.EndStage != "" {
			continue
		}
		if job.Spec.Gang() {
			continue
		}
		avg := 0.0
		if a := stage[job]; a != nil {
			avg = a.Mean()
		}
		for task, ps := range job.Placements {
			silent = silent[:0]
			for _, placement := range ps {
				if worker := placement.Worker; placement.State == jobstate.PlacementRecorded &&
					(now.Sub(jobstate.Later(worker.LastHeartbeat, placement.CreatedAt)) > fresh || !worker.NoticeAt.IsZero() || worker.View.Draining || !worker.UnresponsiveSince.IsZero() || !o.state.FitsLease(job, worker)) {
					silent = append(silent, placement)
				}
			}
			if len(silent) > 0 {
				// Never granted: the task can simply look elsewhere.
				for _, placement := range silent {
					o.state.WithdrawPlacement(placement)
				}
				continue
			}
			// Of two choices that both prove wrong, the one that waits longer makes
			// room for a third: a task stood for ever behind two that ran for long,
			// beside an idle machine.
			placement, current := ps[0], math.Inf(1)
			for _, x := range ps {
				w, known := waits[x]
				if x.State != jobstate.PlacementRecorded || !known || !matching.ShouldReplace(x.PlannedWait, now.Sub(x.CreatedAt).Seconds(), w, max(avg, x.PlannedWait), o.state.Operator.ReplaceS) {
					placement = nil
					break
				}
				if w > waits[placement] {
					placement = x
				}
				current = min(current, matching.Cost(o.state.FetchTime(job, x.Worker), w, job.RunEstimate(), o.state.SuccessRate(x.Worker), o.state.Operator.KFail))
			}
			if placement == nil {
				continue
			}
			var best *jobstate.Worker
			bestE := Estimate{cost: current - 1}
			if budget--; budget < 0 {
				return
			}
			for _, worker := range o.candidates(job, o.workersWithRoom(job, open)) {
				if slices.ContainsFunc(ps, func(x *jobstate.Placement) bool { return x.Worker == worker }) {
					continue
				}
				if e, ok := o.estimate(job, worker); ok && e.cost < bestE.cost {
					best, bestE = worker, e
				}
			}
			if best != nil {
				if len(ps) >= maxPlaces {
					o.state.WithdrawPlacement(placement)
				}
				o.state.Stats.Duplicates++
				o.placeTask(job, task, best, bestE.wait)
			}
		}
	}
}
