// Package slurmapi serves what Slurm-style clients ask of a controller beyond submitting
// and cancelling jobs: numbers, listings, holds, cancels of single tasks, accounting.
// Its Submitter is that of all other jobs, so the same rules hold for them.
package slurmapi

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/submission"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	answerWithin = 3500 * time.Millisecond
	peerWithin   = time.Second
	pageRows     = 500 // jobs and running tasks of one answer
	pagePages    = 24  // of accounting in one answer
	maxInFlight  = 4
)

// Store is the part of the state service that a Server uses.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	Page(ctx context.Context, prefix, after string, limit int) ([]wire.Item, bool, error)
}

// Jobs is the owner in this process.
type Jobs interface {
	ListJobs(from jobquery.Cursor, most int) ([]jobquery.Info, *jobquery.Cursor)
	LocalJobInfo(uid string) (jobquery.Info, bool)
	Hold(ctx context.Context, uid string, held bool) error
	CancelTasks(ctx context.Context, uid string, tasks jobspec.Ranges) error
}

// Peers are the other controllers.
type Peers interface {
	// Owns reports whether this controller owns shards.
	Owns() bool
	ShardOwners() []string
	// AskOwner has a peer serve a request with its own jobs.
	AskOwner(ctx context.Context, peer string, r Request) (*Reply, error)
}

// Submitter admits jobs.
type Submitter interface {
	Submit(ctx context.Context, r submission.Request) submission.Reply
}

// Catalog knows the machine types.
type Catalog interface {
	All() []wire.MachineType
}

// Server serves Slurm-style clients.
type Server struct {
	set     *Settings
	cfg     *config.Platform
	store   Store
	jobs    Jobs
	numbers *jobid.Allocator
	peers   Peers
	intake  Submitter
	catalog Catalog
	log     *slog.Logger
	limiter *rateLimiter
	slots   chan struct{}
}

// New returns a server; Register makes it reachable.
func New(set *Settings, cfg *config.Platform, store Store, jobs Jobs, numbers *jobid.Allocator, peers Peers, in Submitter, catalog Catalog, log *slog.Logger) *Server {
	return &Server{set: set, cfg: cfg, store: store, jobs: jobs, numbers: numbers, peers: peers, intake: in, catalog: catalog, log: log,
		limiter: newRateLimiter(set.PerS), slots: make(chan struct{}, maxInFlight)}
}

// Register adds the server's paths.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /slurm/site", s.site)
	mux.HandleFunc("POST /slurm/numbers", s.allocateNumbers)
	mux.HandleFunc("GET /slurm/numbers/{n}", s.findNumber)
	mux.HandleFunc("POST /slurm/jobs", s.submit)
	mux.HandleFunc("GET /slurm/jobs", s.limited(s.list))
	mux.HandleFunc("GET /slurm/jobs/{uid}", s.job(verbInfo))
	mux.HandleFunc("POST /slurm/jobs/{uid}/hold", s.job(verbHold))
	mux.HandleFunc("POST /slurm/jobs/{uid}/release", s.job(verbRelease))
	mux.HandleFunc("POST /slurm/jobs/{uid}/drop", s.job(verbDrop))
	mux.HandleFunc("GET /accounting/{day}", s.limited(s.accountingDay))
}

// limited bounds how many costly requests are served a second and at once, so that
// they take no processor time from scheduling.
func (s *Server) limited(f http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if retryAfterS, ok := s.limiter.allow(time.Now()); !ok {
			usage.Note(usage.RefusedRequests)
			refuse(w, http.StatusTooManyRequests, retryAfterS, "too many listings; come back in the time given")
			return
		}
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
			f(w, r)
		default:
			usage.Note(usage.RefusedRequests)
			refuse(w, http.StatusTooManyRequests, 1, "too many listings at once")
		}
	}
}

func (s *Server) site(w http.ResponseWriter, _ *http.Request) {
	site := jobquery.Site{Cluster: s.set.Cluster, Accounts: s.set.Accounts, Class: s.set.Class, Team: s.set.Team, Zones: s.cfg.Params.Zones, Types: s.catalog.All()}
	for _, t := range s.cfg.Params.Teams {
		site.Teams = append(site.Teams, t.Name)
	}
	for _, o := range s.cfg.Params.Objectives {
		if o.Class != "" && !slices.Contains(site.Classes, o.Class) {
			site.Classes = append(site.Classes, o.Class)
		}
	}
	if site.Class == "" && len(site.Classes) > 0 {
		site.Class = site.Classes[0]
	}
	if site.Class != "" && !slices.Contains(site.Classes, site.Class) {
		site.Classes = append(site.Classes, site.Class)
	}
	if site.Team == "" && len(site.Teams) > 0 {
		site.Team = site.Teams[0]
	}
	httpjson.Write(w, http.StatusOK, site)
}

func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	var parsed jobquery.Submission
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBody))
	if err != nil || json.Unmarshal(data, &parsed) != nil || parsed.Constraints == nil {
		refuse(w, http.StatusBadRequest, 0, "job and terms are needed, in no more than 64 KiB")
		return
	}
	verb := submission.VerbSubmit
	if parsed.DryRun {
		verb = submission.VerbCheck
	}
	rep := s.intake.Submit(r.Context(), submission.Request{Verb: verb, Body: parsed.Job, Constraints: parsed.Constraints})
	switch {
	case rep.Status/100 == 2:
		httpjson.Write(w, rep.Status, rep.State)
	case rep.Status == 0:
		refuse(w, http.StatusServiceUnavailable, 1, "can't tell now")
	default:
		refuse(w, rep.Status, 1, rep.Reason)
	}
}
