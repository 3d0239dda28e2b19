package viewsync

import (
	"cmp"
	"math"
	"slices"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	// stateAgeToleranceS is the deviation in seconds from the expected value up to which the age of
	// a task's state is not sent again.
	stateAgeToleranceS = 0.05
	// waitToleranceS is the same for the waits of a matrix.
	waitToleranceS = 0.1
	// ageToleranceS is the same for the age of a report and for the time since a heartbeat was
	// answered.
	ageToleranceS = 0.02

	msPerSecond = 1000 // times are sent in ms
	amountScale = 1e9  // amounts of resources are rounded to 1/amountScale: sums of fractions would take 17 digits
)

// state is a worker's view at a time of its dispatcher's monotonic clock.
type state struct {
	atMs int64
	view dispatch.WorkerView
}

func milliseconds(seconds float64) int64 { return int64(math.Round(seconds * msPerSecond)) }

func rounded(seconds float64) float64 { return float64(milliseconds(seconds)) / msPerSecond }

func roundedResources(r matching.Resources) matching.Resources {
	round := func(x float64) float64 { return math.Round(x*amountScale) / amountScale }
	return matching.Resources{CPUs: round(r.CPUs), GPUs: round(r.GPUs), MemoryGB: round(r.MemoryGB)}
}

// roundedView rounds a view to the precision in which it is sent.
func roundedView(v dispatch.WorkerView) dispatch.WorkerView {
	v.AgeS, v.UnansweredS = rounded(v.AgeS), rounded(v.UnansweredS)
	v.Tasks = slices.Clone(v.Tasks)
	for i := range v.Tasks {
		v.Tasks[i].StateAgeS = rounded(v.Tasks[i].StateAgeS)
	}
	slices.SortStableFunc(v.Tasks, byKey)
	v.Queue = slices.Clone(v.Queue)
	for i := range v.Queue {
		v.Queue[i].WaitS = rounded(v.Queue[i].WaitS)
	}
	v.Matrix = slices.Clone(v.Matrix)
	for i := range v.Matrix {
		v.Matrix[i] = matching.WaitRow{WaitS: rounded(v.Matrix[i].WaitS), Free: roundedResources(v.Matrix[i].Free)}
	}
	if !sortedByWait(v.Matrix) {
		v.Matrix = nil // a leader refuses a whole frame if one of its matrices is not sorted
	}
	return v
}

// advancedTo returns the state at a later time: ages grow and waits shrink.
func (s state) advancedTo(toMs int64) state {
	elapsedS := float64(toMs-s.atMs) / msPerSecond
	view := s.view
	view.AgeS, view.UnansweredS = rounded(view.AgeS+elapsedS), rounded(view.UnansweredS+elapsedS)
	view.Tasks = slices.Clone(view.Tasks)
	for i := range view.Tasks {
		view.Tasks[i].StateAgeS = rounded(view.Tasks[i].StateAgeS + elapsedS)
	}
	view.Matrix = slices.Clone(view.Matrix)
	for i := range view.Matrix {
		if wait := view.Matrix[i].WaitS; wait > 0 {
			view.Matrix[i].WaitS = rounded(max(0, wait-elapsedS))
		}
	}
	return state{toMs, view}
}

// sortedByWait reports whether the rows of a matrix are sorted by non-negative waits: look-ups
// take the first row that fits as the earliest.
func sortedByWait(m matching.WaitMatrix) bool {
	for i := range m {
		if m[i].WaitS < 0 || i > 0 && m[i].WaitS < m[i-1].WaitS {
			return false
		}
	}
	return true
}

// valuesPerRow is the number of values in a packed matrix row: wait, CPUs, GPUs, memory.
const valuesPerRow = 4

// packMatrix encodes a matrix row by row without field names, which would make up half of a
// change.
func packMatrix(m matching.WaitMatrix) []float64 {
	values := make([]float64, 0, valuesPerRow*len(m))
	for _, row := range m {
		values = append(values, row.WaitS, row.Free.CPUs, row.Free.GPUs, row.Free.MemoryGB)
	}
	return values
}

func unpackMatrix(values []float64) matching.WaitMatrix {
	m := make(matching.WaitMatrix, 0, len(values)/valuesPerRow)
	for row := range slices.Chunk(values, valuesPerRow) {
		m = append(m, matching.WaitRow{WaitS: row[0], Free: matching.Resources{CPUs: row[1], GPUs: row[2], MemoryGB: row[3]}})
	}
	return m
}

func matrixWaits(m matching.WaitMatrix) []float64 {
	out := make([]float64, 0, len(m))
	for _, row := range m {
		out = append(out, row.WaitS)
	}
	return out
}

func withinTolerance(a, b, tolerance float64) bool { return math.Abs(a-b) <= tolerance }

func samePointee[T comparable](a, b *T) bool {
	return a == b || a != nil && b != nil && *a == *b
}

func sameFree(a, b matching.WaitMatrix) bool {
	return slices.EqualFunc(a, b, func(x, y matching.WaitRow) bool { return x.Free == y.Free })
}

func sameMatrix(a, b matching.WaitMatrix) bool {
	return slices.EqualFunc(a, b, func(x, y matching.WaitRow) bool {
		return x.Free == y.Free && withinTolerance(x.WaitS, y.WaitS, waitToleranceS) && (x.WaitS > 0) == (y.WaitS > 0)
	})
}

func sameTasks(a, b []dispatch.TaskView) bool { return slices.EqualFunc(a, b, sameTask) }

func sameTask(a, b dispatch.TaskView) bool {
	return sameReport(a.Task, b.Task) && a.ResourcesUnknown == b.ResourcesUnknown && withinTolerance(a.StateAgeS, b.StateAgeS, stateAgeToleranceS)
}

func sameReport(a, b wire.Task) bool {
	exit := samePointee(a.Exit, b.Exit)
	a.Exit, b.Exit = nil, nil
	return exit && a == b
}

// byKey orders tasks by name and attempt. Their order in a report has no meaning, and without a
// fixed order one new task could cause all to be sent.
func byKey(a, b dispatch.TaskView) int {
	return cmp.Or(cmp.Compare(a.Task.Task, b.Task.Task), cmp.Compare(a.Attempt, b.Attempt))
}
