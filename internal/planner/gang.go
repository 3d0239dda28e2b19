package planner

import (
	"math"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

// gang places all waiting tasks of a gang, or none: the first would only wait
// on their machines for the last.
func (o *Planner) placeGang(job *jobstate.Job, open []*jobstate.Worker) {
	n := len(job.Pending)
	if len(job.Placements) > 0 {
		return // what is left of the last try goes first
	}
	if n == 0 || n > placesAtOnce || !o.roomInLimit(job, n) {
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
		if picks := o.gangPicks(job, open, zone, n); picks != nil {
			// Workers let tasks of one attempt wait for each other.
			next := uint64(1)
			for _, chunk := range job.Chunks {
				next = max(next, chunk.NextAttempt)
			}
			for _, chunk := range job.Chunks {
				chunk.NextAttempt = next
			}
			for _, p := range picks {
				t := job.Pending[len(job.Pending)-1]
				job.Pending = job.Pending[:len(job.Pending)-1]
				o.placeTask(job, t, p.worker, p.wait)
			}
			for _, chunk := range job.Chunks {
				chunk.NextAttempt++
			}
			return
		}
	}
}

type gangCandidate struct {
	worker *jobstate.Worker
	wait   float64
}

// gangPicks finds a machine for each of n tasks, in one zone unless it is "".
func (o *Planner) gangPicks(job *jobstate.Job, open []*jobstate.Worker, zone string, n int) []gangCandidate {
	saved := map[*jobstate.Worker]matching.WaitMatrix{}
	defer func() {
		for worker, mx := range saved {
			worker.Matrix = mx
		}
	}()
	there := map[string]int{}
	for _, ps := range job.Placements {
		for _, placement := range ps {
			there[placement.Worker.View.Zone]++
		}
	}
	var picks []gangCandidate
	for len(picks) < n {
		var best *jobstate.Worker
		bestE := Estimate{cost: math.Inf(1)}
		for _, worker := range open {
			z := worker.View.Zone
			if zone != "" && z != zone || job.Spec.Spread && there[z]+1 > (job.Spec.Tasks+1)/2 || job.Spec.OneZone && !o.zoneFits(job, worker) {
				continue
			}
			if e, ok := o.estimate(job, worker); ok && e.wait <= o.state.Operator.HorizonS && e.cost < bestE.cost {
				best, bestE = worker, e
			}
		}
		if best == nil {
			return nil
		}
		if _, ok := saved[best]; !ok {
			saved[best] = best.Matrix
		}
		run := job.RunEstimate() + bestE.fetch
		best.Matrix = best.Matrix.Reserve(job.Resources, bestE.wait, run)
		there[best.View.Zone]++
		picks = append(picks, gangCandidate{best, bestE.wait})
	}
	return picks
}
