package planner

import (
	"math"
	"sort"

	"github.com/wallrack/wallrack/internal/jobstate"
)

const (
	preemptsAtOnce = 24  // bounds what one pass stops
	preemptLooks   = 200 // machines that one pass looks at
	preemptShare   = 0.5 // work lost by stopping, at most, to the work it lets start
)

// preemptionCandidate is a running task that may make room.
type preemptionCandidate struct {
	placement *jobstate.Placement
	loss      float64 // seconds of its run that stopping it now wastes
}

// preempt makes room for urgent jobs whose aim to start soon is in danger, by
// stopping tasks of lower priority that lose little and have time left. One
// pass looks at a part of a large fleet, the next one at another.
func (p *Planner) preempt(waiting []*jobstate.Job, open []*jobstate.Worker) {
	var urgent []*jobstate.Job
	for _, job := range waiting {
		if p.state.PlaceableTasks(job) > 0 && !job.Cancelled && !job.Spec.Gang() && p.startAim(job) {
			urgent = append(urgent, job)
		}
	}
	budget := preemptsAtOnce
	for range min(len(open), preemptLooks) {
		for len(urgent) > 0 && len(urgent[0].Pending) == 0 {
			urgent = urgent[1:]
		}
		if budget <= 0 || len(urgent) == 0 {
			return
		}
		p.preemptAt++
		budget -= p.makeRoom(urgent[0], open[p.preemptAt%len(open)], budget)
	}
}

// urgentSlack is the slack below which an aim is in danger.
const urgentSlack = 15

// missedKept is how long, in seconds, a missed aim for starts keeps a job urgent at
// least: a short one is missed soon, and its tasks matter still.
const missedKept = 3 * urgentSlack

// startAim reports whether the job's tasks must start now: the time left for the
// next aim runs out, or an aim for their start was missed not long ago. An aim
// that is far off yet stops nobody: room that falls free goes to the higher
// priority anyway, and what is stopped is paid for twice.
func (p *Planner) startAim(job *jobstate.Job) bool {
	if p.slack(job, 0) < urgentSlack {
		return true
	}
	age := p.state.Now.Sub(job.AcceptedAt).Seconds()
	for _, within := range job.Class.StartAims {
		if within-age < urgentSlack && age < max(2*within, missedKept) {
			return true
		}
	}
	return false
}

// victims lists what may be stopped on a machine for a job, least loss first.
func (o *Planner) victims(job *jobstate.Job, worker *jobstate.Worker) []preemptionCandidate {
	var out []preemptionCandidate
	for placement := range worker.Placements {
		v := placement.Job
		if placement.State != jobstate.PlacementReported || placement.RunningSince.IsZero() || !placement.HaltedAt.IsZero() || placement.Exited || v.Cancelled ||
			v.Spec.Service() || v.Spec.Gang() || v.Spec.Rank() >= job.Spec.Rank() || o.slack(v, 0) < lateSlack {
			continue
		}
		elapsed := o.state.Now.Sub(placement.RunningSince).Seconds()
		loss := elapsed
		if v.Spec.MarkS > 0 {
			loss = math.Mod(elapsed, v.Spec.MarkS)
		}
		// Nearly finished tasks leave by themselves.
		if v.RunEstimate()-elapsed < 3 && v.Spec.MarkS == 0 {
			continue
		}
		out = append(out, preemptionCandidate{placement, loss})
	}
	sort.Slice(out, func(a, b int) bool {
		if out[a].loss != out[b].loss {
			return out[a].loss < out[b].loss
		}
		return out[a].placement.Attempt < out[b].placement.Attempt
	})
	return out
}

// makeRoom stops tasks on a machine and queues the job's tasks there in their
// stead; it returns how many it stopped.
func (o *Planner) makeRoom(job *jobstate.Job, worker *jobstate.Worker, most int) int {
	if worker.Cordoned || !o.state.Allowed(job, worker) || !o.state.FitsZone(job, worker) || !o.state.UnderLimit(job) || !o.state.FitsLease(job, worker) {
		return 0
	}
	if fetch := o.state.FetchTime(job, worker); fetch > 0 && o.startLate(job, fetch) && !o.startLate(job, 0) {
		return 0 // another machine has the image
	}
	free := worker.Matrix[0].Free
	run := job.RunEstimate()
	stopped, lost, starts := 0, 0.0, 0
	var chosen []preemptionCandidate
	for _, v := range o.victims(job, worker) {
		if starts >= o.state.PlaceableTasks(job) || len(chosen) >= most {
			break
		}
		gain := free.Add(v.placement.Job.Resources, 1)
		n := starts
		for n < o.state.PlaceableTasks(job) && job.Resources.Scale(float64(n+1)).Fits(gain) {
			n++
		}
		cost := lost + v.loss*max(v.placement.Job.Resources.CPUs, 0.1)
		if n > 0 && cost > preemptShare*run*job.Resources.CPUs*float64(n) {
			break
		}
		free, lost, starts = gain, cost, n
		chosen = append(chosen, v)
	}
	if starts == 0 {
		return 0
	}
	for placement := range worker.Placements {
		// What is queued here must not take the room.
		if placement.State == jobstate.PlacementRecorded && placement.Job.Spec.Rank() < job.Spec.Rank() {
			o.state.WithdrawPlacement(placement)
		}
	}
	for _, v := range chosen {
		o.state.HaltTask(v.placement, 0)
		worker.Matrix[0].Free = worker.Matrix[0].Free.Add(v.placement.Job.Resources, 1)
		stopped++
	}
	o.state.Stats.Preempted += stopped
	for ; starts > 0 && o.state.PlaceableTasks(job) > 0; starts-- {
		t := job.Pending[len(job.Pending)-1]
		job.Pending = job.Pending[:len(job.Pending)-1]
		o.placeTask(job, t, worker, 0)
	}
	return stopped
}
