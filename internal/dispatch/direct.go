package dispatch

import (
	"time"

	"github.com/wallrack/wallrack/internal/usage"
)

// ApplyInstructions does what an owner says and returns the halted tasks that this
// holder surely never launched.
func (h *Dispatcher) ApplyInstructions(d Instructions) Unlaunched {
	defer usage.Count(usage.Directed, time.Now())
	out := Unlaunched{Token: h.tokens.FencingToken()}
	touched := map[string]bool{}
	h.mu.Lock()
	for _, e := range d.Assign {
		s := h.machines[e.Machine]
		if s == nil {
			continue
		}
		if l := s.tasks[e.TaskRef]; l != nil {
			if l.entry == nil {
				h.dirty[e.Machine] = true
			}
			l.entry = &e
			continue
		}
		if e.Listed || s.hasQueued(e) {
			continue
		}
		h.nextSeq++
		s.queue = append(s.queue, &queued{QueueEntry: e, seq: h.nextSeq})
		touched[e.Machine] = true
	}
	for _, halt := range d.Halt {
		s := h.machines[halt.Machine]
		if s == nil {
			continue
		}
		if q := h.removeLocked(s, halt.TaskRef); q != nil && !q.sent && s.tasks[halt.TaskRef] == nil {
			out.Refs = append(out.Refs, halt.TaskRef)
			touched[halt.Machine] = true
			continue
		}
		s.halts[halt.TaskRef] = halt.GraceS
		touched[halt.Machine] = true
	}
	for _, c := range d.Clear {
		if s := h.machines[c.Machine]; s != nil && s.tasks[c.TaskRef] != nil {
			s.clears[c.TaskRef] = true
			if c.Token > h.tokens.FencingToken() {
				s.fate = max(s.fate, c.Token)
			}
			if s.fate != 0 {
				h.raiseLocked(s.fate)
			}
			// The next report's answer is soon enough: an exited task
			// takes nothing but a line.
		}
	}
	if d.RaiseTokenAbove > 0 {
		h.raiseLocked(d.RaiseTokenAbove)
	}
	var views []WorkerView
	for name := range touched {
		h.dirty[name] = true
		if s := h.machines[name]; s.report.Machine != "" {
			views = append(views, h.view(s))
		}
	}
	h.mu.Unlock()
	for _, v := range views {
		h.owners.ObserveWorker(v)
	}
	for name := range touched {
		h.PushCommands(name)
	}
	return out
}

func (s *workerState) hasQueued(e QueueEntry) bool {
	for _, q := range s.queue {
		if q.TaskRef == e.TaskRef {
			q.Owner = e.Owner
			return true
		}
	}
	return false
}
