// Package wire holds the site's JSON messages: those of users, workers, the cloud and the state
// service. It is the only place where the names that the site uses on the wire are spelled
// out. All messages are plain data; the package sends and stores nothing.
package wire

// MaxBodyBytes is the largest request body, in bytes, that any interface accepts.
const MaxBodyBytes = 64 << 10

// MaxTasks is the largest number of tasks a job may have.
const MaxTasks = 100_000

// Kinds of job. The tasks of an array run independently, those of a service until the job is
// cancelled.
const (
	KindArray   = "sweep"
	KindService = "daemon"
	KindGang    = "gang" // every task runs at the same time, or none
)

// Job stages as users see them.
const (
	StageQueued    = "queued"
	StageRunning   = "running"
	StageDone      = "done"
	StageCancelled = "cancelled"
)

// Task states and exit causes as workers report them.
const (
	TaskFetching = "fetching"
	TaskRunning  = "running"
	TaskSaving   = "saving"
	TaskExited   = "exited"

	CauseDone    = "done"
	CauseStopped = "halted"
	CauseError   = "error"
	CauseNoRoom  = "no_room"
	CauseBusy    = "in_use"
	CauseUnknown = "no_such"
)

// Command verbs.
const (
	VerbStart  = "launch"
	VerbStop   = "halt"
	VerbForget = "clear"
)

// Machine stages in the cloud's list.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)
