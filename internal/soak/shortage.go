package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/periodic"
)

const (
	shortagePeriod    = time.Second // of one stop and one continuation
	minRunningShare   = 0.1
	maxRunningShare   = 0.5
	minShortage       = 8 * time.Second
	maxShortage       = 20 * time.Second
	shortagesOfARun   = 5
	shortageSeedShift = 1 // the second word of the seed, so that the other faults of a seed stay the same
)

// AddShortages adds faults that keep processor time from controllers, drawn from the schedule's seed. In
// ModeAlone they replace the other faults. Call it at most once.
func (s *Schedule) AddShortages(mode FaultMode) {
	if !mode.enabled() {
		return
	}
	s.Shortage = mode
	if mode == ModeAlone {
		s.Faults, s.FaultsEnd = nil, 0
	}
	r := rand.New(rand.NewPCG(s.Seed, shortageSeedShift))
	for range shortagesOfARun {
		fault := Fault{
			At: warmUp + time.Duration(r.Int64N(int64(faultPeriod))), Duration: minShortage + time.Duration(r.Int64N(int64(maxShortage-minShortage))),
			Kind: ProcessorShortage, Controller: r.IntN(s.Controllers), Leader: r.IntN(2) == 0,
			Share: minRunningShare + (maxRunningShare-minRunningShare)*r.Float64(),
		}
		if r.IntN(2) == 0 {
			fault.Kind, fault.Leader = AllProcessorShortage, false
		}
		s.Faults = append(s.Faults, fault)
		s.FaultsEnd = max(s.FaultsEnd, fault.At+fault.Duration)
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// keepAllShortOfTime keeps processor time from all controllers, whose turns begin at different times.
func (p *player) keepAllShortOfTime(ctx context.Context, f Fault) {
	var controllers sync.WaitGroup
	for _, process := range p.site.processes {
		controllers.Go(func() {
			periodic.Sleep(ctx, rand.N(shortagePeriod))
			process.keepShortOfTime(ctx, f.Share, f.Duration-shortagePeriod)
		})
	}
	controllers.Wait()
}

// keepShortOfTime stops and continues a process in short turns, so that it runs for a share of the time.
// If the process is short of time already, this shortage has no effect: the turns of two would stop it
// for as long as both last.
func (p *process) keepShortOfTime(ctx context.Context, runningShare float64, duration time.Duration) {
	if !p.shortOfTime.CompareAndSwap(false, true) {
		periodic.Sleep(ctx, duration)
		return
	}
	defer p.shortOfTime.Store(false)
	running := time.Duration(runningShare * float64(shortagePeriod))
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		p.pause()
		periodic.Sleep(ctx, shortagePeriod-running)
		p.resume()
		periodic.Sleep(ctx, running)
	}
}
