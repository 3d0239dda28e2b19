package dispatch

import "time"

// Attestation gathers what the controllers attest of machines that are silent: for how
// many seconds each has left their reports unanswered. The controllers are asked one
// after the other, so that their answers are of different moments.
type Attestation struct {
	asked time.Time
	least []float64
}

// NewAttestation begins one at the given time with the asking controller's own figures,
// one for each machine.
func NewAttestation(asked time.Time, unanswered []float64) *Attestation {
	return &Attestation{asked: asked, least: append([]float64(nil), unanswered...)}
}

// Asked is when the first controller was asked.
func (a *Attestation) Asked() time.Time { return a.asked }

// Add takes another controller's figures; false if they are not of the same machines.
func (a *Attestation) Add(unanswered []float64) bool {
	if len(unanswered) != len(a.least) {
		return false
	}
	for i, u := range unanswered {
		a.least[i] = min(a.least[i], u)
	}
	return true
}

// LeaseExpired reports whether nobody had answered the i-th machine for so many seconds when
// the first controller was asked; now is after the last one answered. What the questions
// took is subtracted: else one that attests late counts time in which another, asked
// before it, may have answered the worker again while its lease still held.
func (a *Attestation) LeaseExpired(i int, now time.Time, lease float64) bool {
	return a.least[i]-now.Sub(a.asked).Seconds() > lease
}
