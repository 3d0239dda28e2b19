package dispatch

import (
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// TaskRef identifies one attempt of a task on a worker.
type TaskRef struct {
	Worker  string `json:"m"`
	Task    string `json:"t"`
	Attempt uint64 `json:"a"`
}

// QueueEntry is a task that its leader has placed on a worker, with the data needed to queue it.
type QueueEntry struct {
	TaskRef
	Leader    string             `json:"o"` // controller that leads the task
	Resources matching.Resources `json:"s"`
	RunS      float64            `json:"r"` // expected run time in s
	FetchS    float64            `json:"f"` // expected time of the image fetch in s
	Rank      int                `json:"p"` // priority, higher first
	DueAt     float64            `json:"d"` // order within a priority, lower first
	Reported  bool               `json:"l"` // the worker already reports the task: do not queue it
}

// Halt stops a task. The dispatcher repeats the stop command until the worker reports the task as
// exited or no longer reports it.
type Halt struct {
	TaskRef
	GraceS float64 `json:"g"`
}

// Forget has a worker forget an exited task.
type Forget struct {
	TaskRef
	// MaxStartToken is the highest token that a start command for the attempt may carry, from any
	// dispatcher. The worker forgets the task only once it has seen a higher one.
	MaxStartToken uint64 `json:"k,omitempty"`
}

// Instructions is sent by a leader to a dispatcher. Applying it again has no further effect.
type Instructions struct {
	From   string       `json:"from"`
	Assign []QueueEntry `json:"assign,omitempty"`
	Halt   []Halt       `json:"halt,omitempty"`
	Forget []Forget     `json:"clear,omitempty"`
	// RaiseTokenAbove, if not 0, has the dispatcher answer workers with a token above it. The
	// workers' reports then show that commands with lower tokens can no longer be executed.
	RaiseTokenAbove uint64 `json:"raise,omitempty"`
}

// Unlaunched is the reply to Instructions: the halted tasks for which this incarnation of the
// dispatcher never sent a start command.
type Unlaunched struct {
	Refs []TaskRef `json:"refs"`
	// Token is the dispatcher's present token. A task that was granted under another token may have
	// been started by another dispatcher, or by this one before its restart.
	Token uint64 `json:"k,omitempty"`
}

// GrantRequest asks a task's leader for permission to start the task now, with this token and in
// this session of the worker.
type GrantRequest struct {
	TaskRef
	Dispatcher string `json:"h"` // requesting controller
	Token      uint64 `json:"k"`
	Session    uint64 `json:"s"`
}

// GrantReply is the leader's decision: start the task, drop it from the queue, or, if neither is
// set, wait. Drop takes precedence.
type GrantReply struct {
	OK   bool `json:"ok"`
	Drop bool `json:"drop"`
}

// TaskView is a task in a worker's report.
type TaskView struct {
	wire.Task
	StateAgeS float64 `json:"for"` // seconds since the dispatcher first saw the task in this state
	// ResourcesUnknown is set while the dispatcher has no queue entry for the task. Meanwhile it
	// treats the worker as full.
	ResourcesUnknown bool `json:"u,omitempty"`
}

// QueueView is a queued task and its expected wait in seconds.
type QueueView struct {
	TaskRef
	WaitS float64 `json:"w"`
	// Unsent is set while this dispatcher has not sent a start command for the task.
	Unsent bool `json:"unsent,omitempty"`
}

// WorkerView is the state of a worker as published by its dispatcher.
type WorkerView struct {
	Name       string  `json:"name"`
	Type       string  `json:"type"`
	Zone       string  `json:"zone"`
	Spot       bool    `json:"spot"`
	Session    uint64  `json:"session"`
	Seq        uint64  `json:"seq"`
	Token      uint64  `json:"token"`
	Dispatcher string  `json:"holder"` // controller to which the worker reports
	Endpoint   string  `json:"endpoint,omitempty"`
	AgeS       float64 `json:"age,omitempty"` // seconds since the report arrived
	// UnansweredS is the time in seconds since the dispatcher last answered a heartbeat of the
	// worker, or since the dispatcher's start if it has answered none.
	UnansweredS float64  `json:"unanswered,omitempty"`
	NoticeS     *float64 `json:"notice"` // seconds until the cloud takes the machine away; nil: no notice
	Draining    bool     `json:"draining"`
	Polled      bool     `json:"asked,omitempty"` // the report answered a poll or a push, so that messages do reach the worker
	// Unchanged is set for a heartbeat that reports nothing new, so that it only shows that the
	// worker is alive.
	Unchanged bool                `json:"-"`
	Tasks     []TaskView          `json:"tasks"`
	Queue     []QueueView         `json:"queue"`
	Matrix    matching.WaitMatrix `json:"matrix"`
}
