package scheduler

import (
	"math"

	"github.com/wallrack/wallrack/internal/matching"
)

// gang places all waiting tasks of a gang, or none: the first would only wait
// on their machines for the last.
func (o *Owner) gang(j *job, open []*mach) {
	n := len(j.pending)
	if len(j.places) > 0 {
		return // what is left of the last try goes first
	}
	if n == 0 || n > placesAtOnce || !o.roomInLimit(j, n) {
		return
	}
	zones := map[string]bool{"": true}
	if j.spec.OneZone {
		clear(zones)
		for _, m := range open {
			zones[m.view.Zone] = true
		}
	}
	for zone := range zones {
		if picks := o.gangPicks(j, open, zone, n); picks != nil {
			// Workers let tasks of one attempt wait for each other.
			next := uint64(1)
			for _, c := range j.chunks {
				next = max(next, c.next)
			}
			for _, c := range j.chunks {
				c.next = next
			}
			for _, p := range picks {
				t := j.pending[len(j.pending)-1]
				j.pending = j.pending[:len(j.pending)-1]
				o.put(j, t, p.m, p.wait)
			}
			for _, c := range j.chunks {
				c.next++
			}
			return
		}
	}
}

type gangPick struct {
	m    *mach
	wait float64
}

// gangPicks finds a machine for each of n tasks, in one zone unless it is "".
func (o *Owner) gangPicks(j *job, open []*mach, zone string, n int) []gangPick {
	saved := map[*mach]matching.Matrix{}
	defer func() {
		for m, mx := range saved {
			m.matrix = mx
		}
	}()
	there := map[string]int{}
	for _, ps := range j.places {
		for _, p := range ps {
			there[p.mach.view.Zone]++
		}
	}
	var picks []gangPick
	for len(picks) < n {
		var best *mach
		bestE := estimate{cost: math.Inf(1)}
		for _, m := range open {
			z := m.view.Zone
			if zone != "" && z != zone || j.spec.Spread && there[z]+1 > (j.spec.Tasks+1)/2 || j.spec.OneZone && !o.zoneFits(j, m) {
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
			saved[best] = best.matrix
		}
		run := j.runEstimate() + bestE.fetch
		best.matrix = best.matrix.Reserve(j.shape, bestE.wait, run)
		there[best.view.Zone]++
		picks = append(picks, gangPick{best, bestE.wait})
	}
	return picks
}
