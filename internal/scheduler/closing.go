package scheduler

import (
	"math"
	"time"
)

const (
	// closingQueueWait is how long a task may wait on a closing machine for its grant.
	closingQueueWait = 3 * time.Second
	// minOccupied is the least number of seconds for which a closing machine must stay
	// occupied to take short tasks meanwhile.
	minOccupied = 15
	// shortTaskShare is the share of that time that such a task may take, its image's
	// transfer included.
	shortTaskShare = 0.8
)

// staysOccupied reports whether tasks that evacuate doesn't stop occupy a closing machine
// for at least minOccupied seconds, which are paid for in any case, and notes for how long.
func (o *Scheduler) staysOccupied(m *Worker) bool {
	m.OccupiedFor = 0
	for p := range m.Placements {
		if p.Exited || !p.HaltedAt.IsZero() || p.RunningSince.IsZero() {
			continue
		}
		if _, stoppable := o.evacuable(p); stoppable {
			continue
		}
		left := p.Job.RunEstimate() - o.now.Sub(p.RunningSince).Seconds()
		m.OccupiedFor = math.Max(m.OccupiedFor, left)
	}
	return m.OccupiedFor >= minOccupied
}

// EndsWhileOccupied reports whether a task that takes so many seconds, fetch included, ends
// on a closing machine early enough not to delay the machine's return.
func (m *Worker) EndsWhileOccupied(seconds float64) bool {
	return seconds <= shortTaskShare*m.OccupiedFor
}
