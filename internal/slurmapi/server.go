// Package slurmapi serves Slurm-style clients over HTTP: numbers, submissions with
// constraints, listings, holds, cancels of single tasks, accounting.
//
// A request about one job is served by the controller that leads it; a listing joins those of
// all. Submissions go to the Submitter of all other jobs, so the same rules hold for them. The
// package keeps no jobs: all state but that of the rate limit is its collaborators'.
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
	requestTimeout     = 3500 * time.Millisecond
	peerTimeout        = time.Second
	maxListed          = 500 // jobs and running tasks in a part of a listing
	maxAccountingPages = 24  // in a response
	maxInFlight        = 4   // listings and parts of accounting at once
)

// Store is the part of the state service that a Server uses.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	Page(ctx context.Context, prefix, after string, limit int) ([]wire.Item, bool, error)
}

// Jobs is the scheduler in this process. It knows the jobs of the shards that this controller
// leads.
type Jobs interface {
	// ListJobs returns up to most jobs and running tasks, in the order of the jobs' numbers,
	// and where the list goes on; nil: it ends.
	ListJobs(from jobquery.Cursor, most int) ([]jobquery.Info, *jobquery.Cursor)
	LocalJobInfo(uid string) (jobquery.Info, bool)
	// Hold keeps a job's waiting tasks from starting, or lets them start.
	Hold(ctx context.Context, uid string, held bool) error
	// CancelTasks cancels single tasks of a job.
	CancelTasks(ctx context.Context, uid string, tasks jobspec.Ranges) error
}

// LeaderKnowledge may be implemented by Jobs: what a leader does not know yet after a failover.
// Without it everything counts as known.
type LeaderKnowledge interface {
	submission.StageAuthority
	// ShardsLoaded reports whether the jobs of all shards that this controller leads are in
	// memory.
	ShardsLoaded() bool
}

// Peers are the other controllers.
type Peers interface {
	// Leads reports whether this controller leads shards.
	Leads() bool
	// ShardLeaders names the other controllers that lead shards.
	ShardLeaders() []string
	// QueryLeader has a peer serve a request with the jobs that it leads.
	QueryLeader(ctx context.Context, peer string, r Request) (*Reply, error)
}

// Submitter accepts jobs.
type Submitter interface {
	// Submit serves a submission or its check, here or at a peer.
	Submit(ctx context.Context, r submission.Request) submission.Reply
}

// Catalog knows the machine types.
type Catalog interface {
	// All returns every machine type, or none while they are unknown.
	All() []wire.MachineType
}

// Server serves Slurm-style clients. It is safe for concurrent use.
type Server struct {
	settings  *Settings
	cfg       *config.Platform
	store     Store
	jobs      Jobs
	knowledge LeaderKnowledge // nil: everything is known
	numbers   *jobid.Allocator
	peers     Peers
	submitter Submitter
	catalog   Catalog
	log       *slog.Logger
	limiter   *rateLimiter
	slots     chan struct{} // of requests that limiter admitted
}

// New returns a server; Register makes it reachable.
func New(set *Settings, cfg *config.Platform, store Store, jobs Jobs, numbers *jobid.Allocator, peers Peers, in Submitter, catalog Catalog, log *slog.Logger) *Server {
	knowledge, _ := jobs.(LeaderKnowledge)
	return &Server{
		settings: set, cfg: cfg, store: store, jobs: jobs, knowledge: knowledge, numbers: numbers, peers: peers, submitter: in, catalog: catalog, log: log,
		limiter: newRateLimiter(set.PerS), slots: make(chan struct{}, maxInFlight),
	}
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
func (s *Server) limited(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if retryAfterS, ok := s.limiter.allow(time.Now()); !ok {
			usage.CountEvent(usage.RefusedRequests)
			refuse(w, http.StatusTooManyRequests, retryAfterS, "too many listings; come back in the time given")
			return
		}
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
			serve(w, r)
		default:
			usage.CountEvent(usage.RefusedRequests)
			refuse(w, http.StatusTooManyRequests, 1, "too many listings at once")
		}
	}
}

// site serves what clients need to know of the site, with defaults where the settings give
// none.
func (s *Server) site(w http.ResponseWriter, _ *http.Request) {
	site := jobquery.Site{Cluster: s.settings.Cluster, Accounts: s.settings.Accounts, Class: s.settings.Class, Team: s.settings.Team, Zones: s.cfg.Params.Zones, Types: s.catalog.All()}
	for _, team := range s.cfg.Params.Teams {
		site.Teams = append(site.Teams, team.Name)
	}
	for _, objective := range s.cfg.Params.Objectives {
		if objective.Class != "" && !slices.Contains(site.Classes, objective.Class) {
			site.Classes = append(site.Classes, objective.Class)
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

// submit serves a submission with constraints, or only checks it.
func (s *Server) submit(w http.ResponseWriter, r *http.Request) {
	var parsed jobquery.Submission
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil || json.Unmarshal(data, &parsed) != nil || parsed.Constraints == nil {
		refuse(w, http.StatusBadRequest, 0, "job and terms are needed, in no more than 64 KiB")
		return
	}
	verb := submission.VerbSubmit
	if parsed.DryRun {
		verb = submission.VerbCheck
	}
	rep := s.submitter.Submit(r.Context(), submission.Request{Verb: verb, Body: parsed.Job, Constraints: parsed.Constraints})
	switch {
	case rep.Status/100 == 2:
		httpjson.Write(w, rep.Status, rep.State)
	case rep.Status == 0:
		refuse(w, http.StatusServiceUnavailable, 1, "can't tell now")
	default:
		refuse(w, rep.Status, 1, rep.Reason)
	}
}
