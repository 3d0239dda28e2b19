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

// observedResponse is an HTTP answer as a user received it, and when.
type observedResponse struct {
	kind, node, job string
	sent, received  time.Time
	status          int
	body            []byte
}

// jobHistory is what users know of a job by the first answers that arrived.
type jobHistory struct {
	accepted, done, cancelled time.Time // when that answer first arrived; zero: never
	cancelSent                bool
	allTasksEnded             time.Time // when its last task ended; zero: it has not
	attempts                  []taskRun
}

// taskRun is an attempt of a task.
type taskRun struct {
	task       string
	attempt    uint64
	reported   time.Time // when a report with it first arrived at a controller; zero: none has
	plannedEnd time.Time // until when it runs if nothing stops it
}

// A stage may lag by 3 s: of a task's first report by a second, and of the controllers' knowledge
// of that report by the rest.
const (
	maxStageLag       = 3 * time.Second
	maxLagAfterReport = maxStageLag - reportEvery
)

// responseChecker checks the order of all answers that users received, over all
// controllers. An answer is judged against those that had arrived before its request
// was sent. It reads the answers' bytes itself, and shares no code with controllers.
type responseChecker struct {
	mu          sync.Mutex
	jobs        map[string]*jobHistory
	violations  []string
	responses   int // with a stage
	refused     int // of status 503
	staleQueued int // "queued" although a running task has been reported for longer than its stage may lag
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

// history returns what is known of a job by now.
func (o *responseChecker) history(job string) jobHistory {
	o.mu.Lock()
	defer o.mu.Unlock()
	return *o.historyLocked(job)
}

// cancelSent notes that a job's user is about to cancel it.
func (o *responseChecker) cancelSent(job string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.historyLocked(job).cancelSent = true
}

// lastTaskEnded notes that all tasks of a job have ended by themselves.
func (o *responseChecker) lastTaskEnded(job string, at time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.historyLocked(job).allTasksEnded = at
}

// taskStarted notes the start of a task that runs for so long.
func (o *responseChecker) taskStarted(job, task string, attempt uint64, runs time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h := o.historyLocked(job)
	h.attempts = append(h.attempts, taskRun{task: task, attempt: attempt, plannedEnd: time.Now().Add(runs)})
}

// taskReported notes that a report with a running task arrived at a controller.
func (o *responseChecker) taskReported(job, task string, attempt uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	runs := o.historyLocked(job).attempts
	for i := range runs {
		if run := &runs[i]; run.task == task && run.attempt == attempt && run.reported.IsZero() {
			run.reported = time.Now()
		}
	}
}

func (o *responseChecker) violationLocked(a *observedResponse, why string) {
	const most = 20
	if len(o.violations) < most {
		o.violations = append(o.violations, fmt.Sprintf("%s to %s for %s, sent %s, arrived %s: %d %s: %s", a.kind, a.node, a.job,
			a.sent.Format("05.000000"), a.received.Format("05.000000"), a.status, a.body, why))
	}
}

// checkResponse judges an answer that has just arrived, and remembers it.
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
			o.violationLocked(&a, "the job was accepted before")
		}
		return ""
	default:
		o.violationLocked(&a, "no status of the protocol")
		return ""
	}
	var state struct {
		Job   string `json:"uid"`
		Stage string `json:"stage"`
	}
	if err := json.Unmarshal(a.body, &state); err != nil || state.Job != a.job {
		o.violationLocked(&a, "no answer about that job")
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
	first := func(at *time.Time) {
		if at.IsZero() {
			*at = a.received
		}
	}
	first(&h.accepted)
	switch state.Stage {
	case "done":
		first(&h.done)
	case "cancelled":
		first(&h.cancelled)
	}
	return state.Stage
}

// checkStageLocked judges an answer's stage against what users knew before its request was sent.
func (o *responseChecker) checkStageLocked(a *observedResponse, stage string, h *jobHistory, before func(time.Time) bool) {
	if !slices.Contains([]string{"queued", "running", "done", "cancelled"}, stage) {
		o.violationLocked(a, "no stage of the protocol")
	}
	switch {
	case stage != "done" && before(h.done):
		o.violationLocked(a, "it was called done before")
	case stage != "cancelled" && before(h.cancelled):
		o.violationLocked(a, "it was called cancelled before")
	case stage == "done" && !h.cancelled.IsZero() || stage == "cancelled" && !h.done.IsZero():
		o.violationLocked(a, "it is called both done and cancelled")
	case stage == "cancelled" && !h.cancelSent:
		o.violationLocked(a, "nobody cancelled it")
	case stage == "done" && (h.allTasksEnded.IsZero() || h.allTasksEnded.After(a.received)):
		o.violationLocked(a, "its last task has not ended")
	}
	if a.kind == cancelRequest && stage != "done" && stage != "cancelled" {
		o.violationLocked(a, "no answer to a cancellation")
	}
	if a.status == 201 && (a.kind != submitRequest || before(h.accepted)) {
		o.violationLocked(a, "accepted anew")
	}
}
