// Package admission finds, when there is more work than can be done in time, which jobs can
// still be done in time. To take jobs in the order of their limits is best while all can be
// met; under overload it makes every job late by a little, since each gets its turn when its
// time is nearly over. The package is a pure function: it keeps no state and refuses no job;
// its callers order the jobs by the tiers that it assigns.
package admission

import (
	"container/heap"
	"sort"
)

// Job is what is left of a job.
type Job struct {
	Work   float64   // that is left, in seconds of the rate at which it is done: CPU-seconds at a rate of CPUs
	Span   float64   // seconds that it takes at the least, on however many workers
	Deadlines []float64 // seconds from now by which it should be done, ascending; negative: past
}

// candidate is a job of which it is open whether it meets its limit of the present tier, or
// one that meets an earlier tier's.
type candidate struct {
	job     int     // index
	dueS    float64 // from now, see AssignTiers
	work    float64
	accepted   bool // it meets an earlier tier's limit
	dropped bool // it does not meet this tier's
}

// workHeap is a max-heap of contenders by their work.
type workHeap []*candidate

// Len is how many there are.
func (h workHeap) Len() int { return len(h) }

// Less puts the larger work first.
func (h workHeap) Less(a, b int) bool { return h[a].work > h[b].work }

// Swap swaps two.
func (h workHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push appends a *contender.
func (h *workHeap) Push(x any) { *h = append(*h, x.(*candidate)) }

// Pop removes the last contender.
func (h *workHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// AssignTiers returns for each job its tier, the number of limits that it has to miss: 0 if
// it can be done by its first one, the number of its limits if it can meet none. The jobs
// share the rate from offsetS seconds on.
//
// In each tier as many jobs as possible meet their limit, by Moore and Hodgson's rule: jobs
// are taken in the order of their limits, and whenever one would be late, the largest so far
// is dropped. A dropped job contends for its next limit, behind those that meet an earlier
// one. While its last tasks end a job does not use all that it could: its work counts as due
// half its span before the limit.
func AssignTiers(jobs []Job, rate, offsetS float64) []int {
	tiers := make([]int, len(jobs))
	remaining := make([]int, 0, len(jobs))
	for i := range jobs {
		remaining = append(remaining, i)
	}
	var accepted []*candidate
	for tier := 0; len(remaining) > 0; tier++ {
		candidates, late := tierCandidates(jobs, remaining, tier, accepted, tiers)
		dropLargest(candidates, rate, offsetS)
		accepted = make([]*candidate, 0, len(candidates))
		for _, c := range candidates {
			if c.dropped {
				late = append(late, c.job)
				continue
			}
			if !c.accepted {
				tiers[c.job], c.accepted = tier, true
			}
			accepted = append(accepted, c)
		}
		sort.Ints(late)
		remaining = late
	}
	return tiers
}

// tierCandidates returns the contenders of a tier in the order in which they are due, the fixed
// ones included, and the jobs that miss the tier's limit whatever others do. It sets the
// tiers of jobs without a further limit.
func tierCandidates(jobs []Job, remaining []int, tier int, accepted []*candidate, tiers []int) (candidates []*candidate, late []int) {
	candidates = accepted
	for _, i := range remaining {
		job := &jobs[i]
		switch {
		case tier >= len(job.Deadlines):
			tiers[i] = len(job.Deadlines)
		case job.Deadlines[tier] < job.Span:
			late = append(late, i)
		default:
			candidates = append(candidates, &candidate{job: i, dueS: job.Deadlines[tier] - job.Span/2, work: job.Work})
		}
	}
	sort.SliceStable(candidates, func(a, b int) bool { return candidates[a].dueS < candidates[b].dueS })
	return candidates, late
}

// dropLargest drops, in the order in which the contenders are due, the largest that are not
// fixed until all others are done in time.
func dropLargest(candidates []*candidate, rate, offsetS float64) {
	var droppable workHeap
	used := 0.0
	for _, c := range candidates {
		used += c.work
		if !c.accepted {
			heap.Push(&droppable, c)
		}
		for used > rate*(c.dueS-offsetS) && droppable.Len() > 0 {
			largest := heap.Pop(&droppable).(*candidate)
			largest.dropped = true
			used -= largest.work
		}
	}
}
