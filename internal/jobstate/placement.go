package jobstate

import (
	"strconv"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// PlacementState is the progress of a placement. From PlacementGranted on, the task may be
// running.
type PlacementState int

// States of a placement.
const (
	PlacementRecording   PlacementState = iota // being recorded; the dispatcher does not know it
	PlacementRecorded                          // recorded; the dispatcher may queue it
	PlacementGranted                           // its start was granted, so the task may have been started
	PlacementReported                          // a heartbeat of the worker listed the task
	PlacementUnconfirmed                       // loaded from the state service at a failover, not seen in a heartbeat yet
)

// String returns the name of the state for log messages.
func (s PlacementState) String() string {
	switch s {
	case PlacementRecording:
		return "recording"
	case PlacementRecorded:
		return "recorded"
	case PlacementGranted:
		return "granted"
	case PlacementReported:
		return "reported"
	case PlacementUnconfirmed:
		return "unconfirmed"
	}
	return "placement state " + strconv.Itoa(int(s))
}

// Placement is an attempt to run a task on a worker, where the task may be running.
type Placement struct {
	Job     *Job
	Chunk   *Chunk
	Task    int
	Attempt uint64
	Worker  *Worker
	Ref     dispatch.TaskRef // set by State.AddPlacement
	State   PlacementState

	MaxToken uint64 // highest fencing token that a start command may carry
	MinToken uint64 // lowest fencing token for which the start was granted
	Session  uint64 // highest session of the worker that a start command may be for
	InStore  bool   // the state service may contain the placement

	PlannedWaitS  float64 // seconds until the start, as estimated at placement
	CreatedAt     time.Time
	SentTo        string // dispatcher to which it was last sent; "" if none
	SentAt        time.Time
	GrantedAt     time.Time // time of the first grant
	RunningSince  time.Time // start by the heartbeat that first showed it running; zero if none did or the task finished
	StartObserved bool      // this leader granted its start, so its run time is known
	Compared      bool      // see MarkCompared
	LastHaltAt    time.Time // time of the last halt; zero if none
	FirstHaltAt   time.Time // time of the first halt; zero if none
	SeenInView    uint64    // number of the last view of the worker that listed the task, see reconcile.Reconciler

	Exited    bool   // the task is over; the placement remains until that is recorded
	ExitCode  int    // 0 to 255; also 0 if the task ended without an exit code
	ExitCause string // cause of the exit, see package wire; "" if it has not exited
	TimedOut  bool   // halted because it exceeded its job's time limit
	Accounted bool   // its accounting row was created
}

// MayRun reports whether the task may have been started by this placement.
func (p *Placement) MayRun() bool { return p.State >= PlacementGranted }

// NeverSent reports whether no start command for a halted placement can be in flight, given that
// the dispatcher with that fencing token states that it sent none. This is certain only if the
// start was granted for that token alone: a start command with another token may still be
// delayed. If the placement were no longer counted in its team's use, such a task would run in
// excess of the limit.
func (p *Placement) NeverSent(token uint64) bool {
	return p.State == PlacementGranted && !p.LastHaltAt.IsZero() && p.MinToken == token && p.MaxToken == token
}
