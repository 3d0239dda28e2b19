// Package lowerbound computes lower bounds for the cost of a logged day and for the number of late
// jobs. It reads the lines that controllers log for every ended job, and assigns the same work to
// spot capacity first. It assumes that all jobs are known in advance and that work can be divided
// arbitrarily. No scheduler can do better, because tasks are indivisible, workers take time to boot
// and arrivals are not known in advance.
package lowerbound

import (
	"container/heap"
	"math"
)

// Result holds the logged figures of a day and their lower bounds. The command that prints it calls
// spot capacity cheap and on-demand capacity dear.
type Result struct {
	Jobs         int
	TotalWork    float64            // CPU-seconds of all jobs
	OnDemandWork float64            // CPU-seconds of TotalWork that spot capacity can't finish in time in any order
	RelativeCost float64            // lowest possible cost, divided by the cost of all work on spot capacity
	LateAsRun    map[string]float64 // logged share of late jobs, by class
	LateOnSpot   map[string]float64 // the same on spot capacity alone, earliest deadline first
	PeakCPUs     float64            // largest number of CPUs that the unfinished jobs can use at once
}

// Compute assigns the work of jobs, which must be in order of arrival, to spotCPUs in steps of one
// second, earliest deadline first. This order maximizes the work that finishes in time. Work not done
// by its deadline runs on demand, at onDemandPrice times the spot price. Jobs without a limit use the
// remaining spot capacity.
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
	result.simulate(jobs, spotCPUs)
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

// simulate simulates the day second by second. It computes OnDemandWork, the counts of late jobs in
// LateOnSpot, and PeakCPUs.
func (result *Result) simulate(jobs []Job, spotCPUs float64) {
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
			return // only jobs without a limit are left, and they can never run
		}
	}
}

// logPeriod returns the arrival of the first job and the latest end of a job.
func logPeriod(jobs []Job) (startS, endS float64) {
	for i := range jobs {
		if i == 0 {
			startS = jobs[i].ArrivedS
		}
		endS = max(endS, jobs[i].ArrivedS+jobs[i].ElapsedS)
	}
	return startS, endS
}

// runSecond runs waiting work on spot capacity for one second. Jobs past their deadline are removed,
// and their remaining work is added to OnDemandWork.
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

// remainingJob is an unfinished job with its remaining work in CPU-seconds.
type remainingJob struct {
	job        *Job
	cpuSeconds float64
}

// deadlineHeap is a heap of unfinished jobs, with the earliest deadline on top.
type deadlineHeap struct{ remaining []*remainingJob }

// usableCPUs returns how many CPUs the jobs in the heap can use at once.
func (h *deadlineHeap) usableCPUs() float64 {
	cpus := 0.0
	for _, part := range h.remaining {
		cpus += min(part.cpuSeconds, float64(part.job.Tasks)*part.job.CPUsPerTask)
	}
	return cpus
}

// deadlineS returns the deadline of the i-th job; a job without a limit sorts last.
func (h *deadlineHeap) deadlineS(i int) float64 {
	if job := h.remaining[i].job; job.LimitS > 0 {
		return job.ArrivedS + job.LimitS
	}
	return math.Inf(1)
}

// Len implements heap.Interface.
func (h *deadlineHeap) Len() int { return len(h.remaining) }

// Less implements heap.Interface; the earlier deadline comes first.
func (h *deadlineHeap) Less(a, b int) bool { return h.deadlineS(a) < h.deadlineS(b) }

// Swap implements heap.Interface.
func (h *deadlineHeap) Swap(a, b int) {
	h.remaining[a], h.remaining[b] = h.remaining[b], h.remaining[a]
}

// Push implements heap.Interface: it appends x, a *remainingJob.
func (h *deadlineHeap) Push(x any) { h.remaining = append(h.remaining, x.(*remainingJob)) }

// Pop implements heap.Interface: it removes the last element and returns it.
func (h *deadlineHeap) Pop() any {
	last := h.remaining[len(h.remaining)-1]
	h.remaining = h.remaining[:len(h.remaining)-1]
	return last
}
