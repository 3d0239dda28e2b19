package scheduler_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/wallrack/wallrack/internal/wire"
)

// The largest arrays must fit into the memory of the smallest controller: only the number of a
// waiting task is stored.
func TestWaitingTasksOfLargestArrayUseLittleMemory(t *testing.T) {
	cluster := newCluster(t, 1, 0)
	heap := func() uint64 {
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := heap()
	const jobs = 4
	for i := range jobs {
		cluster.scheduler.JobAccepted(&wire.Job{
			UID: fmt.Sprintf("j-%d", i), Class: "c", Team: "t", Kind: wire.KindArray, Priority: "low",
			Tasks: wire.MaxTasksPerJob, CPUs: 1, MemoryGB: 1, EstimateS: 30, Spot: true,
		}, nil, 0, 0, uint64(i+1))
	}
	cluster.scheduler.Pass()
	if each := (heap() - before) / jobs; each > 2<<20 {
		t.Errorf("%d KB of heap for a job of %d tasks", each>>10, wire.MaxTasksPerJob)
	}
	if got := cluster.scheduler.QueueDepths()["pending"]; got < jobs*wire.MaxTasksPerJob-1000 {
		t.Errorf("%d tasks pending", got)
	}
}
