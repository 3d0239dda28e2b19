// Package submission serves users over HTTP: submissions, polls and cancels, on any
// controller, and the health check of the load balancer.
//
// A request is answered from this controller's own jobs and the state service. What that
// leaves unknown goes to a peer. A response never states more than is recorded: 201 and 200
// only for a stored job, 404 only for a name that is no job's in the state service, 503 for
// all that is unknown. The package keeps no jobs and starts none; package scheduler does.
package submission

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	writeTimeout = 3500 * time.Millisecond // of submissions and cancels; users wait 5 s
	pollTimeout  = 1500 * time.Millisecond // users wait 2 s
	peerTimeout  = 700 * time.Millisecond
	busyRetryS   = 2   // and up to twice that, after which to retry when the state service is busy
	maxInFlight  = 128 // submissions at once, and as many polls and cancels; more are refused
)

// Store is what the Service needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
}

// Jobs is the scheduler in this process. It knows the jobs of the shards that this controller
// leads.
type Jobs interface {
	// LocalState returns the state of a job that this controller leads.
	LocalState(uid string) (wire.JobState, bool)
	// RefineState adds to a stored state what this controller knows besides.
	RefineState(stored wire.JobState) wire.JobState
	// JobAccepted notifies the scheduler of a job that was recorded.
	JobAccepted(job *wire.Job, t *jobspec.Constraints, shard int, atMs int64, version uint64)
	// Cancel cancels a job for good and returns its state.
	Cancel(ctx context.Context, uid string) (wire.JobState, error)
}

// StageAuthority may be implemented by Jobs. The state service has every living job as queued,
// running or not: with a StageAuthority a user is told so only by a leader that is sure, and
// gets 503 otherwise; without one the stored stage is the answer.
type StageAuthority interface {
	// SurelyQueued reports whether this controller leads the shard of a living job and knows
	// that no task of the job runs.
	SurelyQueued(uid string, shard int) bool
}

// Catalog knows the machine types.
type Catalog interface {
	// All returns every machine type, or none while they are unknown.
	All() []wire.MachineType
}

// Peers are the other controllers.
type Peers interface {
	// ShardLeaders names the other controllers that lead shards.
	ShardLeaders() []string
	// ServingPeers names the other controllers that reach the state service.
	ServingPeers() []string
	// QueryPeer has a peer serve a request.
	QueryPeer(ctx context.Context, peer string, r Request) (*Reply, error)
	// Healthy reports whether this controller should take users.
	Healthy() bool
}

// Cancellations knows which cancels hold at all controllers.
type Cancellations interface {
	// Confirm returns nil if all controllers know of a job's cancel, or stop answering workers
	// before they could start tasks of it. On an error no user may read that the job is
	// cancelled.
	Confirm(uid string) error
}

// Numbers gives jobs numbers, and finds them by those.
type Numbers interface {
	// Take returns the first of count numbers that nobody else gets.
	Take(ctx context.Context, count int) (uint64, error)
	// Allocated reports whether such numbers were taken.
	Allocated(ctx context.Context, first uint64, count int) (bool, error)
	// Find returns the job with a number, or statestore.ErrNotFound.
	Find(ctx context.Context, n uint64) (jobid.Job, error)
}

// Service serves users. It is safe for concurrent use once Register was called.
type Service struct {
	numbers        Numbers       // nil: jobs have none, and no constraints
	cancellations  Cancellations // nil: nothing need be confirmed
	memoryPressure func() bool   // nil: never

	cfg         *config.Platform
	op          *config.Operator
	store       Store
	jobs        Jobs
	stages      StageAuthority // nil: the stored stage of a living job is the answer
	catalog     Catalog
	peers       Peers
	log         *slog.Logger
	submitSlots chan struct{} // apart, so that a burst of submissions leaves room for polls and cancels
	otherSlots  chan struct{}
	unsettled   unsettledLog

	mu       sync.Mutex
	batchers map[string]*pollBatcher // by peer
}

// Options are what the users' interface needs of the rest of its process.
type Options struct {
	Platform *config.Platform
	Operator *config.Operator
	Store    Store
	Jobs     Jobs
	Catalog  Catalog
	Peers    Peers
	Log      *slog.Logger

	Numbers        Numbers       // nil: jobs have none, and no constraints
	Cancellations  Cancellations // nil: cancels need no confirmation
	MemoryPressure func() bool   // whether to take no new jobs; nil: never
}

// New returns the users' interface.
func New(o Options) *Service {
	stages, _ := o.Jobs.(StageAuthority)
	return &Service{
		stages: stages, numbers: o.Numbers, cancellations: o.Cancellations, memoryPressure: o.MemoryPressure,
		cfg: o.Platform, op: o.Operator, store: o.Store, jobs: o.Jobs, catalog: o.Catalog, peers: o.Peers, log: o.Log,
		submitSlots: make(chan struct{}, maxInFlight), otherSlots: make(chan struct{}, maxInFlight), batchers: map[string]*pollBatcher{},
	}
}

// Register adds the interface's paths.
func (s *Service) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /api/jobs", limited(s.submitSlots, s.submit))
	mux.HandleFunc("GET /api/jobs/{id}", limited(s.otherSlots, s.jobRequest(VerbPoll, pollTimeout, s.poll)))
	mux.HandleFunc("POST /api/jobs/{id}/cancel", limited(s.otherSlots, s.jobRequest(VerbCancel, writeTimeout, s.cancel)))
	mux.HandleFunc("GET /up", s.up)
}

