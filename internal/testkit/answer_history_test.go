package testkit_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"
)

// Kinds of users' requests.
const (
	submitRequest = "submission"
	stateRequest  = "question"
	cancelRequest = "cancellation"
)

// observedResponse is an HTTP response as a user received it, with the times of request and response.
type observedResponse struct {
	kind, node, job string
	sent, received  time.Time
	status          int
	body            []byte
}

// jobHistory contains what responses so far have told users about a job, and the times at which its tasks ran.
type jobHistory struct {
	accepted, done, cancelled time.Time // time of the first response that said so; zero if none did
	cancelSent                bool
	allTasksEnded             time.Time // when its last task ended by itself; zero before that
	attempts                  []taskRun
}

// taskRun is an attempt of a task.
type taskRun struct {
	task       string
	attempt    uint64
	reported   time.Time // when a report that lists it first arrived at a controller; zero if none has
	plannedEnd time.Time // when it ends unless it is stopped earlier
}

// The stage in a response may lag behind the start of the job's first task by 3 s: up to 1 s passes until
// a worker reports the task, the rest until all controllers know of that report.
const (
	maxStageLag       = 3 * time.Second
	maxLagAfterReport = maxStageLag - reportEvery
)

// responseChecker checks that no response of any controller contradicts earlier ones: each response
// must agree with those that users had received before its request was sent. It parses the responses
// itself and shares no code with the controllers.
type responseChecker struct {
	mu          sync.Mutex
	jobs        map[string]*jobHistory
	violations  []string
	responses   int // responses with a stage
	refused     int // responses with status 429, 503 or 504
	staleQueued int // stages "queued" that came more than maxLagAfterReport after a report of a running task
}

func newResponseChecker() *responseChecker {
	return &responseChecker{jobs: map[string]*jobHistory{}}
}

func (o *responseChecker) historyLocked(job string) *jobHistory {
	h := o.jobs[job]
	if h == nil {
		h = &jobHistory{}
		o.jobs[job] = h
	}
	return h
}

// history returns a copy of what is known about a job.
func (o *responseChecker) history(job string) jobHistory {
	o.mu.Lock()
	defer o.mu.Unlock()
	return *o.historyLocked(job)
}

// cancelSent records that a user is about to cancel the job.
func (o *responseChecker) cancelSent(job string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.historyLocked(job).cancelSent = true
}

// lastTaskEnded records when the last task of a job ended by itself.
func (o *responseChecker) lastTaskEnded(job string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.historyLocked(job).allTasksEnded = at
}

// taskStarted records the start of a task attempt and its planned run time.
func (o *responseChecker) taskStarted(job, task string, attempt uint64, runTime time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h := o.historyLocked(job)
	h.attempts = append(h.attempts, taskRun{task: task, attempt: attempt, plannedEnd: time.Now().Add(runTime)})
}

// taskReported records that a report that lists the task as running arrived at a controller.
func (o *responseChecker) taskReported(job, task string, attempt uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	attempts := o.historyLocked(job).attempts
	for i := range attempts {
		if run := &attempts[i]; run.task == task && run.attempt == attempt && run.reported.IsZero() {
			run.reported = time.Now()
		}
	}
}

func (o *responseChecker) violationLocked(a *observedResponse, why string) {
	const maxViolations = 20
	if len(o.violations) < maxViolations {
		o.violations = append(o.violations, fmt.Sprintf("%s to %s for %s, sent %s, received %s: %d %s: %s", a.kind, a.node, a.job,
			a.sent.Format("05.000000"), a.received.Format("05.000000"), a.status, a.body, why))
	}
}

// checkResponse checks a response that has just arrived against the job's history, adds it to
// the history, and returns its stage, or "" if it has none.
func (o *responseChecker) checkResponse(a observedResponse) (stage string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h := o.historyLocked(a.job)
	before := func(at time.Time) bool { return !at.IsZero() && at.Before(a.sent) }
	switch a.status {
	case 200, 201:
	case 429, 503, 504:
		o.refused++
		return ""
	case 400, 404, 422:
		if before(h.accepted) {
			o.violationLocked(&a, "the job had been accepted before")
		}
		return ""
	default:
		o.violationLocked(&a, "the protocol has no such status")
		return ""
	}
	var state struct {
		Job   string `json:"uid"`
		Stage string `json:"stage"`
	}
	if err := json.Unmarshal(a.body, &state); err != nil || state.Job != a.job {
		o.violationLocked(&a, "the response is not about that job")
		return ""
	}
	o.responses++
	o.checkStageLocked(&a, state.Stage, h, before)
	if state.Stage == "queued" {
		for _, run := range h.attempts {
			if !run.reported.IsZero() && run.reported.Before(a.sent.Add(-maxLagAfterReport)) && run.plannedEnd.After(a.received) {
				o.staleQueued++
				break
			}
		}
	}
	setOnce := func(at *time.Time) {
		if at.IsZero() {
			*at = a.received
		}
	}
	setOnce(&h.accepted)
	switch state.Stage {
	case "done":
		setOnce(&h.done)
	case "cancelled":
		setOnce(&h.cancelled)
	}
	return state.Stage
}

// checkStageLocked checks a response's stage against what users knew before its request was sent.
func (o *responseChecker) checkStageLocked(a *observedResponse, stage string, h *jobHistory, before func(time.Time) bool) {
	if !slices.Contains([]string{"queued", "running", "done", "cancelled"}, stage) {
		o.violationLocked(a, "the protocol has no such stage")
	}
	switch {
	case stage != "done" && before(h.done):
		o.violationLocked(a, "an earlier response said done")
	case stage != "cancelled" && before(h.cancelled):
		o.violationLocked(a, "an earlier response said cancelled")
	case stage == "done" && !h.cancelled.IsZero() || stage == "cancelled" && !h.done.IsZero():
		o.violationLocked(a, "responses say both done and cancelled")
	case stage == "cancelled" && !h.cancelSent:
		o.violationLocked(a, "no user cancelled the job")
	case stage == "done" && (h.allTasksEnded.IsZero() || h.allTasksEnded.After(a.received)):
		o.violationLocked(a, "the job's last task has not ended")
	}
	if a.kind == cancelRequest && stage != "done" && stage != "cancelled" {
		o.violationLocked(a, "a cancellation must return done or cancelled")
	}
	if a.status == 201 && (a.kind != submitRequest || before(h.accepted)) {
		o.violationLocked(a, "accepted a second time")
	}
}
