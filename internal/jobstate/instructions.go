package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// minHaltInterval is the minimum time between two halts of a placement.
const minHaltInterval = time.Second

// InstructionsFor returns the instructions to be sent to a dispatcher next. The caller adds to
// them and signals SendSignal.
func (s *State) InstructionsFor(dispatcher string) *dispatch.Instructions {
	instructions := s.Outbox[dispatcher]
	if instructions == nil {
		instructions = &dispatch.Instructions{From: s.Membership.Name()}
		s.Outbox[dispatcher] = instructions
	}
	return instructions
}

// AssignPlacement instructs the dispatcher of the placement's worker to queue the task or, if
// the worker already lists the task, informs the dispatcher of it. It does nothing if the worker
// has no dispatcher.
func (s *State) AssignPlacement(placement *Placement, isListed bool) {
	worker, job := placement.Worker, placement.Job
	if worker.View.Dispatcher == "" {
		return
	}
	placement.SentTo, placement.SentAt = worker.View.Dispatcher, time.Now()
	instructions := s.InstructionsFor(worker.View.Dispatcher)
	instructions.Assign = append(instructions.Assign, dispatch.QueueEntry{
		TaskRef: placement.Ref, Leader: s.Membership.Name(), Resources: job.Resources,
		RunS: job.OccupancyEstimate(), FetchS: s.FetchTime(job, worker),
		Rank: job.Spec.Rank(), DueAt: job.DueAt(), Reported: isListed,
	})
	Notify(s.SendSignal)
}

// HaltTask stops a placement's task, which gets graceS seconds to save its state. A placement
// that was never granted is withdrawn. Callers repeat the call until the task is off its worker;
// repetitions within minHaltInterval are ignored.
func (s *State) HaltTask(placement *Placement, graceS float64) {
	if !placement.MayRun() {
		s.WithdrawPlacement(placement)
		return
	}
	if time.Since(placement.LastHaltAt) < minHaltInterval {
		return
	}
	placement.LastHaltAt = time.Now()
	if placement.FirstHaltAt.IsZero() {
		placement.FirstHaltAt = placement.LastHaltAt
	}
	if dispatcher := placement.Worker.View.Dispatcher; dispatcher != "" {
		s.sendHalt(dispatcher, dispatch.Halt{TaskRef: placement.Ref, GraceS: graceS})
	}
}

// WithdrawPlacement ends a placement for which no task can be on its worker, because it was never
// granted or was granted in an earlier session of the worker. It also removes the placement from
// the queue of the dispatcher to which it was sent.
func (s *State) WithdrawPlacement(placement *Placement) {
	if placement.SentTo != "" {
		s.sendHalt(placement.SentTo, dispatch.Halt{TaskRef: placement.Ref})
	}
	s.EndPlacement(placement)
}

func (s *State) sendHalt(dispatcher string, halt dispatch.Halt) {
	instructions := s.InstructionsFor(dispatcher)
	instructions.Halt = append(instructions.Halt, halt)
	Notify(s.SendSignal)
}
