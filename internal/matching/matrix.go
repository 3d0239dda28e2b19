package matching

import (
	"cmp"
	"math"
	"slices"
)

// Allocation is a task that holds, or will hold, resources of a worker.
type Allocation struct {
	Resources  Resources
	RemainingS float64 // time for which it will hold them, in seconds
}

// WaitRow is a row of a wait-time matrix: the resources that are free from WaitS seconds on, until
// the WaitS of the next row.
type WaitRow struct {
	WaitS float64   `json:"w"`
	Free  Resources `json:"f"`
}

// WaitMatrix is a worker's sparse wait-time matrix: its rows are, in ascending order, the waits
// at which the free amounts change, starting at 0. Look-ups are therefore exact for every size
// of task, including GPUs.
type WaitMatrix []WaitRow

// NewWaitMatrix returns the matrix of a worker, simulating it: running tasks release their
// resources after their remaining time, and queued tasks start in order as soon as they fit.
func NewWaitMatrix(total Resources, running, queued []Allocation) WaitMatrix {
	sorted := append([]Allocation(nil), running...)
	slices.SortFunc(sorted, func(a, b Allocation) int { return cmp.Compare(a.RemainingS, b.RemainingS) })
	free := total
	for _, allocation := range sorted {
		free = free.Add(allocation.Resources, -1)
	}
	m := make(WaitMatrix, 1, len(sorted)+1)
	m[0].Free = free
	for _, allocation := range sorted {
		free = free.Add(allocation.Resources, 1)
		remainingS := math.Max(0, allocation.RemainingS)
		if last := &m[len(m)-1]; last.WaitS >= remainingS {
			last.Free = free
			continue
		}
		m = append(m, WaitRow{remainingS, free})
	}
	for _, allocation := range queued {
		if waitS := m.Wait(allocation.Resources, allocation.RemainingS); !math.IsInf(waitS, 1) {
			m = m.Reserve(allocation.Resources, waitS, allocation.RemainingS)
		}
	}
	return m
}

// Wait returns how many seconds a task of this size that runs for runS would wait; +Inf if it
// never fits for its whole run.
func (m WaitMatrix) Wait(size Resources, runS float64) float64 {
	return m.WaitWithin(size, runS, math.Inf(1))
}

// WaitWithin is like Wait, but may return +Inf for any wait above limitS.
func (m WaitMatrix) WaitWithin(size Resources, runS, limitS float64) float64 {
	start := -1
	for i := range m {
		if start >= 0 && m[i].WaitS >= m[start].WaitS+runS {
			break
		}
		switch {
		case !size.Fits(m[i].Free):
			start = -1
		case start < 0:
			start = i
		}
		if start < 0 && i+1 < len(m) && m[i+1].WaitS > limitS {
			return math.Inf(1)
		}
	}
	if start < 0 {
		return math.Inf(1)
	}
	return m[start].WaitS
}

// CountFitting returns how many tasks of this size that run for runS can start together after
// waitS, at most limit.
func (m WaitMatrix) CountFitting(size Resources, waitS, runS float64, limit int) int {
	for i := range m {
		switch {
		case i+1 < len(m) && m[i+1].WaitS <= waitS: // the row ends before the tasks start
		case m[i].WaitS >= waitS+runS:
			return limit
		default:
			limit = size.CountFitting(m[i].Free, limit)
		}
	}
	return limit
}

// freeAt returns the free resources after waitS.
func (m WaitMatrix) freeAt(waitS float64) Resources {
	free := m[0].Free
	for _, row := range m {
		if row.WaitS > waitS {
			break
		}
		free = row.Free
	}
	return free
}

// Reserve returns a copy of m in which size is subtracted from the free resources between waitS and
// waitS+runS. It does not modify m.
func (m WaitMatrix) Reserve(size Resources, waitS, runS float64) WaitMatrix {
	endS := waitS + runS
	out := make(WaitMatrix, 0, len(m)+2)
	appendRow := func(atS float64) {
		free := m.freeAt(atS)
		if atS >= waitS && atS < endS {
			free = free.Add(size, -1)
		}
		out = append(out, WaitRow{atS, free})
	}
	startPassed, endPassed := false, false
	for _, row := range m {
		if !startPassed && row.WaitS >= waitS {
			if row.WaitS > waitS {
				appendRow(waitS)
			}
			startPassed = true
		}
		if !endPassed && row.WaitS >= endS {
			if row.WaitS > endS {
				appendRow(endS)
			}
			endPassed = true
		}
		appendRow(row.WaitS)
	}
	if !startPassed {
		appendRow(waitS)
	}
	if !endPassed {
		appendRow(endS)
	}
	return out
}
