package planner

import (
	"math/rand/v2"

	"github.com/wallrack/wallrack/internal/jobstate"
)

const (
	fullSearch     = 64  // up to so many workers with room, every one is a candidate
	sampledWorkers = 512 // workers without the image that are looked at for a job, at most
	nearCandidates = fullSearch / 2
	idleCandidates = 2
)

// openWorkers lists the workers that may take work, in the order of their index.
func (p *Planner) openWorkers() []*jobstate.Worker {
	var open []*jobstate.Worker
	timeout := p.heartbeatTimeout()
	for _, worker := range p.state.WorkersByIndex {
		if worker == nil || worker.Removed || worker.Cordoned && !p.staysOccupied(worker) {
			continue
		}
		if worker.UnresponsiveSince.IsZero() && !worker.View.Draining && worker.NoticeAt.IsZero() &&
			len(worker.Matrix) > 0 && p.state.Now.Sub(worker.LastHeartbeat) < timeout {
			open = append(open, worker)
		}
	}
	return open
}

// imageRequirements is what a job requires of a worker that caches its image.
type imageRequirements struct {
	jobstate.Requirements
	image int
}

// resetRoom begins a pass: what had room in the last one may have none.
func (p *Planner) resetRoom() {
	clear(p.withRoom)
	clear(p.caching)
}

// workersWithRoom lists the workers where a task of the job may run and fits within the
// horizon, as of the first call in this pass for a job with the same requirements. Room
// only shrinks within a pass: estimate drops the workers that have none any more. Jobs
// alike share a list, so that the cost of a pass grows with the room and not with the
// workers times the jobs.
func (p *Planner) workersWithRoom(job *jobstate.Job, open []*jobstate.Worker) []*jobstate.Worker {
	key := job.Requirements()
	if known, ok := p.withRoom[key]; ok {
		return known
	}
	withRoom := []*jobstate.Worker{}
	for _, worker := range open {
		if p.state.Allowed(job, worker) && p.state.FitsLease(job, worker) && p.hasRoom(job, worker) {
			withRoom = append(withRoom, worker)
		}
	}
	p.withRoom[key] = withRoom
	return withRoom
}

// hasRoom reports whether a task of the job fits on the worker at some time within the
// horizon, for however short.
func (p *Planner) hasRoom(job *jobstate.Job, worker *jobstate.Worker) bool {
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

// workersCaching lists those of the workers with room for the job that have its image, as
// of the first call in this pass for such a job.
func (p *Planner) workersCaching(job *jobstate.Job, image int, withRoom []*jobstate.Worker) []*jobstate.Worker {
	key := imageRequirements{job.Requirements(), image}
	caching, known := p.caching[key]
	if !known {
		caching = []*jobstate.Worker{}
		for _, worker := range withRoom {
			if worker.Images[image] != nil {
				caching = append(caching, worker)
			}
		}
		p.caching[key] = caching
	}
	return caching
}

// candidates picks from the workers with room for a job those to be estimated. Where they
// are more than fullSearch, it takes workers that cache the image, then, from a random one
// on, workers in the zones of those and some with room now, of sampledWorkers at most.
func (p *Planner) candidates(job *jobstate.Job, withRoom []*jobstate.Worker) []*jobstate.Worker {
	if len(withRoom) <= fullSearch {
		return withRoom
	}
	image := p.state.Images.Of(job.Spec.Image)
	zones := map[string]bool{}
	picked := make([]*jobstate.Worker, 0, 2*fullSearch)
	caching := p.workersCaching(job, image, withRoom)
	for i, start := 0, rand.IntN(max(1, len(caching))); i < len(caching) && len(picked) < fullSearch; i++ {
		worker := caching[(start+i)%len(caching)]
		zones[worker.View.Zone] = true
		picked = append(picked, worker)
	}
	near, idle := 0, 0
	start := rand.IntN(len(withRoom))
	for i := 0; i < min(len(withRoom), sampledWorkers) && (near < nearCandidates || idle < idleCandidates); i++ {
		worker := withRoom[(start+i)%len(withRoom)]
		switch {
		case worker.Images[image] != nil:
		case near < nearCandidates && zones[worker.View.Zone]:
			near++
			picked = append(picked, worker)
		case idle < idleCandidates && job.Resources.Fits(worker.Matrix[0].Free):
			idle++
			picked = append(picked, worker)
		}
	}
	return picked
}
