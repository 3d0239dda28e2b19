package dispatch

import (
	"slices"
	"time"
)

// Attestation collects the controllers' statements on unresponsive workers: for how many seconds
// each controller has not answered their heartbeats. The controllers are queried one after the
// other, so that their figures are of different times. It is not safe for concurrent use.
type Attestation struct {
	startedAt   time.Time // time of the first query
	unansweredS []float64 // lowest figure of all controllers, by index of the worker
}

// NewAttestation returns an attestation that was started at the given time, with the querying
// controller's own figures in seconds, one for each worker.
func NewAttestation(startedAt time.Time, unansweredS []float64) *Attestation {
	return &Attestation{startedAt: startedAt, unansweredS: slices.Clone(unansweredS)}
}

// StartedAt returns the time at which the first controller was queried.
func (a *Attestation) StartedAt() time.Time { return a.startedAt }

// Add merges another controller's figures, in seconds and for the same workers in the same order.
// It returns false and changes nothing if their number differs.
func (a *Attestation) Add(unansweredS []float64) bool {
	if len(unansweredS) != len(a.unansweredS) {
		return false
	}
	for i, figure := range unansweredS {
		a.unansweredS[i] = min(a.unansweredS[i], figure)
	}
	return true
}

// LeaseExpired reports whether no controller had answered the i-th worker for more than leaseS
// seconds when the first controller was queried. now is a time after the last response. The
// duration of the queries is subtracted: it would otherwise count towards the figure of the
// controller queried last, while one queried earlier may have answered the worker again within its
// lease.
func (a *Attestation) LeaseExpired(i int, now time.Time, leaseS float64) bool {
	return a.unansweredS[i]-now.Sub(a.startedAt).Seconds() > leaseS
}
