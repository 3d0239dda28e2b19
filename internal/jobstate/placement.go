package jobstate

import (
	"strconv"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// PlacementState is how far a placement has come. From PlacementGranted on the task may run.
type PlacementState int

// States of a placement.
const (
	PlacementRecording   PlacementState = iota // its record is pending; the dispatcher doesn't have it
	PlacementRecorded                          // recorded; the dispatcher may queue it
	PlacementGranted                           // a start was granted, so the task may have been started
	PlacementReported                          // a heartbeat of the worker listed the task
	PlacementUnconfirmed                       // read from the state service at a failover
)

// String names the state, for log lines.
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

// Placement is an attempt of a task on a worker: the task is, or may be, there.
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
	InStore  bool   // the state service may have it

	PlannedWaitS  float64 // seconds until its start, as expected when it was placed
	CreatedAt     time.Time
	SentTo        string // dispatcher to which it was last sent; "": none
	SentAt        time.Time
	GrantedAt     time.Time // first grant
	RunningSince  time.Time // by the heartbeat that first showed it running; zero: none did, or it has ended
	StartObserved bool      // this leader granted its start, so its run time is known
	Compared      bool      // a heartbeat since it became known here was compared with it
	LastHaltAt    time.Time // last halt; zero: none
	FirstHaltAt      time.Time // first halt; zero: none
	SeenInView    uint64    // number of the last view of the worker that listed it, see package reconcile

	Exited    bool   // the task is over; kept until that is recorded
	ExitCode  int    // 0 to 255; 0 also if it ended without
	ExitCause string // cause by which it exited, see package wire; "": it did not
	TimedOut  bool   // halted because it ran over its job's time limit
	Accounted bool   // its accounting row was made
}

// MayRun reports whether the task may have been started by this placement.
func (p *Placement) MayRun() bool { return p.State >= PlacementGranted }

// NeverSent reports whether no start command for a halted placement can be under way, given
// that the dispatcher with that fencing token states that it sent none. That holds only if
// the start was granted for this token alone. A start granted for another one may still be
// delayed: if it were taken off its team's use, it would run beside what the limit then admits.
func (p *Placement) NeverSent(token uint64) bool {
	return p.State == PlacementGranted && !p.LastHaltAt.IsZero() && p.MinToken == token && p.MaxToken == token
}
