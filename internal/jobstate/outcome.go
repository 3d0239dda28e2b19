package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// fail ends a task that will not be tried again.
func (s *State) FailTask(placement *Placement, h TaskOutcome) {
	placement.Chunk.SetFailed(placement.Task, uint64(h), uint64(placement.ExitCode))
	s.FinishTask(placement)
}

// overTime stops the tasks that run longer than their job's time limit.
func (s *State) StopOverTime(job *Job) {
	if job.Constraints == nil || job.Constraints.LimitS <= 0 || job.Cancelled {
		return
	}
	for _, ps := range job.Placements {
		for _, placement := range ps {
			if !placement.Exited && !placement.RunningSince.IsZero() && time.Since(placement.RunningSince).Seconds() > job.Constraints.LimitS {
				placement.TimedOut = true
				s.HaltTask(placement, 0)
			}
		}
	}
}

// ending is how a job with terms ended.
func (s *State) EndStateOf(job *Job) *jobspec.Ending {
	a := job.Constraints
	if a == nil {
		return nil
	}
	if a.EndMs == 0 {
		a.EndMs = time.Now().UnixMilli()
	}
	e := &jobspec.Ending{Number: a.Number, State: jobspec.Completed, Failed: job.Finished - job.Done, StartMs: a.StartMs, EndMs: a.EndMs}
	worst := TaskOutcome(0)
	for _, chunk := range job.Chunks {
		for _, f := range chunk.Failed {
			e.Exit = max(e.Exit, f.ExitCode)
			if worst == 0 || f.Outcome < worst {
				worst = f.Outcome
			}
		}
	}
	switch {
	case job.EndStage == wire.StageDone:
	case a.CancelReason != "":
		e.State = a.CancelReason
	case job.Cancelled:
		e.State = jobspec.Cancelled
	default:
		e.State = worst.AccountingState()
	}
	return e
}
