package scale

import (
	"context"
	"maps"
	"slices"
	"time"
)

const (
	secondsADay   = 24 * 3600
	failedShownIn = 30 * time.Second // a machine that died is listed as running for so long
)

// cuts plays the phases in which workers' links are cut, each followed by one in which
// the site recovers.
func (r *Run) cuts(ctx context.Context) {
	s := r.Settings
	for _, cut := range []struct {
		name    string
		lengthS float64
		zones   []string
		most    int // workers
	}{
		{"rack cut", s.RackS, r.zones[:1], s.RackWorkers},
		{"zone cut", s.ZoneS, r.zones[:1], s.Workers},
		{"region cut", s.RegionS, r.zones[s.Zones-s.Zones/s.Regions:], s.Workers},
	} {
		if cut.lengthS == 0 {
			continue
		}
		names := r.someWorkers(cut.zones, cut.most)
		r.phase(ctx, cut.name, s.SteadyStarts, seconds(cut.lengthS), func(context.Context) {
			r.track.lose(cut.name, names)
			r.workers.cut(names, true)
		})
		r.workers.cut(names, false)
		r.track.found(names)
		r.provision()
		r.phase(ctx, "after the "+cut.name, s.SteadyStarts, seconds(s.SettleS), nil)
	}
}

// someWorkers picks the oldest workers of zones.
func (r *Run) someWorkers(zones []string, most int) map[string]bool {
	picked := r.workers.pick(func(h *hollowWorker) bool { return slices.Contains(zones, h.zone) })
	names := slices.Sorted(maps.Keys(picked))
	for _, name := range names[min(most, len(names)):] {
		delete(picked, name)
	}
	return picked
}

// anyWorker picks a worker at random; "" if there is none.
func (r *Run) anyWorker() string {
	names := slices.Sorted(maps.Keys(r.someWorkers(r.zones, r.Settings.Workers)))
	if len(names) == 0 {
		return ""
	}
	return names[r.random.IntN(len(names))]
}

// failures plays an ordinary day's, so many times faster: some machines die, and are
// listed as running for a while; others are restarted or replaced, which the cloud shows,
// and come back as new ones.
func (r *Run) failures(ctx context.Context) {
	s := r.Settings
	perS := (s.FailADay + s.RestartADay) * s.DaySpeed / secondsADay
	if perS <= 0 {
		return
	}
	began := time.Now()
	for n := 1; ; n++ {
		at := began.Add(seconds(float64(n) / perS))
		if at.Sub(began) >= seconds(s.FailuresS) || !wait(ctx, time.Until(at)) {
			return
		}
		name := r.anyWorker()
		died := r.random.Float64() < s.FailADay/(s.FailADay+s.RestartADay)
		event := "machine restarted or replaced"
		if died {
			event = "machine died"
		}
		r.track.lose(event, map[string]bool{name: true})
		r.workers.End(name)
		if died {
			// Not stopped at the run's end: it does nothing then.
			time.AfterFunc(failedShownIn, func() { r.cloud.Failed(name) })
			continue
		}
		r.cloud.Failed(name)
		r.provision()
	}
}

// restarts restarts each controller in turn.
func (r *Run) restarts(ctx context.Context) {
	for _, c := range r.controllers {
		select {
		case c.restart <- struct{}{}:
		case <-ctx.Done():
			return
		}
		if !wait(ctx, seconds(r.Settings.RestartEveryS)) {
			return
		}
	}
}
