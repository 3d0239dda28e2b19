// Package matching holds the pure decisions of the design: wait-time
// matrices, the cost C of a machine for a task, batch matching, and when a
// queued task is to look elsewhere.
package matching

import (
	"cmp"
	"math"
	"slices"
)

// Resources is an amount of each resource.
type Resources struct {
	CPUs     float64 `json:"c"`
	GPUs     float64 `json:"g,omitempty"`
	MemoryGB float64 `json:"m"`
}

const epsilon = 1e-6

// Fits reports whether s fits into free.
func (s Resources) Fits(free Resources) bool {
	return s.CPUs <= free.CPUs+epsilon && s.GPUs <= free.GPUs+epsilon && s.MemoryGB <= free.MemoryGB+epsilon
}

// Add returns s plus f times o.
func (s Resources) Add(o Resources, f float64) Resources {
	return Resources{s.CPUs + f*o.CPUs, s.GPUs + f*o.GPUs, s.MemoryGB + f*o.MemoryGB}
}

// CountFitting is how many of s fit into free side by side, at most so many.
func (s Resources) CountFitting(free Resources, most int) int {
	k := float64(most)
	for _, r := range [...][2]float64{{s.CPUs, free.CPUs}, {s.GPUs, free.GPUs}, {s.MemoryGB, free.MemoryGB}} {
		if r[0] > 0 {
			k = math.Min(k, math.Floor((r[1]+epsilon)/r[0]))
		}
	}
	return max(0, int(k))
}

// Scale returns f times s.
func (s Resources) Scale(f float64) Resources { return Resources{}.Add(s, f) }

// Allocation is a task that holds, or will hold, resources of a machine.
type Allocation struct {
	Resources  Resources
	RemainingS float64 // seconds it will still hold them
}

// WaitRow is a row of a wait-time matrix: what is free from a wait on, until the
// next row's.
type WaitRow struct {
	Wait float64   `json:"w"`
	Free Resources `json:"f"`
}

// WaitMatrix is a machine's wait-time matrix with cells where they matter: its
// rows stand at the waits at which the free amounts change, so that a look-up
// is exact for every size of task, GPUs included.
type WaitMatrix []WaitRow

// NewWaitMatrix simulates a machine: what runs leaves after its remaining time,
// and what is queued starts in order as soon as it fits.
func NewWaitMatrix(total Resources, running []Allocation, queued []Allocation) WaitMatrix {
	sorted := append([]Allocation(nil), running...)
	slices.SortFunc(sorted, func(a, b Allocation) int { return cmp.Compare(a.RemainingS, b.RemainingS) })
	free := total
	for _, u := range sorted {
		free = free.Add(u.Resources, -1)
	}
	m := make(WaitMatrix, 1, len(sorted)+1)
	m[0].Free = free
	for _, u := range sorted {
		free = free.Add(u.Resources, 1)
		left := math.Max(0, u.RemainingS)
		if last := &m[len(m)-1]; last.Wait >= left {
			last.Free = free
			continue
		}
		m = append(m, WaitRow{left, free})
	}
	for _, u := range queued {
		if w := m.Wait(u.Resources, u.RemainingS); !math.IsInf(w, 1) {
			m = m.Reserve(u.Resources, w, u.RemainingS)
		}
	}
	return m
}

// Wait looks up how long a task of this shape would wait; infinite if it
// never fits for as long as it runs.
func (m WaitMatrix) Wait(s Resources, run float64) float64 {
	return m.WaitWithin(s, run, math.Inf(1))
}

// WaitWithin is Wait for a caller to whom any wait above most is the same as
// an infinite one.
func (m WaitMatrix) WaitWithin(s Resources, run, most float64) float64 {
	start := -1
	for i := range m {
		if start >= 0 && m[i].Wait >= m[start].Wait+run {
			break
		}
		switch {
		case !s.Fits(m[i].Free):
			start = -1
		case start < 0:
			start = i
		}
		if start < 0 && i+1 < len(m) && m[i+1].Wait > most {
			return math.Inf(1)
		}
	}
	if start < 0 {
		return math.Inf(1)
	}
	return m[start].Wait
}

// CountFitting is how many tasks of this shape can start together after a wait, at most
// so many.
func (m WaitMatrix) CountFitting(s Resources, wait, run float64, most int) int {
	for i := range m {
		switch {
		case i+1 < len(m) && m[i+1].Wait <= wait: // over by then
		case m[i].Wait >= wait+run:
			return most
		default:
			most = s.CountFitting(m[i].Free, most)
		}
	}
	return most
}

// Reserve returns the matrix after a task takes its resources from a wait on.
func (m WaitMatrix) Reserve(s Resources, wait, run float64) WaitMatrix {
	end := wait + run
	out := make(WaitMatrix, 0, len(m)+2)
	at := func(t float64) Resources {
		f := m[0].Free
		for _, r := range m {
			if r.Wait > t {
				break
			}
			f = r.Free
		}
		return f
	}
	put := func(t float64) {
		f := at(t)
		if t >= wait && t < end {
			f = f.Add(s, -1)
		}
		out = append(out, WaitRow{t, f})
	}
	startIn, endIn := false, false
	for _, r := range m {
		if !startIn && r.Wait >= wait {
			if r.Wait > wait {
				put(wait)
			}
			startIn = true
		}
		if !endIn && r.Wait >= end {
			if r.Wait > end {
				put(end)
			}
			endIn = true
		}
		put(r.Wait)
	}
	if !startIn {
		put(wait)
	}
	if !endIn {
		put(end)
	}
	return out
}
