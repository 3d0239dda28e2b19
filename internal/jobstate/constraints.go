package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/jobspec"
)

// maxFaultyTasks is the maximum number of tasks of a faulty job that may have placements at the
// same time.
const maxFaultyTasks = 2

// ConstraintState is a job's constraints and the state of their evaluation.
type ConstraintState struct {
	*jobspec.Constraints
	Outcomes          []jobspec.Outcome // outcomes of the dependencies, in their order
	DependencyOutcome jobspec.Outcome   // combined outcome of all dependencies
	QueriedAt         time.Time         // time of the last query to other leaders about the dependencies
	StartMs           int64             // start of the job's first task, as far as this leader knows; 0 if none has started
	EligibleMs        int64             // time since which the job waits for resources only; 0 if it does not yet
	EndMs             int64             // end of the job; 0 if it has not ended
}

// NewConstraintState returns the state of constraints whose dependencies have not been evaluated
// yet.
func NewConstraintState(constraints *jobspec.Constraints) *ConstraintState {
	state := &ConstraintState{Constraints: constraints, Outcomes: make([]jobspec.Outcome, len(constraints.Dependencies))}
	state.DependencyOutcome = constraints.Combine(state.Outcomes)
	return state
}

// RecordStart records the start of a task; only the first call has an effect. c may be nil for a
// job without constraints.
func (c *ConstraintState) RecordStart(at time.Time) {
	if c != nil && c.StartMs == 0 {
		c.StartMs = at.UnixMilli()
	}
}

// WaitReason returns why no task of the job may start at that time, as one of the reasons in
// package jobspec, or "" if tasks may start. The job must have constraints.
func (s *State) WaitReason(job *Job, now time.Time) string {
	return job.Constraints.WaitReason(job.Constraints.DependencyOutcome, now.UnixMilli())
}

// NeedsFirstStart reports whether the job's first task is to be placed before all other work:
// every job has to start in time, whatever its priority and size, and one task costs the other
// jobs little. Gangs and faulty jobs are excluded.
func (s *State) NeedsFirstStart(job *Job) bool {
	return job.ObservedStarts == 0 && job.Done == 0 && !job.Spec.Gang() && len(job.Placements) == 0 && !job.Faulty &&
		s.Now.Sub(job.AcceptedAt) >= firstStartPriorityAge
}

// PlaceableTasks returns how many of the job's pending tasks may be placed in this pass: all
// eligible tasks, but only one if the job needs its first start.
func (s *State) PlaceableTasks(job *Job) int {
	n := s.EligibleTasks(job)
	if n > 1 && s.NeedsFirstStart(job) {
		return 1 // the remaining tasks are placed by the job's priority
	}
	return n
}

// EligibleTasks returns how many of the job's pending tasks may start as of State.Now, given its
// constraints and whether it is faulty.
func (s *State) EligibleTasks(job *Job) int {
	n := len(job.Pending)
	if job.Faulty {
		n = min(n, max(0, maxFaultyTasks-len(job.Placements)))
	}
	if job.Constraints == nil || n == 0 {
		return n
	}
	if s.WaitReason(job, s.Now) != "" {
		return 0
	}
	if job.Constraints.MaxConcurrent > 0 {
		n = min(n, job.Constraints.MaxConcurrent-job.ActiveTasks(false, -1))
	}
	return max(0, n)
}

// ConstraintsAllow reports whether the start of the task may be granted now under the job's
// constraints, which may have changed after the task was placed. The job must have constraints.
func (s *State) ConstraintsAllow(job *Job, task int) bool {
	if s.WaitReason(job, time.Now()) != "" {
		return false
	}
	limit := job.Constraints.MaxConcurrent
	return limit == 0 || job.ActiveTasks(true, task) < limit
}
