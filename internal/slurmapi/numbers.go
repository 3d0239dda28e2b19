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

func (s *Server) allocateNumbers(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		Count int `json:"count"`
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 1<<10))
	if err != nil || json.Unmarshal(data, &ask) != nil || ask.Count < 1 || ask.Count > wire.MaxTasks {
		refuse(w, http.StatusBadRequest, 0, "count: 1 to 100000 is needed")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	n, err := s.numbers.Next(ctx, ask.Count)
	if err != nil {
		s.writeError(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, jobid.Job{First: n, Tasks: ask.Count})
}

func (s *Server) findNumber(w http.ResponseWriter, r *http.Request) {
	n, err := strconv.ParseUint(r.PathValue("n"), 10, 64)
	if err != nil {
		refuse(w, http.StatusNotFound, 0, "no such job")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), answerWithin)
	defer cancel()
	j, err := s.numbers.Find(ctx, n)
	if err != nil {
		s.writeError(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, j)
}
