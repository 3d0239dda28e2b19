package planner

import (
	"math"

	"github.com/wallrack/wallrack/internal/jobstate"
)

const (
	maxReservedTasks   = 24 // maximum number of tasks in a batch for which room is reserved
	reservationWindowS = 45 // room is reserved only if it becomes free within this many seconds
)

// reserveRoom reserves for this pass, for up to maxReservedTasks waiting tasks of the jobs, the
// resources that earliestRoom finds. Otherwise small tasks of lower priority fill every gap before it
// grows large enough.
func (p *Planner) reserveRoom(jobs []*jobstate.Job, schedulable []*jobstate.Worker) {
	budget := maxReservedTasks
	for _, job := range jobs {
		use := zoneUseOf(job)
		for n := min(p.state.PlaceableTasks(job), budget); n > 0; n-- {
			worker, waitS := p.earliestRoom(job, &use, schedulable)
			if worker == nil {
				break
			}
			use.Add(worker.View.Zone, 1)
			worker.Matrix = worker.Matrix.Reserve(job.Resources, waitS, job.OccupancyEstimate())
			worker.RoomReserved = true
			budget--
		}
	}
}

// earliestRoom returns the worker that has room for a task of the job first, and the seconds
// until then; nil if there is none within reservationWindowS. use counts the job's tasks that are
// placed or for which room is reserved: where its zone rule forbids the task, the room would only
// be kept from other jobs.
func (p *Planner) earliestRoom(job *jobstate.Job, use *jobstate.ZoneUse, schedulable []*jobstate.Worker) (earliest *jobstate.Worker, waitS float64) {
	waitS = math.Inf(1)
	runS := job.OccupancyEstimate()
	for _, worker := range schedulable {
		if worker.Cordoned || !p.state.AllowedOn(job, worker) || !p.state.FitsLease(job, worker) || use.Room(job.Spec, worker.View.Zone) == 0 {
			continue
		}
		if s := worker.Matrix.WaitWithin(job.Resources, runS, min(waitS, reservationWindowS)); s < waitS && s <= reservationWindowS {
			earliest, waitS = worker, s
		}
	}
	return earliest, waitS
}

// releaseReservedRoom undoes reserveRoom: it resets the workers' matrices to the published ones,
// less the resources of placements that the published ones do not include yet.
func (p *Planner) releaseReservedRoom(schedulable []*jobstate.Worker) {
	for _, worker := range schedulable {
		if worker.RoomReserved {
			worker.RoomReserved = false
			worker.Matrix = worker.View.Matrix
			p.state.ReserveUnreported(worker)
		}
	}
}
