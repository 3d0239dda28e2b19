package slurmapi

import (
	"context"
	"errors"
	"net/http"

	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
)

// Request is what one controller asks of another that owns jobs.
type Request struct {
	Verb  string          `json:"verb"`
	UID   string          `json:"uid,omitempty"`
	From  jobquery.Cursor `json:"from"`
	Tasks string          `json:"tasks,omitempty"`
}

// Verbs of a Request.
const (
	verbList    = "list"
	verbInfo    = "info"
	verbHold    = "hold"
	verbRelease = "release"
	verbDrop    = "drop"
)

// Reply is the answer to a Request. Status 0 means that the peer does not know the
// outcome either.
type Reply struct {
	Status int              `json:"status"`
	Why    string           `json:"why,omitempty"`
	Jobs   []jobquery.Info  `json:"jobs,omitempty"`
	Next   *jobquery.Cursor `json:"next,omitempty"`
}

func (s *Server) ask(ctx context.Context, peer string, req Request) (Reply, bool) {
	actx, cancel := context.WithTimeout(ctx, peerWithin)
	defer cancel()
	rep, err := s.peers.AskOwner(actx, peer, req)
	if err != nil {
		s.log.Debug("peer did not answer", "peer", peer, "err", err)
		return Reply{}, false
	}
	return *rep, rep.Status != 0
}

// Serve answers a request from this controller's own jobs alone.
func (s *Server) Serve(ctx context.Context, r Request) Reply {
	var err error
	switch r.Verb {
	case verbList:
		jobs, next := s.jobs.ListJobs(r.From, pageRows)
		return Reply{Status: http.StatusOK, Jobs: jobs, Next: next}
	case verbInfo:
		i, ok := s.jobs.LocalJobInfo(r.UID)
		if !ok {
			return Reply{}
		}
		return Reply{Status: http.StatusOK, Jobs: []jobquery.Info{i}}
	case verbHold, verbRelease:
		err = s.jobs.Hold(ctx, r.UID, r.Verb == verbHold)
	case verbDrop:
		var tasks jobspec.Ranges
		if tasks, err = jobspec.ParseRanges(r.Tasks); err == nil {
			err = s.jobs.CancelTasks(ctx, r.UID, tasks)
		}
	default:
		return Reply{Status: http.StatusBadRequest, Why: "unknown verb"}
	}
	switch {
	case err == nil:
		return Reply{Status: http.StatusOK}
	case errors.Is(err, scheduler.ErrInvalidRequest):
		return Reply{Status: http.StatusUnprocessableEntity, Why: err.Error()}
	case errors.Is(err, statestore.ErrNotFound):
		return Reply{Status: http.StatusNotFound, Why: "no such job is waiting or running"}
	}
	s.log.Debug("unsure", "err", err)
	return Reply{}
}
