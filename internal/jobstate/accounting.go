package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// JobRow returns the accounting row of a job that has ended. For a job with constraints, the
// first call also sets the end time, which is the same in all later rows and records. For any other
// job, the end time is that of the call.
func (s *State) JobRow(job *Job) accounting.Row {
	spec := job.Spec
	row := accounting.Row{
		Kind: accounting.RowJob, UID: spec.UID, State: jobspec.Completed, Submit: job.AcceptedMs,
		Team: spec.Team, Class: spec.Class, Priority: spec.Priority,
		Tasks: uint32(spec.Tasks), Done: uint32(job.Done), End: time.Now().UnixMilli(),
		CPUs: float32(spec.CPUs), GPUs: float32(spec.GPUs), MemoryGB: float32(spec.MemoryGB),
	}
	if job.EndStage != wire.StageDone {
		row.State = jobspec.Cancelled
	}
	if c := job.Constraints; c != nil {
		end := s.EndStateOf(job)
		row.Number, row.State, row.Exit, row.Start, row.End = c.Number, end.State, int32(end.ExitCode), end.StartMs, end.EndMs
		row.Name, row.User, row.Array, row.Eligible = c.Name, c.User, c.Array, c.EligibleMs
	}
	return row
}

// attemptRow returns the accounting row of an attempt that is over and that was seen to run or
// ended by itself. It returns nil for any other attempt, on repeated calls for the same attempt,
// and if accounting is disabled.
func (s *State) attemptRow(placement *Placement) *accounting.Row {
	endedByItself := placement.ExitCause == wire.CauseDone || placement.ExitCause == wire.CauseError
	if !s.AccountingEnabled || placement.Accounted || placement.RunningSince.IsZero() && !endedByItself {
		return nil
	}
	placement.Accounted = true
	job, worker := placement.Job, placement.Worker
	row := &accounting.Row{
		Kind: accounting.RowAttempt, UID: job.Spec.UID, Task: uint32(placement.Task), Attempt: placement.Attempt,
		Exit: int32(placement.ExitCode), End: time.Now().UnixMilli(), Worker: worker.Name,
		CPUs: float32(job.Resources.CPUs), GPUs: float32(job.Resources.GPUs), MemoryGB: float32(job.Resources.MemoryGB),
		Price: float32(s.hourlyPrice(placement)),
	}
	row.State, row.Useful = placement.accountingState()
	if !placement.RunningSince.IsZero() {
		row.Start = placement.RunningSince.UnixMilli() // zero if the attempt ended before it was seen to run
	}
	if job.Constraints != nil {
		row.Number = job.Constraints.Number
	}
	return row
}

// accountingState returns how an attempt that is over ended, and whether it completed its task.
func (p *Placement) accountingState() (state string, useful bool) {
	failure, failed := p.Chunk.Failed[p.Task]
	switch {
	case failed:
		return failure.Outcome.AccountingState(), false
	case p.Chunk.IsOver(p.Task) && p.ExitCause == wire.CauseDone:
		return jobspec.Completed, true
	case p.Job.Cancelled:
		return jobspec.Cancelled, false
	case p.ExitCause == wire.CauseError:
		return jobspec.Failed, false
	case p.ExitCause != "" || !p.FirstHaltAt.IsZero():
		return jobspec.Preempted, false
	}
	return jobspec.NodeFail, false
}

// hourlyPrice returns the hourly price of the share of its machine that a placement uses.
func (s *State) hourlyPrice(placement *Placement) float64 {
	machine := s.TypeOf(placement.Worker)
	price := machine.Price
	if placement.Worker.View.Spot {
		price = machine.SpotPrice
	}
	whole := matching.Resources{CPUs: machine.CPUs, GPUs: machine.GPUs, MemoryGB: machine.MemoryGB}
	return price * accounting.MachineShare(placement.Job.Resources, whole)
}
