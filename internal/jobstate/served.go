package jobstate

import "time"

const (
	startDeadline         = 240 * time.Second // age by which every job must have started, as required by the operators
	firstStartPriorityAge = startDeadline / 2 // age from which a job's first task is placed before all other work
)

// JobCounts are numbers of jobs of a class, of the largest jobs of a class, or of a team. They
// cover the jobs that are live on this leader or ended under it, except cancelled ones.
type JobCounts struct {
	Offered int `json:"offered"`       // all counted jobs
	Started int `json:"begun"`         // jobs whose first task, or all of whose tasks for a gang, started within startDeadline
	OnTime  int `json:"in_time"`       // jobs that ended by their first deadline, or that have none
	Ended   int `json:"ended"`         // jobs that ended
	Waiting int `json:"waiting_begin"` // jobs that have not started and are younger than startDeadline
}

// count adds a job. deadlineS is its first deadline in seconds from acceptance; 0 if it has
// none.
func (s *JobCounts) count(job *Job, ended bool, now time.Time, deadlineS float64) {
	s.Offered++
	age := now.Sub(job.AcceptedAt)
	switch {
	case !job.StartedAt.IsZero() && job.StartedAt.Sub(job.AcceptedAt) <= startDeadline:
		s.Started++
	case job.StartedAt.IsZero() && age < startDeadline:
		s.Waiting++
	}
	if ended {
		s.Ended++
		if deadlineS <= 0 || age.Seconds() <= deadlineS {
			s.OnTime++
		}
	}
}

// Tally is JobCounts by kind ("class", "largest" or "team") and name.
type Tally map[[2]string]*JobCounts

// maxTallied is the maximum number of entries of a Tally, because users choose the names of
// classes and teams.
const maxTallied = 1000

// Record adds a job to the counts of its class and its team and, if it is one of the class's largest,
// to those of "largest". deadlineS is its first deadline in
// seconds from acceptance; 0 if it has none. New names beyond maxTallied entries are not
// counted.
func (t Tally) Record(job *Job, ended bool, now time.Time, deadlineS float64) {
	keys := [][2]string{{"class", job.Spec.Class}, {"team", job.Spec.Team}}
	if job.Large {
		keys = append(keys, [2]string{"largest", job.Spec.Class})
	}
	for _, key := range keys {
		counts := t[key]
		if counts == nil {
			if len(t) >= maxTallied {
				continue
			}
			counts = &JobCounts{}
			t[key] = counts
		}
		counts.count(job, ended, now, deadlineS)
	}
}
