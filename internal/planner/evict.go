package planner

import (
	"math"
	"sort"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

const (
	evacuateGain = 3    // times what stopping tasks wastes that it must save
	evacuateLoss = 0.35 // of a task's run, at most, that stopping it may waste
)

// evacuate stops what runs longest on machines that are to be returned, where
// that wastes much less than the machine costs until those tasks end: a few
// small tasks would keep a large machine for minutes. There must be room for
// them elsewhere.
func (o *Planner) Evict() {
	var closing []*jobstate.Worker
	room := 0.0
	for _, worker := range o.state.WorkersByIndex {
		switch {
		case worker == nil || len(worker.Matrix) == 0:
		case worker.Cordoned:
			closing = append(closing, worker)
		case !worker.View.Draining && worker.NoticeAt.IsZero():
			room += max(0, worker.Matrix[0].Free.CPUs)
		}
	}
	if len(closing) == 0 {
		return
	}
	for _, job := range o.state.JobOrder {
		if !job.Cancelled {
			room -= float64(len(job.Pending)) * job.Resources.CPUs
		}
	}
	sort.Slice(closing, func(a, b int) bool {
		x, y := closing[a], closing[b]
		if len(x.Placements) != len(y.Placements) {
			return len(x.Placements) < len(y.Placements)
		}
		return x.Index < y.Index
	})
	for _, worker := range closing {
		for placement := range worker.Placements {
			if !placement.MayRun() && !placement.Exited && o.state.Now.Sub(placement.CreatedAt) > closingQueueWait {
				o.state.WithdrawPlacement(placement) // never granted: it can simply look elsewhere
			}
		}
		for _, e := range o.evictionCandidates(worker, room) {
			placement := e.placement
			room -= placement.Job.Resources.CPUs
			if placement.Job.Evicted == nil {
				placement.Job.Evicted = map[int]bool{}
			}
			placement.Job.Evicted[placement.Task] = true
			o.state.HaltTask(placement, placement.Job.Spec.SaveS+1)
			o.state.Stats.Evacuated++
		}
	}
}

// evictionCandidate is a task that may be stopped to empty its machine sooner.
type evictionCandidate struct {
	placement  *jobstate.Placement
	left, loss float64 // seconds until it ends, and that stopping it wastes
	evictable  bool
}

// evacuees picks the tasks to be stopped on a machine: those that would keep it
// longest, as far as that saves several times what it wastes. The others end
// soon by themselves. Tasks that save nothing go only if all can.
func (o *Planner) evictionCandidates(worker *jobstate.Worker, room float64) []evictionCandidate {
	t := o.state.TypeOf(worker)
	if t.CPUs <= 0 || t.SpotPrice <= 0 {
		return nil
	}
	var all []evictionCandidate
	for placement := range worker.Placements {
		if placement.Exited || !placement.HaltedAt.IsZero() {
			continue // as good as gone
		}
		e := evictionCandidate{placement: placement, left: placement.Job.RunEstimate()}
		if !placement.RunningSince.IsZero() {
			elapsed := o.state.Now.Sub(placement.RunningSince).Seconds()
			e.left = matching.RemainingRun(e.left, elapsed)
		}
		e.loss, e.evictable = o.evictable(placement)
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
func (o *Planner) evictable(placement *jobstate.Placement) (loss float64, ok bool) {
	job := placement.Job
	if placement.State != jobstate.PlacementReported || placement.Exited || !placement.HaltedAt.IsZero() || job.Cancelled || job.Spec.Gang() || job.Spec.Service() || job.Evicted[placement.Task] {
		return 0, false // each task moves once
	}
	if placement.RunningSince.IsZero() {
		return 0, true
	}
	elapsed := o.state.Now.Sub(placement.RunningSince).Seconds()
	if len(job.Class.StartAims) > 0 && elapsed < jobstate.CountedStart {
		return 0, false
	}
	if job.Spec.MarkS > 0 {
		return math.Min(elapsed, job.Spec.SaveS), true
	}
	// No aim that it meets by running on may be missed by starting again. What
	// is late already must not become later still: it is what the whole of the
	// work waits for in the end.
	age, run := o.state.Now.Sub(job.AcceptedAt).Seconds(), job.RunEstimate()
	left, late := max(run-elapsed, 1), true
	for _, limit := range o.state.Limits(job) {
		late = late && limit < age+left
		if limit >= age+left && limit < age+jobstate.Pessimism*run+jobstate.RestartTakes {
			return 0, false
		}
	}
	return elapsed, !late && elapsed < evacuateLoss*run
}
