package scheduler

import (
	"math"
	"sort"
)

const (
	preemptsAtOnce = 24  // bounds what one pass stops
	preemptLooks   = 200 // machines that one pass looks at
	preemptShare   = 0.5 // work lost by stopping, at most, to the work it lets start
)

// preemptionCandidate is a running task that may make room.
type preemptionCandidate struct {
	placement *Placement
	loss      float64 // seconds of its run that stopping it now wastes
}

// preempt makes room for urgent jobs whose aim to start soon is in danger, by
// stopping tasks of lower priority that lose little and have time left. One
// pass looks at a part of a large fleet, the next one at another.
func (o *Scheduler) preempt(waiting []*Job, open []*Worker) {
	var urgent []*Job
	for _, j := range waiting {
		if o.room(j) > 0 && !j.Cancelled && !j.Spec.Gang() && o.startAim(j) {
			urgent = append(urgent, j)
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
		o.preemptAt++
		budget -= o.makeRoom(urgent[0], open[o.preemptAt%len(open)], budget)
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
func (o *Scheduler) startAim(j *Job) bool {
	if o.slack(j, 0) < urgentSlack {
		return true
	}
	age := o.now.Sub(j.AcceptedAt).Seconds()
	for _, within := range j.Class.StartAims {
		if within-age < urgentSlack && age < max(2*within, missedKept) {
			return true
		}
	}
	return false
}

// victims lists what may be stopped on a machine for a job, least loss first.
func (o *Scheduler) victims(j *Job, m *Worker) []preemptionCandidate {
	var out []preemptionCandidate
	for p := range m.Placements {
		v := p.Job
		if p.State != PlacementReported || p.RunningSince.IsZero() || !p.HaltedAt.IsZero() || p.Exited || v.Cancelled ||
			v.Spec.Service() || v.Spec.Gang() || v.Spec.Rank() >= j.Spec.Rank() || o.slack(v, 0) < lateSlack {
			continue
		}
		elapsed := o.now.Sub(p.RunningSince).Seconds()
		loss := elapsed
		if v.Spec.MarkS > 0 {
			loss = math.Mod(elapsed, v.Spec.MarkS)
		}
		// Nearly finished tasks leave by themselves.
		if v.RunEstimate()-elapsed < 3 && v.Spec.MarkS == 0 {
			continue
		}
		out = append(out, preemptionCandidate{p, loss})
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
func (o *Scheduler) makeRoom(j *Job, m *Worker, most int) int {
	if m.Cordoned || !o.allowed(j, m) || !o.within(j, m) || !o.underLimit(j) || !o.fitsLease(j, m) {
		return 0
	}
	if fetch := o.fetchTime(j, m); fetch > 0 && o.startLate(j, fetch) && !o.startLate(j, 0) {
		return 0 // another machine has the image
	}
	free := m.Matrix[0].Free
	run := j.RunEstimate()
	stopped, lost, starts := 0, 0.0, 0
	var chosen []preemptionCandidate
	for _, v := range o.victims(j, m) {
		if starts >= o.room(j) || len(chosen) >= most {
			break
		}
		gain := free.Add(v.placement.Job.Resources, 1)
		n := starts
		for n < o.room(j) && j.Resources.Scale(float64(n+1)).Fits(gain) {
			n++
		}
		cost := lost + v.loss*max(v.placement.Job.Resources.CPUs, 0.1)
		if n > 0 && cost > preemptShare*run*j.Resources.CPUs*float64(n) {
			break
		}
		free, lost, starts = gain, cost, n
		chosen = append(chosen, v)
	}
	if starts == 0 {
		return 0
	}
	for p := range m.Placements {
		// What is queued here must not take the room.
		if p.State == PlacementRecorded && p.Job.Spec.Rank() < j.Spec.Rank() {
			o.unqueue(p)
		}
	}
	for _, v := range chosen {
		o.halt(v.placement, 0)
		m.Matrix[0].Free = m.Matrix[0].Free.Add(v.placement.Job.Resources, 1)
		stopped++
	}
	o.stats.Preempted += stopped
	for ; starts > 0 && o.room(j) > 0; starts-- {
		t := j.Pending[len(j.Pending)-1]
		j.Pending = j.Pending[:len(j.Pending)-1]
		o.put(j, t, m, 0)
	}
	return stopped
}
