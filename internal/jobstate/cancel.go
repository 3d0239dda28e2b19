package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// retermed takes the terms of a newer record of a job.
func (s *State) UpdateConstraints(job *Job, r *jobrecord.LiveRecord) {
	if r.Terms == nil || job.Constraints == nil {
		return
	}
	t := *r.Terms
	job.Constraints.Constraints = &t
	s.CancelTasks(job)
	if t.Held {
		for _, ps := range job.Placements {
			for _, placement := range append([]*Placement(nil), ps...) {
				if !placement.MayRun() && !placement.Exited {
					s.WithdrawPlacement(placement)
				}
			}
		}
	}
	Notify(s.PlanSignal)
}

// dropTasks marks the tasks that their user cancelled alone, and stops them.
func (s *State) CancelTasks(job *Job) {
	if job.Constraints == nil || job.Constraints.CancelledTasks == "" {
		return
	}
	r, err := jobspec.ParseRanges(job.Constraints.CancelledTasks)
	if err != nil {
		s.log.Error("unreadable terms of a job", "job", job.Spec.UID, "err", err)
		return
	}
	gone := map[int]bool{}
	for t := range r.All() {
		if t >= job.Spec.Tasks || job.Chunks[t/jobrecord.ChunkSize].IsDone(t) {
			continue
		}
		job.Chunks[t/jobrecord.ChunkSize].SetFailed(t, uint64(OutcomeCancelled), 0)
		gone[t] = true
	}
	if s.Jobs[job.Spec.UID] != job {
		return // being admitted: its tasks are counted after this
	}
	job.Finished += len(gone)
	left := job.Pending[:0]
	for _, t := range job.Pending {
		if !gone[t] {
			left = append(left, t)
		}
	}
	job.Pending = left
	for t := range gone {
		for _, placement := range append([]*Placement(nil), job.Placements[t]...) {
			s.HaltTask(placement, 0)
		}
	}
	s.FinishJob(job)
}

// takeRecord takes a newer living record of a job.
func (s *State) UpdateRecord(job *Job, r *jobrecord.LiveRecord, version uint64) {
	job.Version = max(job.Version, version)
	s.UpdateConstraints(job, r)
	if r.Cancelled {
		s.CancelJob(job)
	} else {
		job.PendingCancels.Supersede(version)
	}
}

// PendingCancels are the cancels of a job that were sent and may have been applied, or may be
// yet. While there are any, only the state service can tell what the job is.
type PendingCancels struct {
	writes     map[uint64]int // by the version of the job's record that they guard
	LastSentAt time.Time      // when the last one was sent
}

// RecordSent notes that a cancel which guards a version of the job's record is under way.
func (c *PendingCancels) RecordSent(version uint64, now time.Time) {
	if c.writes == nil {
		c.writes = map[uint64]int{}
	}
	c.writes[version]++
	c.LastSentAt = now
}

// RecordFailed notes that one that was sent was surely not applied and never will be. It may have
// been taken out before: by a newer record, or since another cancel was applied.
func (c *PendingCancels) RecordFailed(version uint64) {
	if c.writes[version] > 1 {
		c.writes[version]--
		return
	}
	delete(c.writes, version)
}

// Supersede notes that the job's record has a version, and is not cancelled: a version never
// comes back, so that all cancels which guard earlier ones have failed for ever.
func (c *PendingCancels) Supersede(version uint64) {
	for guarded := range c.writes {
		if guarded < version {
			delete(c.writes, guarded)
		}
	}
}

func (c *PendingCancels) Any() bool { return len(c.writes) > 0 }

// cancelLocked stops everything of a job whose cancel is recorded.
func (s *State) CancelJob(job *Job) {
	if job.Cancelled {
		return
	}
	job.Cancelled, job.PendingCancels = true, PendingCancels{}
	if s.Cancellations != nil {
		s.Cancellations.RecordCancelled(job.Spec.UID)
	}
	if job.EndStage == wire.StageDone {
		job.EndStage = "" // the cancel was recorded first
	}
	for _, ps := range job.Placements {
		for _, placement := range append([]*Placement(nil), ps...) {
			if placement.Exited {
				s.ClearTask(placement) // nothing of the job starts again
			} else {
				s.HaltTask(placement, 0)
			}
		}
	}
	s.FinishJob(job)
}
