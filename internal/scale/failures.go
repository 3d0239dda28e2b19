package scale

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/periodic"
)

const (
	secondsPerDay       = 24 * 3600
	failureListingDelay = 30 * time.Second // time for which the cloud lists a dead machine as running
)

// runPartitions runs the phases in which the links of workers are cut, each followed by a phase
// in which the site recovers.
func (r *Run) runPartitions(ctx context.Context) {
	s := r.Settings
	for _, cut := range []struct {
		name      string
		durationS float64
		zones     []string
		limit     int // maximum number of workers
	}{
		{"rack cut", s.RackCutS, r.zones[:1], s.RackWorkers},
		{"zone cut", s.ZoneCutS, r.zones[:1], s.Workers},
		{"region cut", s.RegionCutS, r.zones[s.Zones-s.Zones/s.Regions:], s.Workers},
	} {
		if cut.durationS == 0 {
			continue
		}
		names := r.oldestWorkers(cut.zones, cut.limit)
		r.runPhase(ctx, cut.name, s.SteadyStarts, seconds(cut.durationS), func(context.Context) {
			r.track.markLost(cut.name, names)
			r.workers.SetCut(names, true)
		})
		r.workers.SetCut(names, false)
		r.track.markReachable(names)
		r.provisionWorkers()
		r.runPhase(ctx, "after the "+cut.name, s.SteadyStarts, seconds(s.SettleS), nil)
	}
}

// oldestWorkers returns the names of the oldest workers in the given zones, at most limit.
func (r *Run) oldestWorkers(zones []string, limit int) map[string]bool {
	selected := r.workers.Names(func(zone string) bool { return slices.Contains(zones, zone) })
	names := slices.Sorted(maps.Keys(selected))
	for _, name := range names[min(limit, len(names)):] {
		delete(selected, name)
	}
	return selected
}

// randomWorker returns the name of a random worker, or "" if there is none.
func (r *Run) randomWorker() string {
	names := slices.Sorted(maps.Keys(r.oldestWorkers(r.zones, r.Settings.Workers)))
	if len(names) == 0 {
		return ""
	}
	return names[r.random.IntN(len(names))]
}

// injectFailures injects the failures of an ordinary day, accelerated by FailureSpeedup. Some
// machines die, and the cloud still lists them as running for a while. Others are restarted or
// replaced: the cloud lists them as failed at once, and new machines take their place.
func (r *Run) injectFailures(ctx context.Context) {
	s := r.Settings
	ratePerS := (s.FailuresPerDay + s.RestartsPerDay) * s.FailureSpeedup / secondsPerDay
	if ratePerS <= 0 {
		return
	}
	start := time.Now()
	for n := 1; ; n++ {
		at := start.Add(seconds(float64(n) / ratePerS))
		if at.Sub(start) >= seconds(s.FailuresS) || !periodic.Sleep(ctx, time.Until(at)) {
			return
		}
		name := r.randomWorker()
		died := r.random.Float64() < s.FailuresPerDay/(s.FailuresPerDay+s.RestartsPerDay)
		event := "machine restarted or replaced"
		if died {
			event = "machine died"
		}
		r.track.markLost(event, map[string]bool{name: true})
		r.workers.End(name)
		if died {
			// The timer is not stopped at the end of the run; MarkFailed then has no effect.
			time.AfterFunc(failureListingDelay, func() { r.cloud.MarkFailed(name) })
			continue
		}
		r.cloud.MarkFailed(name)
		r.provisionWorkers()
	}
}

// restartControllers restarts the controllers one after the other.
func (r *Run) restartControllers(ctx context.Context) {
	for _, c := range r.controllers {
		select {
		case c.restart <- struct{}{}:
		case <-ctx.Done():
			return
		}
		if !periodic.Sleep(ctx, seconds(r.Settings.RestartEveryS)) {
			return
		}
	}
}
