// Package lowerbound computes what a logged day would have cost at least, and how many jobs
// would have been late at least. From the lines that controllers logged of every job that
// ended it packs the same work with perfect knowledge onto spot capacity first, divisible at
// will. No scheduler does better, since tasks are whole, workers take time to boot and
// arrivals are not known beforehand. The package reads logs and computes; it keeps no state.
package lowerbound

import (
	"container/heap"
	"math"
)

// Result is what was, and what could have been. Where it says cheap and dear, these are spot
// and on-demand capacity.
type Result struct {
	Jobs         int
	Work         float64            // CPU-seconds
	OnDemandWork float64            // of it, what spot capacity can't do in time, whatever the order
	Price        float64            // cost at best, relative to that of all the work on spot capacity
	Late         map[string]float64 // share of a class's jobs beyond their limit, as it was
	LateOnSpot   map[string]float64 // the same on spot capacity alone, earliest limit first
	BusiestCPUs  float64            // most CPUs at once, if every job had run as it came
}

// Compute packs jobs, which are in the order of their arrival, onto spotCPUs, in steps of a
// second, earliest limit first. That order lets the most work end in time. What is not done
// by its limit is bought on demand, at onDemandPrice times the spot price. Jobs without a
// limit take what is left.
func Compute(jobs []Job, spotCPUs, onDemandPrice float64) Result {
	result := Result{Jobs: len(jobs), Late: map[string]float64{}, LateOnSpot: map[string]float64{}}
	jobsOf := map[string]float64{}
	for i := range jobs {
		job := &jobs[i]
		jobsOf[job.Class]++
		result.Work += job.Work()
		if job.Limit > 0 && job.Took > job.Limit {
			result.Late[job.Class]++
		}
	}
	result.pack(jobs, spotCPUs)
	for _, late := range []map[string]float64{result.Late, result.LateOnSpot} {
		for class := range late {
			late[class] /= jobsOf[class]
		}
	}
	if result.Work > 0 {
		result.Price = 1 + (onDemandPrice-1)*result.OnDemandWork/result.Work
	}
	return result
}

// pack adds up what spotCPUs can't do in time, the late jobs by class, and the most CPUs at
// once.
func (result *Result) pack(jobs []Job, spotCPUs float64) {
	waiting := &byLimit{}
	next := 0
	startS, endS := period(jobs)
	for nowS := startS; next < len(jobs) || waiting.Len() > 0; nowS++ {
		for next < len(jobs) && jobs[next].Arrived < nowS+1 {
			heap.Push(waiting, &remainder{&jobs[next], jobs[next].Work()})
			next++
		}
		result.BusiestCPUs = max(result.BusiestCPUs, waiting.usableCPUs())
		result.runSecond(waiting, nowS, spotCPUs)
		if spotCPUs <= 0 && nowS > endS {
			return // nothing but jobs without a limit is left, and nothing to run them on
		}
	}
}

// period is from the first job's arrival to the last end.
func period(jobs []Job) (startS, endS float64) {
	for i := range jobs {
		if i == 0 {
			startS = jobs[i].Arrived
		}
		endS = max(endS, jobs[i].Arrived+jobs[i].Took)
	}
	return startS, endS
}

// runSecond runs waiting work for a second, and buys what is beyond its limit on demand.
func (result *Result) runSecond(waiting *byLimit, nowS, spotCPUs float64) {
	for free := spotCPUs; waiting.Len() > 0; {
		first := waiting.parts[0]
		if first.job.Limit > 0 && first.job.Arrived+first.job.Limit <= nowS {
			result.OnDemandWork += first.work
			result.LateOnSpot[first.job.Class]++
			heap.Pop(waiting)
			continue
		}
		if free <= 0 {
			return
		}
		done := min(free, first.work)
		free -= done
		if first.work -= done; first.work <= 0 {
			heap.Pop(waiting)
		}
	}
}

// remainder is a job with the work, in CPU-seconds, that is left of it.
type remainder struct {
	job  *Job
	work float64
}

// byLimit is a heap of jobs, the earliest limit on top.
type byLimit struct{ parts []*remainder }

// usableCPUs is how many CPUs the jobs can use at once.
func (h *byLimit) usableCPUs() float64 {
	cpus := 0.0
	for _, part := range h.parts {
		cpus += min(part.work, float64(part.job.Tasks)*part.job.CPUs)
	}
	return cpus
}

// limitS is when the i-th job should end; a job without a limit comes last.
func (h *byLimit) limitS(i int) float64 {
	if job := h.parts[i].job; job.Limit > 0 {
		return job.Arrived + job.Limit
	}
	return math.Inf(1)
}

// Len is how many there are.
func (h *byLimit) Len() int { return len(h.parts) }

// Less puts the earlier limit first.
func (h *byLimit) Less(a, b int) bool { return h.limitS(a) < h.limitS(b) }

// Swap swaps two.
func (h *byLimit) Swap(a, b int) { h.parts[a], h.parts[b] = h.parts[b], h.parts[a] }

// Push appends a *remainder.
func (h *byLimit) Push(x any) { h.parts = append(h.parts, x.(*remainder)) }

// Pop removes the last one.
func (h *byLimit) Pop() any {
	last := h.parts[len(h.parts)-1]
	h.parts = h.parts[:len(h.parts)-1]
	return last
}
