package matching_test

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/matching"
)

var shapes = rapid.Custom(func(t *rapid.T) matching.Resources {
	return matching.Resources{
		CPUs: float64(rapid.IntRange(1, 4).Draw(t, "cpus")), GPUs: float64(rapid.IntRange(0, 1).Draw(t, "gpus")),
		MemoryGB: float64(rapid.IntRange(1, 6).Draw(t, "memory")),
	}
})

var uses = rapid.Custom(func(t *rapid.T) matching.Allocation {
	return matching.Allocation{Resources: shapes.Draw(t, "shape"), RemainingS: float64(rapid.IntRange(1, 30).Draw(t, "left"))}
})

// span is a use from a start to an end.
type span struct {
	matching.Allocation
	from float64
}

// naive looks for the first whole second at which a task fits throughout.
func naive(total matching.Resources, spans []span, s matching.Resources, run float64) float64 {
	fits := func(at float64) bool {
		free := total
		for _, x := range spans {
			if at >= x.from && at < x.from+x.RemainingS {
				free = free.Add(x.Resources, -1)
			}
		}
		return s.Fits(free)
	}
search:
	for w := 0.0; w < 2000; w++ {
		for at := w; at < w+run; at++ {
			if !fits(at) {
				continue search
			}
		}
		return w
	}
	return math.Inf(1)
}

// A matrix says the same wait as a simulation second by second, GPUs included.
func TestMatrixAgainstSimulation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := matching.Resources{CPUs: 8, GPUs: 2, MemoryGB: 12}
		var running []matching.Allocation
		var spans []span
		free := total
		for _, u := range rapid.SliceOfN(uses, 0, 6).Draw(t, "running") {
			if u.Resources.Fits(free) {
				free = free.Add(u.Resources, -1)
				running = append(running, u)
				spans = append(spans, span{u, 0})
			}
		}
		queued := rapid.SliceOfN(uses, 0, 5).Draw(t, "queued")
		m := matching.NewWaitMatrix(total, running, queued)
		for _, q := range queued {
			spans = append(spans, span{q, naive(total, spans, q.Resources, q.RemainingS)})
		}
		u := uses.Draw(t, "task")
		want := naive(total, spans, u.Resources, u.RemainingS)
		if got := m.Wait(u.Resources, u.RemainingS); got != want {
			t.Fatalf("waits %v, simulated %v; matrix %v", got, want, m)
		}
		most := float64(rapid.IntRange(0, 40).Draw(t, "most"))
		if got := m.WaitWithin(u.Resources, u.RemainingS, most); want <= most && got != want || got < want {
			t.Fatalf("waits %v within %v, simulated %v", got, most, want)
		}
	})
}

// The match is stable: no task and machine would both rather have each other,
// checked against every pair.
func TestMatchIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nt, nm := rapid.IntRange(1, 5).Draw(t, "tasks"), rapid.IntRange(1, 5).Draw(t, "machines")
		cost := make([][]float64, nt)
		options := make([][]matching.Candidate, nt)
		for i := range cost {
			cost[i] = rapid.Permutation([]float64{1, 2, 4, 8, 16}[:nm]).Draw(t, "costs")
			for m, c := range cost[i] {
				options[i] = append(options[i], matching.Candidate{Worker: m, Cost: c, WaitS: c})
			}
		}
		pairs := matching.Match(options, 10)
		machineOf, taskOf := map[int]int{}, map[int]int{}
		for k, p := range pairs {
			if _, twice := taskOf[p.Worker]; twice {
				t.Fatalf("machine %d got two tasks", p.Worker)
			}
			taskOf[p.Worker], machineOf[p.Task] = p.Task, p.Worker
			if k > 0 && pairs[k-1].WaitS > p.WaitS {
				t.Fatal("not in order of wait")
			}
		}
		if len(pairs) != min(nt, nm) {
			t.Fatalf("%d pairs of %d tasks and %d machines", len(pairs), nt, nm)
		}
		for i := range cost {
			m, ok := machineOf[i]
			for other := range cost[i] {
				if _, busy := taskOf[other]; !busy && (!ok || cost[i][other] < cost[i][m]) {
					t.Fatalf("task %d would rather have free machine %d", i, other)
				}
			}
		}
	})
}

func TestCost(t *testing.T) {
	if got := matching.Cost(1, 2, 7, 0.9, 4); math.Abs(got-13) > 1e-9 {
		t.Errorf("C = %v, want 0.9*10 + 4*0.1*10", got)
	}
}

func TestLookAgain(t *testing.T) {
	for _, c := range []struct {
		planned, elapsed, expected, average float64
		want                                bool
	}{
		{2, 1, 1, 2, false},
		{2, 5, 3, 9, true},  // worse than planned
		{9, 1, 8, 2, true},  // above the stage's average
		{90, 8, 0, 2, true}, // waited longer than the average
	} {
		if got := matching.ShouldReplace(c.planned, c.elapsed, c.expected, c.average, 4); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}
