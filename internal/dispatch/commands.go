package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

const maxCommands = 200 // keeps each message well below 64 KiB

// commandsLocked collects at most maxCommands commands for a worker: tasks to stop, to forget and
// to start. inResponse is true if they are sent in the response to a heartbeat; only then may there
// be tasks to forget.
func (d *Dispatcher) commandsLocked(name string, token uint64, inResponse bool) []wire.Command {
	worker := d.workers[name]
	commands := []wire.Command{} // encoded as an empty list, not as null
	if worker == nil || worker.report.Machine == "" {
		return commands
	}
	commands = worker.appendStops(commands)
	if inResponse {
		commands = d.appendForgetsLocked(commands, worker, token)
	}
	return d.appendStartsLocked(commands, worker, token)
}

func (w *workerState) appendStops(commands []wire.Command) []wire.Command {
	for ref, grace := range w.halts {
		if len(commands) < maxCommands {
			commands = append(commands, wire.Command{Verb: wire.VerbStop, Task: ref.Task, Attempt: ref.Attempt, GraceS: &grace})
		}
	}
	return commands
}

// appendStartsLocked adds start commands for the queued tasks that fit and are granted. It
// requests missing grants and removes the tasks that their leader drops. It does nothing while the
// worker is draining, its capacity is unknown or its reports are long.
func (d *Dispatcher) appendStartsLocked(commands []wire.Command, worker *workerState, token uint64) []wire.Command {
	total, known := d.capacityOf(worker)
	if !known || worker.draining || len(worker.queue) == 0 || worker.countExited() >= maxExitedTasks {
		return commands
	}
	pass := startPass{dispatcher: d, worker: worker, token: token, free: total, commands: commands}
	for _, allocation := range d.allocatedLocked(worker, total, time.Now()) {
		pass.free = pass.free.Add(allocation.Resources, -1)
	}
	slices.SortStableFunc(worker.queue, byPriority)
	kept := worker.queue[:0]
	for _, queued := range worker.queue {
		if pass.process(queued) {
			kept = append(kept, queued)
		}
	}
	clear(worker.queue[len(kept):])
	worker.queue = kept
	return pass.commands
}

// byPriority orders a queue by rank, highest first, and within a rank by due time.
func byPriority(a, b *queuedTask) int {
	return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.DueAt, b.DueAt))
}

// startPass is one pass over a worker's queue.
type startPass struct {
	dispatcher *Dispatcher
	worker     *workerState
	token      uint64
	free       matching.Resources // neither allocated nor reserved by an earlier task of the queue
	commands   []wire.Command
}

// process adds a start command for the next task of the queue if the task fits and is granted, and
// requests a missing grant. It returns false if the leader dropped the task: the caller then
// removes it from the queue.
func (p *startPass) process(queued *queuedTask) bool {
	if p.dispatcher.cancelled(queued.Task) {
		// Not started even if granted; its leader removes it from the queue. If a start command was
		// sent before, the task is halted once it is reported.
		queued.granted = false
		return true
	}
	if queued.granted && (queued.grantToken != p.token || queued.grantSession != p.worker.report.Session) {
		queued.granted = false
	}
	allocated := queued.allocated()
	if allocated {
		p.free = p.free.Add(queued.Resources, 1)
	}
	fits := queued.Resources.Fits(p.free)
	dropped := fits && p.requestGrant(queued)
	starts := fits && !dropped
	if starts && queued.granted && len(p.commands) < maxCommands {
		queued.startSent, queued.startSentSeq, queued.startNotReported = true, p.worker.report.Seq, false
		queued.startToken = p.token
		p.commands = append(p.commands, wire.Command{Verb: wire.VerbStart, Task: queued.Task, Attempt: queued.Attempt})
	}
	if allocated || starts && (queued.granted || queued.grantRequested) {
		p.free = p.free.Add(queued.Resources, -1)
	}
	return !dropped
}

// requestGrant requests a missing grant unless a request is pending, and reports whether the
// leader drops the task.
func (p *startPass) requestGrant(queued *queuedTask) (dropped bool) {
	if queued.granted || queued.grantRequested {
		return false
	}
	d := p.dispatcher
	request := GrantRequest{TaskRef: queued.TaskRef, Dispatcher: d.name, Token: p.token, Session: p.worker.report.Session}
	if queued.Leader != d.name {
		d.requestRemoteGrantLocked(queued, request)
		return false
	}
	reply := d.schedulers.GrantLocal(request)
	if !reply.Drop && reply.OK {
		queued.setGrant(request)
	}
	return reply.Drop
}
