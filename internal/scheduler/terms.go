package scheduler

import (
	"time"

	"github.com/wallrack/wallrack/internal/jobspec"
)

// asked is what a job's terms ask and what has become of it.
type asked struct {
	*jobspec.Terms
	each     []jobspec.Outcome // of its dependencies
	deps     jobspec.Outcome
	looked   time.Time // when its dependencies were last asked about elsewhere
	startMs  int64     // of its first task, as far as this owner knows
	eligible int64     // since when nothing but room keeps it from starting
	endMs    int64
}

func newAsked(t *jobspec.Terms) *asked {
	a := &asked{Terms: t, each: make([]jobspec.Outcome, len(t.After))}
	a.deps = t.Join(a.each)
	return a
}

func (a *asked) startedAt(t time.Time) {
	if a != nil && a.startMs == 0 {
		a.startMs = t.UnixMilli()
	}
}

// waits says why no task of a job with terms may start now, or "".
func (o *Owner) waits(j *job, now time.Time) string {
	return j.asked.Waits(j.asked.deps, now.UnixMilli())
}

// room is how many of the job's waiting tasks may be placed now.
func (o *Owner) room(j *job) int {
	n := o.wants(j)
	if n > 1 && o.first(j) {
		return 1 // the rest in its turn
	}
	return n
}

// wants is how many tasks of the job wait that its terms, and its faults, let start.
func (o *Owner) wants(j *job) int {
	n := len(j.pending)
	if j.faulty {
		n = min(n, max(0, faultyTries-len(j.places)))
	}
	if j.asked == nil || n == 0 {
		return n
	}
	if o.waits(j, o.now) != "" {
		return 0
	}
	if j.asked.Most > 0 {
		n = min(n, j.asked.Most-j.busy(false, -1))
	}
	return max(0, n)
}

// busy counts the tasks, but one, that have a place, or one where they may be on.
func (j *job) busy(on bool, but int) int {
	n := 0
	for task, ps := range j.places {
		for _, p := range ps {
			if task != but && !p.exited && (p.on() || !on) {
				n++
				break
			}
		}
	}
	return n
}

// termsAllow checks at the grant what the job's terms ask.
func (o *Owner) termsAllow(j *job, task int) bool {
	return o.waits(j, time.Now()) == "" && (j.asked.Most == 0 || j.busy(true, task) < j.asked.Most)
}
