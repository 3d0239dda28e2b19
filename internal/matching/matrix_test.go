package matching_test

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/matching"
)

// sizes generates the resources of a task.
var sizes = rapid.Custom(func(t *rapid.T) matching.Resources {
	return matching.Resources{
		CPUs: float64(rapid.IntRange(1, 4).Draw(t, "cpus")), GPUs: float64(rapid.IntRange(0, 1).Draw(t, "gpus")),
		MemoryGB: float64(rapid.IntRange(1, 6).Draw(t, "memory")),
	}
})

// allocations generates tasks that hold resources for some time.
var allocations = rapid.Custom(func(t *rapid.T) matching.Allocation {
	return matching.Allocation{Resources: sizes.Draw(t, "shape"), RemainingS: float64(rapid.IntRange(1, 30).Draw(t, "left"))}
})

// timedAllocation is an allocation with a start time.
type timedAllocation struct {
	matching.Allocation
	fromS float64
}

// firstFit returns the first whole second from which a task of this size fits for runS; +Inf if
// there is none.
func firstFit(total matching.Resources, spans []timedAllocation, size matching.Resources, runS float64) float64 {
	fits := func(at float64) bool {
		free := total
		for _, used := range spans {
			if at >= used.fromS && at < used.fromS+used.RemainingS {
				free = free.Add(used.Resources, -1)
			}
		}
		return size.Fits(free)
	}
search:
	for waitS := 0.0; waitS < 2000; waitS++ {
		for at := waitS; at < waitS+runS; at++ {
			if !fits(at) {
				continue search
			}
		}
		return waitS
	}
	return math.Inf(1)
}

// A matrix returns the same waits as a simulation in steps of one second, including GPUs.
func TestWaitMatrixEqualsSimulationBySeconds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := matching.Resources{CPUs: 8, GPUs: 2, MemoryGB: 12}
		var running []matching.Allocation
		var spans []timedAllocation
		free := total
		for _, allocation := range rapid.SliceOfN(allocations, 0, 6).Draw(t, "running") {
			if allocation.Resources.Fits(free) {
				free = free.Add(allocation.Resources, -1)
				running = append(running, allocation)
				spans = append(spans, timedAllocation{allocation, 0})
			}
		}
		queued := rapid.SliceOfN(allocations, 0, 5).Draw(t, "queued")
		matrix := matching.NewWaitMatrix(total, running, queued)
		for _, allocation := range queued {
			spans = append(spans, timedAllocation{allocation, firstFit(total, spans, allocation.Resources, allocation.RemainingS)})
		}
		task := allocations.Draw(t, "task")
		want := firstFit(total, spans, task.Resources, task.RemainingS)
		if got := matrix.Wait(task.Resources, task.RemainingS); got != want {
			t.Fatalf("waits %v, simulated %v; matrix %v", got, want, matrix)
		}
		limitS := float64(rapid.IntRange(0, 40).Draw(t, "limit"))
		if got := matrix.WaitWithin(task.Resources, task.RemainingS, limitS); want <= limitS && got != want || got < want {
			t.Fatalf("waits %v within %v, simulated %v", got, limitS, want)
		}
	})
}
