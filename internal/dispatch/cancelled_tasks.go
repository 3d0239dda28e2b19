package dispatch

import (
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// A cancel is final, so that any controller with a valid token may stop the job's tasks, whether it
// leads the job or not. A leader that lost its lease or has not learned of the cancel would let
// them run until the state service is available again.

// cancelled reports whether the task's job is known to be cancelled.
func (d *Dispatcher) cancelled(task string) bool {
	uid, _, _ := strings.Cut(task, "/")
	return d.cancellations != nil && d.cancellations.IsCancelled(uid)
}

// haltCancelledLocked marks the worker's reported tasks of cancelled jobs to be halted, and
// returns whether any were newly marked.
func (d *Dispatcher) haltCancelledLocked(worker *workerState) (found bool) {
	for ref, task := range worker.tasks {
		if task.state == wire.TaskExited {
			continue
		}
		if _, marked := worker.halts[ref]; marked {
			continue
		}
		if d.cancelled(ref.Task) {
			worker.halts[ref] = 0
			found = true
		}
	}
	return found
}

// HaltCancelledTasks halts the tasks of cancelled jobs on all known workers. Workers whose
// heartbeats were answered here within a lease are sent the commands at once. It is to be called
// when further jobs were cancelled.
func (d *Dispatcher) HaltCancelledTasks() {
	var push []string
	d.mu.Lock()
	for name, worker := range d.workers {
		if d.haltCancelledLocked(worker) && time.Since(worker.answeredAt) < d.lease {
			push = append(push, name)
		}
	}
	d.mu.Unlock()
	for _, name := range push {
		d.PushCommands(name)
	}
}
