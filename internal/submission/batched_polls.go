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
	maxBatchesInFlight = 2   // per peer, if it responds within slowBatchAfter
	maxBatchSize       = 200 // polls in a batch

	// Over a slow link, another batch is sent when slowBatchAfter has passed since the last one, as
	// long as fewer than maxSlowBatchesInFlight are in flight.
	slowBatchAfter         = 250 * time.Millisecond
	maxSlowBatchesInFlight = 16
	batchTimeout           = 4 * time.Second
	lateStateTTL           = 3 * time.Second // how long a state is retained that arrived after its poll had timed out
)

// pollBatcher forwards users' polls to the peer that leads the jobs. Polls that arrive while
// enough batches are in flight share the next batch. With one message per poll, a burst of small
// jobs would occupy the peer's processor.
type pollBatcher struct {
	query func(ctx context.Context, r Request) (Reply, bool)

	mu         sync.Mutex
	inFlight   int       // goroutines that run sendBatches
	lastSentAt time.Time // of the last batch
	pending    []*pendingPoll
	lateStates map[string]lateState // states that arrived after their polls had timed out, by job
}

type pendingPoll struct {
	uid     string
	state   chan wire.JobState // receives one state, without a UID if the peer does not know the job
	expired bool               // the poll has timed out
}

// lateState is a state that arrived after its poll had timed out.
type lateState struct {
	state      wire.JobState
	receivedAt time.Time
}

// poll reads a job's state from the peer. It returns false if the peer does not know the job or
// does not respond before ctx ends.
func (b *pollBatcher) poll(ctx context.Context, uid string) (wire.JobState, bool) {
	p := &pendingPoll{uid: uid, state: make(chan wire.JobState, 1)}
	b.mu.Lock()
	b.pending = append(b.pending, p)
	if b.inFlight < maxBatchesInFlight || b.inFlight < maxSlowBatchesInFlight && time.Since(b.lastSentAt) > slowBatchAfter {
		b.inFlight++
		// The goroutine serves other users' polls too, so it must outlive this poll's
		// context. It ends on its own, since each query has a timeout.
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

// lateState returns a job's state from a response that arrived after its poll had timed out. The
// job may have ended since.
func (b *pollBatcher) lateState(uid string) (wire.JobState, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	late, ok := b.lateStates[uid]
	return late.state, ok && time.Since(late.receivedAt) < lateStateTTL
}

// deliver passes the states of a batch to its polls, and retains those of expired polls in
// lateStates.
func (b *pollBatcher) deliver(batch []*pendingPoll, rep *Reply, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.lateStates, func(_ string, late lateState) bool { return time.Since(late.receivedAt) >= lateStateTTL })
	if b.lateStates == nil {
		b.lateStates = map[string]lateState{}
	}
	for i, p := range batch {
		state := stateInBatch(rep, ok, i, p.uid)
		p.state <- state // does not block: the channel has capacity 1
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

// stateInBatch returns the state of the i-th job of a batch, without a UID if the peer does not
// know the job.
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

// nextBatch removes a batch from the pending polls. If none are pending, it returns nil, and the
// calling goroutine no longer counts as in flight.
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

// localStates serves a peer's batched polls from memory.
func (s *Service) localStates(uids []string) Reply {
	rep := Reply{Status: http.StatusOK, States: make([]wire.JobState, len(uids))}
	for i, uid := range uids {
		known, ok := s.localReply(uid)
		switch {
		case !ok: // unknown: the state has no UID
		case known.succeeded():
			rep.States[i] = known.State
		default:
			rep.StageUnknown = append(rep.StageUnknown, uid)
		}
	}
	return rep
}
