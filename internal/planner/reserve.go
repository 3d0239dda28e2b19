package planner

import (
	"math"

	"github.com/wallrack/wallrack/internal/jobstate"
)

const (
	maxReservedTasks  = 24 // tasks of a batch that room is reserved for, at most
	reservationWindowS = 45 // seconds from now within which room is reserved
)

// reserveRoom reserves, for this pass, the room that the jobs' waiting tasks would get
// first: else small tasks of lower priority fill every gap before it grows large enough.
func (p *Planner) reserveRoom(jobs []*jobstate.Job, open []*jobstate.Worker) {
	budget := maxReservedTasks
	for _, job := range jobs {
		for n := min(p.state.PlaceableTasks(job), budget); n > 0; n-- {
			worker, waitS := p.earliestRoom(job, open)
			if worker == nil {
				break
			}
			worker.Matrix = worker.Matrix.Reserve(job.Resources, waitS, job.RunEstimate())
			worker.RoomReserved = true
			budget--
		}
	}
}

// earliestRoom returns the worker with room for a task of the job soonest, and the seconds
// until then; nil if there is none within reserveWithinS.
func (p *Planner) earliestRoom(job *jobstate.Job, open []*jobstate.Worker) (soonest *jobstate.Worker, waitS float64) {
	waitS = math.Inf(1)
	runS := job.RunEstimate()
	for _, worker := range open {
		if worker.Cordoned || !p.state.AllowedOn(job, worker) || !p.state.FitsLease(job, worker) {
			continue
		}
		if s := worker.Matrix.WaitWithin(job.Resources, runS, min(waitS, reservationWindowS)); s < waitS && s <= reservationWindowS {
			soonest, waitS = worker, s
		}
	}
	return soonest, waitS
}

// releaseReservedRoom undoes reserveRoom: the workers' matrices are as published again,
// less what was placed since.
func (p *Planner) releaseReservedRoom(open []*jobstate.Worker) {
	for _, worker := range open {
		if worker.RoomReserved {
			worker.RoomReserved = false
			worker.Matrix = worker.View.Matrix
			p.state.ReserveUnreported(worker)
		}
	}
}
