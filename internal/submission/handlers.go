package submission

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

// Register registers the HTTP paths for users on mux.
func (s *Service) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /api/jobs", s.limited(s.submitSlots, s.submit))
	mux.HandleFunc("GET /api/jobs/{id}", s.limited(s.otherSlots, s.jobRequest(VerbPoll, pollTimeout, s.poll)))
	mux.HandleFunc("POST /api/jobs/{id}/cancel", s.limited(s.otherSlots, s.jobRequest(VerbCancel, writeTimeout, s.cancel)))
	mux.HandleFunc("GET /up", s.serveHealth)
}

// limited refuses requests while all slots are in use.
func (s *Service) limited(slots chan struct{}, serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			defer usage.AddTime(usage.UserRequests, time.Now())
			serve(w, r)
		default:
			usage.CountEvent(usage.RefusedRequests)
			s.refusals.record(s.log, r.PathValue("id"), RefusedTooMany)
			refuse(w, http.StatusServiceUnavailable, "too many requests at once")
		}
	}
}

func refuse(w http.ResponseWriter, status int, reason string) {
	if status == http.StatusServiceUnavailable && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", "1")
	}
	httpjson.Write(w, status, wire.Problem{Error: reason})
}

func (s *Service) serveHealth(w http.ResponseWriter, _ *http.Request) {
	if !s.peers.Healthy() {
		refuse(w, http.StatusServiceUnavailable, "another controller serves better")
		return
	}
	httpjson.Write(w, http.StatusOK, struct{}{})
}

// respond writes a reply about a job as the HTTP response. uid may be empty.
func (s *Service) respond(w http.ResponseWriter, uid string, rep Reply) {
	rep = s.neverDenyAccepted(uid, s.requireConfirmedCancel(rep))
	s.recordOutcome(uid, &rep)
	switch {
	case rep.succeeded():
		httpjson.Write(w, rep.Status, rep.State)
	case rep.Status == 0:
		refuse(w, http.StatusServiceUnavailable, "can't tell now")
	default:
		refuse(w, rep.Status, rep.Reason)
	}
}

func (s *Service) submit(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, wire.MaxBodyBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, "body unreadable or over 64 KiB")
		return
	}
	rep := s.Submit(r.Context(), Request{Verb: VerbSubmit, Body: body})
	if rep.Busy {
		w.Header().Set("Retry-After", strconv.Itoa(busyRetryS+rand.IntN(busyRetryS)))
	}
	s.respond(w, rep.State.UID, rep)
}

// jobRequest returns a handler for requests about the job in the path, bounded by timeout.
func (s *Service) jobRequest(verb string, timeout time.Duration, serve func(ctx context.Context, req Request) Reply) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), timeout)
		defer cancel()
		req := Request{Verb: verb, UID: r.PathValue("id")}
		if !wire.ValidJobID(req.UID) {
			refuse(w, http.StatusNotFound, "no such job")
			return
		}
		s.respond(w, req.UID, serve(ctx, req))
	}
}
