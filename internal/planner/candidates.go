package planner

import (
	"math/rand/v2"

	"github.com/wallrack/wallrack/internal/jobstate"
)

const (
	maxExhaustiveSearch = 64                      // if at most this many workers have room, all of them are candidates
	maxSampledWorkers   = 512                     // maximum number of workers examined per job beyond those that cache its image
	sameZoneCandidates  = maxExhaustiveSearch / 2 // maximum number of sampled candidates in the zones of workers that cache the image
	idleCandidates      = 2                       // maximum number of other sampled candidates, with room now
)

// schedulableWorkers returns the workers that may take tasks, in the order of their index.
func (p *Planner) schedulableWorkers() []*jobstate.Worker {
	var schedulable []*jobstate.Worker
	timeout := p.heartbeatTimeout()
	for _, worker := range p.state.WorkersByIndex {
		if worker == nil || worker.Removed || worker.Cordoned && !p.staysOccupied(worker) {
			continue
		}
		if worker.UnresponsiveSince.IsZero() && !worker.View.Draining && worker.ReclaimAt.IsZero() &&
			len(worker.Matrix) > 0 && p.state.Now.Sub(worker.LastHeartbeat) < timeout {
			schedulable = append(schedulable, worker)
		}
	}
	return schedulable
}

// imageRequirements are the requirements of a job for a worker that caches its image.
type imageRequirements struct {
	jobstate.Requirements
	image int
}

// resetCaches clears the lists of workers that the previous pass cached: their free resources may
// have changed.
func (p *Planner) resetCaches() {
	clear(p.roomCache)
	clear(p.imageCache)
}

// workersWithRoom returns the workers that may run a task of the job, have enough of their lease
// left, and have the resources free for it at some time within QueueHorizonS. The list is made
// once per pass for all jobs with the same requirements, so that not every job examines every
// worker. Resources only become scarcer within a pass, and estimate rejects workers that no longer
// have enough.
func (p *Planner) workersWithRoom(job *jobstate.Job, schedulable []*jobstate.Worker) []*jobstate.Worker {
	key := job.Requirements()
	if known, ok := p.roomCache[key]; ok {
		return known
	}
	withRoom := []*jobstate.Worker{}
	for _, worker := range schedulable {
		if p.state.AllowedOn(job, worker) && p.state.FitsLease(job, worker) && p.hasRoomWithinHorizon(job, worker) {
			withRoom = append(withRoom, worker)
		}
	}
	p.roomCache[key] = withRoom
	return withRoom
}

// hasRoomWithinHorizon reports whether the worker has the resources for a task of the job free at
// some time within QueueHorizonS of now, for however short a time.
func (p *Planner) hasRoomWithinHorizon(job *jobstate.Job, worker *jobstate.Worker) bool {
	horizonS := p.state.Operator.QueueHorizonS + p.state.Now.Sub(worker.ViewAt).Seconds()
	for _, row := range worker.Matrix {
		if row.WaitS > horizonS {
			return false
		}
		if job.Resources.Fits(row.Free) {
			return true
		}
	}
	return false
}

// workersWithImage returns those of workersWithRoom's workers that cache the job's image. The list
// is made once per pass for all jobs with the same requirements and image.
func (p *Planner) workersWithImage(job *jobstate.Job, image int, withRoom []*jobstate.Worker) []*jobstate.Worker {
	key := imageRequirements{job.Requirements(), image}
	caching, known := p.imageCache[key]
	if !known {
		caching = []*jobstate.Worker{}
		for _, worker := range withRoom {
			if worker.Images[image] != nil {
				caching = append(caching, worker)
			}
		}
		p.imageCache[key] = caching
	}
	return caching
}

// candidates selects the workers to estimate from those that workersWithRoom returned for a job. Up
// to maxExhaustiveSearch workers are all selected. From more, it selects workers that cache the image.
// Then it examines up to maxSampledWorkers workers from a random start, and selects some in the
// zones of the former and some on which a task of the job fits now.
func (p *Planner) candidates(job *jobstate.Job, withRoom []*jobstate.Worker) []*jobstate.Worker {
	if len(withRoom) <= maxExhaustiveSearch {
		return withRoom
	}
	image := p.state.Images.Of(job.Spec.Image)
	zones := map[string]bool{}
	picked := make([]*jobstate.Worker, 0, 2*maxExhaustiveSearch)
	caching := p.workersWithImage(job, image, withRoom)
	for i, start := 0, rand.IntN(max(1, len(caching))); i < len(caching) && len(picked) < maxExhaustiveSearch; i++ {
		worker := caching[(start+i)%len(caching)]
		zones[worker.View.Zone] = true
		picked = append(picked, worker)
	}
	near, idle := 0, 0
	start := rand.IntN(len(withRoom))
	for i := 0; i < min(len(withRoom), maxSampledWorkers) && (near < sameZoneCandidates || idle < idleCandidates); i++ {
		worker := withRoom[(start+i)%len(withRoom)]
		switch {
		case worker.Images[image] != nil:
		case near < sameZoneCandidates && zones[worker.View.Zone]:
			near++
			picked = append(picked, worker)
		case idle < idleCandidates && job.Resources.Fits(worker.Matrix[0].Free):
			idle++
			picked = append(picked, worker)
		}
	}
	return picked
}
