package planner

import (
	"math"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

// placeGang places all pending tasks of a gang, or none: a part of the gang would only occupy
// its workers until the last task starts. It places none while the previous attempt has placements,
// if there are more than maxPlacementsPerPass tasks, or if they would exceed the team's limit.
func (p *Planner) placeGang(job *jobstate.Job, schedulable []*jobstate.Worker) {
	n := len(job.Pending)
	if len(job.Placements) > 0 {
		return // placements of the previous attempt must end first
	}
	if n == 0 || n > maxPlacementsPerPass || !p.fitsLimitWithQueued(job, n) {
		return
	}
	zones := map[string]bool{"": true}
	if job.Spec.OneZone {
		clear(zones)
		for _, worker := range schedulable {
			zones[worker.View.Zone] = true
		}
	}
	for zone := range zones {
		if members := p.matchGang(job, schedulable, zone, n); members != nil {
			p.placeMembers(job, members)
			return
		}
	}
}

// placeMembers places a gang's pending tasks under one new attempt, by which workers recognize
// the tasks that must wait for one another.
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

// gangMember is the worker selected for one task of a gang.
type gangMember struct {
	worker *jobstate.Worker
	waitS  float64
}

// matchGang returns a worker for each of n tasks, all in the given zone unless it is ""; nil if
// there are not enough. It restores the workers' matrices before it returns.
func (p *Planner) matchGang(job *jobstate.Job, schedulable []*jobstate.Worker, zone string, n int) []gangMember {
	saved := map[*jobstate.Worker]matching.WaitMatrix{}
	defer func() {
		for worker, matrix := range saved {
			worker.Matrix = matrix
		}
	}()
	use := zoneUseOf(job)
	var members []gangMember
	for len(members) < n {
		worker, e := p.bestGangWorker(job, schedulable, zone, &use)
		if worker == nil {
			return nil
		}
		if _, ok := saved[worker]; !ok {
			saved[worker] = worker.Matrix
		}
		worker.Matrix = worker.Matrix.Reserve(job.Resources, e.waitS, job.RunEstimate()+e.fetchS)
		use.Add(worker.View.Zone, 1)
		members = append(members, gangMember{worker, e.waitS})
	}
	return members
}

// bestGangWorker returns the worker with the lowest cost for one more task of a gang, among
// those in the given zone, or in any if it is "", that can start it within QueueHorizonS; nil if
// there is none. use counts the gang's tasks for which a worker is selected.
func (p *Planner) bestGangWorker(job *jobstate.Job, schedulable []*jobstate.Worker, zone string, use *jobstate.ZoneUse) (*jobstate.Worker, estimate) {
	var best *jobstate.Worker
	bestEstimate := estimate{cost: math.Inf(1)}
	for _, worker := range schedulable {
		if zone != "" && worker.View.Zone != zone || use.Room(job.Spec, worker.View.Zone) == 0 {
			continue
		}
		if e, ok := p.estimate(job, worker); ok && e.waitS <= p.state.Operator.QueueHorizonS && e.cost < bestEstimate.cost {
			best, bestEstimate = worker, e
		}
	}
	return best, bestEstimate
}
