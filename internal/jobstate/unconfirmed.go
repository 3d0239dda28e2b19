package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/config"
)

// stageLag is the maximum delay with which a job's stage is reported to users.
const stageLag = 3 * time.Second

// MarkCompared records that a heartbeat which arrived at that time was compared with the
// placement. A heartbeat that arrived stageLag or more before the placement was created is
// ignored, because it may have been sent before the task started.
func (p *Placement) MarkCompared(at time.Time) {
	if at.After(p.CreatedAt.Add(-stageLag)) {
		p.Compared = true
	}
}

// MayRunUnseen reports whether a task of the job that a predecessor started may be running
// without this leader having observed it: no heartbeat of its worker has been compared with the
// placement since the failover, and the worker's lease may still be valid.
func (s *State) MayRunUnseen(job *Job, now time.Time) bool {
	lease := config.Seconds(s.Platform.Params.Workers.MaxLeaseS())
	if !now.Before(s.LoadedAt.Add(lease)) {
		return false // every lease from before the failover has expired
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
