package jobstate

import (
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// EndPlacement ends a placement whose task is proven not to be on its worker. The task becomes
// pending again if it is not over and has no other placement. It ignores a placement that has
// already ended.
func (s *State) EndPlacement(placement *Placement) {
	if _, ok := placement.Worker.Placements[placement]; !ok {
		return
	}
	job := placement.Job
	s.CountUse(placement, -1)
	row := s.attemptRow(placement)
	if !placement.RunningSince.IsZero() {
		job.Running--
	}
	s.RemovePlacement(placement)
	taskOver := placement.Chunk.IsOver(placement.Task)
	if len(job.Placements[placement.Task]) == 0 && !taskOver {
		job.Pending = append(job.Pending, placement.Task)
	}
	if placement.InStore && !job.Cancelled && !taskOver {
		// The writer is not notified: if this record is lost, a new leader only has to reconcile
		// the placement.
		s.RecordChange(Change{Kind: PlacementRemoved, Placement: placement, Row: row})
	} else if row != nil {
		s.StandaloneRows = append(s.StandaloneRows, *row)
		Notify(s.WriteSignal)
	}
	s.FinishJob(job)
	Notify(s.PlanSignal)
}

// FinishTask ends a task that has just completed, or is over for good, by one of its placements.
// The task's other placements are withdrawn unless they were granted. The placement itself
// remains until the end is recorded, because only then may the worker forget the task.
func (s *State) FinishTask(placement *Placement) {
	job := placement.Job
	job.Finished++
	row := s.attemptRow(placement)
	placement.Exited = true
	for _, other := range slices.Clone(job.Placements[placement.Task]) {
		if other != placement && !other.MayRun() {
			s.WithdrawPlacement(other)
		}
	}
	s.CountUse(placement, -1)
	if !placement.RunningSince.IsZero() {
		job.Running--
		placement.RunningSince = time.Time{}
	}
	placement.State = PlacementRecording
	s.RecordChange(Change{Kind: TaskFinished, Placement: placement, Row: row})
	Notify(s.WriteSignal)
	s.FinishJob(job)
}

// FinishJob sets the final stage of a job that has ended, for the writer to record: done once all
// its tasks are completed, otherwise cancelled once it has no placement and is cancelled or all its
// tasks are over. It does nothing if the stage is already set or neither holds.
func (s *State) FinishJob(job *Job) {
	placed := len(job.Placements) > 0 // halted tasks may still be running
	switch {
	case job.EndStage != "":
		return
	case !job.Cancelled && job.Done == job.Spec.Tasks:
		job.EndStage = wire.StageDone
	case !placed && (job.Cancelled || job.Finished == job.Spec.Tasks):
		job.EndStage = wire.StageCancelled
	default:
		return
	}
	Notify(s.WriteSignal)
}

// ForgetTask ends the placement of an exited task and instructs the worker to forget the task.
func (s *State) ForgetTask(placement *Placement) {
	s.EndPlacement(placement)
	instructions := s.InstructionsFor(placement.Worker.View.Dispatcher)
	instructions.Forget = append(instructions.Forget, dispatch.Forget{TaskRef: placement.Ref, MaxStartToken: placement.MaxToken})
	Notify(s.SendSignal)
}
