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
	// lookupReserve is the part of pollTimeout that is left for a read of the state service if the leader
	// is slow.
	lookupReserve = 200 * time.Millisecond
	busyRetryS    = 2   // minimum Retry-After in seconds while the state service is busy; the maximum is nearly twice as long
	maxInFlight   = 128 // submissions in flight; more are refused
	// maxPollsInFlight bounds the polls and cancels in flight. At 4,000 machines some 1,300 jobs are
	// live, whose 260 polls a second may each wait pollTimeout for a leader.
	maxPollsInFlight = 512
)

// Store is the part of the state service that a Service uses.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
}

// Jobs is the scheduler in this process. It knows the jobs of the shards that this controller
// leads.
type Jobs interface {
	// LocalState returns the state of a job that this controller leads.
	LocalState(uid string) (wire.JobState, bool)
	// RefineState adds to a stored state what this controller knows of the job's tasks.
	RefineState(stored wire.JobState) wire.JobState
	// JobAccepted notifies the scheduler of a job that was recorded.
	JobAccepted(job *wire.Job, t *jobspec.Constraints, shard int, atMs int64, version uint64)
	// Cancel cancels a job permanently and returns its state.
	Cancel(ctx context.Context, uid string) (wire.JobState, error)
}

// StageAuthority may be implemented by Jobs. The state service records every live job as
// queued, running or not. With a StageAuthority, only the job's leader reports a job as queued, and
// the response is 503 if no leader answers; without one, the stored stage is reported.
type StageAuthority interface {
	// SurelyQueued reports whether this controller leads the shard of a live job and knows
	// that no task of the job runs.
	SurelyQueued(uid string, shard int) bool
}

// LiveJobs may be implemented by Jobs with a StageAuthority. The state service does not say of a live
// job whether its tasks run, so that only the job's leader can answer a poll for it.
type LiveJobs interface {
	// KnownLive reports whether another controller's job was live and not cancelled when the state service
	// last reported a change, and was not accepted just now.
	KnownLive(uid string) bool
}

// Catalog returns the machine types.
type Catalog interface {
	// All returns every machine type, or none while they are unknown.
	All() []wire.MachineType
}

// Peers are the other controllers.
type Peers interface {
	// ShardLeaders returns the names of the other controllers that lead shards.
	ShardLeaders() []string
	// ServingPeers returns the names of the other controllers that reach the state service.
	ServingPeers() []string
	// QueryPeer makes a peer serve a request.
	QueryPeer(ctx context.Context, peer string, r Request) (*Reply, error)
	// Healthy reports whether this controller should receive users' requests.
	Healthy() bool
}

// Cancellations reports which cancels are effective at all controllers.
type Cancellations interface {
	// Confirm returns nil if every controller knows of the job's cancel, or stops responding to
	// workers before it could start tasks of the job. After an error the job must not be
	// reported as cancelled.
	Confirm(uid string) error
}

// Numbers allocates job numbers and finds jobs by number.
type Numbers interface {
	// Take allocates count consecutive numbers and returns the first.
	Take(ctx context.Context, count int) (uint64, error)
	// Allocated reports whether count numbers from first on were allocated.
	Allocated(ctx context.Context, first uint64, count int) (bool, error)
	// Find returns the job with a number, or statestore.ErrNotFound.
	Find(ctx context.Context, n uint64) (jobid.Job, error)
}

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

// Register registers the HTTP paths for users on mux.
func (s *Service) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /api/jobs", s.limited(s.submitSlots, s.submit))
	mux.HandleFunc("GET /api/jobs/{id}", s.limited(s.otherSlots, s.jobRequest(VerbPoll, pollTimeout, s.poll)))
	mux.HandleFunc("POST /api/jobs/{id}/cancel", s.limited(s.otherSlots, s.jobRequest(VerbCancel, writeTimeout, s.cancel)))
	mux.HandleFunc("GET /up", s.serveHealth)
}

// limited refuses requests while all slots are in use.
func (s *Service) limited(slots chan struct{}, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			defer usage.AddTime(usage.UserRequests, time.Now())
			serve(w, r)
		default:
			usage.CountEvent(usage.RefusedRequests)
			s.refusals.record(s.log, r.PathValue("id"), RefusedTooMany)
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

func (s *Service) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !s.peers.Healthy() {
		refuse(w, http.StatusServiceUnavailable, "another controller serves better")
		return
	}
	httpjson.Write(w, http.StatusOK, struct{}{})
}

// respond writes a reply about a job as the HTTP response. uid may be empty.
func (s *Service) respond(w http.ResponseWriter, uid string, rep Reply) {
	rep = s.neverDenyAccepted(uid, s.requireConfirmedCancel(rep))
	s.recordOutcome(uid, &rep)
	switch {
	case rep.succeeded():
		httpjson.Write(w, rep.Status, rep.State)
	case rep.Status == 0:
		refuse(w, http.StatusServiceUnavailable, "can't tell now")
	default:
		refuse(w, rep.Status, rep.Reason)
	}
}

// recordOutcome records whether a request about a job was answered.
func (s *Service) recordOutcome(uid string, rep *Reply) {
	switch {
	case rep.Status != 0 && rep.Status != http.StatusServiceUnavailable:
		s.refusals.answered(uid)
	case rep.Refusal == "":
		s.refusals.record(s.log, uid, RefusedOther)
	default:
		s.refusals.record(s.log, uid, rep.Refusal)
	}
}

// Refusals returns how many requests were answered with status 503, by reason.
func (s *Service) Refusals() map[Refusal]int64 { return s.refusals.counts() }

// requireConfirmedCancel returns rep, or a reply with status 503 if rep reports the job as cancelled
// and the cancel is not effective at all controllers. Otherwise a poll or a repeated submission could
// report a job as cancelled while a task of it can still start.
func (s *Service) requireConfirmedCancel(rep Reply) Reply {
	if s.cancellations == nil || !rep.succeeded() || rep.State.Stage != wire.StageCancelled {
		return rep
	}
	if err := s.cancellations.Confirm(rep.State.UID); err != nil {
		s.log.Debug("cancel not confirmed", "job", rep.State.UID, "err", err)
		return undecidedReply(RefusedCancelUnconfirmed)
	}
	return rep
}

// neverDenyAccepted returns rep, or a reply with status 503 if rep denies a job that the state service has
// reported as accepted. Every response to a user's HTTP request about a job passes it, and it should never
// have to change one.
func (s *Service) neverDenyAccepted(uid string, rep Reply) Reply {
	if !rep.deniesJob() || !s.knownAccepted(uid) {
		return rep
	}
	s.log.Error(DeniedJobMessage, "job", uid, "status", rep.Status, "reason", rep.Reason)
	return undecidedReply(RefusedDenial)
}

// knownAccepted reports whether the state service has reported a job as live or ended.
func (s *Service) knownAccepted(uid string) bool {
	_, ended := s.ended.get(uid)
	return ended || s.live != nil && s.live.KnownLive(uid)
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
	s.respond(w, rep.State.UID, rep)
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

// jobRequest returns a handler for requests about the job in the path, bounded by timeout.
func (s *Service) jobRequest(verb string, timeout time.Duration, serve func(ctx context.Context, req Request) Reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		req := Request{Verb: verb, UID: r.PathValue("id")}
		if !wire.ValidJobID(req.UID) {
			refuse(w, http.StatusNotFound, "no such job")
			return
		}
		s.respond(w, req.UID, serve(ctx, req))
	}
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
			return undecidedReply(RefusedNotLoaded)
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
