package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// jobRow is a job's accounting row.
func (o *State) JobRow(job *Job) accounting.Row {
	s := job.Spec
	r := accounting.Row{Kind: accounting.RowJob, UID: s.UID, State: jobspec.Completed, Submit: job.AcceptedMs, Team: s.Team, Class: s.Class, Priority: s.Priority,
		Tasks: uint32(s.Tasks), Done: uint32(job.Done), End: time.Now().UnixMilli(), CPUs: float32(s.CPUs), GPUs: float32(s.GPUs), MemoryGB: float32(s.MemoryGB)}
	if job.EndStage != wire.StageDone {
		r.State = jobspec.Cancelled
	}
	if a := job.Constraints; a != nil {
		e := o.EndStateOf(job)
		r.Number, r.State, r.Exit, r.Start, r.End = a.Number, e.State, int32(e.Exit), e.StartMs, e.EndMs
		r.Name, r.User, r.Array, r.Eligible = a.Name, a.User, a.Array, a.EligibleMs
	}
	return r
}

// attemptRow is the accounting row of an attempt that was seen to run, or to end by
// itself, and is over now; nil if there is none, or accounts are not kept.
func (s *State) AttemptRow(placement *Placement) *accounting.Row {
	ended := placement.ExitCause == wire.CauseDone || placement.ExitCause == wire.CauseError
	if !s.AccountingEnabled || placement.Accounted || placement.RunningSince.IsZero() && !ended {
		return nil
	}
	placement.Accounted = true
	job, worker := placement.Job, placement.Worker
	r := &accounting.Row{Kind: accounting.RowAttempt, UID: job.Spec.UID, Task: uint32(placement.Task), Attempt: placement.Attempt, Exit: int32(placement.ExitCode),
		End: time.Now().UnixMilli(), Machine: worker.Name,
		CPUs: float32(job.Resources.CPUs), GPUs: float32(job.Resources.GPUs), MemoryGB: float32(job.Resources.MemoryGB)}
	if !placement.RunningSince.IsZero() {
		r.Start = placement.RunningSince.UnixMilli() // else it ended before it was seen to run
	}
	if job.Constraints != nil {
		r.Number = job.Constraints.Number
	}
	f, failed := placement.Chunk.Failed[placement.Task]
	switch {
	case failed:
		r.State = f.Outcome.AccountingState()
	case placement.Chunk.IsDone(placement.Task) && placement.ExitCause == wire.CauseDone:
		r.State, r.Useful = jobspec.Completed, true
	case job.Cancelled:
		r.State = jobspec.Cancelled
	case placement.ExitCause == wire.CauseError:
		r.State = jobspec.Failed
	case placement.ExitCause != "" || !placement.HaltedAt.IsZero():
		r.State = jobspec.Preempted
	default:
		r.State = jobspec.NodeFail
	}
	t := s.TypeOf(worker)
	price := t.Price
	if worker.View.Spot {
		price = t.SpotPrice
	}
	r.Price = float32(price * accounting.Share(job.Resources.CPUs, job.Resources.GPUs, job.Resources.MemoryGB, t.CPUs, t.GPUs, t.MemoryGB))
	return r
}
