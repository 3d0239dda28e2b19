package soak

import (
	"fmt"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// Rule is a rule that the controllers must keep.
type Rule string

// The rules, by their names in the operators' protocol.
const (
	Forgotten    Rule = "forgotten"     // an accepted job is unknown, its repetition is rejected, or nothing is learnt of it
	WentBack     Rule = "went_back"     // a final stage is followed by another, or a job is cancelled that nobody cancelled
	NotDone      Rule = "not_done"      // a job is called done before its tasks are
	Invented     Rule = "invented"      // a job that nobody submitted is known
	RanTwice     Rule = "ran_twice"     // a task starts while it is on another worker
	RanCancelled Rule = "ran_cancelled" // a task is on a worker too long after its job's cancel was confirmed
	Quota        Rule = "quota"         // the tasks of a team use more than its limit
	WrongPlace   Rule = "wrong_place"   // a task starts in a zone that its job does not allow
	LeftWaiting  Rule = "left_waiting"  // an accepted job is not over long after the faults
	LeaseLost    Rule = "lease_lost"    // a lease was lost without a fault, or before its time
)

// Limits are the times and amounts by which a history is checked.
type Limits struct {
	Unanswered    time.Duration      // during the faults, longest time for which all requests about an accepted job fail
	NothingLearnt time.Duration      // after the faults, longest time without a successful poll of an accepted job
	Unfinished    time.Duration      // after the faults, longest time until every job is over
	Cancel        time.Duration      // longest time that a task may be on a worker after its job's cancel was confirmed
	TeamCPUs      map[string]float64 // by team
}

// Violation is a broken rule.
type Violation struct {
	Rule  Rule
	At    time.Duration
	Job   string
	Cause string
}

// String returns the violation as one line.
func (v Violation) String() string {
	return fmt.Sprintf("%8.3f s %s: %s: %s", v.At.Seconds(), v.Rule, v.Job, v.Cause)
}

// jobHistory is what a history has shown of a job so far.
type jobHistory struct {
	spec           *wire.Job
	acceptedAt     time.Duration // of the first response that accepted it; negative: none yet
	finalAt        time.Duration // of the first response with a final stage; negative: none yet
	finalStage     string
	cancelAskedAt  time.Duration // when its first cancel was sent; negative: never
	cancelledAt    time.Duration // of the first response that called it cancelled; negative: none yet
	lastLearntAt   time.Duration // of the last successful response
	completedTasks map[string]bool
}

const never = time.Duration(-1)

// startedAttempt is an attempt that a worker started.
type startedAttempt struct {
	task, worker string
	attempt      uint64
}

// checker checks the events of a history one after the other.
type checker struct {
	limits       Limits
	jobs         map[string]*jobHistory
	workerOf     map[string]string // the worker that a task is on
	started      map[startedAttempt]bool
	teamCPUs     map[string]float64
	faultsOverAt time.Duration
	violations   []Violation
}

// Check returns the violations of the rules in a history.
func Check(history History, limits Limits) []Violation {
	c := &checker{
		limits: limits, jobs: map[string]*jobHistory{}, workerOf: map[string]string{}, started: map[startedAttempt]bool{}, teamCPUs: map[string]float64{}, faultsOverAt: never,
	}
	for uid, spec := range history.Jobs {
		c.jobs[uid] = &jobHistory{spec: spec, acceptedAt: never, finalAt: never, cancelAskedAt: never, cancelledAt: never, completedTasks: map[string]bool{}}
	}
	for i := range history.Events {
		c.apply(&history.Events[i])
	}
	return append(c.violations, checkUnanswered(history, limits.Unanswered)...)
}

func (c *checker) report(rule Rule, at time.Duration, job, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, job, fmt.Sprintf(format, args...)})
}

func (c *checker) apply(e *Event) {
	switch e.Kind {
	case Submit, Poll, Cancel:
		c.applyResponse(e)
	case CancelSent:
		if job := c.jobs[e.Job]; job.cancelAskedAt == never {
			job.cancelAskedAt = e.At
		}
	case TaskStarted:
		c.applyStart(e)
	case TaskEnded:
		c.applyEnd(e)
	case FaultsOver:
		c.faultsOverAt = e.At
	case RunOver:
		c.checkRunOver(e.At)
	}
}

func (c *checker) applyResponse(e *Event) {
	job := c.jobs[e.Job]
	if job == nil {
		if e.succeeded() {
			c.report(Invented, e.At, e.Job, "status %d from controller %d", e.Status, e.Node)
		}
		return
	}
	known := job.acceptedAt != never && job.acceptedAt < e.Began
	switch {
	case known && e.Status == 404:
		c.report(Forgotten, e.At, e.Job, "%s at controller %d: status 404, accepted at %.3f s", e.Kind, e.Node, job.acceptedAt.Seconds())
	case known && e.Kind == Submit && (e.Status == 400 || e.Status == 422):
		c.report(Forgotten, e.At, e.Job, "repeated submission at controller %d: status %d, accepted at %.3f s", e.Node, e.Status, job.acceptedAt.Seconds())
	case e.succeeded():
		c.applyStage(job, e)
	}
}

