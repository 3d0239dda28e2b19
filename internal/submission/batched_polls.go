package submission

import (
	"context"
	"net/http"
	"sync"

	"github.com/wallrack/wallrack/internal/wire"
)

const (
	maxBatches   = 2   // in flight to a peer
	maxBatchSize = 200 // polls in a batch
)

// pollBatcher passes users' polls to the peer that leads the jobs. While batches are in
// flight the next polls collect into one: in a burst of small jobs the peer would otherwise
// spend its processor on a message a poll.
type pollBatcher struct {
	query func(ctx context.Context, r Request) (Reply, bool)

	mu       sync.Mutex
	inFlight int // goroutines of run
	pending  []pendingPoll
}

type pendingPoll struct {
	uid   string
	state chan wire.JobState // gets one; without a uid: the peer does not know it
}

// poll reads a job's state from the peer; false if the peer does not know it, or not in time.
func (b *pollBatcher) poll(ctx context.Context, uid string) (wire.JobState, bool) {
	p := pendingPoll{uid, make(chan wire.JobState, 1)}
	b.mu.Lock()
	b.pending = append(b.pending, p)
	if b.inFlight < maxBatches {
		b.inFlight++
		// It serves other users' polls too, so it outlives this one's context. It ends
		// by itself: each query has a timeout.
		go b.run(context.WithoutCancel(ctx))
	}
	b.mu.Unlock()
	select {
	case state := <-p.state:
		return state, state.UID != ""
	case <-ctx.Done():
		return wire.JobState{}, false
	}
}

// run sends batches until no poll is pending.
func (b *pollBatcher) run(ctx context.Context) {
	for batch := b.next(); batch != nil; batch = b.next() {
		req := Request{Verb: VerbKnown}
		for _, p := range batch {
			req.UIDs = append(req.UIDs, p.uid)
		}
		rep, ok := b.query(ctx, req)
		for i, p := range batch {
			var state wire.JobState
			if ok && i < len(rep.States) && rep.States[i].UID == p.uid {
				state = rep.States[i]
			}
			p.state <- state
		}
	}
}

// next takes a batch of the pending polls. With none it returns nil, and its goroutine no
// longer counts as in flight.
func (b *pollBatcher) next() []pendingPoll {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.pending), maxBatchSize)
	if n == 0 {
		b.inFlight--
		return nil
	}
	batch := b.pending[:n:n]
	b.pending = b.pending[n:]
	return batch
}

// batcher returns the pollBatcher of a peer.
func (s *Service) batcher(peer string) *pollBatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.batchers[peer]
	if b == nil {
		b = &pollBatcher{query: func(ctx context.Context, r Request) (Reply, bool) { return s.query(ctx, peer, r) }}
		s.batchers[peer] = b
	}
	return b
}

// localStates serves a peer's batched polls.
func (s *Service) localStates(uids []string) Reply {
	rep := Reply{Status: http.StatusOK, States: make([]wire.JobState, len(uids))}
	for i, uid := range uids {
		rep.States[i], _ = s.jobs.LocalState(uid) // without a uid if it is unknown
	}
	return rep
}
