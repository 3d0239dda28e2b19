package jobstate

import (
	"slices"
)

const (
	Pessimism    = 1.3 // by which runs are taken to be longer than expected
	RestartTakes = 4   // seconds from a decision to a task's run, image included
)

// limits are the ages at which the job should be done.
func (s *State) Limits(job *Job) []float64 {
	if job.doneLimits == nil {
		job.doneLimits = []float64{}
		for _, aim := range s.Platform.Params.Objectives {
			switch {
			case aim.Class != job.Spec.Class:
			case aim.Kind == "finished":
				job.doneLimits = append(job.doneLimits, aim.WithinS)
			case aim.Kind == "deadline" && job.Spec.DueS != nil:
				job.doneLimits = append(job.doneLimits, *job.Spec.DueS*max(1, aim.Times))
			}
		}
		if job.Spec.DueS != nil {
			job.doneLimits = append(job.doneLimits, *job.Spec.DueS)
		}
	}
	return job.doneLimits
}

// firstLimit is the age, in seconds, by which a job should be done first; 0: none.
func (s *State) FirstLimit(job *Job) float64 {
	if l := s.Limits(job); len(l) > 0 {
		return slices.Min(l)
	}
	return 0
}
