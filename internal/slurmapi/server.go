// Package slurmapi serves Slurm-style clients over HTTP: job numbers, submissions with
// constraints, listings, holds, cancellation of single tasks, and accounting.
//
// The controller that leads a job serves the requests about it. A listing merges the jobs of all
// leaders. Submissions use the same Submitter as jobs of other clients, so that the same rules
// apply to them. The package holds no state besides that of the rate limit.
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
	maxListEntries     = 500 // jobs and running tasks per page of a listing
	maxAccountingPages = 24  // per response
	maxInFlight        = 4   // concurrent requests for listings and accounting
)

// Store is the subset of the state service's operations that a Server uses.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, error)
	Page(ctx context.Context, prefix, after string, limit int) ([]wire.Item, bool, error)
}

// Jobs is the scheduler in this process. It holds the jobs of the shards that this controller
// leads.
type Jobs interface {
	// ListJobs returns the jobs from a position on, ordered by job number. The number
	// of jobs plus that of their running tasks is at most limit. It also returns the position at
	// which the list continues, nil at its end.
	ListJobs(from jobquery.Cursor, limit int) ([]jobquery.Info, *jobquery.Cursor)
	LocalJobInfo(uid string) (jobquery.Info, bool)
	// Hold prevents a job's pending tasks from starting if held is set, and otherwise releases
	// them.
	Hold(ctx context.Context, uid string, held bool) error
	// CancelTasks cancels the given tasks of a job.
	CancelTasks(ctx context.Context, uid string, tasks jobspec.Ranges) error
}

// FailoverState reports which part of the jobs' state a leader has recovered after a failover. An
// implementation of Jobs may implement it too. If it doesn't, its state is assumed to be complete.
type FailoverState interface {
	submission.StageAuthority
	// ShardsLoaded reports whether the jobs of all shards that this controller leads are in
	// memory.
	ShardsLoaded() bool
}

// Peers provides access to the other controllers.
type Peers interface {
	// Leads reports whether this controller leads shards.
	Leads() bool
	// ShardLeaders returns the names of the other controllers that lead shards.
	ShardLeaders() []string
	// QueryLeader sends a request to a peer, which serves it from the jobs that it leads.
	QueryLeader(ctx context.Context, peer string, r Request) (*Reply, error)
}

// Submitter accepts jobs.
type Submitter interface {
	// Submit serves a submission, or only validates it, in this process or through a peer.
	Submit(ctx context.Context, r submission.Request) submission.Reply
}

// Catalog lists the machine types.
type Catalog interface {
	// All returns every machine type, or none while they are unknown.
	All() []wire.MachineType
}

// Server serves Slurm-style clients. It is safe for concurrent use.
type Server struct {
	settings      *Settings
	cfg           *config.Platform
	store         Store
	jobs          Jobs
	failoverState FailoverState // nil: the state is assumed to be complete
	numbers       *jobid.Allocator
	peers         Peers
	submitter     Submitter
	catalog       Catalog
	log           *slog.Logger
	limiter       *rateLimiter
	requestSlots  chan struct{} // semaphore for concurrent requests that limiter admitted
}

// New returns a server. Register adds its handlers to a mux.
func New(slurmSettings *Settings, cfg *config.Platform, store Store, jobs Jobs, numbers *jobid.Allocator, peers Peers, jobSubmitter Submitter, catalog Catalog, log *slog.Logger) *Server {
	failoverState, _ := jobs.(FailoverState)
	return &Server{
		settings: slurmSettings, cfg: cfg, store: store, jobs: jobs, failoverState: failoverState, numbers: numbers, peers: peers, submitter: jobSubmitter, catalog: catalog, log: log,
		limiter: newRateLimiter(slurmSettings.ListingsPerS), requestSlots: make(chan struct{}, maxInFlight),
	}
}

// Register registers the server's handlers with mux.
func (s *Server) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /slurm/site", s.serveSite)
	mux.HandleFunc("POST /slurm/numbers", s.serveNumberAllocation)
	mux.HandleFunc("GET /slurm/numbers/{n}", s.serveNumberLookup)
	mux.HandleFunc("POST /slurm/jobs", s.serveSubmission)
	mux.HandleFunc("GET /slurm/jobs", s.rateLimited(s.serveList))
	mux.HandleFunc("GET /slurm/jobs/{uid}", s.jobHandler(verbInfo))
	mux.HandleFunc("POST /slurm/jobs/{uid}/hold", s.jobHandler(verbHold))
	mux.HandleFunc("POST /slurm/jobs/{uid}/release", s.jobHandler(verbRelease))
	mux.HandleFunc("POST /slurm/jobs/{uid}/drop", s.jobHandler(verbCancelTasks))
	mux.HandleFunc("GET /accounting/{day}", s.rateLimited(s.serveAccountingDay))
}

// rateLimited limits the rate and the concurrency of expensive requests, so that they don't take
// processor time from scheduling. Requests beyond a limit are answered with 429.
func (s *Server) rateLimited(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if retryAfterS, ok := s.limiter.allow(time.Now()); !ok {
			usage.CountEvent(usage.RefusedRequests)
			writeProblem(w, http.StatusTooManyRequests, retryAfterS, "too many listings; come back in the time given")
			return
		}
		select {
		case s.requestSlots <- struct{}{}:
			defer func() { <-s.requestSlots }()
			serve(w, r)
		default:
			usage.CountEvent(usage.RefusedRequests)
			writeProblem(w, http.StatusTooManyRequests, 1, "too many listings at once")
		}
	}
}

// serveSite serves the site's classes, teams, zones and machine types. If the settings name no
// default class or team, the first one of the platform's settings is the default.
func (s *Server) serveSite(w http.ResponseWriter, _ *http.Request) {
	site := jobquery.Site{Cluster: s.settings.ClusterName, Accounts: s.settings.AccountingEnabled, Class: s.settings.DefaultClass, Team: s.settings.DefaultTeam, Zones: s.cfg.Params.Zones, Types: s.catalog.All()}
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

// serveSubmission serves a submission with constraints. A dry run is only validated.
func (s *Server) serveSubmission(w http.ResponseWriter, r *http.Request) {
	var parsed jobquery.Submission
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil || json.Unmarshal(data, &parsed) != nil || parsed.Constraints == nil {
		writeProblem(w, http.StatusBadRequest, 0, "job and terms are needed, in no more than 64 KiB")
		return
	}
	verb := submission.VerbSubmit
	if parsed.DryRun {
		verb = submission.VerbCheck
	}
	reply := s.submitter.Submit(r.Context(), submission.Request{Verb: verb, Body: parsed.Job, Constraints: parsed.Constraints})
	switch {
	case reply.Status/100 == 2:
		httpjson.Write(w, reply.Status, reply.State)
	case reply.Status == 0:
		writeProblem(w, http.StatusServiceUnavailable, 1, "can't tell now")
	default:
		writeProblem(w, reply.Status, 1, reply.Reason)
	}
}
