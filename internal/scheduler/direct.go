package scheduler

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/batching"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// direction returns what is to be told to a holder next.
func (o *Owner) direction(holder string) *dispatch.Direction {
	d := o.pend[holder]
	if d == nil {
		d = &dispatch.Direction{From: o.member.Name()}
		o.pend[holder] = d
	}
	return d
}

// tell sends a place to the machine's holder, to be queued, or as facts about
// a task that it lists.
func (o *Owner) tell(p *place, isListed bool) {
	m, j := p.mach, p.job
	if m.view.Holder == "" {
		return
	}
	p.sentTo, p.sentAt = m.view.Holder, time.Now()
	d := o.direction(m.view.Holder)
	d.Assign = append(d.Assign, dispatch.Entry{
		Ref: p.ref, Owner: o.member.Name(), Shape: j.shape, Run: j.runEstimate(), Fetch: o.fetchTime(j, m),
		Rank: j.spec.Rank(), DueAt: j.dueAt(), Listed: isListed,
	})
	poke(o.out)
}

// halt stops a task; it is repeated until the task is off its machine.
func (o *Owner) halt(p *place, grace float64) {
	if !p.on() {
		o.unqueue(p)
		return
	}
	if time.Since(p.haltAt) < time.Second {
		return
	}
	p.haltAt = time.Now()
	if p.halted.IsZero() {
		p.halted = p.haltAt
	}
	if p.mach.view.Holder == "" {
		return
	}
	d := o.direction(p.mach.view.Holder)
	d.Halt = append(d.Halt, dispatch.Halt{Ref: p.ref, GraceS: grace})
	poke(o.out)
}

// unqueue takes back a place that was never granted, so that nothing can have
// been started by it.
func (o *Owner) unqueue(p *place) {
	if p.sentTo != "" {
		d := o.direction(p.sentTo)
		d.Halt = append(d.Halt, dispatch.Halt{Ref: p.ref})
		poke(o.out)
	}
	o.detach(p)
}

// neverSent reports whether no start command for a halted place can be under way, when
// the holder with that token says that it sent none: the start was granted for this token
// alone. One that was granted for another may still be held up, sent by another holder or
// before this one restarted: taken off its team's use it would run beside what the limit
// then lets start.
func (p *place) neverSent(token uint64) bool {
	return p.state == placeGranted && !p.haltAt.IsZero() && p.least == token && p.token == token
}

// direct sends what was gathered for the holders: to those elsewhere in batches.
func (o *Owner) direct(ctx context.Context) {
	elsewhere := batching.Sender[*dispatch.Direction]{Send: func(holder string, ds []*dispatch.Direction) {
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
		o.pend = map[string]*dispatch.Direction{}
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
func joined(ds []*dispatch.Direction) *dispatch.Direction {
	all := *ds[0]
	for _, d := range ds[1:] {
		all.Assign = append(all.Assign, d.Assign...)
		all.Halt = append(all.Halt, d.Halt...)
		all.Clear = append(all.Clear, d.Clear...)
		all.RaiseAbove = max(all.RaiseAbove, d.RaiseAbove)
	}
	return &all
}

func (o *Owner) sendDirection(ctx context.Context, holder string, d *dispatch.Direction) {
	dctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	un, err := o.holders.Direct(dctx, holder, *d)
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
		for _, p := range append([]*place(nil), j.places[n]...) {
			if p.attempt == ref.Attempt && p.mach.name == ref.Machine && p.neverSent(un.Token) {
				o.detach(p)
			}
		}
	}
}
