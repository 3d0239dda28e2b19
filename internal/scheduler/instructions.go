package scheduler

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/batching"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

// direct sends what was gathered for the holders: to those elsewhere in batches.
func (s *Scheduler) sendInstructions(ctx context.Context) {
	elsewhere := batching.Sender[*dispatch.Instructions]{Send: func(holder string, ds []*dispatch.Instructions) {
		s.sendTo(ctx, holder, joined(ds)) // bounded by its time limit
	}}
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.state.SendSignal:
		}
		s.state.Mu.Lock()
		pend := s.state.Outbox
		s.state.Outbox = map[string]*dispatch.Instructions{}
		s.state.Mu.Unlock()
		for holder, d := range pend {
			switch holder {
			case "":
			case s.state.Member.Name():
				s.sendTo(ctx, holder, d)
			default:
				elsewhere.Add(holder, d)
			}
		}
	}
}

// joined makes one direction of several, in their order.
func joined(ds []*dispatch.Instructions) *dispatch.Instructions {
	all := *ds[0]
	for _, d := range ds[1:] {
		all.Assign = append(all.Assign, d.Assign...)
		all.Halt = append(all.Halt, d.Halt...)
		all.Clear = append(all.Clear, d.Clear...)
		all.RaiseTokenAbove = max(all.RaiseTokenAbove, d.RaiseTokenAbove)
	}
	return &all
}

func (s *Scheduler) sendTo(ctx context.Context, holder string, d *dispatch.Instructions) {
	dctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	un, err := s.dispatchers.SendInstructions(dctx, holder, *d)
	if err != nil {
		// Sweeps and later views repeat whatever still matters.
		s.log.Debug("holder did not take directions", "holder", holder, "err", err)
		return
	}
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	for _, ref := range un.Refs {
		uid, n, err := wire.ParseTask(ref.Task)
		job := s.state.Jobs[uid]
		if err != nil || job == nil {
			continue
		}
		for _, placement := range append([]*jobstate.Placement(nil), job.Placements[n]...) {
			if placement.Attempt == ref.Attempt && placement.Worker.Name == ref.Machine && placement.NeverSent(un.Token) {
				s.state.EndPlacement(placement)
			}
		}
	}
}
