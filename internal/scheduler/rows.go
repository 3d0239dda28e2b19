package scheduler

import (
	"time"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// jobRow is a job's accounting row.
func (o *Owner) jobRow(j *job) accounting.Row {
	s := j.spec
	r := accounting.Row{Kind: accounting.RowJob, UID: s.UID, State: jobspec.Completed, Submit: j.atMs, Team: s.Team, Class: s.Class, Priority: s.Priority,
		Tasks: uint32(s.Tasks), Done: uint32(j.done), End: time.Now().UnixMilli(), CPUs: float32(s.CPUs), GPUs: float32(s.GPUs), MemoryGB: float32(s.MemoryGB)}
	if j.ended != wire.StageDone {
		r.State = jobspec.Cancelled
	}
	if a := j.asked; a != nil {
		e := o.ending(j)
		r.Number, r.State, r.Exit, r.Start, r.End = a.Number, e.State, int32(e.Exit), e.StartMs, e.EndMs
		r.Name, r.User, r.Array, r.Eligible = a.Name, a.User, a.Array, a.eligible
	}
	return r
}

// attemptRow is the accounting row of an attempt that was seen to run, or to end by
// itself, and is over now; nil if there is none, or accounts are not kept.
func (o *Owner) attemptRow(p *place) *accounting.Row {
	ended := p.cause == wire.CauseDone || p.cause == wire.CauseError
	if !o.Accounts || p.accounted || p.running.IsZero() && !ended {
		return nil
	}
	p.accounted = true
	j, m := p.job, p.mach
	r := &accounting.Row{Kind: accounting.RowAttempt, UID: j.spec.UID, Task: uint32(p.task), Attempt: p.attempt, Exit: int32(p.exit),
		End: time.Now().UnixMilli(), Machine: m.name,
		CPUs: float32(j.shape.CPUs), GPUs: float32(j.shape.GPUs), MemoryGB: float32(j.shape.MemoryGB)}
	if !p.running.IsZero() {
		r.Start = p.running.UnixMilli() // else it ended before it was seen to run
	}
	if j.asked != nil {
		r.Number = j.asked.Number
	}
	f, failed := p.chunk.failed[p.task]
	switch {
	case failed:
		r.State = f.how.state()
	case p.chunk.isDone(p.task) && p.cause == wire.CauseDone:
		r.State, r.Useful = jobspec.Completed, true
	case j.cancelled:
		r.State = jobspec.Cancelled
	case p.cause == wire.CauseError:
		r.State = jobspec.Failed
	case p.cause != "" || !p.halted.IsZero():
		r.State = jobspec.Preempted
	default:
		r.State = jobspec.NodeFail
	}
	t := o.typeOf(m)
	price := t.Price
	if m.view.Spot {
		price = t.SpotPrice
	}
	r.Price = float32(price * accounting.Share(j.shape.CPUs, j.shape.GPUs, j.shape.MemoryGB, t.CPUs, t.GPUs, t.MemoryGB))
	return r
}