// applyStage checks a successful response against the earlier ones.
func (c *checker) applyStage(job *jobHistory, e *Event) {
	c.checkLearnt(job, e.Job, e.At)
	if job.acceptedAt == never {
		job.acceptedAt = e.At
	}
	job.lastLearntAt = e.At
	if job.finalAt != never && job.finalAt < e.Began && e.Stage != job.finalStage {
		c.report(WentBack, e.At, e.Job, "%s at controller %d: %s, was %s at %.3f s", e.Kind, e.Node, e.Stage, job.finalStage, job.finalAt.Seconds())
	}
	switch e.Stage {
	case wire.StageDone:
		if len(job.completedTasks) < job.spec.Tasks {
			c.report(NotDone, e.At, e.Job, "%d of %d tasks are done", len(job.completedTasks), job.spec.Tasks)
		}
	case wire.StageCancelled:
		if job.cancelAskedAt == never {
			c.report(WentBack, e.At, e.Job, "cancelled, and nobody cancelled it")
		}
		if job.cancelledAt == never {
			job.cancelledAt = e.At
		}
	default:
		return
	}
	if job.finalAt == never {
		job.finalAt, job.finalStage = e.At, e.Stage
	}
}

// checkLearnt reports an accepted job of which nothing was learnt for too long until now.
func (c *checker) checkLearnt(job *jobHistory, uid string, now time.Duration) {
	if job.acceptedAt == never || c.faultsOverAt == never {
		return
	}
	since := max(c.faultsOverAt, job.lastLearntAt)
	if now-since > c.limits.NothingLearnt {
		c.report(Forgotten, now, uid, "nothing was learnt of it for %.1f s", (now - since).Seconds())
		job.lastLearntAt = now // reported once for each such period
	}
}

func (c *checker) applyStart(e *Event) {
	job := c.jobs[e.Job]
	if other := c.workerOf[e.Task]; other != "" {
		c.report(RanTwice, e.At, e.Job, "task %s starts on %s while it is on %s", e.Task, e.Worker, other)
	}
	c.workerOf[e.Task] = e.Worker
	attempt := startedAttempt{e.Task, e.Worker, e.Attempt}
	if c.started[attempt] {
		c.report(RanTwice, e.At, e.Job, "attempt %d of task %s starts again on %s", e.Attempt, e.Task, e.Worker)
	}
	c.started[attempt] = true
	if job.cancelledAt != never && e.At-job.cancelledAt > c.limits.Cancel {
		c.report(RanCancelled, e.At, e.Job, "task %s starts, cancelled at %.3f s", e.Task, job.cancelledAt.Seconds())
	}
	if zone := job.spec.Zone; zone != nil && *zone != e.Zone {
		c.report(WrongPlace, e.At, e.Job, "task %s starts in zone %s instead of %s", e.Task, e.Zone, *zone)
	}
	team := job.spec.Team
	c.teamCPUs[team] += job.spec.CPUs
	if limit, limited := c.limits.TeamCPUs[team]; limited && c.teamCPUs[team] > limit {
		c.report(Quota, e.At, e.Job, "team %s uses %.1f CPUs of %.1f", team, c.teamCPUs[team], limit)
	}
}

func (c *checker) applyEnd(e *Event) {
	job := c.jobs[e.Job]
	delete(c.workerOf, e.Task)
	c.teamCPUs[job.spec.Team] -= job.spec.CPUs
	if e.Completed {
		job.completedTasks[e.Task] = true
	}
	if job.cancelledAt != never && e.At-job.cancelledAt > c.limits.Cancel {
		c.report(RanCancelled, e.At, e.Job, "task %s ends, cancelled at %.3f s", e.Task, job.cancelledAt.Seconds())
	}
}

// checkRunOver checks at the end of the run what must have happened by then.
func (c *checker) checkRunOver(now time.Duration) {
	for uid, job := range c.jobs {
		c.checkLearnt(job, uid, now)
		if job.acceptedAt != never && job.finalAt == never && c.faultsOverAt != never && now-c.faultsOverAt > c.limits.Unfinished {
			c.report(LeftWaiting, now, uid, "%d of %d tasks are done, faults were over at %.1f s", len(job.completedTasks), job.spec.Tasks, c.faultsOverAt.Seconds())
		}
	}
	for task, worker := range c.workerOf {
		uid, _, _ := wire.ParseTask(task) // the name was parsed when the task started
		if job := c.jobs[uid]; job.cancelledAt != never && now-job.cancelledAt > c.limits.Cancel {
			c.report(RanCancelled, now, uid, "task %s is on %s, cancelled at %.3f s", task, worker, job.cancelledAt.Seconds())
		}
	}
}

// allOver reports whether every accepted job has been called over since the faults ended.
func allOver(history History) bool {
	accepted, over := map[string]bool{}, map[string]bool{}
	faultsOver := false
	for i := range history.Events {
		e := &history.Events[i]
		if e.Kind == FaultsOver {
			faultsOver = true
		}
		if e.Job == "" || !e.succeeded() {
			continue
		}
		accepted[e.Job] = true
		if faultsOver && (e.Stage == wire.StageDone || e.Stage == wire.StageCancelled) {
			over[e.Job] = true
		}
	}
	return faultsOver && len(accepted) == len(over)
}
