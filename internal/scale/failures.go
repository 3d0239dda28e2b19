package scale

import (
	"context"
	"maps"
	"slices"
	"time"
)

const (
	secondsADay         = 24 * 3600
	failureListingDelay = 30 * time.Second // a machine that died is listed as running for so long
)

// runPartitions plays the phases in which workers' links are cut, each followed by one in which
// the site recovers.
func (r *Run) runPartitions(ctx context.Context) {
	s := r.Settings
	for _, cut := range []struct {
		name    string
		lengthS float64
		zones   []string
		most    int // workers
	}{
		{"rack cut", s.RackCutS, r.zones[:1], s.RackWorkers},
		{"zone cut", s.ZoneCutS, r.zones[:1], s.Workers},
		{"region cut", s.RegionCutS, r.zones[s.Zones-s.Zones/s.Regions:], s.Workers},
	} {
		if cut.lengthS == 0 {
			continue
		}
		names := r.oldestWorkers(cut.zones, cut.most)
		r.runPhase(ctx, cut.name, s.SteadyStarts, seconds(cut.lengthS), func(context.Context) {
			r.track.markLost(cut.name, names)
			r.workers.setCut(names, true)
		})
		r.workers.setCut(names, false)
		r.track.markReachable(names)
		r.provisionWorkers()
		r.runPhase(ctx, "after the "+cut.name, s.SteadyStarts, seconds(s.SettleS), nil)
	}
}

// oldestWorkers picks the oldest workers of zones.
func (r *Run) oldestWorkers(zones []string, most int) map[string]bool {
	picked := r.workers.selectNames(func(h *hollowWorker) bool { return slices.Contains(zones, h.zone) })
	names := slices.Sorted(maps.Keys(picked))
	for _, name := range names[min(most, len(names)):] {
		delete(picked, name)
	}
	return picked
}

// randomWorker picks a worker at random; "" if there is none.
func (r *Run) randomWorker() string {
	names := slices.Sorted(maps.Keys(r.oldestWorkers(r.zones, r.Settings.Workers)))
	if len(names) == 0 {
		return ""
	}
	return names[r.random.IntN(len(names))]
}

// injectFailures plays an ordinary day's, so many times faster: some machines die, and are
// listed as running for a while; others are restarted or replaced, which the cloud shows,
// and come back as new ones.
func (r *Run) injectFailures(ctx context.Context) {
	s := r.Settings
	perS := (s.FailuresPerDay + s.RestartsPerDay) * s.FailureSpeedup / secondsADay
	if perS <= 0 {
		return
	}
	began := time.Now()
	for n := 1; ; n++ {
		at := began.Add(seconds(float64(n) / perS))
		if at.Sub(began) >= seconds(s.FailuresS) || !sleep(ctx, time.Until(at)) {
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
			// Not stopped at the run's end: it does nothing then.
			time.AfterFunc(failureListingDelay, func() { r.cloud.MarkFailed(name) })
			continue
		}
		r.cloud.MarkFailed(name)
		r.provisionWorkers()
	}
}

// restartControllers restartControllers each controller in turn.
func (r *Run) restartControllers(ctx context.Context) {
	for _, c := range r.controllers {
		select {
		case c.restart <- struct{}{}:
		case <-ctx.Done():
			return
		}
		if !sleep(ctx, seconds(r.Settings.RestartEveryS)) {
			return
		}
	}
}
