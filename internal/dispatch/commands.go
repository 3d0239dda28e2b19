package dispatch

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// commands collects what the worker is to do now; answer says that they go out
// as the answer to a report.
func (h *Dispatcher) commands(name string, term uint64, answer bool) []wire.Command {
	s := h.machines[name]
	cmds := []wire.Command{}
	if s == nil || s.report.Machine == "" {
		return cmds
	}
	for ref, grace := range s.halts {
		if len(cmds) < maxCommands {
			cmds = append(cmds, wire.Command{Verb: wire.VerbStop, Task: ref.Task, Attempt: ref.Attempt, GraceS: &grace})
		}
	}
	for ref := range s.clears {
		// After a clear a late copy of the start command would start the
		// task again: first every direct order must be fenced off; one in
		// flight counts too, since it may yet be held back. A clear in a
		// direct order could overtake a start in the answer to a report;
		// among answers none is late, since the worker drops those.
		if answer && s.fate == 0 && !s.busy && len(cmds) < maxCommands {
			cmds = append(cmds, wire.Command{Verb: wire.VerbForget, Task: ref.Task, Attempt: ref.Attempt})
		}
	}
	total, ok := h.total(s)
	if !ok || s.draining || len(s.queue) == 0 {
		return cmds
	}
	now := time.Now()
	free := total
	for _, u := range h.occupied(s, total, now) {
		free = free.Add(u.Resources, -1)
	}
	sort.SliceStable(s.queue, func(i, j int) bool {
		a, b := s.queue[i], s.queue[j]
		if a.Rank != b.Rank {
			return a.Rank > b.Rank
		}
		return a.DueAt < b.DueAt
	})
	kept := s.queue[:0]
	for _, q := range s.queue {
		if h.cancelled(q.Task) {
			// Whatever was granted: its owner takes it out. What was sent may be
			// on its way, and is halted when it is listed.
			q.granted = false
			kept = append(kept, q)
			continue
		}
		if q.granted && (q.token != term || q.session != s.report.Session) {
			q.granted = false
		}
		counted := q.sent || q.granted
		if counted {
			free = free.Add(q.Resources, 1) // counted as occupied above
		}
		if !q.Resources.Fits(free) {
			kept = append(kept, q)
			if counted {
				free = free.Add(q.Resources, -1)
			}
			continue
		}
		if !q.granted && !q.asking {
			req := GrantRequest{TaskRef: q.TaskRef, Holder: h.name, Token: term, Session: s.report.Session}
			if q.Owner == h.name {
				rep := h.owners.GrantLocal(req)
				if rep.Drop {
					if counted {
						free = free.Add(q.Resources, -1)
					}
					continue
				}
				if rep.OK {
					q.granted, q.token, q.session = true, term, s.report.Session
				}
			} else {
				h.askElsewhere(q, req)
			}
		}
		kept = append(kept, q)
		if q.granted && len(cmds) < maxCommands {
			q.sent, q.sentSeq = true, s.report.Seq
			cmds = append(cmds, wire.Command{Verb: wire.VerbStart, Task: q.Task, Attempt: q.Attempt})
		}
		if q.granted || q.sent || q.asking {
			free = free.Add(q.Resources, -1)
		}
	}
	clear(s.queue[len(kept):])
	s.queue = kept
	return cmds
}

// ask is a question for a grant that goes to an owner elsewhere.
type ask struct {
	entry *queued
	req   GrantRequest
}

// askElsewhere has an owner on another controller asked for the grant, together with what
// else it is to be asked.
func (h *Dispatcher) askElsewhere(q *queued, req GrantRequest) {
	q.asking = true
	if !h.ended {
		h.asks.Add(q.Owner, ask{q, req})
	}
}

// askOwner asks an owner elsewhere for grants, and has what it granted started.
func (h *Dispatcher) askOwner(owner string, asks []ask) {
	requests := make([]GrantRequest, len(asks))
	for i := range asks {
		requests[i] = asks[i].req
	}
	ctx, cancel := context.WithTimeout(h.ctx, grantTimeout)
	replies, err := h.owners.GrantRemote(ctx, owner, requests)
	cancel()
	if err == nil && len(replies) != len(asks) {
		err = fmt.Errorf("%d replies to %d questions", len(replies), len(asks))
	}
	if err != nil {
		h.log.Debug("no grants", "owner", owner, "tasks", len(asks), "err", err)
		replies = make([]GrantReply, len(asks))
	}
	granted := map[string]bool{}
	h.mu.Lock()
	for i, a := range asks {
		h.answer(a, replies[i])
		if replies[i].OK {
			granted[a.req.Machine] = true
		}
	}
	h.mu.Unlock()
	for name := range granted {
		h.PushCommands(name)
	}
}

// answer notes an owner's reply.
func (h *Dispatcher) answer(a ask, r GrantReply) {
	a.entry.asking = false
	s := h.machines[a.req.Machine]
	switch {
	case s == nil:
	case r.Drop:
		h.removeLocked(s, a.req.TaskRef)
	case r.OK:
		a.entry.granted, a.entry.token, a.entry.session = true, a.req.Token, a.req.Session
	}
}

func (h *Dispatcher) removeLocked(s *workerState, ref TaskRef) (was *queued) {
	for i, q := range s.queue {
		if q.TaskRef == ref {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return q
		}
	}
	return nil
}

// outdated returns an error if a direct order must not leave any more. It may have waited
// for its connection while a job was cancelled, or the term raised, or this controller lost
// the right to answer workers: sent then, it would start a task after a confirmed cancel.
func (h *Dispatcher) outdated(o wire.Orders) error {
	if !h.routing.MayAnswerWorkers() || h.tokens.FencingToken() != o.Token {
		return errOutdated
	}
	for _, c := range o.Commands {
		if c.Verb == wire.VerbStart && h.cancelled(c.Task) {
			return errOutdated
		}
	}
	return nil
}
