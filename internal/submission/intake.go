// Package submission is the users' interface: submissions, polls and cancels, on
// any controller, and the health check of the load balancer.
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
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	answerWithin = 3500 * time.Millisecond // submissions and cancels; users wait 5 s
	pollWithin   = 1500 * time.Millisecond // users wait 2 s
	peerWithin   = 700 * time.Millisecond
	pressedRetry = 2   // seconds, and up to twice that, after which to submit again what the state service had no room for
	maxInFlight  = 128 // submissions worked on at once, and as many polls and cancels; more are told to come back
)

// Store is what intake needs of the state service.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error)
}

// Jobs is the owner in this process.
type Jobs interface {
	LocalState(uid string) (wire.JobState, bool)
	RefineState(stored wire.JobState) wire.JobState
	JobAccepted(job *wire.Job, t *jobspec.Constraints, shard int, atMs int64, version uint64)
	Cancel(ctx context.Context, uid string) (wire.JobState, error)
}

// Catalog knows the machine types.
type Catalog interface {
	All() []wire.MachineType
}

// Request is a user's request that one controller hands to another.
type Request struct {
	Verb string `json:"verb"` // submit, poll or cancel
	UID  string `json:"uid"`
	Body []byte `json:"body,omitempty"`

	UIDs []string `json:"uids,omitempty"` // of gathered polls

	Constraints *jobspec.Constraints `json:"terms,omitempty"` // of a submission
}

// Reply is its answer; status 0 means that the peer can't tell either.
type Reply struct {
	Status int           `json:"status"`
	State  wire.JobState `json:"state"`
	Reason string        `json:"reason,omitempty"`
	Busy   bool          `json:"busy,omitempty"` // can't tell for want of the state service's budget

	States []wire.JobState `json:"states,omitempty"` // of gathered polls, in their order; without a uid: can't tell
}

// Verbs of a Request.
const (
	VerbSubmit = "submit"
	VerbPoll   = "poll"
	VerbCancel = "cancel"
	VerbCheck  = "check" // a submission, of which nothing shall come
)

// Peers are the other controllers.
type Peers interface {
	// ShardOwners names the other controllers that own shards.
	ShardOwners() []string
	// ServingPeers names the other controllers that reach the state service.
	ServingPeers() []string
	// AskPeer hands a request to a peer.
	AskPeer(ctx context.Context, peer string, r Request) (*Reply, error)
	// Healthy reports whether this controller should take users.
	Healthy() bool
}

// Cancellations knows what was cancelled.
type Cancellations interface {
	// Confirm is called before a user is told that a job is cancelled; with an
	// error it must not be told.
	Confirm(uid string) error
}

// Numbers gives jobs numbers, and finds them by those.
type Numbers interface {
	Take(ctx context.Context, count int) (uint64, error)
	Given(ctx context.Context, first uint64, count int) (bool, error)
	Find(ctx context.Context, n uint64) (jobid.Job, error)
}

// Service serves users.
type Service struct {
	Numbers        Numbers       // nil: jobs have none, and no terms. Set it before Register
	Cancellations  Cancellations // nil: nothing need be seen through. Set it before Register
	MemoryPressure func() bool   // whether to take no new jobs; nil: never. Set it before Register

	cfg      *config.Platform
	op       *config.Operator
	store    Store
	jobs     Jobs
	catalog  Catalog
	peers    Peers
	log      *slog.Logger
	jobSlots chan struct{} // of submissions: a storm of them must not keep users from asking
	slots    chan struct{} // of polls and cancels

	mu        sync.Mutex
	gatherers map[string]*gatherer // by peer
}

// New returns the users' interface.
func New(cfg *config.Platform, op *config.Operator, store Store, jobs Jobs, catalog Catalog, peers Peers, log *slog.Logger) *Service {
	return &Service{cfg: cfg, op: op, store: store, jobs: jobs, catalog: catalog, peers: peers, log: log,
		jobSlots: make(chan struct{}, maxInFlight), slots: make(chan struct{}, maxInFlight), gatherers: map[string]*gatherer{}}
}

