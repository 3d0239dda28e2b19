package soak

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/periodic"
)

// minDelay and maxDelay bound the delay of a link in each direction.
const (
	minDelay = 50 * time.Millisecond
	maxDelay = 1200 * time.Millisecond
)

// inject begins a fault, waits until its end, and ends it.
func (p *player) inject(ctx context.Context, f Fault) {
	node := f.Controller
	if f.Leader {
		node = p.site.leader()
	}
	process, gate := p.site.processes[node], p.site.gates[node]
	switch f.Kind {
	case Kill:
		p.restart(ctx, node)
	case KillAll:
		p.killAll(ctx)
	case LeaderSeries:
		p.killLeaders(ctx, f.Duration)
	case Pause:
		process.pause()
		periodic.Sleep(ctx, f.Duration)
		process.resume()
	case ProcessorShortage:
		process.keepShortOfTime(ctx, f.Share, f.Duration)
	case AllProcessorShortage:
		p.keepAllShortOfTime(ctx, f)
	case HoldLink, ResetLink, DelayLink, LoseAnswers:
		p.disturbLink(ctx, node, f)
	case StateRefuses, StateSlow, StateLoses, StateApplyLate:
		gate.begin(f.Kind)
		periodic.Sleep(ctx, f.Duration)
		gate.end(f.Kind)
	case StateOutage:
		p.stopState(ctx, f.Duration)
	case CutWorkers:
		p.cutWorkers(ctx, f)
	case LateReports:
		p.site.late.setShare(f.Share)
		periodic.Sleep(ctx, f.Duration)
		p.site.late.setShare(0)
	case RepeatCalls:
		p.repeatCalls(ctx, f)
	case RestartAll:
		p.restartAll(ctx, f)
	case RestartWorkers:
		p.restartWorkers(ctx, f)
	case CancelBurst:
		p.users.cancelMany(ctx, f.Share)
	}
}

// restart kills a controller and starts it again.
func (p *player) restart(ctx context.Context, node int) {
	p.site.processes[node].kill()
	periodic.Sleep(ctx, rand.N(2*restartDelay))
	_ = p.site.processes[node].start() // a process that is missing at the end shows in the violations
}

func (p *player) killAll(ctx context.Context) {
	for node := range p.site.processes {
		p.faults.Go(func() { p.restart(ctx, node) })
	}
}

// killLeaders kills the leader again and again.
func (p *player) killLeaders(ctx context.Context, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end) && ctx.Err() == nil; {
		p.restart(ctx, p.site.leader())
		periodic.Sleep(ctx, rand.N(2*leaderKillPeriod))
	}
}

func (p *player) disturbLink(ctx context.Context, node int, f Fault) {
	end := p.site.links[f.Link][node].disturb(linkModes[f.Kind], minDelay+rand.N(maxDelay-minDelay))
	periodic.Sleep(ctx, f.Duration)
	end()
}

// stopState makes the state service refuse all controllers. Leases do not expire meanwhile, and have their
// full time afterwards.
func (p *player) stopState(ctx context.Context, duration time.Duration) {
	for _, gate := range p.site.gates {
		gate.begin(StateOutage)
	}
	for end := time.Now().Add(duration); time.Now().Before(end) && periodic.Sleep(ctx, reportInterval); {
		p.site.state.RestartLeases()
	}
	for _, gate := range p.site.gates {
		gate.end(StateOutage)
	}
	p.site.state.RestartLeases()
}

// firstWorkers returns a share of the workers, the first ones by name.
func (s *site) firstWorkers(share float64) []string {
	all := slices.Sorted(maps.Keys(s.workers.Names(func(string) bool { return true })))
	return all[:int(share*float64(len(all)))]
}

// cutWorkers cuts off a share of the workers.
func (p *player) cutWorkers(ctx context.Context, f Fault) {
	cut := map[string]bool{}
	for _, name := range p.site.firstWorkers(f.Share) {
		cut[name] = true
	}
	p.site.workers.SetCut(cut, true)
	periodic.Sleep(ctx, f.Duration)
	p.site.workers.SetCut(cut, false)
}
