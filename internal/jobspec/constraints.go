// Package jobspec has what a job requires beyond its resources: holds, begin times, deadlines,
// dependencies, limits on concurrency and run time. Here these constraints are checked and
// evaluated, as pure functions of what is known and of the time; package scheduler records
// them with the job, learns what they depend on and acts on them. Names and syntax are Slurm's.
package jobspec

import (
	"errors"
	"fmt"
	"time"
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

// How a job, or a task of it, ended, by Slurm's names.
const (
	Completed = "COMPLETED"
	Failed    = "FAILED"
	Timeout   = "TIMEOUT"
	Cancelled = "CANCELLED"
	Deadline  = "DEADLINE"
	NodeFail  = "NODE_FAIL" // of an attempt: its worker was lost
	Preempted = "PREEMPTED" // of an attempt: it was stopped, and its task is tried again
)

// Bounds that keep a job's record small.
const (
	MaxDependencies = 32
	MaxName         = 200  // bytes of a job's or user's name
	MaxArray        = 2048 // bytes of an array's indices
)

const (
	maxFuture = 10 * 365 * 24 * time.Hour // how far ahead times may lie
	maxLimitS = 1e9
)

// Constraints are what a job requires beyond its resources. Times of day are in milliseconds
// since 1970, 0 if there is none.
type Constraints struct {
	Number                uint64       `json:"n"` // the job's; task k also has the number Number+k
	Name                  string       `json:"name,omitempty"`
	User                  string       `json:"user,omitempty"`
	Array                 string       `json:"array,omitempty"`   // indices of an array's tasks, as Ranges; "": not an array
	MaxConcurrent         int          `json:"most,omitempty"`    // tasks that may run at once; 0: all
	Held                  bool         `json:"held,omitempty"`    // no start until its user releases it
	BeginMs               int64        `json:"begin,omitempty"`   // no start before it
	DeadlineMs            int64        `json:"until,omitempty"`   // cancelled if not done by then
	LimitS                float64      `json:"limit,omitempty"`   // run time of a task, in seconds; 0: unlimited
	NoRetry               bool         `json:"final,omitempty"`   // a task that ends with an exit code of its own is not tried again
	AnyDependency         bool         `json:"any,omitempty"`     // one satisfied dependency is enough
	Dependencies          []Dependency `json:"after,omitempty"`   // on other jobs
	CancelIfUnsatisfiable bool         `json:"never,omitempty"`   // cancelled once its dependencies are unsatisfiable
	CancelledTasks        string       `json:"dropped,omitempty"` // tasks that were cancelled individually, as Ranges
	CancelReason          string       `json:"why,omitempty"`     // how it ended, if its own constraints cancelled it
}

// Validate checks the constraints of a submitted job of so many tasks. Errors start with the
// JSON name of the field at fault; users see them.
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
	inRange := func(ms int64) bool { return ms >= 0 && ms < now.Add(maxFuture).UnixMilli() }
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

// WaitReason returns why no task may start now, given the outcome of the dependencies, or "" if
// tasks may start. Of several reasons the first one counts in the order below.
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

// Ending is how a job with constraints ended; it is kept with the job's final record. Times of
// day are in milliseconds since 1970.
type Ending struct {
	Number  uint64 `json:"n"`
	State   string `json:"s"`           // Slurm's name
	Exit    int    `json:"x,omitempty"` // the highest of the tasks' exit codes
	Failed  int    `json:"f,omitempty"` // tasks that are over and not done
	StartMs int64  `json:"b,omitempty"` // 0: never, or not known
	EndMs   int64  `json:"e"`
}
