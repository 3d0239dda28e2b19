// Package dispatch is the holder's side of the design: the controller that
// hears a worker holds that machine's queue, writes its wait-time matrix and
// gives it commands. A task starts only after its owner granted it.
package dispatch

import (
	"context"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// TaskRef names one attempt of a task on a machine.
type TaskRef struct {
	Machine string `json:"m"`
	Task    string `json:"t"`
	Attempt uint64 `json:"a"`
}

// QueueEntry is a task placed on a machine by its owner, with what the holder
// needs to queue it.
type QueueEntry struct {
	TaskRef
	Owner     string             `json:"o"`
	Resources matching.Resources `json:"s"`
	Run       float64            `json:"r"` // expected run time
	Fetch     float64            `json:"f"` // expected image fetch
	Rank      int                `json:"p"` // priority, larger first
	DueAt     float64            `json:"d"` // order within a priority, earlier first
	Listed    bool               `json:"l"` // facts about a task that already runs: not to be queued
}

// Halt stops a task; the holder repeats it until the task is gone.
type Halt struct {
	TaskRef
	GraceS float64 `json:"g"`
}

// Clear is an exited task that its worker may forget.
type Clear struct {
	TaskRef
	// Token is the highest that a start command for it may carry, by whichever holder:
	// a late one from another, with a higher token than this holder's, would start the
	// task again.
	Token uint64 `json:"k,omitempty"`
}

// Instructions is what an owner tells a holder.
type Instructions struct {
	From   string       `json:"from"`
	Assign []QueueEntry `json:"assign,omitempty"`
	Halt   []Halt       `json:"halt,omitempty"`
	Clear  []Clear      `json:"clear,omitempty"`
	// RaiseTokenAbove asks the holder to answer workers with a higher token, so
	// that their reports prove which late commands can no longer run.
	RaiseTokenAbove uint64 `json:"raise,omitempty"`
}

// Unlaunched answers a direction: the halted tasks for which no start command
// was ever sent by this incarnation of the holder.
type Unlaunched struct {
	Refs []TaskRef `json:"refs"`
	// Token is the holder's now: a task that was granted for another one may have been
	// launched by another holder, or before this one restarted.
	Token uint64 `json:"k,omitempty"`
}

// GrantRequest asks a task's owner whether it may start now, with this token
// and in this session.
type GrantRequest struct {
	TaskRef
	Holder  string `json:"h"`
	Token   uint64 `json:"k"`
	Session uint64 `json:"s"`
}

// GrantReply answers: start it, drop it from the queue, or neither for now.
type GrantReply struct {
	OK   bool `json:"ok"`
	Drop bool `json:"drop"`
}

// TaskView is a listed task.
type TaskView struct {
	wire.Task
	ForS float64 `json:"for"` // seconds since the holder first saw it in this state
	// Unknown says that the holder has not been told what the task takes, and takes its
	// machine for full meanwhile.
	Unknown bool `json:"u,omitempty"`
}

// QueueView is a queued task and its expected wait.
type QueueView struct {
	TaskRef
	WaitS float64 `json:"w"`
	// Unsent says that this holder has sent no start command for the task yet.
	Unsent bool `json:"unsent,omitempty"`
}

// WorkerView is what a holder publishes of a machine.
type WorkerView struct {
	Name     string  `json:"name"`
	Type     string  `json:"type"`
	Zone     string  `json:"zone"`
	Spot     bool    `json:"spot"`
	Session  uint64  `json:"session"`
	Seq      uint64  `json:"seq"`
	Token    uint64  `json:"token"`
	Holder   string  `json:"holder"`
	Endpoint string  `json:"endpoint,omitempty"`
	AgeS     float64 `json:"age,omitempty"` // seconds since the report came
	// UnansweredS is how long ago its holder last answered a report of the worker, at
	// least: since its own start if it never has.
	UnansweredS float64  `json:"unanswered,omitempty"`
	NoticeS     *float64 `json:"notice"`
	Draining    bool     `json:"draining"`
	Asked       bool     `json:"asked,omitempty"` // the report answered a request, which thus reached the machine
	// Same says that the report in it says nothing new but that the machine was heard.
	Same   bool                `json:"-"`
	Tasks  []TaskView          `json:"tasks"`
	Queue  []QueueView         `json:"queue"`
	Matrix matching.WaitMatrix `json:"matrix"`
}

// Schedulers is what a holder needs of the tasks' owners, here or elsewhere.
type Schedulers interface {
	// ObserveWorker hands a fresh view to the owner in this process.
	ObserveWorker(WorkerView)
	// GrantLocal asks the owner in this process.
	GrantLocal(GrantRequest) GrantReply
	// GrantRemote asks an owner elsewhere; the replies are in the order of the requests.
	GrantRemote(ctx context.Context, owner string, requests []GrantRequest) ([]GrantReply, error)
}

// Tokens are this controller's terms.
type Tokens interface {
	FencingToken() uint64
	RaiseTokenAbove(ctx context.Context, above uint64) (uint64, error)
	// ReservedTokenAbove is a term above some that was drawn ahead of time, for when none can be
	// drawn now, or 0.
	ReservedTokenAbove(above uint64) uint64
}

// MachineTypes knows the cloud's machine types.
type MachineTypes interface {
	Type(name string) (wire.MachineType, bool)
}

// Cancellations knows which jobs were cancelled.
type Cancellations interface {
	IsCancelled(uid string) bool
}

// Routing says whether this controller may act for a worker, and which one
// should instead.
type Routing interface {
	// LeaderFor names the controller that should hold a worker, "" for none.
	LeaderFor(worker string) string
	// MayAnswerWorkers reports whether this controller may answer workers.
	MayAnswerWorkers() bool
	// Isolated reports whether this controller can start nothing, and knows of no
	// other that can, while there may be one.
	Isolated() bool
}
