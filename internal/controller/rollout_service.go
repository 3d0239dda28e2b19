package controller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	rolloutTimeout  = 4 * time.Second
	maxRolloutBytes = 48 << 10
)

// rolloutService is the operators' interface of roll-outs.
type rolloutService struct {
	manager   *rollout.Manager
	scheduler *scheduler.Scheduler
	leaders   *leaders
	mesh      *mesh.Mesh
}

func (s *rolloutService) register(m *mesh.Mesh) {
	mesh.Handle(m, methodRollouts, func(context.Context, *empty) (*[]rollout.Status, error) {
		out := s.manager.Statuses()
		return &out, nil
	})
}

func (s *rolloutService) routes(mux *http.ServeMux) {
	mux.HandleFunc("POST /ops/rollouts", s.start)
	mux.HandleFunc("GET /ops/rollouts", s.list)
	mux.HandleFunc("GET /ops/rollouts/{service}", s.show)
	mux.HandleFunc("GET /ops/rollouts/{service}/history", s.history)
	mux.HandleFunc("POST /ops/rollouts/{service}/{verb}", s.order)
}

func (s *rolloutService) start(w http.ResponseWriter, r *http.Request) {
	var spec rollout.Spec
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRolloutBytes))
	if err == nil {
		err = json.Unmarshal(data, &spec)
	}
	if err != nil {
		writeRollout(w, nil, fmt.Errorf("%w: malformed: %w", rollout.ErrInput, err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), rolloutTimeout)
	defer cancel()
	run, err := s.manager.Start(ctx, spec)
	writeRollout(w, run, err)
}

func (s *rolloutService) list(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), rolloutTimeout)
	defer cancel()
	writeRollout(w, s.statuses(ctx), nil)
}

func (s *rolloutService) show(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), rolloutTimeout)
	defer cancel()
	for _, status := range s.statuses(ctx) {
		if status.Service.Name == r.PathValue("service") {
			writeRollout(w, status, nil)
			return
		}
	}
	writeRollout(w, nil, fmt.Errorf("%w: service: %s is unknown", rollout.ErrInput, r.PathValue("service")))
}

func (s *rolloutService) history(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), rolloutTimeout)
	defer cancel()
	past, err := s.manager.History(ctx, r.PathValue("service"))
	writeRollout(w, past, err)
}

func (s *rolloutService) order(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), rolloutTimeout)
	defer cancel()
	run, err := s.manager.Order(ctx, r.PathValue("service"), r.PathValue("verb"))
	writeRollout(w, run, err)
}

// statuses returns the roll-outs as their leader sees them, which knows the replicas' health,
// or else as they are known here.
func (s *rolloutService) statuses(ctx context.Context) []rollout.Status {
	if !s.scheduler.LeadsAutoscaling() {
		for _, leader := range s.leaders.ShardOwners() {
			if reply, err := mesh.Call[empty, []rollout.Status](ctx, s.mesh, leader, methodRollouts, &empty{}); err == nil {
				return *reply
			}
		}
	}
	return s.manager.Statuses()
}

// writeRollout writes a result, or what its error means to operators.
func writeRollout(w http.ResponseWriter, result any, err error) {
	status := http.StatusOK
	var conflict *statestore.Conflict
	switch {
	case errors.Is(err, rollout.ErrInput):
		status, result = http.StatusUnprocessableEntity, wire.Problem{Error: err.Error()}
	case errors.As(err, &conflict):
		w.Header().Set("Retry-After", "1")
		status, result = http.StatusServiceUnavailable, wire.Problem{Error: "somebody else changed it at the same time"}
	case err != nil:
		w.Header().Set("Retry-After", "1")
		status, result = http.StatusServiceUnavailable, wire.Problem{Error: err.Error()}
	}
	httpjson.Write(w, status, result)
}
