package matching_test

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/matching"
)

// As many tasks are matched as possible, no worker gets two tasks, and no task would be cheaper
// on a worker without a task; every pair of task and worker is checked.
func TestMatchIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tasks, workers := rapid.IntRange(1, 5).Draw(t, "tasks"), rapid.IntRange(1, 5).Draw(t, "workers")
		cost := make([][]float64, tasks)
		options := make([][]matching.Candidate, tasks)
		for i := range cost {
			cost[i] = rapid.Permutation([]float64{1, 2, 4, 8, 16}[:workers]).Draw(t, "costs")
			for worker, c := range cost[i] {
				options[i] = append(options[i], matching.Candidate{Worker: worker, Cost: c, WaitS: c})
			}
		}
		pairs := matching.Match(options, 10)
		workerOf, taskOf := map[int]int{}, map[int]int{}
		for k, pair := range pairs {
			if _, twice := taskOf[pair.Worker]; twice {
				t.Fatalf("worker %d got two tasks", pair.Worker)
			}
			taskOf[pair.Worker], workerOf[pair.Task] = pair.Task, pair.Worker
			if k > 0 && pairs[k-1].WaitS > pair.WaitS {
				t.Fatal("not in order of wait")
			}
		}
		if len(pairs) != min(tasks, workers) {
			t.Fatalf("%d pairs of %d tasks and %d workers", len(pairs), tasks, workers)
		}
		for i := range cost {
			worker, ok := workerOf[i]
			for other := range cost[i] {
				if _, busy := taskOf[other]; !busy && (!ok || cost[i][other] < cost[i][worker]) {
					t.Fatalf("task %d would be cheaper on unmatched worker %d", i, other)
				}
			}
		}
	})
}
