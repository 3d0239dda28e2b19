package owner

import (
	"time"

	"github.com/wallrack/wallrack/internal/machine"
)

// direction returns what is to be told to a holder next.
func (o *Owner) direction(holder string) *machine.Direction {
	d := o.pend[holder]
	if d == nil {
		d = &machine.Direction{From: o.member.Name()}
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
	d.Assign = append(d.Assign, machine.Entry{
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
	d.Halt = append(d.Halt, machine.Halt{Ref: p.ref, GraceS: grace})
	poke(o.out)
}

// unqueue takes back a place that was never granted, so that nothing can have
// been started by it.
func (o *Owner) unqueue(p *place) {
	if p.sentTo != "" {
		d := o.direction(p.sentTo)
		d.Halt = append(d.Halt, machine.Halt{Ref: p.ref})
		poke(o.out)
	}
	o.detach(p)
}
