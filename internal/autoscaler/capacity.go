package autoscaler

import (
	"math"
	"time"
)

const (
	// arrivalWindowS is the time over which arrivals are averaged.
	arrivalWindowS = 40.0
	// unknownBootS stands for the boot time while the machine types are unknown.
	unknownBootS = 30
)

// shortestBootS is how long the quickest machine type takes to boot, in seconds.
func (a *Autoscaler) shortestBootS() float64 {
	shortest := math.Inf(1)
	for _, t := range a.catalog.All() {
		shortest = min(shortest, t.BootS)
	}
	if math.IsInf(shortest, 1) {
		return unknownBootS
	}
	return shortest
}

// updateArrivals follows how many CPUs the arriving work keeps in use, given the sum of all
// work accepted, in CPU-seconds. Called with mu held.
func (a *Autoscaler) updateArrivals(now time.Time, admittedWork float64) {
	if a.admittedWorkAt.IsZero() || admittedWork < a.admittedWork {
		a.admittedWork, a.admittedWorkAt = admittedWork, now
		return
	}
	elapsedS := now.Sub(a.admittedWorkAt).Seconds()
	if elapsedS <= 0 {
		return
	}
	a.arrivalCPUs += (1 - math.Exp(-elapsedS/arrivalWindowS)) * ((admittedWork-a.admittedWork)/elapsedS - a.arrivalCPUs)
	a.admittedWork, a.admittedWorkAt = admittedWork, now
}

// targetCPUs is the capacity to be kept for what runs and what arrives.
func (a *Autoscaler) targetCPUs() float64 {
	return max(a.usedCPUs, a.arrivalCPUs) * (1 + a.op.HeadroomPct/100)
}

// onDemandTargetCPUs is the capacity to be kept of on-demand machines: for what runs, not for
// what may arrive, which can wait for them.
func (a *Autoscaler) onDemandTargetCPUs() float64 {
	return a.usedCPUs * (1 + a.op.OnDemandHeadroomPct/100)
}
