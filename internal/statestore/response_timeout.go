package statestore

import (
	"sync"
	"time"
)

const (
	// minResponseTimeout is the shortest time, from the send of a transaction, after which its
	// response counts as lost. It is longer than stallTimeout, so that a lost link is detected
	// first.
	minResponseTimeout = 750 * time.Millisecond
	// maxResponseTimeout is the longest timeout of a response, however slow the service is.
	maxResponseTimeout = 8 * minResponseTimeout
	// slowFactor is the ratio of the timeout to the slowest recent response.
	slowFactor = 2
	// toleratedMisses is the number of consecutive lost responses that do not lengthen the
	// timeout.
	toleratedMisses = 1
	// slowestDecay sets how fast the slowest recent response is forgotten: each faster one
	// lowers the recorded time by 1/slowestDecay of it, at most to its own time.
	slowestDecay = 8
)

// responseTimeout is the time after which the response to a transaction counts as lost. A
// caller does nothing while it waits for a lost response: a leader records no placement, and a
// new one does not finish its failover. So the timeout follows the response times of the
// requests that do get a response. It doubles only while none arrives at all, so that a slow
// service is not regarded as one that never responds: a lost response among others says
// nothing about the service's speed. It is safe for concurrent use; the zero value is ready.
type responseTimeout struct {
	mu      sync.Mutex
	slowest time.Duration // of recent responses
	misses  int           // consecutive lost responses
}

// current returns the timeout for the next response.
func (r *responseTimeout) current() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	timeout := max(minResponseTimeout, slowFactor*r.slowest)
	for n := toleratedMisses; n < r.misses && timeout < maxResponseTimeout; n++ {
		timeout *= 2
	}
	return min(timeout, maxResponseTimeout)
}

// recordResponse records the time that a response took.
func (r *responseTimeout) recordResponse(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.misses = 0
	r.slowest = max(took, r.slowest-r.slowest/slowestDecay)
}

// recordMiss records a response that did not arrive in time.
func (r *responseTimeout) recordMiss() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.misses++
}
