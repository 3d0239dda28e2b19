package planner

import (
	"math"
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
)

const (
	// cordonedQueueWait is how long a placement on a cordoned worker may wait for its grant.
	cordonedQueueWait = 3 * time.Second
	// minOccupiedS is the minimum remaining time in seconds for which a cordoned worker must stay
	// occupied so that further short tasks may be placed on it.
	minOccupiedS = 15
)

// staysOccupied reports whether tasks that Evict does not stop will occupy a cordoned worker for
// at least minOccupiedS. The machine is paid for until those tasks end, so further short tasks
// may use it. It sets the worker's OccupiedS.
func (p *Planner) staysOccupied(worker *jobstate.Worker) bool {
	worker.OccupiedS = 0
	for placement := range worker.Placements {
		if placement.Exited || !placement.FirstHaltAt.IsZero() || placement.RunningSince.IsZero() {
			continue
		}
		if _, ok := p.evictable(placement); ok {
			continue
		}
		remainingS := placement.Job.OccupancyEstimate() - p.state.Now.Sub(placement.RunningSince).Seconds()
		worker.OccupiedS = math.Max(worker.OccupiedS, remainingS)
	}
	return worker.OccupiedS >= minOccupiedS
}
