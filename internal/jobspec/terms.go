// Package jobspec says when and how a job's tasks may start beyond what every job
// says of itself: holds, begin times, dependencies, throttles, time limits. They
// are recorded with the job and decided by its owner. The package is pure.
package jobspec

import (
	"errors"
	"fmt"
	"time"
)

// Kinds of dependency, by the names that Slurm gives them.
const (
	After      = "after"      // the other job has started, or was cancelled
	AfterAny   = "afterany"   // it is over
	AfterOK    = "afterok"    // all its tasks are done
	AfterNotOK = "afternotok" // it is over, and not all its tasks are done
	Singleton  = "singleton"  // no earlier job of the same name and user is left
)

// Reasons why a job's tasks wait, by Slurm's names.
const (
	ReasonNone          = "None"
	ReasonHeld          = "JobHeldUser"
	ReasonBegin         = "BeginTime"
	ReasonDependency    = "Dependency"
	ReasonUnsatisfiable = "DependencyNeverSatisfied"
	ReasonThrottle      = "JobArrayTaskLimit"
	ReasonLimitCPU      = "AssocGrpCPULimit"
	ReasonLimitGPU      = "AssocGrpGRES"
	ReasonPriority      = "Priority"
	ReasonResources     = "Resources"
)

// How a job, or a task of it, ended; Slurm's names.
const (
	Completed = "COMPLETED"
	Failed    = "FAILED"
	Timeout   = "TIMEOUT"
	Cancelled = "CANCELLED"
	Deadline  = "DEADLINE"
	NodeFail  = "NODE_FAIL" // of an attempt: its machine was lost
	Preempted = "PREEMPTED" // of an attempt: it was stopped, and goes on elsewhere
)

// Bounds, so that a job's record stays small.
const (
	MaxDependencies = 32
	MaxName         = 200
	MaxArray        = 2048 // bytes of an array's indices
	maxFuture       = 10 * 365 * 24 * time.Hour
)

// Dependency is a dependency on another job.
type Dependency struct {
	Kind   string `json:"k"`
	Job    string `json:"j,omitempty"` // uid; none for singleton
	Number uint64 `json:"n,omitempty"`
	DelayS int64  `json:"d,omitempty"` // of after: so long after the start
}

// Constraints are a job's terms. Times of day are in milliseconds since 1970.
type Constraints struct {
	Number                uint64       `json:"n"` // the job's; task k is also Number+k
	Name                  string       `json:"name,omitempty"`
	User                  string       `json:"user,omitempty"`
	Array                 string       `json:"array,omitempty"`   // indices of an array's tasks; "": not an array
	MaxConcurrent         int          `json:"most,omitempty"`    // tasks that may be on at once; 0: all
	Held                  bool         `json:"held,omitempty"`    //
	BeginMs               int64        `json:"begin,omitempty"`   // no start before it
	DeadlineMs            int64        `json:"until,omitempty"`   // cancelled if not done by then
	LimitS                float64      `json:"limit,omitempty"`   // run time of a task
	NoRetry               bool         `json:"final,omitempty"`   // a task that ends with an exit code of its own is not tried again
	AnyDependency         bool         `json:"any,omitempty"`     // one dependency is enough
	Dependencies          []Dependency `json:"after,omitempty"`   //
	CancelIfUnsatisfiable bool         `json:"never,omitempty"`   // cancelled when its dependencies can't be met any more
	CancelledTasks        string       `json:"dropped,omitempty"` // tasks that were cancelled alone, see Ranges
	CancelReason          string       `json:"why,omitempty"`     // how it ends, if it was cancelled by its own terms
}

