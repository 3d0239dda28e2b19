package jobstate

import (
	"strconv"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// TaskOutcome is the outcome of a task that is over and did not complete. Records contain its
// number.
type TaskOutcome uint8

// Outcomes of a task; 0 stands for none.
const (
	OutcomeFailed    TaskOutcome = 1
	OutcomeTimedOut  TaskOutcome = 2
	OutcomeCancelled TaskOutcome = 3 // cancelled individually by its user
)

const (
	outcomeMask  = 3    // bits of a TaskOutcome
	exitCodeMask = 0xff // bits of an exit code
)

// String returns the name of the outcome for log messages.
func (o TaskOutcome) String() string {
	switch o {
	case 0:
		return "none"
	case OutcomeFailed:
		return "failed"
	case OutcomeTimedOut:
		return "timed out"
	case OutcomeCancelled:
		return "cancelled"
	}
	return "outcome " + strconv.Itoa(int(o))
}

// AccountingState returns Slurm's name for the outcome, or the name for a completed task if the
// outcome is 0.
func (o TaskOutcome) AccountingState() string {
	return [...]string{jobspec.Completed, jobspec.Failed, jobspec.Timeout, jobspec.Cancelled}[o&outcomeMask]
}

// TaskFailure is the outcome and the exit code of a task that is over and did not complete.
type TaskFailure struct {
	Outcome  TaskOutcome
	ExitCode int // 0 to 255
}

// Triple returns the failure as encoded in records: task, outcome, exit code.
func (f TaskFailure) Triple(task int) []uint64 {
	return []uint64{uint64(task), uint64(f.Outcome), uint64(f.ExitCode)}
}

// FinalOutcome returns the outcome of a task if the exit of the placement ends the task for
// good, or 0 if the task is to be retried. It also sets the placement's exit code.
func (j *Job) FinalOutcome(placement *Placement, task *dispatch.TaskView) TaskOutcome {
	if task.Exit != nil {
		placement.ExitCode = *task.Exit & exitCodeMask
	}
	switch {
	case j.Constraints == nil || j.Cancelled || placement.Chunk.IsOver(placement.Task):
		return 0
	case placement.TimedOut:
		return OutcomeTimedOut
	case j.Constraints.NoRetry && task.Cause == wire.CauseError && task.Exit != nil:
		return OutcomeFailed
	}
	return 0
}

// FailTask ends a placement's task, which is not retried.
func (s *State) FailTask(placement *Placement, outcome TaskOutcome) {
	placement.Chunk.SetFailed(placement.Task, uint64(outcome), uint64(placement.ExitCode))
	s.FinishTask(placement)
}

// StopOverTime stops the job's tasks that have run longer than its time limit.
func (s *State) StopOverTime(job *Job) {
	if job.Constraints == nil || job.Constraints.LimitS <= 0 || job.Cancelled {
		return
	}
	for _, placements := range job.Placements {
		for _, placement := range placements {
			if !placement.Exited && !placement.RunningSince.IsZero() && time.Since(placement.RunningSince).Seconds() > job.Constraints.LimitS {
				placement.TimedOut = true
				s.HaltTask(placement, 0)
			}
		}
	}
}

// EndStateOf returns how a job with constraints ended; nil for a job without constraints. The
// first call sets the end time; later calls do not change it.
func (s *State) EndStateOf(job *Job) *jobspec.Ending {
	constraints := job.Constraints
	if constraints == nil {
		return nil
	}
	if constraints.EndMs == 0 {
		constraints.EndMs = time.Now().UnixMilli()
	}
	end := &jobspec.Ending{
		Number: constraints.Number, State: jobspec.Completed, Failed: job.Finished - job.Done,
		StartMs: constraints.StartMs, EndMs: constraints.EndMs,
	}
	outcome, exitCode := job.worstFailure()
	end.ExitCode = exitCode
	switch {
	case job.EndStage == wire.StageDone:
	case constraints.CancelReason != "":
		end.State = constraints.CancelReason
	case job.Cancelled:
		end.State = jobspec.Cancelled
	default:
		end.State = outcome.AccountingState()
	}
	return end
}

// worstFailure returns the lowest-numbered outcome of the failed tasks, or 0 if no task failed,
// and their highest exit code.
func (j *Job) worstFailure() (outcome TaskOutcome, exitCode int) {
	for _, chunk := range j.Chunks {
		for _, failure := range chunk.Failed {
			exitCode = max(exitCode, failure.ExitCode)
			if outcome == 0 || failure.Outcome < outcome {
				outcome = failure.Outcome
			}
		}
	}
	return outcome, exitCode
}
