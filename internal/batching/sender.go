// Package batching collects items that are to be sent to a peer: those that arrive while a
// round trip to the peer is in progress are sent together with the next one. Unless too many
// arrive, an item waits for at most one round trip, or for overlapDelay if that is shorter.
// The package keeps items in memory and neither repeats nor bounds them: Send has to handle
// failures.
package batching

import (
	"sync"
	"time"
)

const (
	maxBatchItems      = 256 // per batch, which bounds the size of its message
	maxBatchesInFlight = 8   // to one peer
	// overlapDelay is how long a batch may be in flight before the next one is sent
	// nevertheless: over a slow link, sending one batch per round trip would add up to a round
	// trip to every wait.
	overlapDelay = 100 * time.Millisecond
)

// Sender collects items for each peer. It is safe for concurrent use.
type Sender[T any] struct {
	// Send sends a batch of at most 256 items, in the order of Add, to a peer and returns when
	// the peer has responded or the attempt has failed. Up to 8 calls for a peer run at a time.
	// Set it before the first Add, and do not change it.
	Send func(peer string, items []T)

	sending sync.WaitGroup
	mu      sync.Mutex
	queues  map[string]*peerQueue[T] // by peer
}

// peerQueue holds the items for one peer.
type peerQueue[T any] struct {
	waiting    []T
	inFlight   int       // batches
	lastSentAt time.Time // when the last batch was sent
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

// Wait waits until all items are sent. Add must not be called meanwhile.
func (s *Sender[T]) Wait() { s.sending.Wait() }

// trySend starts to send a batch if one may be sent, with all items that arrive until its
// goroutine runs.
func (s *Sender[T]) trySend(peer string, queue *peerQueue[T]) {
	if len(queue.waiting) == 0 || queue.inFlight == maxBatchesInFlight {
		return // the next batch that ends tries again
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

// trySendLater tries to send again when the peer's last batch has been in flight for
// overlapDelay. The timer needs no stop: it fires within overlapDelay, and while there are
// items for it to send, a batch is in flight, for which Wait waits.
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

// sendBatch sends the first queued items of a peer, and then tries to send the next ones.
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
