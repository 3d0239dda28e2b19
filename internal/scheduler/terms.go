package scheduler

import (
	"time"

	"github.com/wallrack/wallrack/internal/jobspec"
)

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
func (o *Scheduler) waits(j *Job, now time.Time) string {
	return j.Constraints.WaitReason(j.Constraints.DependencyOutcome, now.UnixMilli())
}

// room is how many of the job's waiting tasks may be placed now.
func (o *Scheduler) room(j *Job) int {
	n := o.wants(j)
	if n > 1 && o.first(j) {
		return 1 // the rest in its turn
	}
	return n
}

// wants is how many tasks of the job wait that its terms, and its faults, let start.
func (o *Scheduler) wants(j *Job) int {
	n := len(j.Pending)
	if j.Faulty {
		n = min(n, max(0, faultyTries-len(j.Placements)))
	}
	if j.Constraints == nil || n == 0 {
		return n
	}
	if o.waits(j, o.now) != "" {
		return 0
	}
	if j.Constraints.MaxConcurrent > 0 {
		n = min(n, j.Constraints.MaxConcurrent-j.ActiveTasks(false, -1))
	}
	return max(0, n)
}

// ActiveTasks counts the tasks, but one, that have a place, or one where they may be on.
func (j *Job) ActiveTasks(on bool, but int) int {
	n := 0
	for task, ps := range j.Placements {
		for _, p := range ps {
			if task != but && !p.Exited && (p.MayRun() || !on) {
				n++
				break
			}
		}
	}
	return n
}

// termsAllow checks at the grant what the job's terms ask.
func (o *Scheduler) termsAllow(j *Job, task int) bool {
	return o.waits(j, time.Now()) == "" && (j.Constraints.MaxConcurrent == 0 || j.ActiveTasks(true, task) < j.Constraints.MaxConcurrent)
}
