package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/config"
)

const (
	// workerResponseTimeout is how long a worker waits for the response to a heartbeat, by the operators' protocol.
	workerResponseTimeout = 4 * time.Second
	// workerRetryDelay is the time after which a worker without a response tries the next controller.
	workerRetryDelay = time.Second
	// reportIntervalStretch is the ratio of the longest time between two heartbeats to the mean.
	reportIntervalStretch = 1.25
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

// PresumedRunning reports whether the job is reported as running although this leader has observed no
// task of it: a task that a predecessor started may be running, and its worker has had the time to send a
// heartbeat since the failover. Users get an answer then even if one failover follows another.
func (s *State) PresumedRunning(job *Job, now time.Time) bool {
	return !job.Cancelled && job.Running == 0 && !now.Before(s.LoadedAt.Add(s.MaxStageUnknown())) && s.MayRunUnseen(job, now)
}

// MaxStageUnknown returns the longest time after a failover for which it is not reported whether a job
// is queued or running: one heartbeat without a response and the next one, at another controller.
func (s *State) MaxStageUnknown() time.Duration {
	interval := reportIntervalStretch * s.Platform.Params.Workers.ReportS
	return config.Seconds(interval) + workerResponseTimeout + workerRetryDelay
}
