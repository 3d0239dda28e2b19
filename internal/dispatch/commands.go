package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

const maxCommands = 200 // keeps each message well under 64 KiB

// commandsLocked collects the commands for a worker: what to stop, what to forget and what to
// start, at most maxCommands. inResponse says that they go out in the response to a heartbeat.
func (d *Dispatcher) commandsLocked(name string, token uint64, inResponse bool) []wire.Command {
	worker := d.workers[name]
	commands := []wire.Command{} // never null on the wire
	if worker == nil || worker.report.Machine == "" {
		return commands
	}
	commands = worker.appendStops(commands)
	if inResponse {
		commands = worker.appendForgets(commands)
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

// appendForgets adds the tasks that the worker may forget. After that a late copy of a start
// command would start the task again: first all direct commands must be fenced off; those in
// flight count too, since they may yet be held back. For the same reason they go out only in
// responses to heartbeats, of which the worker drops late ones: among direct commands they could
// overtake a start in such a response.
func (w *workerState) appendForgets(commands []wire.Command) []wire.Command {
	if w.unknownOutcome != 0 || w.pushInFlight {
		return commands
	}
	for ref := range w.clears {
		if len(commands) < maxCommands {
			commands = append(commands, wire.Command{Verb: wire.VerbForget, Task: ref.Task, Attempt: ref.Attempt})
		}
	}
	return commands
}

// appendStartsLocked adds the queued tasks that fit, were granted, and are not reported yet.
// It requests missing grants, and removes the tasks that their leader drops.
func (d *Dispatcher) appendStartsLocked(commands []wire.Command, worker *workerState, token uint64) []wire.Command {
	total, known := d.capacityOf(worker)
	if !known || worker.draining || len(worker.queue) == 0 {
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

// byPriority orders a queue: higher ranks first, within a rank by due time.
func byPriority(a, b *queuedTask) int {
	return cmp.Or(cmp.Compare(b.Rank, a.Rank), cmp.Compare(a.DueAt, b.DueAt))
}

// startPass is one pass over a worker's queue.
type startPass struct {
	dispatcher *Dispatcher
	worker     *workerState
	token      uint64
	free       matching.Resources // what is neither allocated nor reserved by a task before
	commands   []wire.Command
}

// process decides on the next task, and returns false if it leaves the queue.
func (p *startPass) process(queued *queuedTask) bool {
	if p.dispatcher.cancelled(queued.Task) {
		// Whatever was granted: its leader takes it out. A command that was sent may be
		// on its way, and the task is halted when it is reported.
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
		p.commands = append(p.commands, wire.Command{Verb: wire.VerbStart, Task: queued.Task, Attempt: queued.Attempt})
	}
	if allocated || starts && (queued.granted || queued.grantRequested) {
		p.free = p.free.Add(queued.Resources, -1)
	}
	return !dropped
}

// requestGrant requests the grant of a task, if it is missing and not requested yet, and reports
// whether the leader drops the task.
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
