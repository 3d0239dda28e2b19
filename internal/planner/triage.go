package planner

import (
	"math"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/admission"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobstate"
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

// triage sorts out which jobs can still be done in time: see package triage. The fleet's
// capacity goes to priorities from the highest on; what a lower one gets is what the
// work above it, and its arrival, leave.
func (p *Planner) Triage() {
	now := time.Now()
	dt := now.Sub(p.triagedAt).Seconds()
	if dt < triageEvery.Seconds() {
		return
	}
	first := p.triagedAt.IsZero()
	p.triagedAt = now
	for _, a := range p.state.Arriving {
		if !first {
			a.Rate += (1 - math.Exp(-dt/arriveOver)) * ((a.Admitted-a.LastAdmitted)/dt - a.Rate)
		}
		a.LastAdmitted = a.Admitted
	}
	var fleet matching.Resources
	fresh := config.Seconds(3*p.state.Platform.Params.Workers.ReportS + 1)
	for _, worker := range p.state.Workers {
		if t := p.state.TypeOf(worker); !worker.Gone && !worker.View.Draining && now.Sub(worker.LastHeartbeat) < fresh {
			fleet = fleet.Add(matching.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}, 1)
		}
	}
	if fleet.CPUs <= 0 {
		return
	}
	byRank := map[int][]*jobstate.Job{}
	var ranks []int
	for _, job := range p.state.JobOrder {
		job.Tier = 0
		if job.Cancelled || job.EndStage != "" || job.Spec.Service() {
			continue
		}
		r := job.Spec.Rank()
		if len(byRank[r]) == 0 {
			ranks = append(ranks, r)
		}
		byRank[r] = append(byRank[r], job)
	}
	slices.Sort(ranks)
	slices.Reverse(ranks)
	above, busy := 0.0, 0.0 // work, and its arrival, of higher priorities
	for _, r := range ranks {
		jobs := make([]admission.Job, 0, len(byRank[r]))
		sum, arrives := 0.0, 0.0
		for _, job := range byRank[r] {
			t := p.triageJob(job, now, fleet)
			sum += t.Work
			jobs = append(jobs, t)
		}
		for _, a := range p.state.Arriving {
			if a.Rank == r {
				arrives += a.Rate / fleet.CPUs
			}
		}
		rate := yield * max(leastRate, 1-busy)
		// While all can be done a little late at the worst, the order of their limits
		// serves them best: all are served, and few late.
		if usual := usualLimit(byRank[r], p.state.Limits); usual > 0 {
			takes := above + sum/rate
			p.flooded[r] = takes > flooded*usual || p.flooded[r] && takes > subsided*usual
		}
		if p.flooded[r] {
			for i, tier := range admission.AssignTiers(jobs, rate, above) {
				byRank[r][i].Tier = tier
			}
		}
		above += sum / yield
		busy += arrives / yield
	}
}

// usualLimit is the mean age at which jobs should be done first.
func usualLimit(jobs []*jobstate.Job, limits func(*jobstate.Job) []float64) float64 {
	sum, n := 0.0, 0
	for _, job := range jobs {
		if ls := limits(job); len(ls) > 0 {
			sum += slices.Min(ls)
			n++
		}
	}
	return sum / float64(max(1, n))
}

// toTriage is what is left of a job, with its work in seconds of the whole fleet.
func (p *Planner) triageJob(job *jobstate.Job, now time.Time, fleet matching.Resources) admission.Job {
	part := job.Resources.CPUs / fleet.CPUs
	if fleet.GPUs > 0 {
		part = max(part, job.Resources.GPUs/fleet.GPUs)
	}
	if fleet.MemoryGB > 0 {
		part = max(part, job.Resources.MemoryGB/fleet.MemoryGB)
	}
	run := job.RunEstimate()
	tasks := float64(job.Spec.Tasks-job.Finished) - float64(job.Running)/2 // what runs is half done
	t := admission.Job{Work: max(0, tasks) * run * part, Span: run / 2}
	if len(job.Pending) > 0 {
		t.Span = jobstate.Pessimism*run + jobstate.RestartTakes
	}
	age := float64(now.UnixMilli()-job.AcceptedMs) / 1000
	for _, l := range p.state.Limits(job) {
		t.Limits = append(t.Limits, l-age)
	}
	slices.Sort(t.Limits)
	t.Limits = slices.Compact(t.Limits)
	return t
}
