package soak

import "time"

// The rules of the users' load balancer, from the operators' protocol.
const (
	probeInterval       = time.Second
	probeTimeout        = time.Second
	recentProbes        = 6 // of which maxRecentFailures may fail
	maxRecentFailures   = 2
	maxFailuresInARow   = 1
	readmitSuccesses    = 2 // in a row
	firstPause          = 3 * time.Second
	maxRemovalPause     = time.Minute
	removalWindow       = 2 * time.Minute // in which each further removal doubles the pause
	slowStart           = 10 * time.Second
	resetAfterUnhealthy = 5 * time.Second
)

// nodeHealth decides by a controller's health checks whether the load balancer sends users to it. The
// zero value is that of a controller that was never healthy.
type nodeHealth struct {
	healthy     bool
	changedAt   time.Time // when healthy last changed
	everHealthy bool
	probes      []bool // results of the last probes, the newest last
	pause       time.Duration
}

// record applies the result of a health check.
func (h *nodeHealth) record(succeeded bool, now time.Time) {
	h.probes = append(h.probes, succeeded)
	h.probes = h.probes[max(0, len(h.probes)-recentProbes):]
	switch {
	case h.healthy && h.failed():
		h.remove(now)
	case !h.healthy && h.mayReturn(now):
		h.healthy, h.everHealthy, h.changedAt = true, true, now
	}
}

// failed reports whether the last probes make the controller unhealthy.
func (h *nodeHealth) failed() bool {
	failures := 0
	for _, succeeded := range h.probes {
		if !succeeded {
			failures++
		}
	}
	return failures > maxRecentFailures || h.inARow(false) > maxFailuresInARow
}

func (h *nodeHealth) mayReturn(now time.Time) bool {
	if !h.everHealthy {
		return h.inARow(true) > 0
	}
	return h.inARow(true) >= readmitSuccesses && now.Sub(h.changedAt) >= h.pause
}

// inARow returns how many of the last probes in a row had the given result.
func (h *nodeHealth) inARow(succeeded bool) int {
	count := 0
	for i := len(h.probes) - 1; i >= 0 && h.probes[i] == succeeded; i-- {
		count++
	}
	return count
}

func (h *nodeHealth) remove(now time.Time) {
	if h.pause > 0 && now.Sub(h.changedAt) < removalWindow {
		h.pause = min(maxRemovalPause, 2*h.pause)
	} else {
		h.pause = firstPause
	}
	h.healthy, h.changedAt, h.probes = false, now, nil
}

// share returns the part of its usual share of new connections that the controller gets, from 0 to 1.
func (h *nodeHealth) share(now time.Time) float64 {
	if !h.healthy {
		return 0
	}
	return min(1, max(0.05, now.Sub(h.changedAt).Seconds()/slowStart.Seconds()))
}
