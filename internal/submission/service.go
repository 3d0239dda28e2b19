// Package submission serves users over HTTP: submissions, polls and cancels, on any
// controller, and the health check of the load balancer.
//
// A request is served from this controller's own jobs and the state service. If the outcome is
// unknown, the request goes to a peer. A response never states more than is recorded: 201 and
// 200 only for a stored job, 404 only if the state service has no job of that id, 503 if the
// outcome is unknown. The package stores no jobs and starts none; package scheduler does.
package submission

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	writeTimeout = 3500 * time.Millisecond // of submissions and cancels; users wait 5 s
	pollTimeout  = 1500 * time.Millisecond // users wait 2 s
	peerTimeout  = 700 * time.Millisecond
	// lookupReserve is the part of pollTimeout that is left for a read of the state service if the leader
	// does not respond.
	lookupReserve = 200 * time.Millisecond
	busyRetryS    = 2   // minimum Retry-After in seconds while the state service is busy; the maximum is nearly twice as long
	maxInFlight   = 128 // submissions in flight; more are refused
	// maxPollsInFlight bounds the polls and cancels in flight. At 4,000 machines some 1,300 jobs are
	// live, whose 260 polls a second may each wait pollTimeout for a leader.
	maxPollsInFlight = 512
)

// Service serves users. It is safe for concurrent use after Register.
type Service struct {
	numbers        Numbers       // nil if jobs have no numbers and no constraints
	cancellations  Cancellations // nil if cancels need no confirmation
	memoryPressure func() bool   // nil if new jobs are never refused for memory
	endsWatcher    EndsWatcher   // nil if ended jobs are read one by one

	cfg         *config.Platform
	op          *config.Operator
	store       Store
	jobs        Jobs
	stages      StageAuthority // nil if the stored stage of a live job is reported
	live        LiveJobs       // nil if it is not known which jobs are live
	catalog     Catalog
	peers       Peers
	log         *slog.Logger
	submitSlots chan struct{} // separate, so that a burst of submissions leaves room for polls and cancels
	otherSlots  chan struct{}
	refusals    refusals
	ended       endedJobs

	mu       sync.Mutex
	batchers map[string]*pollBatcher // by peer
}

// Options are the settings and dependencies of a Service.
type Options struct {
	Platform *config.Platform
	Operator *config.Operator
	Store    Store
	Jobs     Jobs
	Catalog  Catalog
	Peers    Peers
	Log      *slog.Logger

	Numbers        Numbers       // nil if jobs have no numbers and no constraints
	Cancellations  Cancellations // nil if cancels need no confirmation
	MemoryPressure func() bool   // reports whether to refuse new jobs; nil if never
	EndsWatcher    EndsWatcher   // nil if ended jobs are read one by one
}

// New returns a Service.
func New(o Options) *Service {
	stages, _ := o.Jobs.(StageAuthority)
	live, _ := o.Jobs.(LiveJobs)
	return &Service{
		stages: stages, live: live, numbers: o.Numbers, cancellations: o.Cancellations, memoryPressure: o.MemoryPressure, endsWatcher: o.EndsWatcher,
		cfg: o.Platform, op: o.Operator, store: o.Store, jobs: o.Jobs, catalog: o.Catalog, peers: o.Peers, log: o.Log,
		submitSlots: make(chan struct{}, maxInFlight), otherSlots: make(chan struct{}, maxPollsInFlight), batchers: map[string]*pollBatcher{},
	}
}

// Submit serves a submission or its check, here or at a peer if the outcome is unknown here.
// It takes 3.5 s at most.
func (s *Service) Submit(ctx context.Context, req Request) Reply {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	rep := s.serveHereOrAtPeer(ctx, req)
	if req.Verb == VerbSubmit {
		rep = s.refineByLeader(ctx, rep)
	}
	return s.requireConfirmedCancel(rep)
}

// cancel cancels a job, preferably at the controller that leads it.
func (s *Service) cancel(ctx context.Context, req Request) Reply {
	if rep, ok := s.queryUntilKnown(ctx, s.peers.ShardLeaders(), req); ok {
		return rep
	}
	return s.serveHereOrAtPeer(ctx, req)
}

// query makes a peer serve a request within peerTimeout. It returns false if that fails or the
// outcome remains unknown.
func (s *Service) query(ctx context.Context, peer string, req Request) (Reply, bool) {
	return s.queryWithin(ctx, peer, req, peerTimeout)
}

func (s *Service) queryWithin(ctx context.Context, peer string, req Request, timeout time.Duration) (Reply, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rep, err := s.peers.QueryPeer(ctx, peer, req)
	if err != nil {
		s.log.Debug("peer query failed", "peer", peer, "err", err)
		return Reply{}, false
	}
	return *rep, rep.Status != 0
}

// queryUntilKnown queries peers one after another until one knows the outcome.
func (s *Service) queryUntilKnown(ctx context.Context, peers []string, req Request) (Reply, bool) {
	for _, peer := range peers {
		if rep, ok := s.query(ctx, peer, req); ok {
			return rep, true
		}
	}
	return Reply{}, false
}

// serveHereOrAtPeer serves a request here, or at a peer that reaches the state service if the
// outcome is unknown here.
func (s *Service) serveHereOrAtPeer(ctx context.Context, req Request) Reply {
	rep := s.Serve(ctx, req)
	if !rep.retriableAtPeer() {
		return rep
	}
	if answered, ok := s.queryUntilKnown(ctx, s.peers.ServingPeers(), req); ok {
		return answered
	}
	return rep
}

// Serve serves a request from this controller's own jobs and the state service, without peers.
// The caller must confirm a cancel before it is reported to a user.
func (s *Service) Serve(ctx context.Context, req Request) Reply {
	switch req.Verb {
	case VerbSubmit:
		return s.accept(ctx, req.Body, req.Constraints)
	case VerbCheck:
		return s.checkSubmission(ctx, req)
	case VerbBatchPoll:
		return s.localStates(req.UIDs)
	case VerbPoll:
		rep := s.lookupReply(statestore.WithPriority(ctx, statestore.Lookup), req.UID)
		if req.AsLeader && s.stages != nil && rep.needsLeader() {
			return undecidedReply(RefusedOther)
		}
		return rep
	case VerbCancel:
		return s.stateReply(s.jobs.Cancel(ctx, req.UID))
	}
	return Reply{Status: http.StatusBadRequest, Reason: "unknown verb"}
}

// stateReply returns the reply for a job's state, or for the error if err is not nil.
func (s *Service) stateReply(state wire.JobState, err error) Reply {
	switch {
	case err == nil:
		return Reply{Status: http.StatusOK, State: state}
	case errors.Is(err, statestore.ErrNotFound):
		return Reply{Status: http.StatusNotFound, Reason: "no such job"}
	}
	s.log.Debug("job state unknown", "err", err)
	return unknownOutcome(err)
}

// lookupReply returns a job's state from memory, or else from the state service.
func (s *Service) lookupReply(ctx context.Context, uid string) Reply {
	if rep, ok := s.localReply(uid); ok {
		return rep
	}
	return s.storedReply(ctx, uid)
}
