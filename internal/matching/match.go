package matching

import (
	"math"
	"sort"
)

// Cost is the paper's estimate C = P·E + K_fail·(1 − P)·E with E = I + W + R.
func Cost(fetch, wait, run, success, kFail float64) float64 {
	e := fetch + wait + run
	return success*e + kFail*(1-success)*e
}

// Candidate is a machine that a task may go to.
type Candidate struct {
	Machine int
	Wait    float64
	Cost    float64
}

// Pairing is a task matched to a machine.
type Pairing struct {
	Task int
	Candidate
	Saving float64
}

// Match is the paper's variant of stable matching for one batch: every task
// proposes to its cheapest machine, a machine that several want goes to the
// one that saves most by it, and the others propose again, for a few rounds.
// Each machine gets at most one task. Pairs come lowest wait first.
func Match(options [][]Candidate, rounds int) []Pairing {
	most := 0
	for _, opts := range options {
		for i := range opts {
			most = max(most, opts[i].Machine)
		}
	}
	taken := make([]bool, most+1)
	matched := make([]bool, len(options))
	var pairs []Pairing
	for r := 0; r < rounds; r++ {
		best := map[int]Pairing{}
		proposed := false
		for t, opts := range options {
			if matched[t] {
				continue
			}
			first, second := -1, math.Inf(1)
			for i, o := range opts {
				switch {
				case taken[o.Machine]:
				case first < 0 || o.Cost < opts[first].Cost:
					if first >= 0 {
						second = opts[first].Cost
					}
					first = i
				case o.Cost < second:
					second = o.Cost
				}
			}
			if first < 0 {
				continue
			}
			proposed = true
			p := Pairing{Task: t, Candidate: opts[first], Saving: second - opts[first].Cost}
			if cur, ok := best[p.Machine]; !ok || p.Saving > cur.Saving {
				best[p.Machine] = p
			}
		}
		if !proposed {
			break
		}
		for m, p := range best {
			taken[m] = true
			matched[p.Task] = true
			pairs = append(pairs, p)
		}
	}
	sort.Slice(pairs, func(i, j int) bool {
		if pairs[i].Wait != pairs[j].Wait {
			return pairs[i].Wait < pairs[j].Wait
		}
		return pairs[i].Task < pairs[j].Task
	})
	return pairs
}

// ShouldReplace reports whether a queued task is to be placed again, by the
// paper's three conditions: its expected wait is significantly above what was
// planned, or above its stage's average, or it has waited longer than that.
func ShouldReplace(planned, elapsed, expected, stageAverage, margin float64) bool {
	return elapsed+expected > planned+margin || expected > stageAverage+margin || elapsed > stageAverage+margin
}
