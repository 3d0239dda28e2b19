package dispatch

import (
	"slices"
	"time"
)

// Attestation gathers what the controllers attest of unresponsive workers: for how many seconds
// each controller has left their heartbeats unanswered. The controllers are queried one after
// the other, so that their figures are of different moments. It is not safe for concurrent use.
type Attestation struct {
	startedAt       time.Time
	unansweredS []float64 // the least of all controllers, by worker
}

// NewAttestation begins one at the given time with the querying controller's own figures, in s,
// one for each worker.
func NewAttestation(startedAt time.Time, unansweredS []float64) *Attestation {
	return &Attestation{startedAt: startedAt, unansweredS: slices.Clone(unansweredS)}
}

// StartedAt is when the first controller was queried.
func (a *Attestation) StartedAt() time.Time { return a.startedAt }

// Add takes another controller's figures, in s and in the same order. It returns false, and takes
// none, if they are not of the same number of workers.
func (a *Attestation) Add(unansweredS []float64) bool {
	if len(unansweredS) != len(a.unansweredS) {
		return false
	}
	for i, figure := range unansweredS {
		a.unansweredS[i] = min(a.unansweredS[i], figure)
	}
	return true
}

// LeaseExpired reports whether no controller had answered the i-th worker for leaseS seconds when
// the first controller was queried; now is after the last one responded. What the queries
// took is subtracted: else a controller that attests late counts time in which another, queried
// before it, may have answered the worker again while its lease still held.
func (a *Attestation) LeaseExpired(i int, now time.Time, leaseS float64) bool {
	return a.unansweredS[i]-now.Sub(a.startedAt).Seconds() > leaseS
}
