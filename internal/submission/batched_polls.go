package submission

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
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

	mu             sync.Mutex
	inFlight       int       // goroutines that run sendBatches
	lastSentAt     time.Time // of the last batch
	pending        []*pendingPoll
	startScheduled bool                 // a further sender is to be started
	lateStates     map[string]lateState // states that arrived after their polls had timed out, by job
}

type pendingPoll struct {
	uid     string
	answer  chan peerAnswer // receives one answer
	expired bool            // the poll has timed out
}

// peerAnswer is what a peer says of a job.
type peerAnswer struct {
	outcome pollOutcome
	state   wire.JobState // if outcome is pollAnswered
}

// pollOutcome is the outcome of a poll at a peer.
type pollOutcome int

const (
	pollUnanswered pollOutcome = iota // the peer did not respond in time
	pollJobUnknown                    // the peer does not know the job
	pollAnswered
)

// lateState is a state that arrived after its poll had timed out.
type lateState struct {
	state      wire.JobState
	receivedAt time.Time
}

// poll reads a job's state from the peer, which has to respond before ctx ends.
func (b *pollBatcher) poll(ctx context.Context, uid string) peerAnswer {
	p := &pendingPoll{uid: uid, answer: make(chan peerAnswer, 1)}
	b.mu.Lock()
	b.pending = append(b.pending, p)
	// The senders serve other users' polls too, so they must outlive this poll's context.
	b.startSenderLocked(context.WithoutCancel(ctx))
	b.mu.Unlock()
	select {
	case answer := <-p.answer:
		return answer
	case <-ctx.Done():
		b.mu.Lock()
		defer b.mu.Unlock()
		p.expired = true
		return peerAnswer{}
	}
}

// startSenderLocked starts a goroutine that sends the pending polls, now or as soon as a further batch
// may be in flight. The goroutine ends on its own, since each query has a timeout.
func (b *pollBatcher) startSenderLocked(ctx context.Context) {
	sinceLast := time.Since(b.lastSentAt)
	switch {
	case len(b.pending) == 0 || b.inFlight == maxSlowBatchesInFlight:
	case b.inFlight < maxBatchesInFlight || sinceLast > slowBatchAfter:
		b.inFlight++
		go b.sendBatches(ctx)
	case !b.startScheduled:
		b.startScheduled = true
		time.AfterFunc(slowBatchAfter-sinceLast+time.Millisecond, func() {
			b.mu.Lock()
			defer b.mu.Unlock()
			b.startScheduled = false
			b.startSenderLocked(ctx)
		})
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
		answer := answerInBatch(rep, ok, i, p.uid)
		p.answer <- answer // does not block: the channel has capacity 1
		if p.expired && answer.outcome == pollAnswered {
			b.lateStates[p.uid] = lateState{answer.state, time.Now()}
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

// answerInBatch returns the answer about the i-th job of a batch. ok reports whether the peer
// responded.
func answerInBatch(rep *Reply, ok bool, i int, uid string) peerAnswer {
	switch {
	case !ok:
		return peerAnswer{}
	case slices.Contains(rep.MayRun, uid):
		return peerAnswer{pollAnswered, wire.JobState{UID: uid, Stage: jobstate.StageIfTaskMayRun}}
	case i < len(rep.States) && rep.States[i].UID == uid:
		return peerAnswer{pollAnswered, rep.States[i]}
	}
	return peerAnswer{outcome: pollJobUnknown}
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

// pollBatched reads a job's state from a peer within a timeout.
func (s *Service) pollBatched(ctx context.Context, peer, uid string, timeout time.Duration) peerAnswer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
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
		if known, ok := s.localReply(uid); ok { // otherwise unknown: the state has no UID
			rep.States[i] = known.State
		}
	}
	return rep
}
