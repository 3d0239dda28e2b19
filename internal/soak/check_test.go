package soak

import (
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// historyBuilder builds a history of one job with two tasks, with a time between its events.
type historyBuilder struct {
	History
	now time.Duration
}

const testJob = "j-1"

func newHistory() *historyBuilder {
	zone := "a"
	return &historyBuilder{History: History{Jobs: map[string]*wire.Job{testJob: {UID: testJob, Team: "red", Tasks: 2, CPUs: 2, Zone: &zone}}}}
}

func (h *historyBuilder) add(e Event) *historyBuilder {
	h.now += 10 * time.Millisecond
	e.Began, e.At = h.now-time.Millisecond, h.now
	if e.Job == "" {
		e.Job = testJob
	}
	h.Events = append(h.Events, e)
	return h
}

func (h *historyBuilder) wait(duration time.Duration) *historyBuilder {
	h.now += duration
	return h
}

func (h *historyBuilder) respond(kind EventKind, status int, stage string) *historyBuilder {
	return h.add(Event{Kind: kind, Status: status, Stage: stage})
}

func (h *historyBuilder) start(task, worker string) *historyBuilder {
	return h.add(Event{Kind: TaskStarted, Task: task, Worker: worker, Zone: "a"})
}

// attempt starts an attempt of the first task.
func (h *historyBuilder) attempt(number uint64) *historyBuilder {
	return h.add(Event{Kind: TaskStarted, Task: "j-1/0", Attempt: number, Worker: "n-1", Zone: "a"})
}

func (h *historyBuilder) end(task, worker string) *historyBuilder {
	return h.add(Event{Kind: TaskEnded, Task: task, Worker: worker, Completed: true})
}

// accepted is a history in which the job was accepted.
func accepted() *historyBuilder { return newHistory().respond(Submit, 201, wire.StageQueued) }

// done is a history in which the job ran and was called done.
func done() *historyBuilder {
	return accepted().start("j-1/0", "n-1").start("j-1/1", "n-2").end("j-1/0", "n-1").end("j-1/1", "n-2").respond(Poll, 200, wire.StageDone)
}

// cancelled is a history in which a task runs and the job's cancel was confirmed.
func cancelled() *historyBuilder {
	return accepted().start("j-1/0", "n-1").add(Event{Kind: CancelSent}).respond(Cancel, 200, wire.StageCancelled)
}

// refused is a history in which all polls for the job fail for 100 s of the faults, while another job is asked about.
func refused(otherStatus int) *historyBuilder {
	h := accepted()
	h.Jobs["j-2"] = &wire.Job{UID: "j-2", Tasks: 1}
	h.add(Event{Kind: Submit, Job: "j-2", Status: 201, Stage: wire.StageQueued})
	for range 10 {
		h.wait(10*time.Second).respond(Poll, 503, "").add(Event{Kind: Poll, Job: "j-2", Status: otherStatus, Stage: wire.StageQueued})
	}
	return h.respond(Poll, 200, wire.StageQueued).add(Event{Kind: FaultsOver})
}

var testLimits = Limits{Unanswered: 90 * time.Second, NothingLearnt: 75 * time.Second, Unfinished: 90 * time.Second, Cancel: 10 * time.Second, TeamCPUs: map[string]float64{"red": 4}}

func TestCheckFindsEachViolation(t *testing.T) {
	for name, c := range map[string]struct {
		history *historyBuilder
		rule    Rule
	}{
		"an accepted job gets 404":                {accepted().respond(Poll, 404, ""), Forgotten},
		"a repeated submission gets 422":          {accepted().respond(Submit, 422, ""), Forgotten},
		"a repeated submission gets 400":          {done().respond(Submit, 400, ""), Forgotten},
		"nothing is learnt until the end":         {accepted().add(Event{Kind: FaultsOver}).wait(80*time.Second).respond(Poll, 503, "").add(Event{Kind: RunOver}), Forgotten},
		"nothing is learnt for a while":           {accepted().add(Event{Kind: FaultsOver}).wait(80*time.Second).respond(Poll, 200, wire.StageQueued), Forgotten},
		"all polls fail during the faults":        {refused(200), Forgotten},
		"a done job is called running":            {done().respond(Poll, 200, wire.StageRunning), WentBack},
		"a cancelled job is called done":          {cancelled().respond(Poll, 200, wire.StageQueued), WentBack},
		"nobody cancelled":                        {accepted().respond(Poll, 200, wire.StageCancelled), WentBack},
		"done before the tasks":                   {accepted().start("j-1/0", "n-1").end("j-1/0", "n-1").respond(Poll, 200, wire.StageDone), NotDone},
		"an unknown job is known":                 {accepted().add(Event{Kind: Poll, Job: "j-2", Status: 200, Stage: wire.StageQueued}), Invented},
		"a task starts twice":                     {accepted().start("j-1/0", "n-1").start("j-1/0", "n-2"), RanTwice},
		"an attempt starts again":                 {accepted().attempt(1).end("j-1/0", "n-1").attempt(1), RanTwice},
		"a task starts long after a cancel":       {cancelled().wait(11*time.Second).start("j-1/1", "n-2"), RanCancelled},
		"a task ends long after a cancel":         {cancelled().wait(11*time.Second).end("j-1/0", "n-1"), RanCancelled},
		"a task is there long after a cancel":     {cancelled().wait(11 * time.Second).add(Event{Kind: RunOver}), RanCancelled},
		"a team is over its limit":                {accepted().start("j-1/0", "n-1").start("j-1/1", "n-1").start("j-1/2", "n-1"), Quota},
		"a task starts in another zone":           {accepted().add(Event{Kind: TaskStarted, Task: "j-1/0", Worker: "n-1", Zone: "b"}), WrongPlace},
		"a job is not over long after the faults": {accepted().add(Event{Kind: FaultsOver}).wait(60*time.Second).respond(Poll, 200, wire.StageQueued).wait(40 * time.Second).add(Event{Kind: RunOver}), LeftWaiting},
	} {
		violations := Check(c.history.History, testLimits)
		if len(violations) != 1 || violations[0].Rule != c.rule {
			t.Errorf("%s: %v, want one of %s", name, violations, c.rule)
		}
	}
}

func TestCheckPassesCleanHistories(t *testing.T) {
	for name, h := range map[string]*historyBuilder{
		"done":                             done().respond(Poll, 200, wire.StageDone).respond(Submit, 200, wire.StageDone).add(Event{Kind: FaultsOver}).respond(Poll, 200, wire.StageDone).add(Event{Kind: RunOver}),
		"cancelled":                        cancelled().wait(9*time.Second).end("j-1/0", "n-1").respond(Poll, 200, wire.StageCancelled).add(Event{Kind: FaultsOver}).add(Event{Kind: RunOver}),
		"cancelled when done":              done().add(Event{Kind: CancelSent}).respond(Cancel, 200, wire.StageDone),
		"not accepted":                     newHistory().respond(Submit, 503, "").respond(Poll, 404, "").add(Event{Kind: FaultsOver}).wait(200 * time.Second).add(Event{Kind: RunOver}),
		"a long trouble":                   accepted().wait(200*time.Second).add(Event{Kind: FaultsOver}).wait(70*time.Second).respond(Poll, 200, wire.StageQueued).add(Event{Kind: RunOver}),
		"polls for all jobs fail":          refused(503),
		"stopped and started":              accepted().start("j-1/0", "n-1").add(Event{Kind: TaskEnded, Task: "j-1/0", Worker: "n-1"}).start("j-1/0", "n-2"),
		"started again as another attempt": accepted().attempt(1).end("j-1/0", "n-1").attempt(2),
		"an unknown job gets 404":          accepted().add(Event{Kind: Poll, Job: "j-2", Status: 404}),
	} {
		if violations := Check(h.History, testLimits); len(violations) > 0 {
			t.Errorf("%s: %v", name, violations)
		}
	}
}

// A poll that was sent before the acceptance was known may get 404, and one that was sent before the
// end may get an earlier stage.
func TestCheckAllowsOverlappingRequests(t *testing.T) {
	h := done()
	h.Events = append(h.Events,
		Event{Kind: Poll, Job: testJob, Began: 0, At: h.now, Status: 404},
		Event{Kind: Poll, Job: testJob, Began: h.now - 5*time.Millisecond, At: h.now, Status: 200, Stage: wire.StageRunning})
	if violations := Check(h.History, testLimits); len(violations) > 0 {
		t.Error(violations)
	}
}
