package autoscaler

import (
	"math"
	"time"
)

const (
	// arrivalWindowS is the time constant of the average of arriving work, in seconds.
	arrivalWindowS = 40.0
	// unknownBootS is the boot time, in seconds, assumed while the machine types are unknown.
	unknownBootS = 30
)

// shortestBootS returns the boot time in seconds of the machine type that boots fastest.
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

// updateArrivals updates the average number of CPUs that newly accepted work occupies.
// admittedWork is the sum of all work accepted so far, in CPU-seconds. Called with mu held.
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

// targetCPUs returns the capacity to provide for running and arriving work, with headroom.
func (a *Autoscaler) targetCPUs() float64 {
	return max(a.usedCPUs, a.arrivalCPUs) * (1 + a.op.HeadroomPct/100)
}

// onDemandTargetCPUs returns the capacity that must remain when on-demand machines are cordoned or
// drained: running work with headroom. Arriving work is left out, as it can wait for a machine.
func (a *Autoscaler) onDemandTargetCPUs() float64 {
	return a.usedCPUs * (1 + a.op.OnDemandHeadroomPct/100)
}
