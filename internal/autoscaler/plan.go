package autoscaler

import (
	"math"
	"sort"
	"time"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/wire"
)

// sim is a machine in the plan: one that is up, one that boots, or one to be
// rented.
type sim struct {
	offer  offer
	matrix matching.WaitMatrix
	boot   float64
	box    *instance
}

func (f *Autoscaler) fits(d *planner.Demand, o offer) bool {
	if o.Spot && !d.Job.Spot || d.Job.Zone != nil && *d.Job.Zone != o.Zone {
		return false
	}
	if d.Job.Types == nil {
		return true
	}
	for _, t := range d.Job.Types {
		if t == o.Type {
			return true
		}
	}
	return false
}

// plan simulates the waiting work on what there is, and returns what to rent
// for the work that would wait longer than a new machine takes to boot, and
// the offers in the order in which they are needed.
func (f *Autoscaler) plan(now time.Time, demand []planner.Demand) (wants map[offer]int, first []offer) {
	var sims, closing []*sim
	for name, b := range f.instances {
		if f.sending[name] || !b.draining.IsZero() || b.load != nil && (b.load.Notice || b.load.Faulty) {
			continue
		}
		t, ok := f.catalog.Type(b.offer.Type)
		if !ok {
			continue
		}
		switch {
		case b.load != nil && len(b.load.Matrix) > 0 && now.Sub(b.heard) < seconds(f.op.SilentS):
			s := &sim{offer: b.offer, matrix: b.load.Matrix, box: b}
			if b.closing {
				closing = append(closing, s)
			} else {
				sims = append(sims, s)
			}
		case b.heard.IsZero() && b.stage != wire.MachineFailed:
			left := bootLeft(t.BootS, now.Sub(b.hired).Seconds())
			sims = append(sims, &sim{offer: b.offer, matrix: matching.WaitMatrix{{Wait: 0, Free: ResourcesOf(t)}}, boot: left})
		}
	}
	for _, h := range f.provisions {
		if t, ok := f.catalog.Type(h.req.Type); ok {
			for i := 0; i < h.req.Number; i++ {
				sims = append(sims, &sim{offer: offer{h.req.Type, h.req.Zone, h.req.Spot}, matrix: matching.WaitMatrix{{Wait: 0, Free: ResourcesOf(t)}}, boot: t.BootS})
			}
		}
	}
	offers := f.offers(now)
	wants = map[offer]int{}
	boot := f.boot()
	for i := range demand {
		d := &demand[i]
		if d.Job.Gang() || d.Job.Service() {
			// Its tasks run side by side: none can wait for another to end.
			d.Run = forever
		}
		// Spot machines are cheap: they are rented for what would wait for
		// about as long as they take to come up. Ordinary ones only for
		// what would be late without them.
		for _, spot := range []bool{true, false} {
			patience := min(boot, d.Slack)
			if !spot {
				patience = max(boot, d.Slack/2)
			}
			n := f.fill(d, sims, patience, !spot)
			if !spot {
				sims, closing, n = f.reopen(d, sims, closing, n, patience)
			}
			for n > 0 {
				o, t, ok := f.best(d, n, offers, wants, spot)
				if !ok {
					break
				}
				if wants[o]++; wants[o] == 1 {
					first = append(first, o)
				}
				s := &sim{offer: o, matrix: matching.WaitMatrix{{Wait: 0, Free: ResourcesOf(t)}}, boot: t.BootS}
				sims = append(sims, s)
				left := f.fillOne(d, s, n, patience+t.BootS)
				if left == n {
					break
				}
				n = left
			}
			d.Count = n
			if n == 0 {
				break
			}
		}
	}
	// With nothing waiting and much unused, arrivals are dying down.
	if len(demand) > 0 || f.busy > 0.7*f.capacity(sims) {
		first = f.headroom(sims, offers, wants, first)
	}
	return wants, first
}

// reopen lets closing machines take work again before others are rented.
func (f *Autoscaler) reopen(d *planner.Demand, sims, closing []*sim, n int, patience float64) (open, rest []*sim, left int) {
	for _, s := range closing {
		if n > 0 && f.fits(d, s.offer) {
			if left := f.fillOne(d, s, n, patience); left < n {
				n, s.box.closing = left, false
				sims = append(sims, s)
				continue
			}
		}
		rest = append(rest, s)
	}
	return sims, rest, n
}

// usually is how many times its type's figure a machine takes to boot at most, if
// nothing is wrong with it.
const usually = 1.5

// bootLeft is how much longer a machine that has booted for so long will take, in
// seconds. One that is up later than machines usually are may take several times
// as long, or never come: work that can't wait as long again rents another.
func bootLeft(boot, elapsed float64) float64 {
	if elapsed > usually*boot {
		return elapsed
	}
	return max(3, boot-elapsed)
}

// forever is longer than any plan looks ahead.
const forever = 1e6

// boot is how long the quickest machine type takes to come up.
func (f *Autoscaler) boot() float64 {
	boot := math.Inf(1)
	for _, t := range f.catalog.All() {
		boot = min(boot, t.BootS)
	}
	if math.IsInf(boot, 1) {
		boot = 30
	}
	return boot
}

