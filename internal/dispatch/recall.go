package dispatch

import (
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// A cancel is final, so that anybody with a valid token may stop its tasks, owner or
// not: an owner that lost its lease, or never heard of the cancel, would let them run
// for as long as the state service is out.

// cancelled reports whether the job of a task is known to be cancelled.
func (h *Dispatcher) cancelled(task string) bool {
	uid, _, _ := strings.Cut(task, "/")
	return h.cancellations != nil && h.cancellations.IsCancelled(uid)
}

// recall marks the tasks of cancelled jobs that a machine lists to be halted, and
// reports whether there are new ones.
func (h *Dispatcher) recall(s *workerState) (found bool) {
	for ref, l := range s.tasks {
		if l.state == wire.TaskExited {
			continue
		}
		if _, marked := s.halts[ref]; marked {
			continue
		}
		if h.cancelled(ref.Task) {
			s.halts[ref] = 0
			found = true
		}
	}
	return found
}

// HaltCancelledTasks halts the tasks of cancelled jobs on all machines that report here, at once:
// there are new ones.
func (h *Dispatcher) HaltCancelledTasks() {
	var push []string
	h.mu.Lock()
	for name, s := range h.machines {
		if h.recall(s) && time.Since(s.told) < h.lease {
			push = append(push, name)
		}
	}
	h.mu.Unlock()
	for _, name := range push {
		h.PushCommands(name)
	}
}
