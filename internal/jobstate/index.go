package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// forget drops a job from memory.
func (s *State) ForgetJob(uid string, job *Job) {
	for _, ps := range job.Placements {
		for _, placement := range ps {
			s.CountUse(placement, -1)
			delete(placement.Worker.Placements, placement)
		}
	}
	for _, chunk := range job.Chunks {
		chunk.Closed = true
	}
	delete(s.Jobs, uid)
	for i, x := range s.JobOrder {
		if x == job {
			s.JobOrder = append(s.JobOrder[:i], s.JobOrder[i+1:]...)
			break
		}
	}
}

// drop takes a place out of the books.
func (s *State) RemovePlacement(placement *Placement) {
	delete(placement.Worker.Placements, placement)
	placement.Chunk.Placements = remove(placement.Chunk.Placements, placement)
	if rest := remove(placement.Job.Placements[placement.Task], placement); len(rest) > 0 {
		placement.Job.Placements[placement.Task] = rest
	} else {
		delete(placement.Job.Placements, placement.Task)
	}
}

func (s *State) AddPlacement(placement *Placement) {
	placement.Ref = dispatch.TaskRef{Machine: placement.Worker.Name, Task: wire.TaskName(placement.Job.Spec.UID, placement.Task), Attempt: placement.Attempt}
	placement.Job.Placements[placement.Task] = append(placement.Job.Placements[placement.Task], placement)
	placement.Chunk.Placements = append(placement.Chunk.Placements, placement)
	placement.Worker.Placements[placement] = struct{}{}
}

// count adds what a place may use to its team and zone, or takes it off.
func (s *State) CountUse(placement *Placement, sign int) {
	if !placement.MayRun() {
		return
	}
	placement.Job.Team.Used = placement.Job.Team.Used.Add(placement.Job.Resources, float64(sign))
	if lent := placement.Job.Team.Leased; lent != nil {
		lent.Count(placement.Job.Shard, placement.Job.Resources, float64(sign))
	}
	if placement.Worker.View.Zone == "" {
		placement.Job.Unzoned += sign
		return
	}
	placement.Job.Zones[placement.Worker.View.Zone] += sign
}

// detach ends a place: the task is surely not on that machine, or never was.
func (s *State) EndPlacement(placement *Placement) {
	if _, ok := placement.Worker.Placements[placement]; !ok {
		return
	}
	s.CountUse(placement, -1)
	row := s.AttemptRow(placement)
	if !placement.RunningSince.IsZero() {
		placement.Job.Running--
	}
	s.RemovePlacement(placement)
	if len(placement.Job.Placements[placement.Task]) == 0 && !placement.Chunk.IsDone(placement.Task) {
		placement.Job.Pending = append(placement.Job.Pending, placement.Task)
	}
	if placement.InStore && !placement.Job.Cancelled && !placement.Chunk.IsDone(placement.Task) {
		// Not urgent: a new owner would only have to settle it.
		s.RecordChange(Change{Kind: PlacementRemoved, Placement: placement, Row: row})
	} else if row != nil {
		s.LooseRows = append(s.LooseRows, *row)
		Notify(s.WriteSignal)
	}
	s.FinishJob(placement.Job)
	Notify(s.PlanSignal)
}

func remove(ps []*Placement, placement *Placement) []*Placement {
	for i, x := range ps {
		if x == placement {
			out := append([]*Placement(nil), ps[:i]...)
			return append(out, ps[i+1:]...)
		}
	}
	return ps
}

// finish marks a job that has nothing left to do.
func (s *State) FinishJob(job *Job) {
	switch {
	case job.EndStage != "":
		return
	case job.Cancelled:
		if len(job.Placements) > 0 {
			return
		}
		job.EndStage = wire.StageCancelled
	case job.Done == job.Spec.Tasks:
		job.EndStage = wire.StageDone
	case job.Finished == job.Spec.Tasks:
		if len(job.Placements) > 0 {
			return // what was stopped may still be on
		}
		job.EndStage = wire.StageCancelled
	default:
		return
	}
	Notify(s.WriteSignal)
}

// taskOver ends a task that is done, or over for good, at a place of it.
func (s *State) FinishTask(placement *Placement) {
	job := placement.Job
	job.Finished++
	row := s.AttemptRow(placement)
	placement.Exited = true
	// Every other place of the task is needless now; the ones that were never
	// granted simply go.
	for _, q := range append([]*Placement(nil), job.Placements[placement.Task]...) {
		if q != placement && !q.MayRun() {
			s.WithdrawPlacement(q)
		}
	}
	// The place itself stays until the end is recorded: only then may the worker
	// forget it.
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

// clear ends the place of an exited task and lets its worker forget it.
func (s *State) ClearTask(placement *Placement) {
	s.EndPlacement(placement)
	d := s.InstructionsFor(placement.Worker.View.Holder)
	d.Clear = append(d.Clear, dispatch.Clear{TaskRef: placement.Ref, Token: placement.MaxToken})
	Notify(s.SendSignal)
}
