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
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/quota"
	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	methodRollouts  = "Rollouts"
	rolloutsWithin  = 4 * time.Second
	firstShard      = 0 // its owner leads the fleet, and the roll-outs
	maxRolloutBytes = 48 << 10
)

// rolloutCore is the scheduler as roll-outs see it.
type rolloutCore struct{ n *node }

// Lead implements rollout.Core.
func (c rolloutCore) Lead() (wire.Guard, bool) {
	v, ok := c.n.member.OwnsShard(firstShard)
	return wire.Guard{Key: c.n.member.ShardKey(firstShard), Version: v}, ok && c.n.owner.LeadsAutoscaling()
}

// Submit implements rollout.Core.
func (c rolloutCore) Submit(ctx context.Context, job *wire.Job, guards ...wire.Guard) error {
	if _, err := scheduler.StoredState(ctx, c.n.store, job.UID); err == nil {
		return nil
	} else if !errors.Is(err, statestore.ErrNotFound) {
		return err
	}
	shard := quota.AssignShard(job, c.n.cfg.Params.Teams, c.n.op)
	at := time.Now().UnixMilli()
	var t *jobspec.Constraints
	if numbers := c.n.numbers; numbers != nil {
		number, err := numbers.Take(ctx, job.Tasks)
		if err != nil {
			return err
		}
		t = &jobspec.Constraints{Number: number, Name: job.Class}
	}
	accept, ops := jobrecord.AcceptanceTxn(job, t, shard, at)
	rev, err := c.n.store.Txn(ctx, append(accept, guards...), ops...)
	if err != nil {
		return err
	}
	c.n.owner.JobAccepted(job, t, shard, at, rev)
	return nil
}

// Cancel implements rollout.Core.
func (c rolloutCore) Cancel(ctx context.Context, uid string) error {
	if _, err := c.n.owner.Cancel(ctx, uid); !errors.Is(err, statestore.ErrNotFound) {
		return err
	}
	return nil
}

// Replicas implements rollout.Core.
func (c rolloutCore) Replicas(uid string) []rollout.Replica {
	var out []rollout.Replica
	for _, t := range c.n.owner.RunningTasks(uid) {
		if at := c.n.holder.Endpoint(t.Machine); at != "" {
			out = append(out, rollout.Replica{Task: t.Task, Attempt: t.Attempt, Endpoint: at})
		}
	}
	return out
}

// Unfinished implements rollout.Core.
func (c rolloutCore) Unfinished(class string) bool { return c.n.owner.HasUnfinishedJobs(class) }

func (n *node) newRollouts(s *rollout.Settings) *rollout.Manager {
	most := int(n.cfg.Params.State.ValueKB * 1024 * 0.9)
	m := rollout.NewManager(s, n.store, rolloutCore{n}, taskspec.NewClient(s.Descriptions), rollout.NewWorkerProber(), most, n.log)
	mesh.Handle(n.mesh, methodRollouts, func(context.Context, *nothing) (*[]rollout.Status, error) {
		out := m.Statuses()
		return &out, nil
	})
	return m
}

// serveRollouts adds the operators' interface of roll-outs.
func (n *node) serveRollouts(mux *http.ServeMux, m *rollout.Manager) {
	outcome := func(w http.ResponseWriter, v any, err error) {
		status := http.StatusOK
		var conflict *statestore.Conflict
		switch {
		case errors.Is(err, rollout.ErrInput):
			status, v = http.StatusUnprocessableEntity, wire.Problem{Error: err.Error()}
		case errors.As(err, &conflict):
			w.Header().Set("Retry-After", "1")
			status, v = http.StatusServiceUnavailable, wire.Problem{Error: "somebody else changed it at the same time"}
		case err != nil:
			w.Header().Set("Retry-After", "1")
			status, v = http.StatusServiceUnavailable, wire.Problem{Error: err.Error()}
		}
		httpjson.Write(w, status, v)
	}
	within := func(r *http.Request) (context.Context, context.CancelFunc) {
		return context.WithTimeout(r.Context(), rolloutsWithin)
	}
	statuses := func(ctx context.Context) []rollout.Status {
		if !n.owner.LeadsAutoscaling() {
			for _, p := range n.ShardOwners() { // the leader knows the replicas' health
				if rep, err := mesh.Call[nothing, []rollout.Status](ctx, n.mesh, p, methodRollouts, &nothing{}); err == nil {
					return *rep
				}
			}
		}
		return m.Statuses()
	}
	mux.HandleFunc("POST /ops/rollouts", func(w http.ResponseWriter, r *http.Request) {
		var spec rollout.Spec
		data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRolloutBytes))
		if err == nil {
			err = json.Unmarshal(data, &spec)
		}
		if err != nil {
			outcome(w, nil, fmt.Errorf("%w: malformed: %w", rollout.ErrInput, err))
			return
		}
		ctx, cancel := within(r)
		defer cancel()
		run, err := m.Start(ctx, spec)
		outcome(w, run, err)
	})
	mux.HandleFunc("GET /ops/rollouts", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := within(r)
		defer cancel()
		outcome(w, statuses(ctx), nil)
	})
	mux.HandleFunc("GET /ops/rollouts/{service}", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := within(r)
		defer cancel()
		for _, s := range statuses(ctx) {
			if s.Service.Name == r.PathValue("service") {
				outcome(w, s, nil)
				return
			}
		}
		outcome(w, nil, fmt.Errorf("%w: service: %s is unknown", rollout.ErrInput, r.PathValue("service")))
	})
	mux.HandleFunc("GET /ops/rollouts/{service}/history", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := within(r)
		defer cancel()
		past, err := m.History(ctx, r.PathValue("service"))
		outcome(w, past, err)
	})
	mux.HandleFunc("POST /ops/rollouts/{service}/{verb}", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := within(r)
		defer cancel()
		run, err := m.Order(ctx, r.PathValue("service"), r.PathValue("verb"))
		outcome(w, run, err)
	})
}
