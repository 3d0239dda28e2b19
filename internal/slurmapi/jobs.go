package slurmapi

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/wire"
)

// maxTasksBody limits the size in bytes of a request body that names the tasks to cancel.
const maxTasksBody = 16 << 10

// serveList serves one page of the listing of all leaders' jobs, ordered by job number. It
// answers 503 if there is no leader, if one does not respond or if one is still loading its jobs,
// because clients regard a job that is missing from a listing as ended.
func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	req := Request{Verb: verbList, From: parseCursor(r.URL.Query())}
	page := jobquery.Page{Jobs: []jobquery.Info{}, NowMs: time.Now().UnixMilli()}
	leaders := s.peers.ShardLeaders()
	if s.peers.Leads() {
		localReply := s.Serve(ctx, req)
		if localReply.Status == 0 {
			writeProblem(w, http.StatusServiceUnavailable, 1, "the jobs are being loaded")
			return
		}
		mergeReply(&page, localReply)
	} else if len(leaders) == 0 {
		writeProblem(w, http.StatusServiceUnavailable, 1, "nobody owns the jobs now")
		return
	}
	for _, peer := range leaders {
		reply, ok := s.queryPeer(ctx, peer, req)
		if !ok {
			writeProblem(w, http.StatusServiceUnavailable, 1, "an owner of jobs does not answer")
			return
		}
		mergeReply(&page, reply)
	}
	if len(leaders) > 0 {
		sortAndTruncate(&page)
	}
	writeJSONLines(w, "jobs", page.Jobs, jsonField{"next", page.Next}, jsonField{"now", page.NowMs})
}

// parseCursor parses the position at which a listing continues. Missing, malformed and
// negative values are read as 0, which is the beginning.
func parseCursor(query url.Values) (from jobquery.Cursor) {
	from.Number, _ = strconv.ParseUint(query.Get("number"), 10, 64)
	from.SkipPlacements, _ = strconv.Atoi(query.Get("on"))
	from.Task, _ = strconv.Atoi(query.Get("task"))
	from.SkipPlacements, from.Task = max(0, from.SkipPlacements), max(0, from.Task)
	return from
}

// mergeReply appends one leader's jobs to a page. page.Next becomes the position with the smallest
// job number among the replies' positions.
func mergeReply(page *jobquery.Page, reply Reply) {
	page.Jobs = append(page.Jobs, reply.Jobs...)
	if reply.Next != nil && (page.Next == nil || reply.Next.Number < page.Next.Number) {
		page.Next = reply.Next
	}
}

// sortAndTruncate sorts a page merged from several leaders' replies by job number. It removes the
// jobs from page.Next on, which the next page contains. If page.Next is a position within a job,
// that job stays.
func sortAndTruncate(page *jobquery.Page) {
	slices.SortStableFunc(page.Jobs, func(a, b jobquery.Info) int {
		return cmp.Compare(a.Constraints.Number, b.Constraints.Number)
	})
	next := page.Next
	if next == nil {
		return
	}
	page.Jobs = slices.DeleteFunc(page.Jobs, func(i jobquery.Info) bool {
		return i.Constraints.Number > next.Number || i.Constraints.Number == next.Number && next.SkipPlacements+next.Task == 0
	})
}

// jobHandler returns the handler of requests about one job. The controller that leads the job
// serves them. If none does, verbInfo reads the job from the state service, which also holds
// the final states of ended jobs. The answer is 503 if the outcome or the job's state is unknown.
func (s *Server) jobHandler(verb string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := Request{Verb: verb, UID: r.PathValue("uid")}
		if !wire.ValidJobID(req.UID) {
			writeProblem(w, http.StatusNotFound, 0, "no such job")
			return
		}
		if verb == verbCancelTasks {
			var err error
			if req.Tasks, err = readTasks(w, r); err != nil {
				writeProblem(w, http.StatusBadRequest, 0, err.Error())
				return
			}
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		reply := s.queryShardLeader(ctx, req)
		if reply.Status == 0 && verb == verbInfo {
			info, err := scheduler.ReadStoredJobInfo(ctx, s.store, req.UID)
			if err != nil {
				s.writeError(w, err)
				return
			}
			if s.mayRun(&info) {
				writeProblem(w, http.StatusServiceUnavailable, 1, "can't tell now")
				return
			}
			reply = Reply{Status: http.StatusOK, Jobs: []jobquery.Info{info}}
		}
		writeJobReply(w, verb, reply)
	}
}

// mayRun reports whether a job read from the state service may be running. The state service
// stores every active job as queued, so a queued job may be running unless it was accepted just
// now. Without a FailoverState it returns false.
func (s *Server) mayRun(stored *jobquery.Info) bool {
	return s.failoverState != nil && stored.Stage == wire.StageQueued && !scheduler.JustAccepted(stored.AcceptedMs)
}

// readTasks reads the tasks to cancel from a request body. The texts of its errors are sent to clients.
func readTasks(w http.ResponseWriter, r *http.Request) (string, error) {
	var body struct {
		Tasks string `json:"tasks"`
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTasksBody))
	if err != nil || json.Unmarshal(data, &body) != nil {
		return "", errors.New("tasks: ranges of numbers are needed")
	}
	if _, err := jobspec.ParseRanges(body.Tasks); err != nil {
		return "", fmt.Errorf("tasks: %w", err)
	}
	return body.Tasks, nil
}

// queryShardLeader returns the reply of the first peer that knows the outcome of the request. If no
// peer does, it serves the request locally.
func (s *Server) queryShardLeader(ctx context.Context, req Request) Reply {
	for _, peer := range s.peers.ShardLeaders() {
		if reply, ok := s.queryPeer(ctx, peer, req); ok {
			return reply
		}
	}
	return s.Serve(ctx, req)
}

func writeJobReply(w http.ResponseWriter, verb string, reply Reply) {
	switch {
	case reply.Status == 0:
		writeProblem(w, http.StatusServiceUnavailable, 1, "can't tell now")
	case reply.Status != http.StatusOK:
		writeProblem(w, reply.Status, 1, reply.Reason)
	case verb == verbInfo && len(reply.Jobs) == 1:
		httpjson.Write(w, http.StatusOK, reply.Jobs[0])
	default:
		httpjson.Write(w, http.StatusOK, struct{}{})
	}
}
