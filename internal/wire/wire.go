// Package wire defines the JSON messages exchanged with users, workers, the cloud and the state
// service. The names used on the wire differ from those used in the program, and appear in this
// package only. The package does no I/O.
package wire

// MaxBodyBytes is the size of the largest request body that any interface accepts.
const MaxBodyBytes = 64 << 10

// MaxTasksPerJob is the largest number of tasks a job may have.
const MaxTasksPerJob = 100_000

// Kinds of jobs. The tasks of an array run independently. The tasks of a service run until the job
// is cancelled.
const (
	KindArray   = "sweep"
	KindService = "daemon"
	KindGang    = "gang" // all tasks run at the same time, or none does
)

// Job stages reported to users.
const (
	StageQueued    = "queued"
	StageRunning   = "running"
	StageDone      = "done"
	StageCancelled = "cancelled"
)

// Task states and exit causes reported by workers.
const (
	TaskFetching = "fetching" // preparing to run: fetching its image or description
	TaskRunning  = "running"
	TaskSaving   = "saving" // saving a checkpoint before it exits
	TaskExited   = "exited"

	CauseDone    = "done"
	CauseStopped = "halted" // stopped by a command
	CauseError   = "error"
	CauseNoRoom  = "no_room" // the worker lacks free resources for the task
	CauseBusy    = "in_use"  // another attempt of the task has not exited on the worker
	CauseUnknown = "no_such" // invalid task name, or no description found
)

// Verbs of commands to workers.
const (
	VerbStart  = "launch"
	VerbStop   = "halt"
	VerbForget = "clear" // remove an exited attempt from the reports
)

// Machine stages in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)
