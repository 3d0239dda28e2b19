package scheduler

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/batching"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

const instructionsTimeout = 2 * time.Second

// sendInstructions sends the instructions in the state's outbox to the dispatchers until ctx
// ends. Instructions for a peer's dispatcher are sent in batches. Those for a worker that no
// dispatcher has reported yet are dropped.
func (s *Scheduler) sendInstructions(ctx context.Context) {
	peers := batching.Sender[*dispatch.Instructions]{Send: func(dispatcher string, batch []*dispatch.Instructions) {
		s.sendTo(ctx, dispatcher, mergeInstructions(batch))
	}}
	defer peers.Wait()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.state.SendSignal:
		}
		for dispatcher, instructions := range s.takeOutbox() {
			switch dispatcher {
			case "": // for a worker that no dispatcher has reported yet
			case s.state.Membership.Name():
				s.sendTo(ctx, dispatcher, instructions)
			default:
				peers.Add(dispatcher, instructions)
			}
		}
	}
}

// takeOutbox empties the outbox and returns its instructions by dispatcher.
func (s *Scheduler) takeOutbox() map[string]*dispatch.Instructions {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	outbox := s.state.Outbox
	s.state.Outbox = map[string]*dispatch.Instructions{}
	return outbox
}

// mergeInstructions merges several messages into one, in their order.
func mergeInstructions(batch []*dispatch.Instructions) *dispatch.Instructions {
	all := *batch[0]
	for _, instructions := range batch[1:] {
		all.Assign = append(all.Assign, instructions.Assign...)
		all.Halt = append(all.Halt, instructions.Halt...)
		all.Forget = append(all.Forget, instructions.Forget...)
		all.RaiseTokenAbove = max(all.RaiseTokenAbove, instructions.RaiseTokenAbove)
	}
	return &all
}

// sendTo sends instructions to a dispatcher and ends the halted placements for which the
// dispatcher sent no start command. Lost instructions are sent again when workers are
// reconciled, if they are still needed.
func (s *Scheduler) sendTo(ctx context.Context, dispatcher string, instructions *dispatch.Instructions) {
	ctx, cancel := context.WithTimeout(ctx, instructionsTimeout)
	defer cancel()
	unlaunched, err := s.dispatchers.SendInstructions(ctx, dispatcher, *instructions)
	if err != nil {
		s.log.Debug("sending instructions failed", "controller", dispatcher, "err", err)
		return
	}
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	for _, ref := range unlaunched.Refs {
		s.endUnlaunched(ref, unlaunched.Token)
	}
}

// endUnlaunched ends a halted placement for which the dispatcher with the fencing token sent no
// start command, unless another dispatcher may have sent one.
func (s *Scheduler) endUnlaunched(ref dispatch.TaskRef, token uint64) {
	uid, task, err := wire.ParseTask(ref.Task)
	job := s.state.Jobs[uid]
	if err != nil || job == nil {
		return
	}
	for _, placement := range append([]*jobstate.Placement(nil), job.Placements[task]...) {
		if placement.Attempt == ref.Attempt && placement.Worker.Name == ref.Worker && placement.NeverSent(token) {
			s.state.EndPlacement(placement)
		}
	}
}
