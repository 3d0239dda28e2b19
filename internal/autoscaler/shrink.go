package autoscaler

import (
	"math"
	"sort"
	"time"

	"github.com/wallrack/wallrack/internal/planner"
)

// cordon chooses dear machines to close, the emptiest first, while there is more
// than what runs and the headroom need. Without it, work that could as well
// run elsewhere keeps every one of them from falling idle.
func (f *Autoscaler) cordon(now time.Time, demand []planner.Demand) map[string]bool {
	if now.Sub(f.ledAt) < settleFor {
		return nil // what runs is not known well yet
	}
	spare := -f.busy*(1+f.op.DearHeadPct/100) - f.keep()
	for i := range demand {
		spare -= demand[i].Shape.CPUs * float64(demand[i].Count)
	}
	var dear []*instance
	for name, b := range f.instances {
		t, ok := f.catalog.Type(b.offer.Type)
		if !ok || b.load == nil || f.sending[name] || b.load.Notice || now.Sub(b.heard) > seconds(f.op.SilentS) {
			continue
		}
		if !b.closing {
			spare += t.CPUs
		}
		if !b.offer.Spot && t.SpotPrice > 0 {
			dear = append(dear, b)
		}
	}
	fullness := func(b *instance) float64 {
		t, _ := f.catalog.Type(b.offer.Type)
		return b.load.Used.CPUs / max(1, t.CPUs)
	}
	sort.Slice(dear, func(i, j int) bool {
		if x, y := fullness(dear[i]), fullness(dear[j]); x != y {
			return x < y
		}
		return dear[i].name < dear[j].name
	})
	names := map[string]bool{}
	for _, b := range dear {
		if t, _ := f.catalog.Type(b.offer.Type); !b.closing && spare > t.CPUs {
			b.closing = true
			spare -= t.CPUs
		}
		if b.closing {
			names[b.name] = true
		}
	}
	return names
}

// rateWindow is the time over which arrivals are averaged.
const rateWindow = 40.0

// measure follows how many CPUs the arriving work keeps busy.
func (f *Autoscaler) measure(now time.Time, work float64) {
	if f.workAt.IsZero() || work < f.work {
		f.work, f.workAt = work, now
		return
	}
	dt := now.Sub(f.workAt).Seconds()
	if dt <= 0 {
		return
	}
	f.rate += (1 - math.Exp(-dt/rateWindow)) * ((work-f.work)/dt - f.rate)
	f.work, f.workAt = work, now
}

// keep is the capacity, in CPUs, that must not be returned although nothing runs
// on it.
func (f *Autoscaler) keep() float64 {
	if f.reservedCPUs == nil {
		return 0
	}
	return f.reservedCPUs()
}

// target is the capacity, in CPUs, to be kept.
func (f *Autoscaler) target() float64 {
	return max(f.busy, f.rate) * (1 + f.op.HeadroomPct/100)
}

// idle drains machines that have done nothing for a while, the dearest
// first, as long as the headroom stays; none of a kind that is wanted.
func (f *Autoscaler) idle(now time.Time, wants map[offer]int) {
	var have float64
	var idle []*instance
	wanted := map[bool]bool{}
	for o := range wants {
		wanted[o.Spot] = true
	}
	for name, b := range f.instances {
		if b.load == nil || f.sending[name] || now.Sub(b.heard) > seconds(f.op.SilentS) {
			continue
		}
		if t, ok := f.catalog.Type(b.offer.Type); ok {
			have += t.CPUs
		}
		if b.load.Places > 0 {
			b.idle = time.Time{}
			continue
		}
		if b.idle.IsZero() {
			b.idle = now
		}
		idle = append(idle, b)
	}
	perCPU := func(b *instance) float64 {
		t, _ := f.catalog.Type(b.offer.Type)
		return f.price(b.offer, t) / max(1, t.CPUs)
	}
	sort.Slice(idle, func(i, j int) bool {
		if pi, pj := perCPU(idle[i]), perCPU(idle[j]); pi != pj {
			return pi > pj
		}
		return idle[i].name < idle[j].name
	})
	cheapest := math.Inf(1)
	for _, t := range f.catalog.All() {
		cheapest = min(cheapest, min(t.SpotPrice, t.Price)/t.CPUs)
	}
	for _, b := range idle {
		t, _ := f.catalog.Type(b.offer.Type)
		// A closing machine gets no new work: waiting would only cost.
		if !b.closing && now.Sub(b.idle) < seconds(f.op.IdleS*cheapest/perCPU(b)) || now.Sub(b.hired) < (minimumS-5)*time.Second {
			continue
		}
		// The nearest number of machines to the target stays, so that the
		// last ones go too when nothing more comes. Dear machines are kept
		// for what runs, not for what may come: that can wait for them.
		target := f.target()
		if !b.offer.Spot && t.SpotPrice > 0 {
			target = f.busy * (1 + f.op.DearHeadPct/100)
		}
		target += f.keep()
		if !b.closing && (wanted[b.offer.Spot] || have-t.CPUs < target-t.CPUs/2) {
			continue
		}
		have -= t.CPUs
		if b.draining.IsZero() && f.dispatcher.Drain(b.name) {
			b.draining = now // returned by the next step
		}
	}
}
