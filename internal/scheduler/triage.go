package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/admission"
	"github.com/wallrack/wallrack/internal/matching"
)

const (
	triageEvery = time.Second
	arriveOver  = 40.0 // seconds over which arriving work is averaged
	flooded     = 1.5  // times the usual first limit, that all work of a priority must take for triage to begin
	subsided    = 0.75 // and below which it ends
	leastRate   = 0.1  // of the fleet, that a priority is taken to get whatever arrives above it
	yield       = 0.75 // of the fleet, that tasks keep busy: the rest is gaps, fetches and starts
)

// ArrivingWork is how much work of a class arrives.
type ArrivingWork struct {
	Admitted     float64 // CPU-seconds so far
	LastAdmitted float64 // the same, as of the last look
	Rate         float64 // CPUs kept busy by it
	Rank         int     // of its last job
}

// triage sorts out which jobs can still be done in time: see package triage. The fleet's
// capacity goes to priorities from the highest on; what a lower one gets is what the
// work above it, and its arrival, leave.
func (o *Scheduler) triage() {
	now := time.Now()
	dt := now.Sub(o.triagedAt).Seconds()
	if dt < triageEvery.Seconds() {
		return
	}
	first := o.triagedAt.IsZero()
	o.triagedAt = now
	for _, a := range o.arriving {
		if !first {
			a.Rate += (1 - math.Exp(-dt/arriveOver)) * ((a.Admitted-a.LastAdmitted)/dt - a.Rate)
		}
		a.LastAdmitted = a.Admitted
	}
	var fleet matching.Resources
	fresh := seconds(3*o.cfg.Params.Workers.ReportS + 1)
	for _, m := range o.machines {
		if t := o.typeOf(m); !m.Gone && !m.View.Draining && now.Sub(m.LastHeartbeat) < fresh {
			fleet = fleet.Add(matching.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}, 1)
		}
	}
	if fleet.CPUs <= 0 {
		return
	}
	byRank := map[int][]*Job{}
	var ranks []int
	for _, j := range o.order {
		j.Tier = 0
		if j.Cancelled || j.EndStage != "" || j.Spec.Service() {
			continue
		}
		r := j.Spec.Rank()
		if len(byRank[r]) == 0 {
			ranks = append(ranks, r)
		}
		byRank[r] = append(byRank[r], j)
	}
	slices.Sort(ranks)
	slices.Reverse(ranks)
	above, busy := 0.0, 0.0 // work, and its arrival, of higher priorities
	for _, r := range ranks {
		jobs := make([]admission.Job, 0, len(byRank[r]))
		sum, arrives := 0.0, 0.0
		for _, j := range byRank[r] {
			t := o.toTriage(j, now, fleet)
			sum += t.Work
			jobs = append(jobs, t)
		}
		for _, a := range o.arriving {
			if a.Rank == r {
				arrives += a.Rate / fleet.CPUs
			}
		}
		rate := yield * max(leastRate, 1-busy)
		// While all can be done a little late at the worst, the order of their limits
		// serves them best: all are served, and few late.
		if usual := usualLimit(byRank[r], o.limits); usual > 0 {
			takes := above + sum/rate
			o.flood[r] = takes > flooded*usual || o.flood[r] && takes > subsided*usual
		}
		if o.flood[r] {
			for i, tier := range admission.AssignTiers(jobs, rate, above) {
				byRank[r][i].Tier = tier
			}
		}
		above += sum / yield
		busy += arrives / yield
	}
}

// usualLimit is the mean age at which jobs should be done first.
func usualLimit(jobs []*Job, limits func(*Job) []float64) float64 {
	sum, n := 0.0, 0
	for _, j := range jobs {
		if ls := limits(j); len(ls) > 0 {
			sum += slices.Min(ls)
			n++
		}
	}
	return sum / float64(max(1, n))
}

// toTriage is what is left of a job, with its work in seconds of the whole fleet.
func (o *Scheduler) toTriage(j *Job, now time.Time, fleet matching.Resources) admission.Job {
	part := j.Resources.CPUs / fleet.CPUs
	if fleet.GPUs > 0 {
		part = max(part, j.Resources.GPUs/fleet.GPUs)
	}
	if fleet.MemoryGB > 0 {
		part = max(part, j.Resources.MemoryGB/fleet.MemoryGB)
	}
	run := j.RunEstimate()
	tasks := float64(j.Spec.Tasks-j.Finished) - float64(j.Running)/2 // what runs is half done
	t := admission.Job{Work: max(0, tasks) * run * part, Span: run / 2}
	if len(j.Pending) > 0 {
		t.Span = pessimism*run + restartTakes
	}
	age := float64(now.UnixMilli()-j.AcceptedMs) / 1000
	for _, l := range o.limits(j) {
		t.Limits = append(t.Limits, l-age)
	}
	slices.Sort(t.Limits)
	t.Limits = slices.Compact(t.Limits)
	return t
}
