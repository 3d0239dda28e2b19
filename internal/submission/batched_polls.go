package submission

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

const (
	maxBatchesInFlight = 2   // in flight to a peer that responds soon
	maxBatchSize       = 200 // polls in a batch

	// Over a slow link a further batch is sent after slowBatchAfter, up to maxSlowBatches in flight.
	slowBatchAfter         = 250 * time.Millisecond
	maxSlowBatchesInFlight = 16
	batchTimeout           = 4 * time.Second
	lateStateTTL           = 3 * time.Second // for which a reply is kept that came too late for its poll
)

// pollBatcher passes users' polls to the peer that leads the jobs. While batches are in
// flight the next polls collect into one: in a burst of small jobs the peer would otherwise
// spend its processor on a message a poll.
type pollBatcher struct {
	query func(ctx context.Context, r Request) (Reply, bool)

	mu         sync.Mutex
	inFlight   int       // goroutines of run
	lastSentAt time.Time // of the last batch
	pending    []*pendingPoll
	lateStates map[string]lateState // replies that came too late, by job
}

type pendingPoll struct {
	uid     string
	state   chan wire.JobState // gets one; without a uid: the peer does not know it
	expired bool               // its user waits no more
}

// lateState is a state that came too late for the poll that asked for it.
type lateState struct {
	state      wire.JobState
	receivedAt time.Time
}

// poll reads a job's state from the peer; false if the peer does not know it, or not in time.
func (b *pollBatcher) poll(ctx context.Context, uid string) (wire.JobState, bool) {
	p := &pendingPoll{uid: uid, state: make(chan wire.JobState, 1)}
	b.mu.Lock()
	b.pending = append(b.pending, p)
	if b.inFlight < maxBatchesInFlight || b.inFlight < maxSlowBatchesInFlight && time.Since(b.lastSentAt) > slowBatchAfter {
		b.inFlight++
		// It serves other users' polls too, so it outlives this one's context. It ends
		// by itself: each query has a timeout.
		go b.sendBatches(context.WithoutCancel(ctx))
	}
	b.mu.Unlock()
	select {
	case state := <-p.state:
		return state, state.UID != ""
	case <-ctx.Done():
		b.mu.Lock()
		defer b.mu.Unlock()
		p.expired = true
		return wire.JobState{}, false
	}
}

// lateState returns the state of a job by a reply that came too late for the poll that asked
// for it. The job may have ended since.
func (b *pollBatcher) lateState(uid string) (wire.JobState, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	late, ok := b.lateStates[uid]
	return late.state, ok && time.Since(late.receivedAt) < lateStateTTL
}

// deliver hands the polls of a batch their states, and keeps those whose users wait no more.
func (b *pollBatcher) deliver(batch []*pendingPoll, rep *Reply, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.lateStates, func(_ string, late lateState) bool { return time.Since(late.receivedAt) >= lateStateTTL })
	if b.lateStates == nil {
		b.lateStates = map[string]lateState{}
	}
	for i, p := range batch {
		state := stateInBatch(rep, ok, i, p.uid)
		p.state <- state // has room for it
		if p.expired && state.UID != "" {
			b.lateStates[p.uid] = lateState{state, time.Now()}
		}
	}
}

// sendBatches sends batches until no poll is pending.
func (b *pollBatcher) sendBatches(ctx context.Context) {
	for batch := b.nextBatch(); batch != nil; batch = b.nextBatch() {
		req := Request{Verb: VerbBatchPoll}
		for _, p := range batch {
			req.UIDs = append(req.UIDs, p.uid)
		}
		rep, ok := b.query(ctx, req)
		b.deliver(batch, &rep, ok)
	}
}

// stateInBatch returns the state of the i-th job of a batch, without a uid if the peer does not
// know it.
func stateInBatch(rep *Reply, ok bool, i int, uid string) wire.JobState {
	switch {
	case !ok:
		return wire.JobState{}
	case slices.Contains(rep.StageUnknown, uid):
		return wire.JobState{UID: uid, Stage: stageUnknown}
	case i < len(rep.States) && rep.States[i].UID == uid:
		return rep.States[i]
	}
	return wire.JobState{}
}

// nextBatch takes a batch of the pending polls. With none it returns nil, and its goroutine no
// longer counts as in flight.
func (b *pollBatcher) nextBatch() []*pendingPoll {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := min(len(b.pending), maxBatchSize)
	if n == 0 {
		b.inFlight--
		return nil
	}
	batch := b.pending[:n:n]
	b.pending = b.pending[n:]
	b.lastSentAt = time.Now()
	return batch
}

// pollBatched reads a job's state from a peer, within peerTimeout.
func (s *Service) pollBatched(ctx context.Context, peer, uid string) (wire.JobState, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	return s.batcher(peer).poll(ctx, uid)
}

// batcher returns the pollBatcher of a peer.
func (s *Service) batcher(peer string) *pollBatcher {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.batchers[peer]
	if b == nil {
		b = &pollBatcher{query: func(ctx context.Context, r Request) (Reply, bool) { return s.queryWithin(ctx, peer, r, batchTimeout) }}
		s.batchers[peer] = b
	}
	return b
}

// localStates serves a peer's batched polls.
func (s *Service) localStates(uids []string) Reply {
	rep := Reply{Status: http.StatusOK, States: make([]wire.JobState, len(uids))}
	for i, uid := range uids {
		known, ok := s.localReply(uid)
		switch {
		case !ok: // without a uid
		case known.succeeded():
			rep.States[i] = known.State
		default:
			rep.StageUnknown = append(rep.StageUnknown, uid)
		}
	}
	return rep
}
