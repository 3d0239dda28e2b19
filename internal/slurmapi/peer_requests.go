package slurmapi

import (
	"context"
	"errors"
	"net/http"

	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// Request is a request from one controller to another that leads shards.
type Request struct {
	Verb  string          `json:"verb"` // one of the verb constants below
	UID   string          `json:"uid,omitempty"`
	From  jobquery.Cursor `json:"from"`            // position at which a list continues
	Tasks string          `json:"tasks,omitempty"` // tasks to cancel, in the syntax of jobspec.Ranges
}

// Verbs of a Request.
const (
	verbList        = "list"
	verbInfo        = "info"
	verbHold        = "hold"
	verbRelease     = "release"
	verbCancelTasks = "drop" // cancels some of the job's tasks
)

// Reply is the response to a Request. Status is an HTTP status code; 0 means that the peer
// doesn't know the outcome.
type Reply struct {
	Status int              `json:"status"`
	Reason string           `json:"why,omitempty"`
	Jobs   []jobquery.Info  `json:"jobs,omitempty"`
	Next   *jobquery.Cursor `json:"next,omitempty"`
}

// queryPeer sends a request to a peer. It returns false if that fails or the peer doesn't know the
// outcome.
func (s *Server) queryPeer(ctx context.Context, peer string, req Request) (Reply, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := s.peers.QueryLeader(ctx, peer, req)
	if err != nil {
		s.log.Debug("peer query failed", "peer", peer, "err", err)
		return Reply{}, false
	}
	return *reply, reply.Status != 0
}

// Serve serves a request from the jobs of the shards that this controller leads. It sends no
// requests to peers. Reply.Status is 0 if this controller doesn't know the outcome, for example
// because it hasn't loaded its shards yet.
func (s *Server) Serve(ctx context.Context, req Request) Reply {
	var err error
	switch req.Verb {
	case verbList:
		if s.failoverState != nil && !s.failoverState.ShardsLoaded() {
			return Reply{}
		}
		jobs, next := s.jobs.ListJobs(req.From, maxListEntries)
		return Reply{Status: http.StatusOK, Jobs: jobs, Next: next}
	case verbInfo:
		info, ok := s.jobs.LocalJobInfo(req.UID)
		if !ok || info.Stage == wire.StageQueued && s.failoverState != nil && !s.failoverState.SurelyQueued(req.UID, 0) {
			return Reply{}
		}
		return Reply{Status: http.StatusOK, Jobs: []jobquery.Info{info}}
	case verbHold, verbRelease:
		err = s.jobs.Hold(ctx, req.UID, req.Verb == verbHold)
	case verbCancelTasks:
		var tasks jobspec.Ranges
		if tasks, err = jobspec.ParseRanges(req.Tasks); err == nil {
			err = s.jobs.CancelTasks(ctx, req.UID, tasks)
		}
	default:
		return Reply{Status: http.StatusBadRequest, Reason: "unknown verb"}
	}
	switch {
	case err == nil:
		return Reply{Status: http.StatusOK}
	case errors.Is(err, scheduler.ErrInvalidRequest):
		return Reply{Status: http.StatusUnprocessableEntity, Reason: err.Error()}
	case errors.Is(err, statestore.ErrNotFound):
		return Reply{Status: http.StatusNotFound, Reason: "no such job is waiting or running"}
	}
	s.log.Debug("outcome unknown", "job", req.UID, "err", err)
	return Reply{}
}
