package controller

import (
	"testing"
)

// modelledLeader is a leader of a site of 4,000 machines, whose collector's time depends on the memory left below the target.
type modelledLeader struct {
	limitMB, heldMB  float64 // held: live objects, stacks and what the runtime can't return
	allocatedMBPerS  float64
	secondsForOneRun float64 // of the collector
}

// collectorShare returns the share of the time that the collector takes; the runtime caps it at one half.
func (l modelledLeader) collectorShare(targetShare float64) float64 {
	room := l.limitMB*targetShare - l.heldMB
	if room <= 0 {
		return 0.5
	}
	return min(0.5, l.secondsForOneRun*l.allocatedMBPerS/room)
}

func TestCollectorDoesNotTakeTheTimeOfALeaderCloseToItsMemoryTarget(t *testing.T) {
	const (
		intervals       = 30   // s: less than half of the time after which a job is forgotten
		tolerable       = 0.25 // of the time, of 0.42 that the controller has
		returnsWithin   = 30
		idleCollector   = 0.0
		shareForBinary  = 0.1 // of the memory limit, for the program itself and what the runtime does not count
		wholeLimitShare = 1.0
	)
	leader := modelledLeader{limitMB: 220, heldMB: 152, allocatedMBPerS: 25, secondsForOneRun: 0.2}
	target := memoryTarget{limitBytes: leader.limitMB * bytesPerMB, share: memoryTargetShare}
	if leader.collectorShare(target.share) <= tolerable {
		t.Fatal("the model's leader is not close to its target")
	}
	for range intervals {
		target.share = target.next(leader.collectorShare(target.share))
		if target.share > wholeLimitShare-shareForBinary || target.share >= memoryPressureShare {
			t.Fatalf("target of %.2f of the limit", target.share)
		}
	}
	if taken := leader.collectorShare(target.share); taken > tolerable {
		t.Errorf("the collector takes %.2f of the time with a target of %.2f", taken, target.share)
	}
	for range returnsWithin {
		target.share = target.next(idleCollector)
	}
	if target.share != memoryTargetShare {
		t.Errorf("target of %.2f of the limit while the collector is idle", target.share)
	}
}
