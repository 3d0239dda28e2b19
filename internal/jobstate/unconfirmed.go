package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/config"
)

// stageLag is by how much the stage that users are told of a job may lag.
const stageLag = 3 * time.Second

// CompareHeartbeat notes that a heartbeat of the worker was compared with the placement. An
// older one than users may be told of proves nothing: it may be from before the task began.
func (p *Placement) CompareHeartbeat(at time.Time) {
	if at.After(p.CreatedAt.Add(-stageLag)) {
		p.Compared = true
	}
}

// MayRunUnseen reports whether a task of the job may run that a predecessor started and that
// this leader has not seen: no heartbeat of its worker was compared with it since the
// failover, and the worker's lease may hold still.
func (s *State) MayRunUnseen(job *Job, now time.Time) bool {
	lease := config.Seconds(s.Platform.Params.Workers.MaxLeaseS())
	if !now.Before(s.LoadedAt.Add(lease)) {
		return false // all placements of predecessors were known by then
	}
	for _, placements := range job.Placements {
		for _, placement := range placements {
			if placement.State == PlacementUnconfirmed && !placement.Compared && !placement.Exited && now.Before(placement.CreatedAt.Add(lease)) {
				return true
			}
		}
	}
	return false
}
