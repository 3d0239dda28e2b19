package dispatch

import (
	"time"

	"github.com/wallrack/wallrack/internal/usage"
)

// ApplyInstructions applies a leader's instructions and returns the halted tasks that this
// dispatcher certainly never started. Instructions for workers that are not known here are
// ignored; the leader repeats them. The resulting commands are pushed at once, except forget
// commands.
func (d *Dispatcher) ApplyInstructions(instructions Instructions) Unlaunched {
	defer usage.AddTime(usage.Instructions, time.Now())
	out := Unlaunched{Token: d.tokens.FencingToken()}
	updated := map[string]bool{} // workers with new commands to be pushed
	d.mu.Lock()
	for i := range instructions.Assign {
		d.assignLocked(&instructions.Assign[i], updated)
	}
	for _, halt := range instructions.Halt {
		if d.haltLocked(halt, updated) {
			out.Refs = append(out.Refs, halt.TaskRef)
		}
	}
	for _, exited := range instructions.Forget {
		d.forgetLocked(exited)
	}
	if instructions.RaiseTokenAbove > 0 {
		d.raiseTokenLocked(instructions.RaiseTokenAbove)
	}
	var views []WorkerView
	for name := range updated {
		d.changed[name] = true
		if worker := d.workers[name]; worker.report.Machine != "" {
			views = append(views, d.viewLocked(worker))
		}
	}
	d.mu.Unlock()
	for _, view := range views {
		d.schedulers.ObserveWorker(view)
	}
	for name := range updated {
		d.PushCommands(name)
	}
	return out
}

// assignLocked queues a task, or stores the queue entry of a task that the worker already reports.
func (d *Dispatcher) assignLocked(entry *QueueEntry, updated map[string]bool) {
	worker := d.workers[entry.Worker]
	if worker == nil {
		return
	}
	if task := worker.tasks[entry.TaskRef]; task != nil {
		if task.entry == nil {
			d.changed[entry.Worker] = true
		}
		own := *entry // a copy, so that the rest of the message can be freed
		task.entry = &own
		return
	}
	if entry.Reported || worker.updateQueued(entry) {
		return
	}
	worker.queue = append(worker.queue, &queuedTask{QueueEntry: *entry})
	updated[entry.Worker] = true
}

// haltLocked removes a task from the queue, or has the worker stop it if a start command may have
// been sent. It returns true if the task was certainly not started from here.
func (d *Dispatcher) haltLocked(halt Halt, updated map[string]bool) (unlaunched bool) {
	worker := d.workers[halt.Worker]
	if worker == nil {
		return false
	}
	updated[halt.Worker] = true
	if queued := worker.dequeue(halt.TaskRef); queued != nil && !queued.startSent && worker.tasks[halt.TaskRef] == nil {
		return true
	}
	worker.halts[halt.TaskRef] = halt.GraceS
	return false
}
