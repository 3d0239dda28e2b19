package dispatch

import (
	"time"

	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	// forgetRaiseInterval is the minimum time between two raises of the token for tasks to be
	// forgotten. Each raise withdraws the grants of queued tasks.
	forgetRaiseInterval = 10 * time.Second
	// A worker with more than manyForgets tasks to be forgotten has the token raised after
	// shortForgetRaiseInterval, so that it does not reach maxExitedTasks.
	manyForgets              = 150
	shortForgetRaiseInterval = time.Second
	// maxExitedTasks is the number of exited tasks in a worker's reports from which on no task is
	// started there. The worker could not send a report of more than wire.MaxBodyBytes.
	maxExitedTasks = 300
)

// UnfencedForgetMessage is the log message when a leader has an exited task forgotten under a token
// that a start command of the attempt carried.
const UnfencedForgetMessage = "forget does not fence off the start"

// forgetLocked has the worker forget an exited task. The command waits for a heartbeat: an exited
// task costs the worker only an entry in its reports. The tokens of repeated instructions may
// differ; each is an upper bound, so the lowest one applies.
func (d *Dispatcher) forgetLocked(exited Forget) {
	worker := d.workers[exited.Worker]
	if worker == nil || worker.tasks[exited.TaskRef] == nil {
		return
	}
	bound, known := worker.forgets[exited.TaskRef]
	if !known || exited.MaxStartToken < bound {
		bound = exited.MaxStartToken
	}
	if sent := worker.tasks[exited.TaskRef].startToken; sent > bound {
		usage.CountEvent(usage.UnfencedForgets)
		d.log.Error(UnfencedForgetMessage, "worker", exited.Worker, "task", exited.Task, "attempt", exited.Attempt, "fencing_token", bound, "start_token", sent)
		bound = sent
	}
	worker.forgets[exited.TaskRef] = bound
}

// appendForgetsLocked adds commands to forget exited tasks, for a response with the given token.
// Once a worker has forgotten an attempt, a copy of its start command would run it again, even if
// that command was executed and answered before. So a worker is told to forget an attempt only
// after it has reported a higher token than every start command of the attempt: it rejects the
// copies. Forget commands are sent only in responses to heartbeats, late copies of which the worker
// drops.
func (d *Dispatcher) appendForgetsLocked(commands []wire.Command, worker *workerState, token uint64) []wire.Command {
	tokenTooLow := false
	for ref, bound := range worker.forgets {
		if bound >= worker.report.Token {
			tokenTooLow = tokenTooLow || bound >= token
		} else if len(commands) < maxCommands {
			commands = append(commands, wire.Command{Verb: wire.VerbForget, Task: ref.Task, Attempt: ref.Attempt})
			d.log.Debug("forgetting task", "worker", ref.Worker, "task", ref.Task, "attempt", ref.Attempt, "fencing_token", token, "start_token", bound)
		}
	}
	if tokenTooLow {
		d.raiseTokenForForgetsLocked(len(worker.forgets))
	}
	return commands
}

// raiseTokenForForgetsLocked raises the token above the start commands of all tasks that wait to be
// forgotten, unless it was raised for that purpose only recently. waiting is the number of these
// tasks on the worker that needs the token.
func (d *Dispatcher) raiseTokenForForgetsLocked(waiting int) {
	interval := forgetRaiseInterval
	if waiting > manyForgets {
		interval = shortForgetRaiseInterval
	}
	if time.Since(d.forgetRaiseAt) < interval {
		return
	}
	above := uint64(0)
	for _, worker := range d.workers {
		for _, bound := range worker.forgets {
			above = max(above, bound)
		}
	}
	if d.raiseTokenLocked(above) {
		d.forgetRaiseAt = time.Now()
	}
}
