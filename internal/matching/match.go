// Package matching contains the pure decisions of placement: wait-time matrices of workers, the
// cost of a worker for a task, stable matching of a batch of tasks to workers, and when a queued
// task is to be placed again. It holds no state, does not depend on jobs or workers, and draws
// no random numbers: its callers decide which workers are candidates and at what cost. Times are
// in seconds.
package matching

import (
	"math"
	"sort"
)

// Candidate is a worker on which a task may be placed.
type Candidate struct {
	Worker int // index; not negative
	WaitS  float64
	Cost   float64
}

// Pairing is a task matched to a worker.
type Pairing struct {
	Task int // index into the argument of Match
	Candidate
	Saving float64 // cost difference to the task's next cheapest worker; +Inf if there is none
}

// Match is the paper's variant of stable matching for one batch: every task proposes to its
// cheapest worker, a worker with several proposals accepts the one with the highest saving, and
// the other tasks propose again, for at most the given number of rounds. Each worker gets at
// most one task, and each task at most one worker. Pairings are in ascending order of wait.
func Match(candidatesByTask [][]Candidate, rounds int) []Pairing {
	highest := 0
	for _, candidates := range candidatesByTask {
		for i := range candidates {
			highest = max(highest, candidates[i].Worker)
		}
	}
	taken := make([]bool, highest+1)
	matched := make([]bool, len(candidatesByTask))
	var pairings []Pairing
	for range rounds {
		accepted := propose(candidatesByTask, taken, matched)
		if len(accepted) == 0 {
			break
		}
		for worker, pairing := range accepted {
			taken[worker] = true
			matched[pairing.Task] = true
			pairings = append(pairings, pairing)
		}
	}
	sort.Slice(pairings, func(i, j int) bool {
		if pairings[i].WaitS != pairings[j].WaitS {
			return pairings[i].WaitS < pairings[j].WaitS
		}
		return pairings[i].Task < pairings[j].Task
	})
	return pairings
}

// propose makes every unmatched task propose to its cheapest worker that is not taken, and
// returns the proposal that each worker accepts: the one with the highest saving, and of equal
// ones the one of the first task.
func propose(candidatesByTask [][]Candidate, taken, matched []bool) map[int]Pairing {
	accepted := map[int]Pairing{}
	for task, candidates := range candidatesByTask {
		if matched[task] {
			continue
		}
		cheapest, nextCost := cheapestUntaken(candidates, taken)
		if cheapest < 0 {
			continue
		}
		proposal := Pairing{Task: task, Candidate: candidates[cheapest], Saving: nextCost - candidates[cheapest].Cost}
		if current, ok := accepted[proposal.Worker]; !ok || proposal.Saving > current.Saving {
			accepted[proposal.Worker] = proposal
		}
	}
	return accepted
}

// cheapestUntaken returns the index of the cheapest candidate whose worker is not taken, -1 if
// there is none, and the cost of the next cheapest, +Inf if there is none.
func cheapestUntaken(candidates []Candidate, taken []bool) (cheapest int, nextCost float64) {
	cheapest, nextCost = -1, math.Inf(1)
	for i, candidate := range candidates {
		switch {
		case taken[candidate.Worker]:
		case cheapest < 0 || candidate.Cost < candidates[cheapest].Cost:
			if cheapest >= 0 {
				nextCost = candidates[cheapest].Cost
			}
			cheapest = i
		case candidate.Cost < nextCost:
			nextCost = candidate.Cost
		}
	}
	return cheapest, nextCost
}
