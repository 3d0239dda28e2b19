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
	TotalWork    float64            // CPU-seconds
	OnDemandWork float64            // of it, what spot capacity can't do in time, whatever the order
	RelativeCost float64            // cost at best, relative to that of all the work on spot capacity
	LateAsRun    map[string]float64 // share of a class's jobs beyond their limit, as it was
	LateOnSpot   map[string]float64 // the same on spot capacity alone, earliest limit first
	PeakCPUs     float64            // most CPUs at once, if every job had run as it came
}

// Compute packs jobs, which are in the order of their arrival, onto spotCPUs, in steps of a
// second, earliest limit first. That order lets the most work end in time. What is not done
// by its limit is bought on demand, at onDemandPrice times the spot price. Jobs without a
// limit take what is left.
func Compute(jobs []Job, spotCPUs, onDemandPrice float64) Result {
	result := Result{Jobs: len(jobs), LateAsRun: map[string]float64{}, LateOnSpot: map[string]float64{}}
	jobCounts := map[string]float64{}
	for i := range jobs {
		job := &jobs[i]
		jobCounts[job.Class]++
		result.TotalWork += job.CPUSeconds()
		if job.LimitS > 0 && job.ElapsedS > job.LimitS {
			result.LateAsRun[job.Class]++
		}
	}
	result.pack(jobs, spotCPUs)
	for _, late := range []map[string]float64{result.LateAsRun, result.LateOnSpot} {
		for class := range late {
			late[class] /= jobCounts[class]
		}
	}
	if result.TotalWork > 0 {
		result.RelativeCost = 1 + (onDemandPrice-1)*result.OnDemandWork/result.TotalWork
	}
	return result
}

// pack adds up what spotCPUs can't do in time, the late jobs by class, and the most CPUs at
// once.
func (result *Result) pack(jobs []Job, spotCPUs float64) {
	waiting := &deadlineHeap{}
	next := 0
	startS, endS := logPeriod(jobs)
	for nowS := startS; next < len(jobs) || waiting.Len() > 0; nowS++ {
		for next < len(jobs) && jobs[next].ArrivedS < nowS+1 {
			heap.Push(waiting, &remainingJob{&jobs[next], jobs[next].CPUSeconds()})
			next++
		}
		result.PeakCPUs = max(result.PeakCPUs, waiting.usableCPUs())
		result.runSecond(waiting, nowS, spotCPUs)
		if spotCPUs <= 0 && nowS > endS {
			return // nothing but jobs without a limit is left, and nothing to run them on
		}
	}
}

// logPeriod is from the first job's arrival to the last end.
func logPeriod(jobs []Job) (startS, endS float64) {
	for i := range jobs {
		if i == 0 {
			startS = jobs[i].ArrivedS
		}
		endS = max(endS, jobs[i].ArrivedS+jobs[i].ElapsedS)
	}
	return startS, endS
}

// runSecond runs waiting work for a second, and buys what is beyond its limit on demand.
func (result *Result) runSecond(waiting *deadlineHeap, nowS, spotCPUs float64) {
	for free := spotCPUs; waiting.Len() > 0; {
		first := waiting.remaining[0]
		if first.job.LimitS > 0 && first.job.ArrivedS+first.job.LimitS <= nowS {
			result.OnDemandWork += first.cpuSeconds
			result.LateOnSpot[first.job.Class]++
			heap.Pop(waiting)
			continue
		}
		if free <= 0 {
			return
		}
		done := min(free, first.cpuSeconds)
		free -= done
		if first.cpuSeconds -= done; first.cpuSeconds <= 0 {
			heap.Pop(waiting)
		}
	}
}

// remainingJob is a job with the work, in CPU-seconds, that is left of it.
type remainingJob struct {
	job        *Job
	cpuSeconds float64
}

// deadlineHeap is a heap of jobs, the earliest limit on top.
type deadlineHeap struct{ remaining []*remainingJob }

// usableCPUs is how many CPUs the jobs can use at once.
func (h *deadlineHeap) usableCPUs() float64 {
	cpus := 0.0
	for _, part := range h.remaining {
		cpus += min(part.cpuSeconds, float64(part.job.Tasks)*part.job.CPUsPerTask)
	}
	return cpus
}

// deadlineS is when the i-th job should end; a job without a limit comes last.
func (h *deadlineHeap) deadlineS(i int) float64 {
	if job := h.remaining[i].job; job.LimitS > 0 {
		return job.ArrivedS + job.LimitS
	}
	return math.Inf(1)
}

// Len is how many there are.
func (h *deadlineHeap) Len() int { return len(h.remaining) }

// Less puts the earlier limit first.
func (h *deadlineHeap) Less(a, b int) bool { return h.deadlineS(a) < h.deadlineS(b) }

// Swap swaps two.
func (h *deadlineHeap) Swap(a, b int) {
	h.remaining[a], h.remaining[b] = h.remaining[b], h.remaining[a]
}

// Push appends a *remainder.
func (h *deadlineHeap) Push(x any) { h.remaining = append(h.remaining, x.(*remainingJob)) }

// Pop removes the last one.
func (h *deadlineHeap) Pop() any {
	last := h.remaining[len(h.remaining)-1]
	h.remaining = h.remaining[:len(h.remaining)-1]
	return last
}
