// Package batching collects what is to be sent to a peer: items that arrive while a round trip
// to the peer is under way leave with the next one, all at once. An item waits only for a
// round trip, and not for long when that is slow. The package keeps items in memory and
// neither repeats nor bounds them: what Send does with a failure is the caller's.
package batching

import (
	"sync"
	"time"
)

const (
	maxBatchItems      = 256 // of a batch, which bounds the size of its message
	maxBatchesInFlight = 8   // batches on their way to one peer
	// overlapDelay is how long a batch may be under way before the next one leaves all the
	// same: over a slow link, one batch a round trip would add that much to every wait.
	overlapDelay = 100 * time.Millisecond
)

// Sender collects items for each peer. It is safe for concurrent use.
type Sender[T any] struct {
	// Send carries a batch of at most 256 items, in the order of Add, to a peer and returns
	// when the peer has responded or won't. Up to 8 calls for a peer run at a time. It is to
	// be set before the first Add, and not changed.
	Send func(peer string, items []T)

	sending sync.WaitGroup
	mu      sync.Mutex
	queues  map[string]*peerQueue[T] // by peer
}

// peerQueue is what is to go to one peer.
type peerQueue[T any] struct {
	waiting    []T
	inFlight   int       // batches
	lastSentAt time.Time // when the last batch left
	timerSet   bool      // a timer will try to send again
}

// Add queues an item for a peer, and returns without waiting for it to be sent.
func (s *Sender[T]) Add(peer string, item T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	queue := s.queues[peer]
	if queue == nil {
		if s.queues == nil {
			s.queues = map[string]*peerQueue[T]{}
		}
		queue = &peerQueue[T]{}
		s.queues[peer] = queue
	}
	queue.waiting = append(queue.waiting, item)
	s.trySend(peer, queue)
}

// Wait waits until all items are sent. No Add may be called meanwhile.
func (s *Sender[T]) Wait() { s.sending.Wait() }

// trySend lets a batch leave if it may, with all items that arrive until its goroutine runs.
func (s *Sender[T]) trySend(peer string, queue *peerQueue[T]) {
	if len(queue.waiting) == 0 || queue.inFlight == maxBatchesInFlight {
		return // the next batch that comes back tries again
	}
	now := time.Now()
	if remaining := overlapDelay - now.Sub(queue.lastSentAt); queue.inFlight > 0 && remaining > 0 {
		s.trySendLater(peer, queue, remaining)
		return
	}
	queue.inFlight++
	queue.lastSentAt = now
	s.sending.Add(1)
	go s.sendBatch(peer, queue)
}

// trySendLater tries to send again when the peer's last batch has been under way for long. The
// timer needs no stop: it fires within overlapAfter, and while there are items for it to
// send, a batch is under way, for which Wait waits.
func (s *Sender[T]) trySendLater(peer string, queue *peerQueue[T], after time.Duration) {
	if queue.timerSet {
		return
	}
	queue.timerSet = true
	time.AfterFunc(after, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		queue.timerSet = false
		s.trySend(peer, queue)
	})
}

// sendBatch sends the first items that wait for a peer, and then tries to send the next ones.
func (s *Sender[T]) sendBatch(peer string, queue *peerQueue[T]) {
	defer s.sending.Done()
	s.mu.Lock()
	count := min(len(queue.waiting), maxBatchItems)
	items := queue.waiting[:count:count]
	queue.waiting = queue.waiting[count:]
	s.mu.Unlock()
	if count > 0 {
		s.Send(peer, items)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	queue.inFlight--
	s.trySend(peer, queue)
}
