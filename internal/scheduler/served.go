package scheduler

import (
	"slices"
	"time"
)

const (
	sizesKept = 128               // jobs of a class by which its largest are told
	largestOf = 10                // one in so many jobs of a class counts as one of its largest
	beginBy   = 240 * time.Second // age by which every job is to have begun, the operators' limit
	beginFrom = beginBy / 2       // from which on its first task goes before all others
)

// Sizes are the sizes, in CPUs of all tasks, of a class's last jobs.
type Sizes struct {
	last []float64
	next int
}

// Add notes a job's size and tells whether it is one of the class's largest: of
// several of one size the first is.
func (s *Sizes) Add(size float64) (large bool) {
	above := 0
	for _, x := range s.last {
		if x >= size {
			above++
		}
	}
	large = above*largestOf < len(s.last)+1
	if len(s.last) < sizesKept {
		s.last = append(s.last, size)
	} else {
		s.last[s.next] = size
		s.next = (s.next + 1) % sizesKept
	}
	return large
}

// RecordBegin notes that a task of the job was seen to run, or to have run.
func (j *Job) RecordBegin(at time.Time) {
	if j.BegunAt.IsZero() && (!j.Spec.Gang() || j.Started >= j.Spec.Tasks) {
		j.BegunAt = at
	}
}

// first reports whether the job's first task is to go before all other work: a job of
// whatever priority or size has to begin in time, and one task takes next to nothing.
func (o *Scheduler) first(j *Job) bool {
	return j.Started == 0 && j.Done == 0 && !j.Spec.Gang() && len(j.Placements) == 0 && !j.Faulty &&
		o.now.Sub(j.AcceptedAt) >= beginFrom
}

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
func (s *Served) record(j *Job, ended bool, now time.Time, limit float64) {
	s.Offered++
	took := now.Sub(j.AcceptedAt)
	switch {
	case !j.BegunAt.IsZero() && j.BegunAt.Sub(j.AcceptedAt) <= beginBy:
		s.Begun++
	case j.BegunAt.IsZero() && took < beginBy:
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

func (t Tally) Record(j *Job, ended bool, now time.Time, limit float64) {
	keys := [][2]string{{"class", j.Spec.Class}, {"team", j.Spec.Team}}
	if j.Large {
		keys = append(keys, [2]string{"largest", j.Spec.Class})
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
		s.record(j, ended, now, limit)
	}
}

// firstLimit is the age, in seconds, by which a job should be done first; 0: none.
func (o *Scheduler) firstLimit(j *Job) float64 {
	if l := o.limits(j); len(l) > 0 {
		return slices.Min(l)
	}
	return 0
}

// Served returns, by kind and name, how jobs are served.
func (o *Scheduler) Served() map[string]map[string]Served {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	sum := Tally{}
	for k, s := range o.over {
		c := *s
		sum[k] = &c
	}
	for _, j := range o.order {
		if !j.Cancelled {
			sum.Record(j, false, now, o.firstLimit(j))
		}
	}
	out := map[string]map[string]Served{}
	for k, s := range sum {
		if out[k[0]] == nil {
			out[k[0]] = map[string]Served{}
		}
		out[k[0]][k[1]] = *s
	}
	return out
}
