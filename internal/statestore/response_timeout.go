package statestore

import (
	"sync"
	"time"
)

const (
	// minResponseTimeout is how long the response to a transaction is waited for, from its send,
	// before it counts as lost. It is longer than stallTimeout, so that a lost link is
	// found first.
	minResponseTimeout = 750 * time.Millisecond
	// maxResponseTimeout bounds that time, however slow the service is.
	maxResponseTimeout = 8 * minResponseTimeout
	// slowFactor is how much longer than the slowest recent response one may take.
	slowFactor = 2
	// toleratedMisses is how many responses in a row may be lost before the service is
	// taken for slow.
	toleratedMisses = 1
	// slowestDecay is the share of the slowest response that each faster one takes off: one in
	// slowestDecay.
	slowestDecay = 8
)

// responseTimeout is how long transactions' responses are waited for. A caller that waits
// for a lost response for as long as it may does nothing meanwhile: a leader records no
// placement, and a new one does not finish its failover. So the wait follows what responses
// take that do come. Only while none comes at all it doubles, so that a slow service is not
// taken for one that never responds: a share of responses that gets lost says nothing of
// the others. It is safe for concurrent use; the zero value is ready.
type responseTimeout struct {
	mu      sync.Mutex
	slowest time.Duration // of recent responses
	misses  int           // since the last response that came
}

// current returns how long the next response is waited for.
func (r *responseTimeout) current() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	wait := max(minResponseTimeout, slowFactor*r.slowest)
	for n := toleratedMisses; n < r.misses && wait < maxResponseTimeout; n++ {
		wait *= 2
	}
	return min(wait, maxResponseTimeout)
}

// recordResponse notes a response that took so long.
func (r *responseTimeout) recordResponse(took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.misses = 0
	r.slowest = max(took, r.slowest-r.slowest/slowestDecay)
}

// recordMiss notes a response that did not come in time.
func (r *responseTimeout) recordMiss() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.misses++
}
