package scheduler

import (
	"math"

	"github.com/wallrack/wallrack/internal/matching"
)

// gang places all waiting tasks of a gang, or none: the first would only wait
// on their machines for the last.
func (o *Scheduler) gang(j *Job, open []*Worker) {
	n := len(j.Pending)
	if len(j.Placements) > 0 {
		return // what is left of the last try goes first
	}
	if n == 0 || n > placesAtOnce || !o.roomInLimit(j, n) {
		return
	}
	zones := map[string]bool{"": true}
	if j.Spec.OneZone {
		clear(zones)
		for _, m := range open {
			zones[m.View.Zone] = true
		}
	}
	for zone := range zones {
		if picks := o.gangPicks(j, open, zone, n); picks != nil {
			// Workers let tasks of one attempt wait for each other.
			next := uint64(1)
			for _, c := range j.Chunks {
				next = max(next, c.NextAttempt)
			}
			for _, c := range j.Chunks {
				c.NextAttempt = next
			}
			for _, p := range picks {
				t := j.Pending[len(j.Pending)-1]
				j.Pending = j.Pending[:len(j.Pending)-1]
				o.put(j, t, p.worker, p.wait)
			}
			for _, c := range j.Chunks {
				c.NextAttempt++
			}
			return
		}
	}
}

type gangCandidate struct {
	worker *Worker
	wait   float64
}

// gangPicks finds a machine for each of n tasks, in one zone unless it is "".
func (o *Scheduler) gangPicks(j *Job, open []*Worker, zone string, n int) []gangCandidate {
	saved := map[*Worker]matching.WaitMatrix{}
	defer func() {
		for m, mx := range saved {
			m.Matrix = mx
		}
	}()
	there := map[string]int{}
	for _, ps := range j.Placements {
		for _, p := range ps {
			there[p.Worker.View.Zone]++
		}
	}
	var picks []gangCandidate
	for len(picks) < n {
		var best *Worker
		bestE := Estimate{cost: math.Inf(1)}
		for _, m := range open {
			z := m.View.Zone
			if zone != "" && z != zone || j.Spec.Spread && there[z]+1 > (j.Spec.Tasks+1)/2 || j.Spec.OneZone && !o.zoneFits(j, m) {
				continue
			}
			if e, ok := o.estimate(j, m); ok && e.wait <= o.op.HorizonS && e.cost < bestE.cost {
				best, bestE = m, e
			}
		}
		if best == nil {
			return nil
		}
		if _, ok := saved[best]; !ok {
			saved[best] = best.Matrix
		}
		run := j.RunEstimate() + bestE.fetch
		best.Matrix = best.Matrix.Reserve(j.Resources, bestE.wait, run)
		there[best.View.Zone]++
		picks = append(picks, gangCandidate{best, bestE.wait})
	}
	return picks
}
