// Package admission determines which jobs can still meet their deadlines when there is more work
// than can be done in time. Running jobs in the order of their deadlines is best while all
// deadlines can be met; under overload it makes every job slightly late, because each one gets
// its turn just before its deadline. The package is a pure function: it holds no state and
// rejects no job; callers order the jobs by the assigned tiers.
package admission

import (
	"container/heap"
	"sort"
)

// Job is the remaining work and deadlines of a job.
type Job struct {
	Work      float64   // remaining work, in seconds times the unit of the rate: CPU-seconds if the rate is in CPUs
	Span      float64   // minimum time in seconds that it takes, on any number of workers
	Deadlines []float64 // seconds from now by which it should be done, ascending; negative if past
}

// candidate is a job that may meet its deadline of the current tier, or that was accepted
// because it meets its deadline of an earlier tier.
type candidate struct {
	job      int     // index
	dueS     float64 // seconds from now, see AssignTiers
	work     float64
	accepted bool // it meets its deadline of an earlier tier
	dropped  bool // it misses its deadline of the current tier
}

// workHeap is a max-heap of candidates by their work.
type workHeap []*candidate

// Len returns the number of candidates.
func (h workHeap) Len() int { return len(h) }

// Less orders candidates by descending work.
func (h workHeap) Less(a, b int) bool { return h[a].work > h[b].work }

// Swap exchanges two candidates.
func (h workHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }

// Push appends a *candidate.
func (h *workHeap) Push(x any) { *h = append(*h, x.(*candidate)) }

// Pop removes and returns the last candidate.
func (h *workHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// AssignTiers returns the tier of each job, the number of deadlines that it has to miss: 0 if it
// can meet its first one, the number of its deadlines if it can meet none. The jobs share the
// rate from offsetS seconds on.
//
// In each tier, as many jobs as possible meet their deadline, by the Moore-Hodgson algorithm:
// jobs are taken in the order of their deadlines, and whenever one would be late, the job with
// the most work so far is dropped. A dropped job is a candidate for its next deadline, after the
// jobs that meet an earlier one. While its last tasks end, a job cannot use its full share of
// the rate: its work therefore counts as due half its span before the deadline.
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

// tierCandidates returns the candidates of a tier, including the accepted ones, in the order in
// which they are due, and the jobs that miss the tier's deadline in any case. It sets the tiers
// of jobs without a further deadline.
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

// dropLargest adds up the work of the candidates in the order in which they are due. Whenever a
// candidate would be late, it drops those with the most work so far, except accepted ones, until
// the rest is done in time.
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
