package jobstate

import "slices"

// defaultDueS is the age in seconds at which a job without a due time counts as due.
const defaultDueS = 60

// Deadlines returns the times by which the job should be done, in seconds from its acceptance:
// those of its class's objectives and its own due time. The result is computed once and must not
// be modified.
func (s *State) Deadlines(job *Job) []float64 {
	if job.deadlines == nil {
		job.deadlines = []float64{}
		for _, objective := range s.Platform.Params.Objectives {
			switch {
			case objective.Class != job.Spec.Class:
			case objective.Kind == "finished":
				job.deadlines = append(job.deadlines, objective.WithinS)
			case objective.Kind == "deadline" && job.Spec.DueS != nil:
				job.deadlines = append(job.deadlines, *job.Spec.DueS*max(1, objective.Times))
			}
		}
		if job.Spec.DueS != nil {
			job.deadlines = append(job.deadlines, *job.Spec.DueS)
		}
	}
	return job.deadlines
}

// FirstDeadline returns the earliest of Deadlines; 0 if there is none.
func (s *State) FirstDeadline(job *Job) float64 {
	if deadlines := s.Deadlines(job); len(deadlines) > 0 {
		return slices.Min(deadlines)
	}
	return 0
}

// DueAt returns when the job is due, in seconds since 1970. A job without a due time counts as
// due a minute after its acceptance, so that older jobs come first.
func (j *Job) DueAt() float64 {
	at := float64(j.AcceptedMs) / 1000
	if j.Spec.DueS != nil {
		return at + *j.Spec.DueS
	}
	return at + defaultDueS
}
