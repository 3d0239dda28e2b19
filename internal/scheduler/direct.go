package scheduler

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/batching"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// direction returns what is to be told to a holder next.
func (o *Scheduler) direction(holder string) *dispatch.Instructions {
	d := o.pend[holder]
	if d == nil {
		d = &dispatch.Instructions{From: o.member.Name()}
		o.pend[holder] = d
	}
	return d
}

// tell sends a place to the machine's holder, to be queued, or as facts about
// a task that it lists.
func (o *Scheduler) tell(p *Placement, isListed bool) {
	m, j := p.Worker, p.Job
	if m.View.Holder == "" {
		return
	}
	p.SentTo, p.SentAt = m.View.Holder, time.Now()
	d := o.direction(m.View.Holder)
	d.Assign = append(d.Assign, dispatch.QueueEntry{
		TaskRef: p.Ref, Owner: o.member.Name(), Resources: j.Resources, Run: j.RunEstimate(), Fetch: o.fetchTime(j, m),
		Rank: j.Spec.Rank(), DueAt: j.DueAt(), Listed: isListed,
	})
	poke(o.out)
}

// halt stops a task; it is repeated until the task is off its machine.
func (o *Scheduler) halt(p *Placement, grace float64) {
	if !p.MayRun() {
		o.unqueue(p)
		return
	}
	if time.Since(p.LastHaltAt) < time.Second {
		return
	}
	p.LastHaltAt = time.Now()
	if p.HaltedAt.IsZero() {
		p.HaltedAt = p.LastHaltAt
	}
	if p.Worker.View.Holder == "" {
		return
	}
	d := o.direction(p.Worker.View.Holder)
	d.Halt = append(d.Halt, dispatch.Halt{TaskRef: p.Ref, GraceS: grace})
	poke(o.out)
}

// unqueue takes back a place that was never granted, so that nothing can have
// been started by it.
func (o *Scheduler) unqueue(p *Placement) {
	if p.SentTo != "" {
		d := o.direction(p.SentTo)
		d.Halt = append(d.Halt, dispatch.Halt{TaskRef: p.Ref})
		poke(o.out)
	}
	o.detach(p)
}

// NeverSent reports whether no start command for a halted place can be under way, when
// the holder with that token says that it sent none: the start was granted for this token
// alone. One that was granted for another may still be held up, sent by another holder or
// before this one restarted: taken off its team's use it would run beside what the limit
// then lets start.
func (p *Placement) NeverSent(token uint64) bool {
	return p.State == PlacementGranted && !p.LastHaltAt.IsZero() && p.MinToken == token && p.MaxToken == token
}

// direct sends what was gathered for the holders: to those elsewhere in batches.
func (o *Scheduler) direct(ctx context.Context) {
	elsewhere := batching.Sender[*dispatch.Instructions]{Send: func(holder string, ds []*dispatch.Instructions) {
		o.sendDirection(ctx, holder, joined(ds)) // bounded by its time limit
	}}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-o.out:
		}
		o.mu.Lock()
		pend := o.pend
		o.pend = map[string]*dispatch.Instructions{}
		o.mu.Unlock()
		for holder, d := range pend {
			switch holder {
			case "":
			case o.member.Name():
				o.sendDirection(ctx, holder, d)
			default:
				elsewhere.Add(holder, d)
			}
		}
	}
}

// joined makes one direction of several, in their order.
func joined(ds []*dispatch.Instructions) *dispatch.Instructions {
	all := *ds[0]
	for _, d := range ds[1:] {
		all.Assign = append(all.Assign, d.Assign...)
		all.Halt = append(all.Halt, d.Halt...)
		all.Clear = append(all.Clear, d.Clear...)
		all.RaiseTokenAbove = max(all.RaiseTokenAbove, d.RaiseTokenAbove)
	}
	return &all
}

func (o *Scheduler) sendDirection(ctx context.Context, holder string, d *dispatch.Instructions) {
	dctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	un, err := o.holders.SendInstructions(dctx, holder, *d)
	if err != nil {
		// Sweeps and later views repeat whatever still matters.
		o.log.Debug("holder did not take directions", "holder", holder, "err", err)
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, ref := range un.Refs {
		uid, n, err := wire.ParseTask(ref.Task)
		j := o.jobs[uid]
		if err != nil || j == nil {
			continue
		}
		for _, p := range append([]*Placement(nil), j.Placements[n]...) {
			if p.Attempt == ref.Attempt && p.Worker.Name == ref.Machine && p.NeverSent(un.Token) {
				o.detach(p)
			}
		}
	}
}