// fill puts waiting work on what there is. late says that a machine that
// still boots is no excuse for a longer wait.
func (f *Autoscaler) fill(d *planner.Demand, sims []*sim, patience float64, late bool) int {
	n := d.Count
	for _, s := range sims {
		if n == 0 {
			break
		}
		if f.fits(d, s.offer) {
			limit := patience
			if !late {
				limit = max(limit, s.boot+5)
			}
			n = f.fillOne(d, s, n, limit)
		}
	}
	return n
}

// fillOne puts up to n tasks on a machine, all that can start together at a time:
// an array of 25,000 small tasks, taken one by one, held a small controller's
// processor for two seconds of every plan, and nothing else was done.
func (f *Autoscaler) fillOne(d *planner.Demand, s *sim, n int, patience float64) int {
	for n > 0 {
		w := s.matrix.WaitWithin(d.Shape, d.Run, patience-s.boot)
		if s.boot+w > patience {
			break
		}
		k := max(1, s.matrix.CountFitting(d.Shape, w, d.Run, n))
		s.matrix = s.matrix.Reserve(d.Shape.Scale(float64(k)), w, d.Run)
		n -= k
	}
	return n
}

// held counts the machines by kind.
func (f *Autoscaler) held() map[offer]int {
	n := map[offer]int{}
	for name, b := range f.instances {
		if !f.sending[name] {
			n[b.offer]++
		}
	}
	return n
}

// refuse notes that no more of an offer is to be had: asking again is a waste
// of the cloud's budget unless machines of it were lost or returned since.
func (f *Autoscaler) refuse(o offer) { f.refused[o] = refusal{time.Now(), f.held()[o]} }

// offers lists what may be rented now.
func (f *Autoscaler) offers(now time.Time) []offer {
	var out []offer
	held := f.held()
	for _, t := range f.catalog.All() {
		for _, z := range t.Zones {
			for _, spot := range []bool{true, false} {
				o := offer{t.Name, z, spot}
				if r, ok := f.refused[o]; !ok || now.Sub(r.at) > refusedLong || now.Sub(r.at) > refusedPause && held[o] < r.held {
					out = append(out, o)
				}
			}
		}
	}
	sort.Slice(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.Type != b.Type {
			return a.Type < b.Type
		}
		if a.Zone != b.Zone {
			return a.Zone < b.Zone
		}
		return a.Spot && !b.Spot
	})
	return out
}

func (f *Autoscaler) price(o offer, t wire.MachineType) float64 {
	if o.Spot {
		return t.SpotPrice
	}
	return t.Price
}

// best is the offer at which the waiting tasks cost least: the price of a
// machine by the tasks that it would run.
func (f *Autoscaler) best(d *planner.Demand, n int, offers []offer, wants map[offer]int, spot bool) (offer, wire.MachineType, bool) {
	var best offer
	var bestT wire.MachineType
	cost := math.Inf(1)
	for _, o := range offers {
		t, ok := f.catalog.Type(o.Type)
		if !ok || o.Spot != spot || wants[o] >= maxProvision*f.inFlight() || !f.fits(d, o) || !d.Shape.Fits(ResourcesOf(t)) {
			continue
		}
		k := tasksIn(d.Shape, ResourcesOf(t))
		// A machine much larger than the work is mostly idle, but the
		// rest of it serves what comes next.
		used := min(float64(k), float64(n))
		c := f.price(o, t) / (0.5*used + 0.5*float64(k))
		w := float64(wants[o])
		c *= 1 + 0.1*t.BootS/minimumS + w/(w+maxProvision)
		if c < cost {
			best, bestT, cost = o, t, c
		}
	}
	return best, bestT, !math.IsInf(cost, 1)
}

// tasksIn is how many tasks a machine of that size runs side by side, at least one.
func tasksIn(s, size matching.Resources) int { return max(1, s.CountFitting(size, 1e6)) }

// capacity is the CPUs of all machines in the plan.
func (f *Autoscaler) capacity(sims []*sim) float64 {
	have := 0.0
	for _, s := range sims {
		if t, ok := f.catalog.Type(s.offer.Type); ok {
			have += t.CPUs
		}
	}
	return have
}

// headroom rents spot machines ahead of the demand, up to the target.
func (f *Autoscaler) headroom(sims []*sim, offers []offer, wants map[offer]int, first []offer) []offer {
	have := f.capacity(sims)
	for have < f.target() {
		missing := f.target() - have
		var best offer
		var size, cost float64 = 0, math.Inf(1)
		for _, o := range offers {
			t, ok := f.catalog.Type(o.Type)
			if ok && o.Spot && t.GPUs == 0 && t.CPUs <= 2*missing && t.SpotPrice/t.CPUs < cost {
				best, size, cost = o, t.CPUs, t.SpotPrice/t.CPUs
			}
		}
		if size == 0 || wants[best] >= maxProvision*f.inFlight() {
			break
		}
		if wants[best]++; wants[best] == 1 {
			first = append(first, best)
		}
		have += size
	}
	return first
}
