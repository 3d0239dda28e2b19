// Package rolloutapi serves the operators' HTTP interface of roll-outs and connects their manager
// (package rollout) to the scheduler: it submits and cancels the jobs of roll-outs and finds their
// replicas. It has no state of its own. The leader of autoscaling runs the roll-outs; other
// controllers request statuses from it.
package rolloutapi

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
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// MethodStatuses is the mesh method that returns the statuses. Controllers of other versions call it
// by this name.
const MethodStatuses = "Rollouts"

const (
	requestTimeout = 4 * time.Second
	maxSpecBytes   = 48 << 10 // limit of the body of a request to start a roll-out
)

// Leaders returns the other controllers that lead shards.
type Leaders interface {
	ShardLeaders() []string
}

// Service serves the operators' interface of roll-outs. It is safe for concurrent use.
type Service struct {
	manager   *rollout.Manager
	scheduler *scheduler.Scheduler
	leaders   Leaders
	mesh      *mesh.Mesh
}

// New returns a service with a new manager.
func New(o Options) *Service {
	maxRecord := int(o.Platform.Params.State.ValueKB * 1024 * maxRecordFraction)
	manager := rollout.NewManager(o.Settings, o.Store, &core{o}, taskspec.NewClient(o.Settings.Descriptions), rollout.NewWorkerProber(), maxRecord, o.Log)
	return &Service{manager: manager, scheduler: o.Scheduler, leaders: o.Leaders, mesh: o.Mesh}
}

// Run advances the roll-outs whenever this controller is their leader, until ctx ends.
func (s *Service) Run(ctx context.Context) error { return s.manager.Run(ctx) }

// ReservedCPUs returns the capacity, in CPUs, that is reserved for roll-backs.
func (s *Service) ReservedCPUs() float64 { return s.manager.ReservedCPUs() }

// RegisterMethods registers the methods that peers call. It must be called before the mesh serves.
func (s *Service) RegisterMethods(m *mesh.Mesh) {
	mesh.Handle(m, MethodStatuses, func(context.Context, *struct{}) (*[]rollout.Status, error) {
		out := s.manager.Statuses()
		return &out, nil
	})
}

// Register registers the HTTP handlers.
func (s *Service) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /ops/rollouts", s.start)
	mux.HandleFunc("GET /ops/rollouts", s.list)
	mux.HandleFunc("GET /ops/rollouts/{service}", s.show)
	mux.HandleFunc("GET /ops/rollouts/{service}/history", s.history)
	mux.HandleFunc("POST /ops/rollouts/{service}/{verb}", s.applyVerb)
}

func (s *Service) start(w http.ResponseWriter, r *http.Request) {
	var spec rollout.Spec
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSpecBytes))
	if err == nil {
		err = json.Unmarshal(data, &spec)
	}
	if err != nil {
		writeResult(w, nil, fmt.Errorf("%w: malformed: %w", rollout.ErrInput, err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	run, err := s.manager.Start(ctx, spec)
	writeResult(w, run, err)
}

func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	writeResult(w, s.statuses(ctx), nil)
}

func (s *Service) show(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	for _, status := range s.statuses(ctx) {
		if status.Service.Name == r.PathValue("service") {
			writeResult(w, status, nil)
			return
		}
	}
	writeResult(w, nil, fmt.Errorf("%w: service: %s is unknown", rollout.ErrInput, r.PathValue("service")))
}

func (s *Service) history(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	past, err := s.manager.History(ctx, r.PathValue("service"))
	writeResult(w, past, err)
}

func (s *Service) applyVerb(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
	defer cancel()
	run, err := s.manager.ApplyVerb(ctx, r.PathValue("service"), r.PathValue("verb"))
	writeResult(w, run, err)
}

// statuses returns this controller's statuses if it leads autoscaling or no other shard leader
// responds. Otherwise it returns those of the first shard leader that responds. Only the leader of
// autoscaling knows the replicas' health.
func (s *Service) statuses(ctx context.Context) []rollout.Status {
	if !s.scheduler.LeadsAutoscaling() {
		for _, leader := range s.leaders.ShardLeaders() {
			if reply, err := mesh.Call[struct{}, []rollout.Status](ctx, s.mesh, leader, MethodStatuses, &struct{}{}); err == nil {
				return *reply
			}
		}
	}
	return s.manager.Statuses()
}

// writeResult writes a result, or the status and problem that correspond to an error.
func writeResult(w http.ResponseWriter, result any, err error) {
	status := http.StatusOK
	var conflict *statestore.ConflictError
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
