package controller

import (
	"context"
	"log/slog"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/peerlinks"
)

// localDispatcher refers to this process's dispatcher for the components that are created
// before it: the scheduler and the cancellation registry send commands through the dispatcher,
// and the dispatcher consults them before each start. It is set once, before anything runs.
type localDispatcher struct {
	commandTarget
}

// commandTarget is the part of the dispatcher that those components use.
type commandTarget interface {
	ApplyInstructions(instructions dispatch.Instructions) dispatch.Unlaunched
	HaltCancelledTasks()
}

// instructionRouter sends a scheduler's instructions to the dispatcher of a worker, here or at
// a peer. It implements scheduler.Dispatchers.
type instructionRouter struct {
	node  string
	local *localDispatcher
	peers *peerlinks.Caller
}

func (r *instructionRouter) register(m *mesh.Mesh) {
	mesh.Handle(m, methodInstructions, func(_ context.Context, instructions *dispatch.Instructions) (*dispatch.Unlaunched, error) {
		unlaunched := r.local.ApplyInstructions(*instructions)
		return &unlaunched, nil
	})
}

// SendInstructions makes a dispatcher apply instructions, and returns the placements that it
// had not launched.
func (r *instructionRouter) SendInstructions(ctx context.Context, dispatcher string, instructions dispatch.Instructions) (dispatch.Unlaunched, error) {
	if dispatcher == r.node {
		return r.local.ApplyInstructions(instructions), nil
	}
	rep, err := peerlinks.Call[dispatch.Instructions, dispatch.Unlaunched](ctx, r.peers, dispatcher, methodInstructions, &instructions)
	if err != nil {
		return dispatch.Unlaunched{}, err
	}
	return *rep, nil
}

// taskHalter halts the tasks of jobs that were just found to be cancelled.
type taskHalter struct {
	local *localDispatcher
	log   *slog.Logger
}

// halt starts to halt the tasks of cancelled jobs, given by id, and returns at once: the caller may
// hold the scheduler's lock, which the dispatcher acquires too.
func (h *taskHalter) halt(jobs []string) {
	go h.local.HaltCancelledTasks()
	h.log.Debug("jobs cancelled", "jobs", jobs)
}
