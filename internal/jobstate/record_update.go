package jobstate

import (
	"slices"

	"github.com/wallrack/wallrack/internal/jobrecord"
)

// UpdateRecord applies a newer live record of a job with the given version.
func (s *State) UpdateRecord(job *Job, record *jobrecord.LiveRecord, version uint64) {
	job.Version = max(job.Version, version)
	s.updateConstraints(job, record)
	if record.Cancelled {
		s.CancelJob(job)
	} else {
		job.PendingCancels.supersede(version)
	}
}

// updateConstraints replaces a job's constraints with those of a newer record, and stops the tasks
// that these cancel individually. If the job is now held, its ungranted placements are withdrawn.
func (s *State) updateConstraints(job *Job, record *jobrecord.LiveRecord) {
	if record.Constraints == nil || job.Constraints == nil {
		return
	}
	constraints := *record.Constraints
	job.Constraints.Constraints = &constraints
	s.CancelTasks(job)
	if constraints.Held {
		s.withdrawUngranted(job)
	}
	Notify(s.PlanSignal)
}

func (s *State) withdrawUngranted(job *Job) {
	for _, placements := range job.Placements {
		for _, placement := range slices.Clone(placements) {
			if !placement.MayRun() && !placement.Exited {
				s.WithdrawPlacement(placement)
			}
		}
	}
}
