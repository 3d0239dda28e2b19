// Package admission finds, when there is more work than can be done in time, which
// jobs can still be done in time. To take them in the order of their deadlines,
// as is best while all can be met, then makes every job late by a little: each
// gets its turn when its time is nearly over.
package admission

import (
	"container/heap"
	"sort"
)

// Job is work that waits or runs.
type Job struct {
	Work   float64   // CPU-seconds that are left
	Span   float64   // seconds that it takes at the least, on however many machines
	Limits []float64 // seconds from now at which it should be done, ascending; past ones are negative
}

// chosen is a max-heap of the jobs taken so far, by work.
type chosen []*item

type item struct {
	job     int
	due     float64
	work    float64
	dropped bool
}

func (c chosen) Len() int           { return len(c) }
func (c chosen) Less(a, b int) bool { return c[a].work > c[b].work }
func (c chosen) Swap(a, b int)      { c[a], c[b] = c[b], c[a] }
func (c *chosen) Push(x any)        { *c = append(*c, x.(*item)) }
func (c *chosen) Pop() any {
	old := *c
	x := old[len(old)-1]
	*c = old[:len(old)-1]
	return x
}

// AssignTiers returns for each job the number of limits that it has to let pass: 0, if it
// can be done by its first one. Jobs share rate CPUs, from offset seconds on. Of jobs
// that can't all be met the most are (Moore and Hodgson's rule: in the order of the
// limits, and when one would be late, the largest so far goes); what is left is tried
// with the next limit, behind them. A job that can meet none gets the number of its
// limits. While its last tasks end a job does not use all that it could: the work
// counts as due half a span before the limit.
func AssignTiers(jobs []Job, rate, offset float64) []int {
	tiers := make([]int, len(jobs))
	left := make([]int, 0, len(jobs))
	for i := range jobs {
		left = append(left, i)
	}
	var fixed []*item // met by an earlier limit
	for tier := 0; len(left) > 0; tier++ {
		met := make(map[int]bool, len(fixed))
		for _, f := range fixed {
			met[f.job] = true
		}
		all := fixed
		var rest []int
		for _, i := range left {
			j := &jobs[i]
			switch {
			case tier >= len(j.Limits):
				tiers[i] = len(j.Limits)
			case j.Limits[tier] < j.Span:
				rest = append(rest, i)
			default:
				all = append(all, &item{job: i, due: j.Limits[tier] - j.Span/2, work: j.Work})
			}
		}
		sort.SliceStable(all, func(a, b int) bool { return all[a].due < all[b].due })
		var may chosen // what can still be dropped
		used := 0.0
		for _, it := range all {
			used += it.work
			if !met[it.job] {
				heap.Push(&may, it)
			}
			for used > rate*(it.due-offset) && may.Len() > 0 {
				largest := heap.Pop(&may).(*item)
				largest.dropped = true
				used -= largest.work
			}
		}
		fixed = make([]*item, 0, len(all))
		for _, it := range all {
			switch {
			case it.dropped:
				rest = append(rest, it.job)
			default:
				if !met[it.job] {
					tiers[it.job] = tier
				}
				fixed = append(fixed, it)
			}
		}
		sort.Ints(rest)
		left = rest
	}
	return tiers
}
