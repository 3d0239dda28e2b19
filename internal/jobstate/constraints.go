package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/jobspec"
)

// maxFaultyTasks is the number of a faulty job's tasks that may have placements at a time.
const maxFaultyTasks = 2

// ConstraintState is a job's constraints and what they depend on.
type ConstraintState struct {
	*jobspec.Constraints
	Outcomes          []jobspec.Outcome // by dependency
	DependencyOutcome jobspec.Outcome   // of all dependencies together
	QueriedAt         time.Time         // when other leaders were last queried about its dependencies
	StartMs           int64             // when its first task started, as far as this leader knows; 0: not yet
	EligibleMs        int64             // since when it waits for resources only; 0: not yet
	EndMs             int64             // when it ended; 0: not yet
}

// NewConstraintState returns the state of constraints of which no dependency was evaluated yet.
func NewConstraintState(constraints *jobspec.Constraints) *ConstraintState {
	state := &ConstraintState{Constraints: constraints, Outcomes: make([]jobspec.Outcome, len(constraints.Dependencies))}
	state.DependencyOutcome = constraints.Combine(state.Outcomes)
	return state
}

// RecordStart notes the start of a task; only the first call has an effect. The state may be
// nil: the job has no constraints.
func (c *ConstraintState) RecordStart(at time.Time) {
	if c != nil && c.StartMs == 0 {
		c.StartMs = at.UnixMilli()
	}
}

// WaitReason returns why no task of a job with constraints may start at that time, as one of
// the reasons of package jobspec, or "" if tasks may start. The job must have constraints.
func (s *State) WaitReason(job *Job, now time.Time) string {
	return job.Constraints.WaitReason(job.Constraints.DependencyOutcome, now.UnixMilli())
}

// NeedsFirstStart reports whether the job's first task is to be placed before all other work: a job
// of any priority and size has to begin in time, and one task costs the others little. Gangs
// and faulty jobs are left out.
func (s *State) NeedsFirstStart(job *Job) bool {
	return job.ObservedStarts == 0 && job.Done == 0 && !job.Spec.Gang() && len(job.Placements) == 0 && !job.Faulty &&
		s.Now.Sub(job.AcceptedAt) >= firstStartPriorityAge
}

// PlaceableTasks returns how many of the job's pending tasks may be placed in this pass: as
// many as WantedTasks, but only the first one of a job that must begin.
func (s *State) PlaceableTasks(job *Job) int {
	n := s.EligibleTasks(job)
	if n > 1 && s.NeedsFirstStart(job) {
		return 1 // the others follow by the job's priority
	}
	return n
}

// EligibleTasks returns how many of the job's pending tasks its constraints and its errors allow
// to start, as of State.Now.
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

// ConstraintsAllow reports whether a start of the task may be granted now under the job's
// constraints, which may have changed since the task was placed. The job must have constraints.
func (s *State) ConstraintsAllow(job *Job, task int) bool {
	if s.WaitReason(job, time.Now()) != "" {
		return false
	}
	limit := job.Constraints.MaxConcurrent
	return limit == 0 || job.ActiveTasks(true, task) < limit
}
