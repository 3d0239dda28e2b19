package jobstate

import (
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
)

// NeverSent reports whether no start command for a halted place can be under way, when
// the holder with that token says that it sent none: the start was granted for this token
// alone. One that was granted for another may still be held up, sent by another holder or
// before this one restarted: taken off its team's use it would run beside what the limit
// then lets start.
func (placement *Placement) NeverSent(token uint64) bool {
	return placement.State == PlacementGranted && !placement.LastHaltAt.IsZero() && placement.MinToken == token && placement.MaxToken == token
}

// PlacementState is how far a place has come.
type PlacementState int

const (
	PlacementRecording   PlacementState = iota // being recorded; not at its holder yet
	PlacementRecorded                          // recorded; the holder may queue it
	PlacementGranted                           // may have been started
	PlacementReported                          // the worker reported it
	PlacementUnconfirmed                       // found in the store by a new owner
)

// Placement is a machine on which a task may be.
type Placement struct {
	Job           *Job
	Chunk         *Chunk
	Task          int
	Attempt       uint64
	Worker        *Worker
	Ref           dispatch.TaskRef
	State         PlacementState
	MaxToken      uint64 // highest token a start command may carry
	MinToken      uint64 // lowest token for which the start was granted
	Session       uint64 // highest session a start command may be for
	InStore       bool   // the store may know of it
	PlannedWait   float64
	CreatedAt     time.Time
	SentTo        string // holder that was told
	SentAt        time.Time
	GrantedAt     time.Time // first
	RunningSince  time.Time // when it was first seen running
	StartObserved bool      // its start was seen, so its run time is known
	LastHaltAt    time.Time // when it was last told to stop
	HaltedAt      time.Time // when it was first told to stop
	Exited        bool      // done, kept until the completion is recorded
	ExitCode      int       // exit code, if it ended with one
	ExitCause     string    // with which it exited
	Accounted     bool      // its accounting row was made
	TimedOut      bool      // stopped because it ran over its job's time limit
	SeenInView    uint64    // the last view that listed it, see Scheduler.views
}

func (placement *Placement) MayRun() bool { return placement.State >= PlacementGranted }
