package soak

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// EventKind is a kind of event that is observed from outside the controllers.
type EventKind string

// The kinds of events. Submit, Poll and Cancel are a user's requests with their responses; CancelSent
// precedes Cancel.
const (
	Submit      EventKind = "submit"
	Poll        EventKind = "poll"
	Cancel      EventKind = "cancel"
	CancelSent  EventKind = "cancel sent"
	TaskStarted EventKind = "task started"
	TaskEnded   EventKind = "task ended"
	FaultsOver  EventKind = "faults over"
	RunOver     EventKind = "run over"
)

// Event is one observed event.
type Event struct {
	Kind   EventKind     `json:"kind"`
	Began  time.Duration `json:"began"` // since the start of the run; when a request was sent
	At     time.Duration `json:"at"`    // when the response had arrived, or the event happened
	Job    string        `json:"job,omitempty"`
	Node   int           `json:"node"`             // index of the controller that was asked, or throughBalancer
	Status int           `json:"status,omitempty"` // HTTP status; 0: no response
	Stage  string        `json:"stage,omitempty"`  // of a successful response

	Task      string `json:"task,omitempty"`
	Attempt   uint64 `json:"attempt,omitempty"` // of TaskStarted
	Worker    string `json:"worker,omitempty"`
	Zone      string `json:"zone,omitempty"`      // of Worker
	Completed bool   `json:"completed,omitempty"` // of TaskEnded: the task was not stopped
}

// throughBalancer stands for the controller that the load balancer chose.
const throughBalancer = -1

func (e *Event) succeeded() bool { return e.Status/100 == 2 }

// History is what was observed of a run.
type History struct {
	Jobs   map[string]*wire.Job // by id, including those that were never submitted successfully
	Events []Event              // in the order of At
}

// recorder records a history. It is safe for concurrent use.
type recorder struct {
	start time.Time

	mu      sync.Mutex
	history History
}

func newRecorder() *recorder {
	return &recorder{start: time.Now(), history: History{Jobs: map[string]*wire.Job{}}}
}

func (r *recorder) now() time.Duration { return time.Since(r.start) }

// restart makes the run start now. Call it before the first event.
func (r *recorder) restart() { r.start = time.Now() }

// job returns the job with an id, or nil.
func (r *recorder) job(uid string) *wire.Job {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.history.Jobs[uid]
}

func (r *recorder) addJob(job *wire.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Jobs[job.UID] = job
}

// add records an event that happens now, and returns it.
func (r *recorder) add(event Event) Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.At = r.now()
	if event.Began == 0 {
		event.Began = event.At
	}
	r.history.Events = append(r.history.Events, event)
	return event
}

// snapshot returns the history so far.
func (r *recorder) snapshot() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return History{maps.Clone(r.history.Jobs), slices.Clone(r.history.Events)}
}
