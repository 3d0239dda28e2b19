package controller

import (
	"context"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/wallrack/wallrack/internal/periodic"
)

const (
	// memoryTargetShare is the part of the memory limit that the runtime aims to stay below;
	// the rest is for the program itself and for memory that the runtime does not count.
	memoryTargetShare = 0.7
	// maxMemoryTargetShare is the same while the garbage collector takes too much processor time.
	maxMemoryTargetShare = 0.82
	memoryTargetStep     = 0.02
	memoryTargetInterval = time.Second

	// While the collector takes more than maxCollectorShare of the time, the target is raised; below
	// minCollectorShare it is lowered.
	maxCollectorShare = 0.15
	minCollectorShare = 0.03
)

// collectorTime is the metric of the collector's processor time.
const collectorTime = "/cpu/classes/gc/total:cpu-seconds"

// memoryTarget is the part of the memory limit that the runtime aims to stay below.
type memoryTarget struct {
	limitBytes float64
	share      float64
}

// next returns the share of the memory limit to aim for, after an interval in which the garbage
// collector took collectorShare of the time. Close to the target the collector runs all the time, and
// the controller does nothing else.
func (t memoryTarget) next(collectorShare float64) float64 {
	switch {
	case collectorShare > maxCollectorShare:
		return min(maxMemoryTargetShare, t.share+memoryTargetStep)
	case collectorShare < minCollectorShare:
		return max(memoryTargetShare, t.share-memoryTargetStep)
	}
	return t.share
}

// set makes the runtime aim for the target.
func (t memoryTarget) set() { debug.SetMemoryLimit(int64(t.limitBytes * t.share)) }

// run adjusts the target until ctx ends, and returns ctx's error.
func (t memoryTarget) run(ctx context.Context) error {
	sample := []metrics.Sample{{Name: collectorTime}}
	metrics.Read(sample)
	last, lastAt := sample[0].Value.Float64(), time.Now()
	return periodic.Run(ctx, memoryTargetInterval, func() {
		metrics.Read(sample)
		spent, now := sample[0].Value.Float64(), time.Now()
		share := t.next((spent - last) / now.Sub(lastAt).Seconds())
		last, lastAt = spent, now
		if share != t.share {
			t.share = share
			t.set()
		}
	})
}
