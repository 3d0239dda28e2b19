// Package jobspec defines what a job requires beyond its resources: holds, begin times,
// deadlines, dependencies, and limits on concurrency and run time. It validates these
// constraints and evaluates them as pure functions of the known facts and of the time. Package
// scheduler stores the constraints with the job, collects the facts and enforces the outcome.
// Names and syntax are those of Slurm.
package jobspec

import (
	"errors"
	"fmt"
	"time"
)

// Slurm's names of the reasons why a job's tasks wait.
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

// Slurm's names of the states in which a job or one of its tasks ended.
const (
	Completed = "COMPLETED"
	Failed    = "FAILED"
	Timeout   = "TIMEOUT"
	Cancelled = "CANCELLED"
	Deadline  = "DEADLINE"
	NodeFail  = "NODE_FAIL" // of an attempt: its worker was lost
	Preempted = "PREEMPTED" // of an attempt: it was stopped, and its task is retried
)

// Limits on the size of a job's record.
const (
	MaxDependencies = 32
	MaxName         = 200  // length of a job's or user's name in bytes
	MaxArray        = 2048 // length of an array's indices in bytes
)

const (
	maxTimeAhead = 10 * 365 * 24 * time.Hour // maximum distance of begin times and deadlines from now
	maxLimitS    = 1e9                       // exclusive upper bound of run time limits, in seconds
)

// Constraints holds what a job requires beyond its resources. Times are in milliseconds since
// 1970, 0 if there is none.
type Constraints struct {
	Number                uint64       `json:"n"` // number of the job; task k also has the number Number+k
	Name                  string       `json:"name,omitempty"`
	User                  string       `json:"user,omitempty"`
	Array                 string       `json:"array,omitempty"`   // indices of an array's tasks, in the syntax of Ranges; "": not an array
	MaxConcurrent         int          `json:"most,omitempty"`    // maximum number of tasks that run at the same time; 0: unlimited
	Held                  bool         `json:"held,omitempty"`    // no task starts until the user releases the job
	BeginMs               int64        `json:"begin,omitempty"`   // no task starts before this time
	DeadlineMs            int64        `json:"until,omitempty"`   // the job is cancelled if it is not done by this time
	LimitS                float64      `json:"limit,omitempty"`   // maximum run time of a task in seconds; 0: unlimited
	NoRetry               bool         `json:"final,omitempty"`   // a task that ends with its own exit code is not retried
	AnyDependency         bool         `json:"any,omitempty"`     // one satisfied dependency is enough
	Dependencies          []Dependency `json:"after,omitempty"`   // dependencies on other jobs
	CancelIfUnsatisfiable bool         `json:"never,omitempty"`   // the job is cancelled once its dependencies are unsatisfiable
	CancelledTasks        string       `json:"dropped,omitempty"` // tasks that were cancelled individually, in the syntax of Ranges
	CancelReason          string       `json:"why,omitempty"`     // end state, such as Deadline, if its constraints cancelled the job
}

// Validate checks the constraints of a submitted job with the given number of tasks. Errors are
// shown to users. They start with the JSON names of the fields concerned, separated by commas, but
// Number is called "number".
func (c *Constraints) Validate(tasks int, gang, service bool, now time.Time) error {
	switch {
	case c.Number == 0:
		return errors.New("number: missing")
	case len(c.Name) > MaxName || len(c.User) > MaxName:
		return errors.New("name, user: too long")
	case c.MaxConcurrent < 0 || c.MaxConcurrent > 0 && (gang || service):
		return errors.New("most: must not be negative, and is for arrays only")
	}
	if err := c.validateTimes(service, now); err != nil {
		return err
	}
	switch {
	case len(c.Dependencies) > MaxDependencies:
		return fmt.Errorf("after: more than %d dependencies", MaxDependencies)
	case len(c.Array) > MaxArray:
		return fmt.Errorf("array: over %d bytes", MaxArray)
	case c.CancelledTasks != "" || c.CancelReason != "":
		return errors.New("dropped, why: not for submissions")
	}
	if err := c.validateArray(tasks); err != nil {
		return err
	}
	for _, dependency := range c.Dependencies {
		if err := dependency.validate(c.Name); err != nil {
			return err
		}
	}
	return nil
}

func (c *Constraints) validateTimes(service bool, now time.Time) error {
	inRange := func(ms int64) bool { return ms >= 0 && ms < now.Add(maxTimeAhead).UnixMilli() }
	limitInRange := c.LimitS >= 0 && c.LimitS < maxLimitS // false for NaN
	switch {
	case !inRange(c.BeginMs) || !inRange(c.DeadlineMs):
		return errors.New("begin, until: out of range")
	case !limitInRange:
		return errors.New("limit: out of range")
	case service && (c.LimitS > 0 || c.NoRetry):
		return errors.New("limit, final: not for services")
	}
	return nil
}

func (c *Constraints) validateArray(tasks int) error {
	if c.Array == "" {
		return nil
	}
	indices, err := ParseRanges(c.Array)
	if err != nil {
		return fmt.Errorf("array: %w", err)
	}
	if indices.Len() != tasks {
		return fmt.Errorf("array: %d indices for %d tasks", indices.Len(), tasks)
	}
	return nil
}

// WaitReason returns the reason why no task may start now, given the combined outcome of the
// dependencies, or "" if tasks may start. If several reasons apply, it returns the first in the
// order of the cases below.
func (c *Constraints) WaitReason(dependencies Outcome, nowMs int64) string {
	switch {
	case c.Held:
		return ReasonHeld
	case dependencies == Unsatisfiable:
		return ReasonUnsatisfiable
	case dependencies == Pending:
		return ReasonDependency
	case c.BeginMs > nowMs:
		return ReasonBegin
	}
	return ""
}

// Ending describes how a job with constraints ended. It is stored in the job's final record.
// Times are in milliseconds since 1970.
type Ending struct {
	Number   uint64 `json:"n"`
	State    string `json:"s"`           // one of Slurm's names
	ExitCode int    `json:"x,omitempty"` // highest exit code of the tasks
	Failed   int    `json:"f,omitempty"` // number of tasks that are over but not done
	StartMs  int64  `json:"b,omitempty"` // 0: never started, or not known
	EndMs    int64  `json:"e"`
}
