package slo

import (
	"fmt"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/scheduler"
)

// Kinds of objectives in the platform's settings.
const (
	kindWait     = "wait"     // all tasks start within a time
	kindFinished = "finished" // all tasks are done within a time
	kindDeadline = "deadline" // all tasks are done within a multiple of the job's own deadline
)

// isMissed reports whether a living job misses an objective now. A cancelled job misses none.
func isMissed(objective *config.Objective, job *scheduler.JobStatus) bool {
	if job.Cancelled || objective.Class != job.Class {
		return false
	}
	ageS := job.Age.Seconds()
	switch objective.Kind {
	case kindWait:
		return job.Started < job.Tasks && ageS > objective.WithinS
	case kindFinished:
		return ageS > objective.WithinS
	case kindDeadline:
		return job.DueS != nil && ageS > *job.DueS*max(objective.Times, 1)
	}
	return false
}

// describe describes a missed objective: page for on-call, message for support and sales.
func describe(objective *config.Objective, job *scheduler.JobStatus) (page, message string) {
	ageS := job.Age.Seconds()
	switch objective.Kind {
	case kindWait:
		return fmt.Sprintf("%d of %d tasks not started after %.0f s (aim %.0f s)", job.Tasks-job.Started, job.Tasks, ageS, objective.WithinS),
			fmt.Sprintf("Work of kind %q is starting later than usual. It is safe and will run; results may come late.", job.Class)
	case kindFinished:
		return fmt.Sprintf("%d of %d tasks done after %.0f s (aim %.0f s)", job.Done, job.Tasks, ageS, objective.WithinS),
			fmt.Sprintf("Results of kind %q are later than usual. Figures seen before they arrive may be out of date.", job.Class)
	default:
		return fmt.Sprintf("%d of %d tasks done %.0f s past the deadline", job.Done, job.Tasks, ageS-*job.DueS),
			fmt.Sprintf("Results of kind %q have missed their time. They are still being worked on.", job.Class)
	}
}
