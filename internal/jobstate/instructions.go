package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// direction returns what is to be told to a holder next.
func (s *State) InstructionsFor(holder string) *dispatch.Instructions {
	d := s.Outbox[holder]
	if d == nil {
		d = &dispatch.Instructions{From: s.Member.Name()}
		s.Outbox[holder] = d
	}
	return d
}

// tell sends a place to the machine's holder, to be queued, or as facts about
// a task that it lists.
func (s *State) AssignPlacement(placement *Placement, isListed bool) {
	worker, job := placement.Worker, placement.Job
	if worker.View.Holder == "" {
		return
	}
	placement.SentTo, placement.SentAt = worker.View.Holder, time.Now()
	d := s.InstructionsFor(worker.View.Holder)
	d.Assign = append(d.Assign, dispatch.QueueEntry{
		TaskRef: placement.Ref, Owner: s.Member.Name(), Resources: job.Resources, Run: job.RunEstimate(), Fetch: s.FetchTime(job, worker),
		Rank: job.Spec.Rank(), DueAt: job.DueAt(), Listed: isListed,
	})
	Notify(s.SendSignal)
}

// halt stops a task; it is repeated until the task is off its machine.
func (s *State) HaltTask(placement *Placement, grace float64) {
	if !placement.MayRun() {
		s.WithdrawPlacement(placement)
		return
	}
	if time.Since(placement.LastHaltAt) < time.Second {
		return
	}
	placement.LastHaltAt = time.Now()
	if placement.HaltedAt.IsZero() {
		placement.HaltedAt = placement.LastHaltAt
	}
	if placement.Worker.View.Holder == "" {
		return
	}
	d := s.InstructionsFor(placement.Worker.View.Holder)
	d.Halt = append(d.Halt, dispatch.Halt{TaskRef: placement.Ref, GraceS: grace})
	Notify(s.SendSignal)
}

// unqueue takes back a place that was never granted, so that nothing can have
// been started by it.
func (s *State) WithdrawPlacement(placement *Placement) {
	if placement.SentTo != "" {
		d := s.InstructionsFor(placement.SentTo)
		d.Halt = append(d.Halt, dispatch.Halt{TaskRef: placement.Ref})
		Notify(s.SendSignal)
	}
	s.EndPlacement(placement)
}
