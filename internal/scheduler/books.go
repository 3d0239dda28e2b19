package scheduler

import (
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// forget drops a job from memory.
func (o *Scheduler) forget(uid string, j *Job) {
	for _, ps := range j.Placements {
		for _, p := range ps {
			o.count(p, -1)
			delete(p.Worker.Placements, p)
		}
	}
	for _, c := range j.Chunks {
		c.Closed = true
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
func (o *Scheduler) drop(p *Placement) {
	delete(p.Worker.Placements, p)
	p.Chunk.Placements = remove(p.Chunk.Placements, p)
	if rest := remove(p.Job.Placements[p.Task], p); len(rest) > 0 {
		p.Job.Placements[p.Task] = rest
	} else {
		delete(p.Job.Placements, p.Task)
	}
}

func (o *Scheduler) attach(p *Placement) {
	p.Ref = dispatch.TaskRef{Machine: p.Worker.Name, Task: wire.TaskName(p.Job.Spec.UID, p.Task), Attempt: p.Attempt}
	p.Job.Placements[p.Task] = append(p.Job.Placements[p.Task], p)
	p.Chunk.Placements = append(p.Chunk.Placements, p)
	p.Worker.Placements[p] = struct{}{}
}

// count adds what a place may use to its team and zone, or takes it off.
func (o *Scheduler) count(p *Placement, sign int) {
	if !p.MayRun() {
		return
	}
	p.Job.Team.Used = p.Job.Team.Used.Add(p.Job.Resources, float64(sign))
	if lent := p.Job.Team.Leased; lent != nil {
		lent.Count(p.Job.Shard, p.Job.Resources, float64(sign))
	}
	if p.Worker.View.Zone == "" {
		p.Job.Unzoned += sign
		return
	}
	p.Job.Zones[p.Worker.View.Zone] += sign
}

// detach ends a place: the task is surely not on that machine, or never was.
func (o *Scheduler) detach(p *Placement) {
	if _, ok := p.Worker.Placements[p]; !ok {
		return
	}
	o.count(p, -1)
	row := o.attemptRow(p)
	if !p.RunningSince.IsZero() {
		p.Job.Running--
	}
	o.drop(p)
	if len(p.Job.Placements[p.Task]) == 0 && !p.Chunk.IsDone(p.Task) {
		p.Job.Pending = append(p.Job.Pending, p.Task)
	}
	if p.InStore && !p.Job.Cancelled && !p.Chunk.IsDone(p.Task) {
		// Not urgent: a new owner would only have to settle it.
		o.record(Change{Kind: PlacementRemoved, Placement: p, Row: row})
	} else if row != nil {
		o.loose = append(o.loose, *row)
		poke(o.flush)
	}
	o.finish(p.Job)
	poke(o.wake)
}

func remove(ps []*Placement, p *Placement) []*Placement {
	for i, x := range ps {
		if x == p {
			out := append([]*Placement(nil), ps[:i]...)
			return append(out, ps[i+1:]...)
		}
	}
	return ps
}

// finish marks a job that has nothing left to do.
func (o *Scheduler) finish(j *Job) {
	switch {
	case j.EndStage != "":
		return
	case j.Cancelled:
		if len(j.Placements) > 0 {
			return
		}
		j.EndStage = wire.StageCancelled
	case j.Done == j.Spec.Tasks:
		j.EndStage = wire.StageDone
	case j.Finished == j.Spec.Tasks:
		if len(j.Placements) > 0 {
			return // what was stopped may still be on
		}
		j.EndStage = wire.StageCancelled
	default:
		return
	}
	poke(o.flush)
}
