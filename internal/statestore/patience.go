package statestore

import (
	"sync"
	"time"
)

const (
	// answerWithin is how long the answer to a transaction is waited for, from its send,
	// before it counts as lost. It is longer than stalled, so that a lost link is found
	// out first.
	answerWithin = 750 * time.Millisecond
	// answerMost bounds that time, however slow the service is.
	answerMost = 8 * answerWithin
	// slowFactor is how much longer than the slowest recent answer one may take.
	slowFactor = 2
	// missesByChance is how many answers in a row may be lost before the service is taken
	// for slow.
	missesByChance = 1
	// decay is the share of the slowest answer that each faster one takes off.
	decay = 8
)

// answerTimeout is how long transactions' answers are waited for. A caller that waits for a
// lost answer for as long as it may stands still meanwhile: an owner records no place, and
// a new one does not take over. So the wait follows what answers take that do come. Only
// while none comes at all it doubles, so that a slow service is not taken for one that
// never answers: a share of answers that gets lost says nothing of the others. It is safe
// for concurrent use.
type answerTimeout struct {
	mu      sync.Mutex
	slowest time.Duration // of recent answers
	misses  int           // answers that did not come, since the last one that did
}

// wait returns how long the next answer is waited for.
func (p *answerTimeout) wait() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	wait := max(answerWithin, slowFactor*p.slowest)
	for n := missesByChance; n < p.misses && wait < answerMost; n++ {
		wait *= 2
	}
	return min(wait, answerMost)
}

// answered notes an answer that took so long.
func (p *answerTimeout) answered(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.misses = 0
	p.slowest = max(took, p.slowest-p.slowest/decay)
}

// missed notes an answer that did not come in time.
func (p *answerTimeout) missed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.misses++
}
