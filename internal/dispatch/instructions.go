package dispatch

import (
	"time"

	"github.com/wallrack/wallrack/internal/usage"
)

// ApplyInstructions applies a leader's instructions and returns the halted tasks that this
// dispatcher surely never launched. Those for workers that are not known here are ignored: the
// leader repeats them. The commands that follow are pushed at once, except clears.
func (d *Dispatcher) ApplyInstructions(instructions Instructions) Unlaunched {
	defer usage.AddTime(usage.Instructions, time.Now())
	out := Unlaunched{Token: d.tokens.FencingToken()}
	touched := map[string]bool{} // workers with something new to command
	d.mu.Lock()
	for i := range instructions.Assign {
		d.assignLocked(&instructions.Assign[i], touched)
	}
	for _, halt := range instructions.Halt {
		if d.haltLocked(halt, touched) {
			out.Refs = append(out.Refs, halt.TaskRef)
		}
	}
	for _, done := range instructions.Clear {
		d.clearLocked(done)
	}
	if instructions.RaiseTokenAbove > 0 {
		d.raiseTokenLocked(instructions.RaiseTokenAbove)
	}
	var views []WorkerView
	for name := range touched {
		d.changed[name] = true
		if worker := d.workers[name]; worker.report.Machine != "" {
			views = append(views, d.viewLocked(worker))
		}
	}
	d.mu.Unlock()
	for _, view := range views {
		d.schedulers.ObserveWorker(view)
	}
	for name := range touched {
		d.PushCommands(name)
	}
	return out
}

// assignLocked queues a task, or notes what a task that is reported already takes.
func (d *Dispatcher) assignLocked(entry *QueueEntry, touched map[string]bool) {
	worker := d.workers[entry.Worker]
	if worker == nil {
		return
	}
	if task := worker.tasks[entry.TaskRef]; task != nil {
		if task.entry == nil {
			d.changed[entry.Worker] = true
		}
		own := *entry // the rest of the message need not stay in memory
		task.entry = &own
		return
	}
	if entry.Reported || worker.updateQueued(entry) {
		return
	}
	worker.queue = append(worker.queue, &queuedTask{QueueEntry: *entry})
	touched[entry.Worker] = true
}

// haltLocked takes a task off the queue, or has it stopped if a start may have been sent. It
// reports whether the task surely was not launched from here.
func (d *Dispatcher) haltLocked(halt Halt, touched map[string]bool) (unlaunched bool) {
	worker := d.workers[halt.Worker]
	if worker == nil {
		return false
	}
	touched[halt.Worker] = true
	if queued := worker.dequeue(halt.TaskRef); queued != nil && !queued.startSent && worker.tasks[halt.TaskRef] == nil {
		return true
	}
	worker.halts[halt.TaskRef] = halt.GraceS
	return false
}

// clearLocked lets the worker forget an exited task. The next heartbeat's response is soon
// enough for that: an exited task takes nothing but a line.
func (d *Dispatcher) clearLocked(done Clear) {
	worker := d.workers[done.Worker]
	if worker == nil || worker.tasks[done.TaskRef] == nil {
		return
	}
	worker.clears[done.TaskRef] = true
	if done.Token > d.tokens.FencingToken() {
		worker.unknownOutcome = max(worker.unknownOutcome, done.Token)
	}
	if worker.unknownOutcome != 0 {
		d.raiseTokenLocked(worker.unknownOutcome)
	}
}