// Validate says what is wrong with the terms of a job of so many tasks.
func (t *Constraints) Validate(tasks int, gang, service bool, now time.Time) error {
	inRange := func(ms int64) bool { return ms >= 0 && ms < now.Add(maxFuture).UnixMilli() }
	switch {
	case t.Number == 0:
		return errors.New("number: missing")
	case len(t.Name) > MaxName || len(t.User) > MaxName:
		return errors.New("name, user: too long")
	case t.MaxConcurrent < 0 || t.MaxConcurrent > 0 && (gang || service):
		return errors.New("most: must not be negative, and is for arrays only")
	case !inRange(t.BeginMs) || !inRange(t.DeadlineMs):
		return errors.New("begin, until: out of range")
	case !(t.LimitS >= 0 && t.LimitS < 1e9):
		return errors.New("limit: out of range")
	case service && (t.LimitS > 0 || t.NoRetry):
		return errors.New("limit, final: not for services")
	case len(t.Dependencies) > MaxDependencies:
		return fmt.Errorf("after: more than %d dependencies", MaxDependencies)
	case len(t.Array) > MaxArray:
		return fmt.Errorf("array: over %d bytes", MaxArray)
	case t.CancelledTasks != "" || t.CancelReason != "":
		return errors.New("dropped, why: not for submissions")
	}
	if t.Array != "" {
		r, err := ParseRanges(t.Array)
		if err != nil {
			return fmt.Errorf("array: %w", err)
		}
		if r.Len() != tasks {
			return fmt.Errorf("array: %d indices for %d tasks", r.Len(), tasks)
		}
	}
	for _, d := range t.Dependencies {
		switch d.Kind {
		case After, AfterAny, AfterOK, AfterNotOK:
			if d.Job == "" && d.Number == 0 {
				return errors.New("after: a job is needed")
			}
		case Singleton:
			if t.Name == "" {
				return errors.New("after: singleton needs a name")
			}
		default:
			return fmt.Errorf("after: unknown kind %.40q", d.Kind)
		}
		if d.DelayS < 0 || d.DelayS > 0 && d.Kind != After {
			return errors.New("after: a delay goes with after only")
		}
	}
	return nil
}

// JobFacts are what is known of a job that another depends on. What is over stays
// over, and the outcome does not change.
type JobFacts struct {
	Started   bool  `json:"started"`
	StartedMs int64 `json:"startedMs,omitempty"` // 0: not known when
	Over      bool  `json:"over"`
	OK        bool  `json:"ok"`
}

// Outcome of a dependency.
type Outcome int

// The outcomes.
const (
	Pending Outcome = iota
	Satisfied
	Unsatisfiable
)

// Evaluate says what becomes of a dependency. For singleton, Over means that no
// earlier job of the name is left.
func (d Dependency) Evaluate(f JobFacts, nowMs int64) Outcome {
	if d.Kind == After {
		if !f.Started && !f.Over || f.StartedMs+1000*d.DelayS > nowMs {
			return Pending
		}
		return Satisfied
	}
	if !f.Over {
		return Pending
	}
	if d.Kind == AfterOK && !f.OK || d.Kind == AfterNotOK && f.OK {
		return Unsatisfiable
	}
	return Satisfied
}

// Combine joins the outcomes of a job's dependencies.
func (t *Constraints) Combine(each []Outcome) Outcome {
	var open, met int
	for _, o := range each {
		switch o {
		case Pending:
			open++
		case Satisfied:
			met++
		}
	}
	switch {
	case t.AnyDependency && met > 0 || met == len(each):
		return Satisfied
	case t.AnyDependency && open > 0 || !t.AnyDependency && open+met == len(each):
		return Pending
	}
	return Unsatisfiable
}

// WaitReason says why no task may start now, or "".
func (t *Constraints) WaitReason(deps Outcome, nowMs int64) string {
	switch {
	case t.Held:
		return ReasonHeld
	case deps == Unsatisfiable:
		return ReasonUnsatisfiable
	case deps == Pending:
		return ReasonDependency
	case t.BeginMs > nowMs:
		return ReasonBegin
	}
	return ""
}

// Ending is how a job with terms ended; it is kept with its final state.
type Ending struct {
	Number  uint64 `json:"n"`
	State   string `json:"s"`
	Exit    int    `json:"x,omitempty"` // the highest of the tasks' exit codes
	Failed  int    `json:"f,omitempty"`
	StartMs int64  `json:"b,omitempty"` // 0: never, or not known
	EndMs   int64  `json:"e"`
}
