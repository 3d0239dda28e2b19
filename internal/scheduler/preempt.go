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

// victim is a running task that may make room.
type victim struct {
	p    *place
	loss float64 // seconds of its run that stopping it now wastes
}

// preempt makes room for urgent jobs whose aim to start soon is in danger, by
// stopping tasks of lower priority that lose little and have time left. One
// pass looks at a part of a large fleet, the next one at another.
func (o *Owner) preempt(waiting []*job, open []*mach) {
	var urgent []*job
	for _, j := range waiting {
		if o.room(j) > 0 && !j.cancelled && !j.spec.Gang() && o.startAim(j) {
			urgent = append(urgent, j)
		}
	}
	budget := preemptsAtOnce
	for range min(len(open), preemptLooks) {
		for len(urgent) > 0 && len(urgent[0].pending) == 0 {
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
func (o *Owner) startAim(j *job) bool {
	if o.slack(j, 0) < urgentSlack {
		return true
	}
	age := o.now.Sub(j.accepted).Seconds()
	for _, within := range j.class.starts {
		if within-age < urgentSlack && age < max(2*within, missedKept) {
			return true
		}
	}
	return false
}

// victims lists what may be stopped on a machine for a job, least loss first.
func (o *Owner) victims(j *job, m *mach) []victim {
	var out []victim
	for p := range m.places {
		v := p.job
		if p.state != placeSeen || p.running.IsZero() || !p.halted.IsZero() || p.exited || v.cancelled ||
			v.spec.Service() || v.spec.Gang() || v.spec.Rank() >= j.spec.Rank() || o.slack(v, 0) < lateSlack {
			continue
		}
		elapsed := o.now.Sub(p.running).Seconds()
		loss := elapsed
		if v.spec.MarkS > 0 {
			loss = math.Mod(elapsed, v.spec.MarkS)
		}
		// Nearly finished tasks leave by themselves.
		if v.runEstimate()-elapsed < 3 && v.spec.MarkS == 0 {
			continue
		}
		out = append(out, victim{p, loss})
	}
	sort.Slice(out, func(a, b int) bool {
		if out[a].loss != out[b].loss {
			return out[a].loss < out[b].loss
		}
		return out[a].p.attempt < out[b].p.attempt
	})
	return out
}

// makeRoom stops tasks on a machine and queues the job's tasks there in their
// stead; it returns how many it stopped.
func (o *Owner) makeRoom(j *job, m *mach, most int) int {
	if m.closing || !o.allowed(j, m) || !o.within(j, m) || !o.underLimit(j) || !o.fitsLease(j, m) {
		return 0
	}
	if fetch := o.fetchTime(j, m); fetch > 0 && o.startLate(j, fetch) && !o.startLate(j, 0) {
		return 0 // another machine has the image
	}
	free := m.matrix[0].Free
	run := j.runEstimate()
	stopped, lost, starts := 0, 0.0, 0
	var chosen []victim
	for _, v := range o.victims(j, m) {
		if starts >= o.room(j) || len(chosen) >= most {
			break
		}
		gain := free.Add(v.p.job.shape, 1)
		n := starts
		for n < o.room(j) && j.shape.Scale(float64(n+1)).Fits(gain) {
			n++
		}
		cost := lost + v.loss*max(v.p.job.shape.CPUs, 0.1)
		if n > 0 && cost > preemptShare*run*j.shape.CPUs*float64(n) {
			break
		}
		free, lost, starts = gain, cost, n
		chosen = append(chosen, v)
	}
	if starts == 0 {
		return 0
	}
	for p := range m.places {
		// What is queued here must not take the room.
		if p.state == placeRecorded && p.job.spec.Rank() < j.spec.Rank() {
			o.unqueue(p)
		}
	}
	for _, v := range chosen {
		o.halt(v.p, 0)
		m.matrix[0].Free = m.matrix[0].Free.Add(v.p.job.shape, 1)
		stopped++
	}
	o.stats.Preempted += stopped
	for ; starts > 0 && o.room(j) > 0; starts-- {
		t := j.pending[len(j.pending)-1]
		j.pending = j.pending[:len(j.pending)-1]
		o.put(j, t, m, 0)
	}
	return stopped
}
