package scheduler_test

import (
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// A service runs until it is cancelled. If its resources were expected to become free, other tasks would
// be queued behind it, and no machine would be provisioned for them.
func TestResourcesOfServiceAreNotExpectedToBecomeFree(t *testing.T) {
	cluster := newCluster(t, 1, 0)
	cluster.sendRunning(0)
	cluster.scheduler.JobAccepted(&wire.Job{
		UID: "j-1", Class: "c", Team: "t", Kind: wire.KindService, Priority: "normal", Tasks: 1, CPUs: machineType.CPUs, MemoryGB: 1, Spot: true,
	}, nil, 0, time.Now().UnixMilli(), 1)
	cluster.scheduler.Pass()
	if n := cluster.scheduler.PlacedTasks("j-1"); n != 1 {
		t.Fatalf("%d tasks placed", n)
	}
	_, loads := cluster.scheduler.Demand(20)
	const longestPlanS = 3600
	if waitS := loads[0].Matrix.Wait(matching.Resources{CPUs: 1}, 1); waitS < longestPlanS {
		t.Errorf("a task is expected to start after %v s", waitS)
	}
}
