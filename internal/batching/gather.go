// Package batching gathers what is to be sent to a peer: what comes while a round trip to it
// is under way goes with the next one, all at once. Nothing waits while none is.
package batching

import (
	"sync"
	"time"
)

const (
	// mostItems bounds a batch, and so the size of its message.
	mostItems = 256
	// mostUnderWay bounds the batches on their way to a peer.
	mostUnderWay = 8
	// overlapAfter is how long a batch may be under way before the next one leaves all
	// the same: over a slow link a batch a round trip would add that much to every wait.
	overlapAfter = 100 * time.Millisecond
)

// Sender gathers items for each peer. It is safe for concurrent use.
type Sender[T any] struct {
	// Send carries a batch to a peer, and its answer back. Set it before use.
	Send func(peer string, items []T)

	sending sync.WaitGroup
	mu      sync.Mutex
	lanes   map[string]*batchQueue[T]
}

// batchQueue is what is to go to one peer.
type batchQueue[T any] struct {
	waiting  []T
	underWay int
	left     time.Time // when the last batch did
	timed    bool      // a timer looks at it again
}

// Add has an item go to a peer with the next batch.
func (s *Sender[T]) Add(peer string, item T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.lanes[peer]
	if l == nil {
		if s.lanes == nil {
			s.lanes = map[string]*batchQueue[T]{}
		}
		l = &batchQueue[T]{}
		s.lanes[peer] = l
	}
	l.waiting = append(l.waiting, item)
	s.start(peer, l)
}

// Wait waits for the batches that are under way.
func (s *Sender[T]) Wait() { s.sending.Wait() }

// start has a batch leave if it may, with all that comes until its goroutine runs.
func (s *Sender[T]) start(peer string, l *batchQueue[T]) {
	if len(l.waiting) == 0 || l.underWay == mostUnderWay {
		return // the next batch that comes back looks again
	}
	now := time.Now()
	if rest := overlapAfter - now.Sub(l.left); l.underWay > 0 && rest > 0 {
		s.lookAgain(peer, l, rest)
		return
	}
	l.underWay++
	l.left = now
	s.sending.Add(1)
	go s.run(peer, l)
}

// lookAgain looks at a lane after a time, when its last batch has been under way for long.
func (s *Sender[T]) lookAgain(peer string, l *batchQueue[T], after time.Duration) {
	if l.timed {
		return
	}
	l.timed = true
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		l.timed = false
		s.start(peer, l)
	})
}

func (s *Sender[T]) run(peer string, l *batchQueue[T]) {
	defer s.sending.Done()
	s.mu.Lock()
	n := min(len(l.waiting), mostItems)
	items := l.waiting[:n:n]
	l.waiting = l.waiting[n:]
	s.mu.Unlock()
	if n > 0 {
		s.Send(peer, items)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l.underWay--
	s.start(peer, l)
}
