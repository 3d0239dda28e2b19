package planner

import (
	"math"
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
)

const (
	// cordonedQueueWait is how long a task may wait on a cordoned worker for its grant.
	cordonedQueueWait = 3 * time.Second
	// minOccupiedS is the least number of seconds for which a cordoned worker must stay
	// occupied to take short tasks meanwhile.
	minOccupiedS = 15
)

// staysOccupied reports whether tasks that Evict doesn't stop occupy a cordoned worker for
// at least minOccupiedS, which is paid for in any case. It sets the worker's OccupiedFor.
func (p *Planner) staysOccupied(worker *jobstate.Worker) bool {
	worker.OccupiedS = 0
	for placement := range worker.Placements {
		if placement.Exited || !placement.FirstHaltAt.IsZero() || placement.RunningSince.IsZero() {
			continue
		}
		if _, ok := p.evictable(placement); ok {
			continue
		}
		leftS := placement.Job.RunEstimate() - p.state.Now.Sub(placement.RunningSince).Seconds()
		worker.OccupiedS = math.Max(worker.OccupiedS, leftS)
	}
	return worker.OccupiedS >= minOccupiedS
}
