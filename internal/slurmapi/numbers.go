package slurmapi

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/wire"
)

// serveNumberAllocation allocates consecutive job numbers, one for each task of a job.
func (s *Server) serveNumberAllocation(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Count int `json:"count"`
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<10))
	if err != nil || json.Unmarshal(data, &request) != nil || request.Count < 1 || request.Count > wire.MaxTasksPerJob {
		writeProblem(w, http.StatusBadRequest, 0, "count: 1 to 100000 is needed")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	first, err := s.numbers.Next(ctx, request.Count)
	if err != nil {
		s.writeError(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, jobid.Job{First: first, Tasks: request.Count})
}

// serveNumberLookup serves the uid, the first number and the task count of the job to which a number
// belongs.
func (s *Server) serveNumberLookup(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.PathValue("n"), 10, 64)
	if err != nil {
		writeProblem(w, http.StatusNotFound, 0, "no such job")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	job, err := s.numbers.Find(ctx, number)
	if err != nil {
		s.writeError(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, job)
}
