package jobstate

import (
	"slices"

	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// CancelTasks marks the tasks that their user cancelled individually as over, and stops them.
// The outcome of tasks that are already over does not change. If the job is not in s.Jobs yet, the
// tasks are only marked.
func (s *State) CancelTasks(job *Job) {
	cancelled := s.markCancelledTasks(job)
	if cancelled == nil || s.Jobs[job.Spec.UID] != job {
		return // a job that is being admitted counts its finished tasks afterwards
	}
	job.Finished += len(cancelled)
	remaining := job.Pending[:0]
	for _, task := range job.Pending {
		if !cancelled[task] {
			remaining = append(remaining, task)
		}
	}
	job.Pending = remaining
	for task := range cancelled {
		for _, placement := range slices.Clone(job.Placements[task]) {
			s.HaltTask(placement, 0)
		}
	}
	s.FinishJob(job)
}

// markCancelledTasks records the outcome of the individually cancelled tasks that are not over
// yet, and returns them. It returns nil if no task was cancelled individually or their list is
// unreadable.
func (s *State) markCancelledTasks(job *Job) map[int]bool {
	if job.Constraints == nil || job.Constraints.CancelledTasks == "" {
		return nil
	}
	ranges, err := jobspec.ParseRanges(job.Constraints.CancelledTasks)
	if err != nil {
		s.log.Error("unreadable job constraints", "job", job.Spec.UID, "err", err)
		return nil
	}
	marked := map[int]bool{}
	for task := range ranges.All() {
		if task >= job.Spec.Tasks || job.ChunkOf(task).IsOver(task) {
			continue
		}
		job.ChunkOf(task).SetFailed(task, uint64(OutcomeCancelled), 0)
		marked[task] = true
	}
	return marked
}

// CancelJob stops all tasks of a job whose cancel the state service has recorded, and ends the
// job once no placement is left. Repeated calls have no effect.
func (s *State) CancelJob(job *Job) {
	if job.Cancelled {
		return
	}
	job.Cancelled, job.PendingCancels = true, PendingCancels{}
	if s.Cancellations != nil {
		s.Cancellations.RecordCancelled(job.Spec.UID)
	}
	if job.EndStage == wire.StageDone {
		job.EndStage = "" // the cancel was recorded before the job's end
	}
	for _, placements := range job.Placements {
		for _, placement := range slices.Clone(placements) {
			if placement.Exited {
				s.ForgetTask(placement) // the record of its exit is not needed: no task of the job starts again
			} else {
				s.HaltTask(placement, 0)
			}
		}
	}
	s.FinishJob(job)
}
