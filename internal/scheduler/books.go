package scheduler

import (
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// forget drops a job from memory.
func (o *Owner) forget(uid string, j *job) {
	for _, ps := range j.places {
		for _, p := range ps {
			o.count(p, -1)
			delete(p.mach.places, p)
		}
	}
	for _, c := range j.chunks {
		c.over = true
	}
	delete(o.jobs, uid)
	for i, x := range o.order {
		if x == j {
			o.order = append(o.order[:i], o.order[i+1:]...)
			break
		}
	}
}

// drop takes a place out of the books.
func (o *Owner) drop(p *place) {
	delete(p.mach.places, p)
	p.chunk.places = remove(p.chunk.places, p)
	if rest := remove(p.job.places[p.task], p); len(rest) > 0 {
		p.job.places[p.task] = rest
	} else {
		delete(p.job.places, p.task)
	}
}

func (o *Owner) attach(p *place) {
	p.ref = dispatch.Ref{Machine: p.mach.name, Task: wire.TaskName(p.job.spec.UID, p.task), Attempt: p.attempt}
	p.job.places[p.task] = append(p.job.places[p.task], p)
	p.chunk.places = append(p.chunk.places, p)
	p.mach.places[p] = struct{}{}
}

// count adds what a place may use to its team and zone, or takes it off.
func (o *Owner) count(p *place, sign int) {
	if !p.on() {
		return
	}
	p.job.team.use = p.job.team.use.Add(p.job.shape, float64(sign))
	if lent := p.job.team.lent; lent != nil {
		lent.count(p.job.shard, p.job.shape, float64(sign))
	}
	if p.mach.view.Zone == "" {
		p.job.unzoned += sign
		return
	}
	p.job.zones[p.mach.view.Zone] += sign
}

// detach ends a place: the task is surely not on that machine, or never was.
func (o *Owner) detach(p *place) {
	if _, ok := p.mach.places[p]; !ok {
		return
	}
	o.count(p, -1)
	row := o.attemptRow(p)
	if !p.running.IsZero() {
		p.job.running--
	}
	o.drop(p)
	if len(p.job.places[p.task]) == 0 && !p.chunk.isDone(p.task) {
		p.job.pending = append(p.job.pending, p.task)
	}
	if p.logged && !p.job.cancelled && !p.chunk.isDone(p.task) {
		// Not urgent: a new owner would only have to settle it.
		o.record(change{kind: goneChange, p: p, row: row})
	} else if row != nil {
		o.loose = append(o.loose, *row)
		poke(o.flush)
	}
	o.finish(p.job)
	poke(o.wake)
}

func remove(ps []*place, p *place) []*place {
	for i, x := range ps {
		if x == p {
			out := append([]*place(nil), ps[:i]...)
			return append(out, ps[i+1:]...)
		}
	}
	return ps
}

// finish marks a job that has nothing left to do.
func (o *Owner) finish(j *job) {
	switch {
	case j.ended != "":
		return
	case j.cancelled:
		if len(j.places) > 0 {
			return
		}
		j.ended = wire.StageCancelled
	case j.done == j.spec.Tasks:
		j.ended = wire.StageDone
	case j.over == j.spec.Tasks:
		if len(j.places) > 0 {
			return // what was stopped may still be on
		}
		j.ended = wire.StageCancelled
	default:
		return
	}
	poke(o.flush)
}
