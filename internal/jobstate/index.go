package jobstate

import (
	"slices"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// ForgetJob removes a job and its placements from memory. It records no change.
func (s *State) ForgetJob(uid string, job *Job) {
	for _, placements := range job.Placements {
		for _, placement := range placements {
			s.CountUse(placement, -1)
			delete(placement.Worker.Placements, placement)
		}
	}
	for _, chunk := range job.Chunks {
		chunk.Closed = true
	}
	delete(s.Jobs, uid)
	if i := slices.Index(s.JobOrder, job); i >= 0 {
		s.JobOrder = slices.Delete(s.JobOrder, i, i+1)
	}
}

// AddPlacement adds a placement to its job, its chunk and its worker, and sets its Ref. It does
// not count the use, because a new placement was not granted.
func (s *State) AddPlacement(placement *Placement) {
	job, chunk, worker := placement.Job, placement.Chunk, placement.Worker
	placement.Ref = dispatch.TaskRef{Worker: worker.Name, Task: wire.TaskName(job.Spec.UID, placement.Task), Attempt: placement.Attempt}
	job.Placements[placement.Task] = append(job.Placements[placement.Task], placement)
	chunk.Placements = append(chunk.Placements, placement)
	worker.Placements[placement] = struct{}{}
}

// RemovePlacement removes a placement from its job, its chunk and its worker, without the other
// effects of EndPlacement.
func (s *State) RemovePlacement(placement *Placement) {
	job, chunk := placement.Job, placement.Chunk
	delete(placement.Worker.Placements, placement)
	chunk.Placements = without(chunk.Placements, placement)
	if others := without(job.Placements[placement.Task], placement); len(others) > 0 {
		job.Placements[placement.Task] = others
	} else {
		delete(job.Placements, placement.Task)
	}
}

// without returns a copy of the placements without the given one, because callers may be ranging
// over the old slice.
func without(placements []*Placement, placement *Placement) []*Placement {
	i := slices.Index(placements, placement)
	if i < 0 {
		return placements
	}
	return slices.Concat(placements[:i], placements[i+1:])
}

// CountUse adds a placement's resources to the use of its team and zone (sign 1) or subtracts
// them (sign -1). A placement that may not run uses nothing, so each change of MayRun's result
// or of the worker's zone must be enclosed by a call with -1 before and a call with 1 after.
func (s *State) CountUse(placement *Placement, sign int) {
	if !placement.MayRun() {
		return
	}
	job := placement.Job
	job.Team.Used = job.Team.Used.Add(job.Resources, float64(sign))
	if leased := job.Team.Leased; leased != nil {
		leased.Count(job.Shard, job.Resources, float64(sign))
	}
	job.ZoneUse.Add(placement.Worker.View.Zone, sign)
}
