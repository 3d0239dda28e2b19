package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/periodic"
)

const (
	minRepeatShare       = 0.2 // of the calls of which a copy arrives
	minQuickRestart      = 10 * time.Millisecond
	maxQuickRestart      = 900 * time.Millisecond
	quickRestartsOfARun  = 4 // of all controllers
	workerRestartsOfARun = 4 // of a share of the workers
	minRestartedWorkers  = 0.1
	maxRestartedWorkers  = 0.5
	repeatSeedWord       = 2 // the second word of the seed, so that the other faults of a seed stay the same
)

// AddRepeats adds faults drawn from the schedule's seed: copies of calls arrive until the last fault ends,
// and all controllers, or a share of the workers, restart at once. In ModeAlone they replace the other
// faults. Call it at most once.
func (s *Schedule) AddRepeats(mode FaultMode) {
	if !mode.enabled() {
		return
	}
	s.Repeats = mode
	if mode == ModeAlone {
		s.Faults, s.FaultsEnd = nil, warmUp+faultPeriod
	}
	r := rand.New(rand.NewPCG(s.Seed, repeatSeedWord))
	draw := func(kind FaultKind, share float64) {
		duration := minQuickRestart + time.Duration(r.Int64N(int64(maxQuickRestart-minQuickRestart)))
		at := warmUp + time.Duration(r.Int64N(int64(faultPeriod)))
		s.Faults = append(s.Faults, Fault{At: at, Duration: duration, Kind: kind, Share: share})
		s.FaultsEnd = max(s.FaultsEnd, at+duration)
	}
	for range quickRestartsOfARun {
		draw(RestartAll, 0)
	}
	for range workerRestartsOfARun {
		draw(RestartWorkers, minRestartedWorkers+(maxRestartedWorkers-minRestartedWorkers)*r.Float64())
	}
	share := minRepeatShare + (1-minRepeatShare)*r.Float64()
	s.Faults = append(s.Faults, Fault{At: warmUp, Duration: s.FaultsEnd - warmUp, Kind: RepeatCalls, Share: share})
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// repeatCalls has copies of answered calls arrive.
func (p *player) repeatCalls(ctx context.Context, f Fault) {
	p.site.repeater.setShare(f.Share)
	periodic.Sleep(ctx, f.Duration)
	p.site.repeater.setShare(0)
}

// restartAll kills all controllers at once, and starts each one again within the fault's duration. Copies
// of calls to their predecessors arrive right afterwards.
func (p *player) restartAll(ctx context.Context, f Fault) {
	for _, process := range p.site.processes {
		p.faults.Go(func() {
			process.kill()
			periodic.Sleep(ctx, minQuickRestart+rand.N(f.Duration))
			_ = process.start() // a process that is missing at the end shows in the violations
		})
	}
	periodic.Sleep(ctx, f.Duration)
	p.site.repeater.repeatRecent()
}

// restartWorkers restarts a share of the workers at once. Copies of calls to their predecessors arrive
// right afterwards.
func (p *player) restartWorkers(ctx context.Context, f Fault) {
	for _, name := range p.site.firstWorkers(f.Share) {
		p.faults.Go(func() { p.site.workers.Restart(ctx, name, minQuickRestart+rand.N(f.Duration)) })
	}
	periodic.Sleep(ctx, minQuickRestart+f.Duration)
	p.site.repeater.repeatRecent()
}
