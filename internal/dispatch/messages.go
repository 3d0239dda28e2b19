package dispatch

import (
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// TaskRef names one attempt of a task on a worker.
type TaskRef struct {
	Worker  string `json:"m"`
	Task    string `json:"t"`
	Attempt uint64 `json:"a"`
}

// QueueEntry is a task placed on a worker by its leader, with what the dispatcher
// needs to queue it.
type QueueEntry struct {
	TaskRef
	Leader    string             `json:"o"` // the leader
	Resources matching.Resources `json:"s"`
	RunS      float64            `json:"r"` // expected run time, s
	FetchS    float64            `json:"f"` // expected image fetch, s
	Rank      int                `json:"p"` // priority, larger first
	DueAt     float64            `json:"d"` // order within a priority, earlier first
	Reported  bool               `json:"l"` // the task is reported already: not to be queued
}

// Halt stops a task; the dispatcher repeats it until the task is gone.
type Halt struct {
	TaskRef
	GraceS float64 `json:"g"`
}

// Clear is an exited task that its worker may forget.
type Clear struct {
	TaskRef
	// Token is the highest that a start command for it may carry, by whichever dispatcher:
	// a late one from another, with a higher token than this dispatcher's, would start the
	// task again.
	Token uint64 `json:"k,omitempty"`
}

// Instructions is what a leader sends to a dispatcher. It may be repeated: what is done already
// has no effect.
type Instructions struct {
	From   string       `json:"from"`
	Assign []QueueEntry `json:"assign,omitempty"`
	Halt   []Halt       `json:"halt,omitempty"`
	Clear  []Clear      `json:"clear,omitempty"`
	// RaiseTokenAbove has the dispatcher answer workers with a higher token, so
	// that their reports prove which late commands can no longer run. 0: no need.
	RaiseTokenAbove uint64 `json:"raise,omitempty"`
}

// Unlaunched replies to instructions: the halted tasks for which no start command
// was ever sent by this incarnation of the dispatcher.
type Unlaunched struct {
	Refs []TaskRef `json:"refs"`
	// Token is the dispatcher's now: a task that was granted for another one may have been
	// launched by another dispatcher, or before this one restarted.
	Token uint64 `json:"k,omitempty"`
}

// GrantRequest requests of a task's leader that it may start now, with this token
// and in this session of the worker.
type GrantRequest struct {
	TaskRef
	Dispatcher string `json:"h"` // the dispatcher
	Token      uint64 `json:"k"`
	Session    uint64 `json:"s"`
}

// GrantReply replies: start the task, drop it from the queue, or neither for now. Drop prevails.
type GrantReply struct {
	OK   bool `json:"ok"`
	Drop bool `json:"drop"`
}

// TaskView is a reported task.
type TaskView struct {
	wire.Task
	StateAgeS float64 `json:"for"` // seconds since the dispatcher first saw it in this state
	// ResourcesUnknown says that no leader has sent the dispatcher what the task takes; the dispatcher
	// takes its worker for full meanwhile.
	ResourcesUnknown bool `json:"u,omitempty"`
}

// QueueView is a queued task and its expected wait.
type QueueView struct {
	TaskRef
	WaitS float64 `json:"w"`
	// Unsent says that this dispatcher has sent no start command for the task yet.
	Unsent bool `json:"unsent,omitempty"`
}

// WorkerView is what a dispatcher publishes of a worker.
type WorkerView struct {
	Name       string  `json:"name"`
	Type       string  `json:"type"`
	Zone       string  `json:"zone"`
	Spot       bool    `json:"spot"`
	Session    uint64  `json:"session"`
	Seq        uint64  `json:"seq"`
	Token      uint64  `json:"token"`
	Dispatcher string  `json:"holder"` // the dispatcher
	Endpoint   string  `json:"endpoint,omitempty"`
	AgeS       float64 `json:"age,omitempty"` // seconds since the report came
	// UnansweredS is how long ago the dispatcher last answered a heartbeat of the worker, at
	// least: since its own start if it never has.
	UnansweredS float64  `json:"unanswered,omitempty"`
	NoticeS     *float64 `json:"notice"` // until the cloud takes the machine away; nil: no notice
	Draining    bool     `json:"draining"`
	Polled      bool     `json:"asked,omitempty"` // the report responded to a poll or to commands, which thus reached the worker
	// Unchanged says that the report in it tells nothing but that the worker was heard.
	Unchanged bool                `json:"-"`
	Tasks     []TaskView          `json:"tasks"`
	Queue     []QueueView         `json:"queue"`
	Matrix    matching.WaitMatrix `json:"matrix"`
}