// Register adds the interface's paths.
func (in *Service) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /api/jobs", in.limited(in.jobSlots, in.submit))
	mux.HandleFunc("GET /api/jobs/{id}", in.limited(in.slots, in.poll))
	mux.HandleFunc("POST /api/jobs/{id}/cancel", in.limited(in.slots, in.cancel))
	mux.HandleFunc("GET /up", in.up)
}

func (in *Service) limited(slots chan struct{}, f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			defer usage.Count(usage.Users, time.Now())
			f(w, r)
		default:
			usage.Note(usage.RefusedRequests)
			refuse(w, http.StatusServiceUnavailable, "too many requests at once")
		}
	}
}

func refuse(w http.ResponseWriter, status int, why string) {
	if status == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", "1")
	}
	httpjson.Write(w, status, wire.Problem{Error: why})
}

func (in *Service) up(w http.ResponseWriter, _ *http.Request) {
	if !in.peers.Healthy() {
		refuse(w, http.StatusServiceUnavailable, "another controller serves better")
		return
	}
	httpjson.Write(w, http.StatusOK, struct{}{})
}

// reply answers a user.
func (in *Service) reply(w http.ResponseWriter, rep Reply) {
	switch rep = in.told(rep); {
	case rep.Status/100 == 2:
		httpjson.Write(w, rep.Status, rep.State)
	case rep.Status == 0:
		refuse(w, http.StatusServiceUnavailable, "can't tell now")
	default:
		refuse(w, rep.Status, rep.Reason)
	}
}

// told is what may be told to a user: that a job is cancelled only if all
// controllers hear of it, or stop answering workers in time. A poll and a repeated
// submission tell it like a cancel.
func (in *Service) told(rep Reply) Reply {
	if in.Cancellations == nil || rep.Status/100 != 2 || rep.State.Stage != wire.StageCancelled {
		return rep
	}
	if err := in.Cancellations.Confirm(rep.State.UID); err != nil {
		in.log.Debug("cancelled, and not told", "job", rep.State.UID, "err", err)
		return Reply{Status: http.StatusServiceUnavailable, Reason: "can't tell now"}
	}
	return rep
}

func (in *Service) submit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
	if err != nil {
		refuse(w, http.StatusBadRequest, "body unreadable or over 64 KiB")
		return
	}
	rep := in.Submit(r.Context(), Request{Verb: VerbSubmit, Body: body})
	if rep.Busy {
		w.Header().Set("Retry-After", strconv.Itoa(pressedRetry+rand.IntN(pressedRetry)))
	}
	in.reply(w, rep)
}

// Submit takes a submission here, or at a peer if this controller can't tell.
func (in *Service) Submit(ctx context.Context, req Request) Reply {
	ctx, cancel := context.WithTimeout(ctx, answerWithin)
	defer cancel()
	rep := in.Serve(ctx, req)
	if rep.Status == 0 && !rep.Busy {
		rep = in.elsewhere(ctx, req)
	}
	return in.told(rep)
}

func (in *Service) poll(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), pollWithin)
	defer cancel()
	req := Request{Verb: VerbPoll, UID: r.PathValue("id")}
	if !wire.ValidJobID(req.UID) {
		refuse(w, http.StatusNotFound, "no such job")
		return
	}
	if s, ok := in.jobs.LocalState(req.UID); ok {
		in.reply(w, Reply{Status: http.StatusOK, State: s})
		return
	}
	for _, p := range in.peers.ShardOwners() {
		if s, ok := in.gather(p).known(ctx, req.UID); ok {
			in.reply(w, Reply{Status: http.StatusOK, State: s})
			return
		}
	}
	rep := in.Serve(ctx, req)
	if rep.Status == 0 && !rep.Busy {
		rep = in.elsewhere(ctx, req)
	}
	if rep.Status == http.StatusOK && rep.State.Stage == wire.StageQueued {
		rep = in.refinedByLeader(ctx, req, rep)
	}
	in.reply(w, rep)
}

