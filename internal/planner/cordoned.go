package planner

import (
	"math"
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
)

const (
	// closingQueueWait is how long a task may wait on a closing machine for its grant.
	closingQueueWait = 3 * time.Second
	// minOccupied is the least number of seconds for which a closing machine must stay
	// occupied to take short tasks meanwhile.
	minOccupied = 15
)

// staysOccupied reports whether tasks that evacuate doesn't stop occupy a closing machine
// for at least minOccupied seconds, which are paid for in any case, and notes for how long.
func (o *Planner) staysOccupied(worker *jobstate.Worker) bool {
	worker.OccupiedFor = 0
	for placement := range worker.Placements {
		if placement.Exited || !placement.HaltedAt.IsZero() || placement.RunningSince.IsZero() {
			continue
		}
		if _, stoppable := o.evictable(placement); stoppable {
			continue
		}
		left := placement.Job.RunEstimate() - o.state.Now.Sub(placement.RunningSince).Seconds()
		worker.OccupiedFor = math.Max(worker.OccupiedFor, left)
	}
	return worker.OccupiedFor >= minOccupied
}
