package scheduler

import (
	"time"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// jobRow is a job's accounting row.
func (o *Scheduler) jobRow(j *Job) accounting.Row {
	s := j.Spec
	r := accounting.Row{Kind: accounting.RowJob, UID: s.UID, State: jobspec.Completed, Submit: j.AcceptedMs, Team: s.Team, Class: s.Class, Priority: s.Priority,
		Tasks: uint32(s.Tasks), Done: uint32(j.Done), End: time.Now().UnixMilli(), CPUs: float32(s.CPUs), GPUs: float32(s.GPUs), MemoryGB: float32(s.MemoryGB)}
	if j.EndStage != wire.StageDone {
		r.State = jobspec.Cancelled
	}
	if a := j.Constraints; a != nil {
		e := o.ending(j)
		r.Number, r.State, r.Exit, r.Start, r.End = a.Number, e.State, int32(e.Exit), e.StartMs, e.EndMs
		r.Name, r.User, r.Array, r.Eligible = a.Name, a.User, a.Array, a.EligibleMs
	}
	return r
}

// attemptRow is the accounting row of an attempt that was seen to run, or to end by
// itself, and is over now; nil if there is none, or accounts are not kept.
func (o *Scheduler) attemptRow(p *Placement) *accounting.Row {
	ended := p.ExitCause == wire.CauseDone || p.ExitCause == wire.CauseError
	if !o.AccountingEnabled || p.Accounted || p.RunningSince.IsZero() && !ended {
		return nil
	}
	p.Accounted = true
	j, m := p.Job, p.Worker
	r := &accounting.Row{Kind: accounting.RowAttempt, UID: j.Spec.UID, Task: uint32(p.Task), Attempt: p.Attempt, Exit: int32(p.ExitCode),
		End: time.Now().UnixMilli(), Machine: m.Name,
		CPUs: float32(j.Resources.CPUs), GPUs: float32(j.Resources.GPUs), MemoryGB: float32(j.Resources.MemoryGB)}
	if !p.RunningSince.IsZero() {
		r.Start = p.RunningSince.UnixMilli() // else it ended before it was seen to run
	}
	if j.Constraints != nil {
		r.Number = j.Constraints.Number
	}
	f, failed := p.Chunk.Failed[p.Task]
	switch {
	case failed:
		r.State = f.Outcome.AccountingState()
	case p.Chunk.IsDone(p.Task) && p.ExitCause == wire.CauseDone:
		r.State, r.Useful = jobspec.Completed, true
	case j.Cancelled:
		r.State = jobspec.Cancelled
	case p.ExitCause == wire.CauseError:
		r.State = jobspec.Failed
	case p.ExitCause != "" || !p.HaltedAt.IsZero():
		r.State = jobspec.Preempted
	default:
		r.State = jobspec.NodeFail
	}
	t := o.typeOf(m)
	price := t.Price
	if m.View.Spot {
		price = t.SpotPrice
	}
	r.Price = float32(price * accounting.Share(j.Resources.CPUs, j.Resources.GPUs, j.Resources.MemoryGB, t.CPUs, t.GPUs, t.MemoryGB))
	return r
}
