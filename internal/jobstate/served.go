package jobstate

import "time"

const (
	startDeadline   = 240 * time.Second // age by which every job is to have begun, as the operators require
	firstStartPriorityAge = startDeadline / 2       // age from which its first task is placed before all other work
)

// JobCounts counts the jobs of a class, of a class's largest or of a team that live here or ended
// under this leader. Cancelled jobs are not counted.
type JobCounts struct {
	Offered int `json:"offered"`       // all that are counted
	Started   int `json:"begun"`         // their first task ran within beginBy, or all tasks of a gang
	OnTime  int `json:"in_time"`       // ended by their first limit
	Ended   int `json:"ended"`         // of those offered
	Waiting int `json:"waiting_begin"` // not begun yet, and younger than beginBy
}

// count adds a job. Its limit is in seconds; 0: none.
func (s *JobCounts) count(job *Job, ended bool, now time.Time, limitS float64) {
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
		if limitS <= 0 || age.Seconds() <= limitS {
			s.OnTime++
		}
	}
}

// Tally is Served by kind ("class", "largest" or "team") and name.
type Tally map[[2]string]*JobCounts

// maxTallied bounds the classes and teams that are counted: their names come from users.
const maxTallied = 1000

// Record adds a job to the numbers of its class and its team. Its first limit is in seconds;
// 0: none. Names beyond a bound are not counted.
func (t Tally) Record(job *Job, ended bool, now time.Time, limitS float64) {
	keys := [][2]string{{"class", job.Spec.Class}, {"team", job.Spec.Team}}
	if job.Large {
		keys = append(keys, [2]string{"largest", job.Spec.Class})
	}
	for _, key := range keys {
		served := t[key]
		if served == nil {
			if len(t) >= maxTallied {
				continue
			}
			served = &JobCounts{}
			t[key] = served
		}
		served.count(job, ended, now, limitS)
	}
}
