package scheduler

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// TaskOutcome a task ended that is over and not done, as records have it.
type TaskOutcome uint8

const (
	OutcomeFailed    TaskOutcome = 1
	OutcomeTimedOut  TaskOutcome = 2
	OutcomeCancelled TaskOutcome = 3 // alone, by its user
)

func (h TaskOutcome) AccountingState() string {
	return [...]string{jobspec.Completed, jobspec.Failed, jobspec.Timeout, jobspec.Cancelled}[h&3]
}

type TaskFailure struct {
	Outcome  TaskOutcome
	ExitCode int
}

func (f TaskFailure) Triple(task int) []uint64 {
	return []uint64{uint64(task), uint64(f.Outcome), uint64(f.ExitCode)}
}

// SetFailed marks a task as over and not done.
func (c *Chunk) SetFailed(task int, h, exit uint64) {
	c.SetDone(task)
	if c.Failed == nil {
		c.Failed = map[int]TaskFailure{}
	}
	c.Failed[task] = TaskFailure{TaskOutcome(h & 3), int(exit & 0xff)}
}

// FinalOutcome says how an exit ends its task for good, or 0.
func (j *Job) FinalOutcome(p *Placement, t *dispatch.TaskView) TaskOutcome {
	if t.Exit != nil {
		p.ExitCode = *t.Exit & 0xff
	}
	switch {
	case j.Constraints == nil || j.Cancelled || p.Chunk.IsDone(p.Task):
		return 0
	case p.TimedOut:
		return OutcomeTimedOut
	case j.Constraints.NoRetry && t.Cause == wire.CauseError && t.Exit != nil:
		return OutcomeFailed
	}
	return 0
}

// fail ends a task that will not be tried again.
func (o *Scheduler) fail(p *Placement, h TaskOutcome) {
	p.Chunk.SetFailed(p.Task, uint64(h), uint64(p.ExitCode))
	o.taskOver(p)
}

// overTime stops the tasks that run longer than their job's time limit.
func (o *Scheduler) overTime(j *Job) {
	if j.Constraints == nil || j.Constraints.LimitS <= 0 || j.Cancelled {
		return
	}
	for _, ps := range j.Placements {
		for _, p := range ps {
			if !p.Exited && !p.RunningSince.IsZero() && time.Since(p.RunningSince).Seconds() > j.Constraints.LimitS {
				p.TimedOut = true
				o.halt(p, 0)
			}
		}
	}
}

// ending is how a job with terms ended.
func (o *Scheduler) ending(j *Job) *jobspec.Ending {
	a := j.Constraints
	if a == nil {
		return nil
	}
	if a.EndMs == 0 {
		a.EndMs = time.Now().UnixMilli()
	}
	e := &jobspec.Ending{Number: a.Number, State: jobspec.Completed, Failed: j.Finished - j.Done, StartMs: a.StartMs, EndMs: a.EndMs}
	worst := TaskOutcome(0)
	for _, c := range j.Chunks {
		for _, f := range c.Failed {
			e.Exit = max(e.Exit, f.ExitCode)
			if worst == 0 || f.Outcome < worst {
				worst = f.Outcome
			}
		}
	}
	switch {
	case j.EndStage == wire.StageDone:
	case a.CancelReason != "":
		e.State = a.CancelReason
	case j.Cancelled:
		e.State = jobspec.Cancelled
	default:
		e.State = worst.AccountingState()
	}
	return e
}
