package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/jobspec"
)

const (
	faultyTries = 2 // tasks of such a job that are tried at a time
)

// first reports whether the job's first task is to go before all other work: a job of
// whatever priority or size has to begin in time, and one task takes next to nothing.
func (s *State) MustBegin(job *Job) bool {
	return job.Started == 0 && job.Done == 0 && !job.Spec.Gang() && len(job.Placements) == 0 && !job.Faulty &&
		s.Now.Sub(job.AcceptedAt) >= beginFrom
}

// ConstraintState is what a job's terms ask and what has become of it.
type ConstraintState struct {
	*jobspec.Constraints
	Outcomes          []jobspec.Outcome // of its dependencies
	DependencyOutcome jobspec.Outcome
	AskedAt           time.Time // when its dependencies were last asked about elsewhere
	StartMs           int64     // of its first task, as far as this owner knows
	EligibleMs        int64     // since when nothing but room keeps it from starting
	EndMs             int64
}

func NewConstraintState(t *jobspec.Constraints) *ConstraintState {
	a := &ConstraintState{Constraints: t, Outcomes: make([]jobspec.Outcome, len(t.Dependencies))}
	a.DependencyOutcome = t.Combine(a.Outcomes)
	return a
}

func (a *ConstraintState) RecordStart(t time.Time) {
	if a != nil && a.StartMs == 0 {
		a.StartMs = t.UnixMilli()
	}
}

// waits says why no task of a job with terms may start now, or "".
func (s *State) WaitReason(job *Job, now time.Time) string {
	return job.Constraints.WaitReason(job.Constraints.DependencyOutcome, now.UnixMilli())
}

// room is how many of the job's waiting tasks may be placed now.
func (s *State) PlaceableTasks(job *Job) int {
	n := s.WantedTasks(job)
	if n > 1 && s.MustBegin(job) {
		return 1 // the rest in its turn
	}
	return n
}

// wants is how many tasks of the job wait that its terms, and its faults, let start.
func (s *State) WantedTasks(job *Job) int {
	n := len(job.Pending)
	if job.Faulty {
		n = min(n, max(0, faultyTries-len(job.Placements)))
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

// termsAllow checks at the grant what the job's terms ask.
func (s *State) ConstraintsAllow(job *Job, task int) bool {
	return s.WaitReason(job, time.Now()) == "" && (job.Constraints.MaxConcurrent == 0 || job.ActiveTasks(true, task) < job.Constraints.MaxConcurrent)
}
