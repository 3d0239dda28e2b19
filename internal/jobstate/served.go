package jobstate

import (
	"time"
)

const (
	beginBy   = 240 * time.Second // age by which every job is to have begun, the operators' limit
	beginFrom = beginBy / 2       // from which on its first task goes before all others
)

// Served counts the jobs of a class or team, or of a class's largest, that ended or
// are alive here, cancelled ones aside. Jobs that ended under a predecessor are not counted.
type Served struct {
	Offered int `json:"offered"`
	Begun   int `json:"begun"`         // their first task ran within beginBy, or all tasks of a gang
	InTime  int `json:"in_time"`       // done by their first limit
	Ended   int `json:"ended"`         // of those offered
	Waiting int `json:"waiting_begin"` // not begun yet, and not late with it either
}

// record counts a job that ended, or lives, into a class's or team's numbers.
func (s *Served) record(job *Job, ended bool, now time.Time, limit float64) {
	s.Offered++
	took := now.Sub(job.AcceptedAt)
	switch {
	case !job.BegunAt.IsZero() && job.BegunAt.Sub(job.AcceptedAt) <= beginBy:
		s.Begun++
	case job.BegunAt.IsZero() && took < beginBy:
		s.Waiting++
	}
	if ended {
		s.Ended++
		if limit <= 0 || took.Seconds() <= limit {
			s.InTime++
		}
	}
}

// Tally is Served of jobs that ended, by kind ("class", "largest", "team") and name.
type Tally map[[2]string]*Served

// servedNames bounds the classes and teams that are counted.
const servedNames = 1000

func (t Tally) Record(job *Job, ended bool, now time.Time, limit float64) {
	keys := [][2]string{{"class", job.Spec.Class}, {"team", job.Spec.Team}}
	if job.Large {
		keys = append(keys, [2]string{"largest", job.Spec.Class})
	}
	for _, k := range keys {
		s := t[k]
		if s == nil {
			if len(t) >= servedNames {
				continue
			}
			s = &Served{}
			t[k] = s
		}
		s.record(job, ended, now, limit)
	}
}
