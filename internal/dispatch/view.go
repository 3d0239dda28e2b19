package dispatch

import (
	"math"
	"time"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// total is the machine's size, if its type is known.
func (h *Dispatcher) total(s *workerState) (matching.Resources, bool) {
	t, ok := h.types.Type(s.report.Type)
	return matching.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}, ok
}

// occupied lists what holds resources now: reported tasks that have not
// exited, and starts that may be under way.
// The result is good until the next call.
func (h *Dispatcher) occupied(s *workerState, total matching.Resources, now time.Time) []matching.Allocation {
	uses := h.uses[:0]
	for _, l := range s.tasks {
		switch {
		case l.state == wire.TaskExited:
		case l.entry == nil:
			// Nobody told yet what it takes: count the whole machine.
			uses = append(uses, matching.Allocation{Resources: total, RemainingS: 3})
		default:
			left := l.entry.Run
			elapsed := now.Sub(l.since).Seconds()
			if l.state == wire.TaskFetching {
				left += math.Max(0.5, l.entry.Fetch-elapsed)
			} else {
				left = matching.RemainingRun(left, elapsed)
			}
			uses = append(uses, matching.Allocation{Resources: l.entry.Resources, RemainingS: left})
		}
	}
	for _, q := range s.queue {
		if q.sent || q.granted {
			uses = append(uses, matching.Allocation{Resources: q.Resources, RemainingS: q.Fetch + q.Run})
		}
	}
	h.uses = uses
	return uses
}

func (h *Dispatcher) view(s *workerState) WorkerView {
	now := time.Now()
	r := &s.report
	v := WorkerView{Name: r.Machine, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Session: r.Session, Seq: r.Seq, Token: r.Token,
		Holder: h.name, Endpoint: r.Endpoint, AgeS: now.Sub(s.at).Seconds(), UnansweredS: h.unanswered(r.Machine).Seconds(), NoticeS: r.NoticeS, Draining: s.draining, Asked: s.asked}
	v.Tasks = make([]TaskView, 0, len(r.Tasks))
	for _, t := range r.Tasks {
		l := s.tasks[TaskRef{r.Machine, t.Task, t.Attempt}]
		v.Tasks = append(v.Tasks, TaskView{Task: t, ForS: now.Sub(l.since).Seconds(), Unknown: l.entry == nil && l.state != wire.TaskExited})
	}
	total, ok := h.total(s)
	if !ok {
		return v
	}
	v.Matrix = matching.NewWaitMatrix(total, h.occupied(s, total, now), nil)
	for _, q := range s.queue {
		if q.sent || q.granted {
			v.Queue = append(v.Queue, QueueView{TaskRef: q.TaskRef, Unsent: !q.sent})
			continue
		}
		w := v.Matrix.Wait(q.Resources, q.Fetch+q.Run)
		if math.IsInf(w, 1) {
			w = 1e6
		} else {
			v.Matrix = v.Matrix.Reserve(q.Resources, w, q.Fetch+q.Run)
		}
		v.Queue = append(v.Queue, QueueView{TaskRef: q.TaskRef, WaitS: w, Unsent: true})
	}
	return v
}

// ChangedViews returns views of the machines that changed since the last call, and the names
// of those that this holder knows no more.
func (h *Dispatcher) ChangedViews() (changed []WorkerView, gone []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if time.Since(h.forgotAt) > time.Minute {
		h.forget()
	}
	for name := range h.dirty {
		switch s := h.machines[name]; {
		case s == nil:
			gone = append(gone, name)
		case s.report.Machine != "":
			changed = append(changed, h.view(s))
		}
	}
	clear(h.dirty)
	return changed, gone
}

// forget forgets the machines that were not heard for long.
func (h *Dispatcher) forget() {
	h.forgotAt = time.Now()
	for name, s := range h.machines {
		if time.Since(s.at) > forgetAfter && time.Since(s.sentAway) > forgetAfter {
			delete(h.machines, name)
			h.dirty[name] = true
		}
	}
}

// HasWorkers reports whether any machine was heard here within a lease.
func (h *Dispatcher) HasWorkers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, s := range h.machines {
		if s.report.Machine != "" && time.Since(s.at) < h.lease {
			return true
		}
	}
	return false
}

// WorkerViews returns views of all machines heard within a lease.
func (h *Dispatcher) WorkerViews() []WorkerView {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forget()
	var out []WorkerView
	for _, s := range h.machines {
		if s.report.Machine != "" && time.Since(s.at) < h.lease {
			out = append(out, h.view(s))
		}
	}
	return out
}
