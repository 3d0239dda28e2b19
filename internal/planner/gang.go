package planner

import (
	"math"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

// placeGang places all pending tasks of a gang, or none: the first ones would only hold
// their workers until the last one starts.
func (p *Planner) placeGang(job *jobstate.Job, open []*jobstate.Worker) {
	n := len(job.Pending)
	if len(job.Placements) > 0 {
		return // what is left of the last try goes first
	}
	if n == 0 || n > placementsPerPass || !p.queueFitsLimit(job, n) {
		return
	}
	zones := map[string]bool{"": true}
	if job.Spec.OneZone {
		clear(zones)
		for _, worker := range open {
			zones[worker.View.Zone] = true
		}
	}
	for zone := range zones {
		if members := p.matchGang(job, open, zone, n); members != nil {
			p.placeMembers(job, members)
			return
		}
	}
}

// placeMembers places a gang's pending tasks, all under one new attempt: by it workers let
// its tasks wait for each other.
func (p *Planner) placeMembers(job *jobstate.Job, members []gangMember) {
	attempt := uint64(1)
	for _, chunk := range job.Chunks {
		attempt = max(attempt, chunk.NextAttempt)
	}
	for _, chunk := range job.Chunks {
		chunk.NextAttempt = attempt
	}
	for _, member := range members {
		p.placePending(job, member.worker, member.waitS)
	}
	for _, chunk := range job.Chunks {
		chunk.NextAttempt++
	}
}

// gangMember is the worker for one task of a gang.
type gangMember struct {
	worker *jobstate.Worker
	waitS  float64
}

// matchGang finds a worker for each of n tasks, in one zone unless it is ""; nil if there
// are not enough. It leaves the workers' matrices as they are.
func (p *Planner) matchGang(job *jobstate.Job, open []*jobstate.Worker, zone string, n int) []gangMember {
	saved := map[*jobstate.Worker]matching.WaitMatrix{}
	defer func() {
		for worker, matrix := range saved {
			worker.Matrix = matrix
		}
	}()
	inZone := map[string]int{}
	for _, placements := range job.Placements {
		for _, placement := range placements {
			inZone[placement.Worker.View.Zone]++
		}
	}
	var members []gangMember
	for len(members) < n {
		worker, e := p.bestForGang(job, open, zone, inZone)
		if worker == nil {
			return nil
		}
		if _, ok := saved[worker]; !ok {
			saved[worker] = worker.Matrix
		}
		worker.Matrix = worker.Matrix.Reserve(job.Resources, e.waitS, job.RunEstimate()+e.fetchS)
		inZone[worker.View.Zone]++
		members = append(members, gangMember{worker, e.waitS})
	}
	return members
}

// bestForGang returns the worker of lowest cost, within the horizon and in the zone unless
// it is "", for one more task of a gang that has inZone tasks by zone; nil if there is none.
func (p *Planner) bestForGang(job *jobstate.Job, open []*jobstate.Worker, zone string, inZone map[string]int) (*jobstate.Worker, estimate) {
	var best *jobstate.Worker
	bestEstimate := estimate{cost: math.Inf(1)}
	for _, worker := range open {
		z := worker.View.Zone
		if zone != "" && z != zone || job.Spec.Spread && inZone[z]+1 > maxTasksInZone(job) || job.Spec.OneZone && !p.zoneFits(job, worker) {
			continue
		}
		if e, ok := p.estimate(job, worker); ok && e.waitS <= p.state.Operator.QueueHorizonS && e.cost < bestEstimate.cost {
			best, bestEstimate = worker, e
		}
	}
	return best, bestEstimate
}