// refineWithin limits the time for all leaders together: a poll has a response already, which they can only
// make newer.
const refineWithin = 300 * time.Millisecond

// refinedByLeader returns what a leader adds to a polled job's stored state, or stored itself. While a
// cancel's outcome is pending the leader does not respond to VerbKnown, and the state service has a living
// job as queued: a poll at another controller called a running job queued for up to 5 s.
func (in *Service) refinedByLeader(ctx context.Context, poll Request, stored Reply) Reply {
	ctx, cancel := context.WithTimeout(ctx, refineWithin)
	defer cancel()
	for _, leader := range in.peers.ShardOwners() {
		if rep, ok := in.ask(ctx, leader, poll); ok && rep.Status == http.StatusOK && rep.State.Stage != wire.StageQueued {
			return rep
		}
	}
	return stored
}

// VerbKnown asks an owner for what it has of jobs in memory.
const VerbKnown = "known"

func (in *Service) cancel(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	req := Request{Verb: VerbCancel, UID: r.PathValue("id")}
	if !wire.ValidJobID(req.UID) {
		refuse(w, http.StatusNotFound, "no such job")
		return
	}
	for _, p := range in.peers.ShardOwners() {
		if rep, ok := in.ask(ctx, p, req); ok {
			in.reply(w, rep)
			return
		}
	}
	rep := in.Serve(ctx, req)
	if rep.Status == 0 && !rep.Busy {
		rep = in.elsewhere(ctx, req)
	}
	in.reply(w, rep)
}

func (in *Service) ask(ctx context.Context, peer string, req Request) (Reply, bool) {
	actx, cancel := context.WithTimeout(ctx, peerWithin)
	defer cancel()
	rep, err := in.peers.AskPeer(actx, peer, req)
	if err != nil {
		in.log.Debug("peer did not answer", "peer", peer, "err", err)
		return Reply{}, false
	}
	return *rep, rep.Status != 0
}

// elsewhere hands a request to a peer that reaches the state service.
func (in *Service) elsewhere(ctx context.Context, req Request) Reply {
	for _, p := range in.peers.ServingPeers() {
		if rep, ok := in.ask(ctx, p, req); ok {
			return rep
		}
	}
	return Reply{}
}

// Serve answers a request with this controller's own means.
func (in *Service) Serve(ctx context.Context, req Request) Reply {
	switch req.Verb {
	case VerbSubmit:
		return in.accept(ctx, req.Body, req.Constraints)
	case VerbCheck:
		return in.check(ctx, req)
	case VerbKnown:
		return in.known(req.UIDs)
	case VerbPoll:
		s, err := in.lookup(statestore.WithPriority(ctx, statestore.Lookup), req.UID)
		return in.found(s, err, http.StatusOK)
	case VerbCancel:
		s, err := in.jobs.Cancel(ctx, req.UID)
		return in.found(s, err, http.StatusOK)
	}
	return Reply{Status: http.StatusBadRequest, Reason: "unknown verb"}
}

func (in *Service) found(s wire.JobState, err error, status int) Reply {
	switch {
	case err == nil:
		return Reply{Status: status, State: s}
	case errors.Is(err, statestore.ErrNotFound):
		return Reply{Status: http.StatusNotFound, Reason: "no such job"}
	}
	in.log.Debug("unsure", "err", err)
	return unsure(err)
}

// unsure answers when this controller can't tell.
func unsure(err error) Reply { return Reply{Busy: errors.Is(err, statestore.ErrBusy)} }

func (in *Service) lookup(ctx context.Context, uid string) (wire.JobState, error) {
	if s, ok := in.jobs.LocalState(uid); ok {
		return s, nil
	}
	return in.stored(ctx, uid)
}

// stored answers from the store, and with what the job's owner knows besides if it is here.
func (in *Service) stored(ctx context.Context, uid string) (wire.JobState, error) {
	s, err := scheduler.StoredState(ctx, in.store, uid)
	if err != nil {
		return s, err
	}
	return in.jobs.RefineState(s), nil
}
