package slurmapi

import (
	"context"
	"io"
	"net/http"
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

// list joins what all owners have, in the order of the jobs' numbers.
func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	var from jobquery.Cursor
	q := r.URL.Query()
	from.Number, _ = strconv.ParseUint(q.Get("number"), 10, 64) // from the beginning if it is none
	from.On, _ = strconv.Atoi(q.Get("on"))
	from.Task, _ = strconv.Atoi(q.Get("task"))
	from.On, from.Task = max(0, from.On), max(0, from.Task)
	page := jobquery.Page{Jobs: []jobquery.Info{}, NowMs: time.Now().UnixMilli()}
	owners := s.peers.ShardOwners()
	add := func(rep Reply) {
		page.Jobs = append(page.Jobs, rep.Jobs...)
		if rep.Next != nil && (page.Next == nil || rep.Next.Number < page.Next.Number) {
			page.Next = rep.Next
		}
	}
	req := Request{Verb: verbList, From: from}
	if s.peers.Owns() {
		add(s.Serve(ctx, req))
	} else if len(owners) == 0 {
		refuse(w, http.StatusServiceUnavailable, 1, "nobody owns the jobs now")
		return
	}
	for _, p := range owners {
		rep, ok := s.ask(ctx, p, req)
		if !ok {
			refuse(w, http.StatusServiceUnavailable, 1, "an owner of jobs does not answer")
			return
		}
		add(rep)
	}
	if len(owners) > 0 {
		slices.SortStableFunc(page.Jobs, func(a, b jobquery.Info) int { return int(int64(a.Constraints.Number) - int64(b.Constraints.Number)) })
		if page.Next != nil {
			// Beyond where the first owner's part ends, others' jobs come again.
			page.Jobs = slices.DeleteFunc(page.Jobs, func(i jobquery.Info) bool {
				return i.Constraints.Number > page.Next.Number || i.Constraints.Number == page.Next.Number && page.Next.On+page.Next.Task == 0
			})
		}
	}
	writeLines(w, "jobs", page.Jobs, map[string]any{"next": page.Next, "now": page.NowMs})
}

// job serves a request about one job: its owner's to answer.
func (s *Server) job(verb string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req := Request{Verb: verb, UID: r.PathValue("uid")}
		if !wire.ValidJobID(req.UID) {
			refuse(w, http.StatusNotFound, 0, "no such job")
			return
		}
		if verb == verbDrop {
			var ask struct {
				Tasks string `json:"tasks"`
			}
			data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 16<<10))
			if err != nil || json.Unmarshal(data, &ask) != nil {
				refuse(w, http.StatusBadRequest, 0, "tasks: ranges of numbers are needed")
				return
			}
			if _, err := jobspec.ParseRanges(ask.Tasks); err != nil {
				refuse(w, http.StatusBadRequest, 0, "tasks: "+err.Error())
				return
			}
			req.Tasks = ask.Tasks
		}
		ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
		defer cancel()
		rep := Reply{}
		for _, p := range s.peers.ShardOwners() {
			if got, ok := s.ask(ctx, p, req); ok {
				rep = got
				break
			}
		}
		if rep.Status == 0 {
			rep = s.Serve(ctx, req)
		}
		if rep.Status == 0 && verb == verbInfo {
			i, err := scheduler.StoredJobInfo(ctx, s.store, req.UID)
			if err != nil {
				s.writeError(w, err)
				return
			}
			rep = Reply{Status: http.StatusOK, Jobs: []jobquery.Info{i}}
		}
		switch {
		case rep.Status == 0:
			refuse(w, http.StatusServiceUnavailable, 1, "can't tell now")
		case rep.Status != http.StatusOK:
			refuse(w, rep.Status, 1, rep.Why)
		case verb == verbInfo && len(rep.Jobs) == 1:
			httpjson.Write(w, http.StatusOK, rep.Jobs[0])
		default:
			httpjson.Write(w, http.StatusOK, struct{}{})
		}
	}
}
