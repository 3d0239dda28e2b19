package worker

import (
	"context"
	"errors"
	"time"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	fetchTries   = 5 // to fetch a task description before the attempt fails
	fetchBackoff = 300 * time.Millisecond
)

// executeLocked executes commands. A command that doesn't apply in the attempt's current state,
// such as a repeated one, is ignored.
func (s *State) executeLocked(ctx context.Context, commands []wire.Command) {
	changed := false
	for _, command := range commands {
		key := attemptKey{command.Task, command.Attempt}
		a := s.attempts[key]
		switch {
		case command.Verb == wire.VerbStart && a == nil:
			s.launchLocked(ctx, key)
		case command.Verb == wire.VerbStop && a != nil && a.State != wire.TaskExited:
			a.stop(command.GraceS)
		case command.Verb == wire.VerbForget && a != nil && a.State == wire.TaskExited:
			delete(s.attempts, key)
		default:
			continue
		}
		changed = true
	}
	if changed {
		go s.onChange()
	}
}

// stop executes a stop command. An attempt whose description is still being fetched exits at once.
// graceS is the grace period of a running process in seconds; nil: none.
func (a *attempt) stop(graceS *float64) {
	if a.State == wire.TaskFetching {
		a.terminate(0)
		a.markExited(wire.CauseStopped)
		return
	}
	grace := time.Duration(0)
	if graceS != nil && *graceS > 0 {
		grace = time.Duration(*graceS * float64(time.Second))
	}
	a.terminate(grace)
}

// launchLocked executes a start command for a new attempt. The attempt exits at once if the task's
// name is invalid or another attempt of the task has not exited. If neither is the case, a goroutine
// fetches the task's description and then starts the process.
func (s *State) launchLocked(ctx context.Context, key attemptKey) {
	job, _, err := wire.ParseTask(key.task)
	a := &attempt{Task: wire.Task{Task: key.task, Attempt: key.attempt, State: wire.TaskFetching}}
	s.attempts[key] = a
	if err != nil {
		a.markExited(wire.CauseUnknown)
		return
	}
	for otherKey, other := range s.attempts {
		if otherKey.task == key.task && otherKey != key && other.State != wire.TaskExited {
			a.markExited(wire.CauseBusy)
			return
		}
	}
	// The fetch continues after the request that carried the command has ended.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	a.cancel = cancel
	session := s.session
	s.launches.Go(func() {
		defer cancel()
		spec, err := s.fetchSpec(ctx, job)
		s.finishLaunch(key, a, session, spec, err)
	})
}

// fetchSpec fetches a task description. It tries up to fetchTries times, except after
// taskspec.ErrNotFound.
func (s *State) fetchSpec(ctx context.Context, job string) (*taskspec.Spec, error) {
	for try := 1; ; try++ {
		spec, err := s.descriptions.Get(ctx, job)
		if err == nil || errors.Is(err, taskspec.ErrNotFound) || try == fetchTries {
			return spec, err
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(time.Duration(try) * fetchBackoff):
		}
	}
}

// finishLaunch starts the attempt's process. It marks the attempt as exited if the description
// could not be fetched, the task has completed already, the worker lacks the resources or the
// start fails. It starts nothing if the attempt was stopped or its session has ended.
func (s *State) finishLaunch(key attemptKey, a *attempt, session uint64, spec *taskspec.Spec, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { go s.onChange() }()
	if s.session != session || s.attempts[key] != a || a.State != wire.TaskFetching {
		return // the attempt was stopped, or the session has ended
	}
	switch {
	case errors.Is(err, taskspec.ErrNotFound):
		a.markExited(wire.CauseUnknown)
		return
	case err != nil:
		s.log.Info("fetch task description failed", "task", key.task, "err", err)
		a.markExited(wire.CauseError)
		return
	case s.completed.Contains(key.task):
		a.markExited(wire.CauseDone) // the task completed in an earlier attempt
		return
	}
	a.size = matching.Resources{CPUs: spec.CPUs, GPUs: spec.GPUs, MemoryGB: spec.MemoryGB}
	if !a.size.Fits(s.freeLocked(a)) {
		a.markExited(wire.CauseNoRoom)
		return
	}
	process, err := s.runner.Start(key.task, key.attempt, spec, func(code int) { s.processExited(key, a, session, code) })
	if err != nil {
		s.log.Info("task start failed", "task", key.task, "err", err)
		a.markExited(wire.CauseError)
		return
	}
	a.State, a.process = wire.TaskRunning, process
}

// freeLocked returns the worker's capacity minus the resources of all attempts that have not
// exited, except the given one.
func (s *State) freeLocked(except *attempt) matching.Resources {
	free := s.id.Size
	for _, a := range s.attempts {
		if a != except && a.State != wire.TaskExited {
			free = free.Add(a.size, -1)
		}
	}
	return free
}

// processExited records the exit of an attempt's process.
func (s *State) processExited(key attemptKey, a *attempt, session uint64, code int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != session || s.attempts[key] != a || a.State == wire.TaskExited {
		return
	}
	switch {
	case a.stopRequested:
		a.markExited(wire.CauseStopped) // even with code 0, since a stopped task may not have finished its work
	case code == 0:
		s.completed.ContainsOrAdd(key.task, struct{}{})
		a.markExited(wire.CauseDone)
	default:
		a.markExited(wire.CauseError)
		a.Exit = &code
	}
	go s.onChange()
}