// limited refuses requests beyond the slots.
func limited(slots chan struct{}, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			defer usage.AddTime(usage.UserRequests, time.Now())
			serve(w, r)
		default:
			usage.CountEvent(usage.RefusedRequests)
			refuse(w, http.StatusServiceUnavailable, "too many requests at once")
		}
	}
}

func refuse(w http.ResponseWriter, status int, reason string) {
	if status == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", "1")
	}
	httpjson.Write(w, status, wire.Problem{Error: reason})
}

func (s *Service) up(w http.ResponseWriter, _ *http.Request) {
	if !s.peers.Healthy() {
		refuse(w, http.StatusServiceUnavailable, "another controller serves better")
		return
	}
	httpjson.Write(w, http.StatusOK, struct{}{})
}

// respond answers a user.
func (s *Service) respond(w http.ResponseWriter, rep Reply) {
	switch rep = s.confirmed(rep); {
	case rep.succeeded():
		httpjson.Write(w, rep.Status, rep.State)
	case rep.Status == 0:
		refuse(w, http.StatusServiceUnavailable, "can't tell now")
	default:
		refuse(w, rep.Status, rep.Reason)
	}
}

// confirmed replaces a reply that a job is cancelled unless the cancel holds at all
// controllers: else a user reads of a cancel, by a poll or a repeated submission, after which
// a task still starts.
func (s *Service) confirmed(rep Reply) Reply {
	if s.cancellations == nil || !rep.succeeded() || rep.State.Stage != wire.StageCancelled {
		return rep
	}
	if err := s.cancellations.Confirm(rep.State.UID); err != nil {
		s.log.Debug("cancel not confirmed", "job", rep.State.UID, "err", err)
		return Reply{Status: http.StatusServiceUnavailable, Reason: "can't tell now"}
	}
	return rep
}

func (s *Service) submit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, "body unreadable or over 64 KiB")
		return
	}
	rep := s.Submit(r.Context(), Request{Verb: VerbSubmit, Body: body})
	if rep.Busy {
		w.Header().Set("Retry-After", strconv.Itoa(busyRetryS+rand.IntN(busyRetryS)))
	}
	s.respond(w, rep)
}

// Submit serves a submission or its check, here or at a peer if the outcome is unknown here.
// It takes 3.5 s at most.
func (s *Service) Submit(ctx context.Context, req Request) Reply {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	rep := s.serveAnywhere(ctx, req)
	if req.Verb == VerbSubmit {
		rep = s.refinedByLeader(ctx, rep)
	}
	return s.confirmed(rep)
}

// jobRequest serves requests about the job in the path, in the given time at most.
func (s *Service) jobRequest(verb string, timeout time.Duration, serve func(ctx context.Context, req Request) Reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		req := Request{Verb: verb, UID: r.PathValue("id")}
		if !wire.ValidJobID(req.UID) {
			refuse(w, http.StatusNotFound, "no such job")
			return
		}
		s.respond(w, serve(ctx, req))
	}
}

// poll reads a job's state: from the memory of the controller that leads it, if that responds,
// which saves the state service a request.
func (s *Service) poll(ctx context.Context, req Request) Reply {
	if rep, ok := s.local(req.UID); ok {
		return rep
	}
	for _, peer := range s.peers.ShardLeaders() {
		if state, ok := s.pollBatched(ctx, peer, req.UID); ok {
			return s.leaderReply(state)
		}
	}
	return s.refinedByLeader(ctx, s.serveAnywhere(ctx, req))
}

// cancel cancels a job, at the controller that leads it if that responds.
func (s *Service) cancel(ctx context.Context, req Request) Reply {
	if rep, ok := s.queryFirst(ctx, s.peers.ShardLeaders(), req); ok {
		return rep
	}
	return s.serveAnywhere(ctx, req)
}

// query has a peer serve a request within peerTimeout; false if it fails or the outcome stays
// unknown.
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

// queryFirst queries peers one after another until one knows the outcome.
func (s *Service) queryFirst(ctx context.Context, peers []string, req Request) (Reply, bool) {
	for _, peer := range peers {
		if rep, ok := s.query(ctx, peer, req); ok {
			return rep, true
		}
	}
	return Reply{}, false
}

// serveAnywhere serves a request here, or at a peer that reaches the state service if the
// outcome is unknown here.
func (s *Service) serveAnywhere(ctx context.Context, req Request) Reply {
	rep := s.Serve(ctx, req)
	if rep.unknown() {
		rep, _ = s.queryFirst(ctx, s.peers.ServingPeers(), req)
	}
	return rep
}

// Serve serves a request with this controller's own jobs and the state service, without
// peers. The caller confirms a cancel before a user reads of it.
func (s *Service) Serve(ctx context.Context, req Request) Reply {
	switch req.Verb {
	case VerbSubmit:
		return s.accept(ctx, req.Body, req.Constraints)
	case VerbCheck:
		return s.check(ctx, req)
	case VerbKnown:
		return s.localStates(req.UIDs)
	case VerbPoll:
		rep := s.lookup(statestore.WithPriority(ctx, statestore.Lookup), req.UID)
		if req.AsLeader && s.stages != nil && rep.unsettled() {
			return s.unsettledReply(req.UID)
		}
		return rep
	case VerbCancel:
		return s.stateReply(s.jobs.Cancel(ctx, req.UID))
	}
	return Reply{Status: http.StatusBadRequest, Reason: "unknown verb"}
}

// stateReply is the reply for a job's state, or the error in its place.
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

// lookup answers for a job from memory, or else from the state service.
func (s *Service) lookup(ctx context.Context, uid string) Reply {
	if rep, ok := s.local(uid); ok {
		return rep
	}
	return s.stored(ctx, uid)
}
