package jobspec

import (
	"errors"
	"fmt"
	"strconv"
)

// Slurm's names of the kinds of dependency.
const (
	After      = "after"      // the other job has started or has ended, also by a cancel
	AfterAny   = "afterany"   // the other job has ended
	AfterOK    = "afterok"    // the other job has ended, and all its tasks are done
	AfterNotOK = "afternotok" // the other job has ended, and not all its tasks are done
	Singleton  = "singleton"  // all earlier jobs of the same name and user have ended
)

// Dependency is a dependency on another job.
type Dependency struct {
	Kind   string `json:"k"`
	Job    string `json:"j,omitempty"` // uid of the other job; "" for Singleton
	Number uint64 `json:"n,omitempty"` // number of the other job
	DelayS int64  `json:"d,omitempty"` // for After: minimum delay in seconds after the other job's start
}

// validate checks a dependency of a submitted job with the given name.
func (d Dependency) validate(jobName string) error {
	switch d.Kind {
	case After, AfterAny, AfterOK, AfterNotOK:
		if d.Job == "" && d.Number == 0 {
			return errors.New("after: a job is needed")
		}
	case Singleton:
		if jobName == "" {
			return errors.New("after: singleton needs a name")
		}
	default:
		return fmt.Errorf("after: unknown kind %.40q", d.Kind)
	}
	if d.DelayS < 0 || d.DelayS > 0 && d.Kind != After {
		return errors.New("after: a delay goes with after only")
	}
	return nil
}

// JobFacts holds the known facts of a job on which another job depends. Once Over is set,
// neither Over nor OK changes.
type JobFacts struct {
	Started   bool  `json:"started"`
	StartedMs int64 `json:"startedMs,omitempty"` // milliseconds since 1970; 0: not known
	Over      bool  `json:"over"`
	OK        bool  `json:"ok"` // all tasks are done
}

// Outcome is the outcome of a dependency, or of all dependencies of a job combined.
type Outcome int

// Outcomes of a dependency. Satisfied and Unsatisfiable are final.
const (
	Pending Outcome = iota
	Satisfied
	Unsatisfiable
)

// String returns the outcome's name for messages.
func (o Outcome) String() string {
	switch o {
	case Pending:
		return "pending"
	case Satisfied:
		return "satisfied"
	case Unsatisfiable:
		return "unsatisfiable"
	}
	return "outcome " + strconv.Itoa(int(o))
}

// Evaluate returns the outcome of a dependency from the facts of the other job. For Singleton,
// facts.Over states that all earlier jobs of the name have ended.
func (d Dependency) Evaluate(facts JobFacts, nowMs int64) Outcome {
	if d.Kind == After {
		if !facts.Started && !facts.Over || facts.StartedMs+1000*d.DelayS > nowMs {
			return Pending
		}
		return Satisfied
	}
	if !facts.Over {
		return Pending
	}
	if d.Kind == AfterOK && !facts.OK || d.Kind == AfterNotOK && facts.OK {
		return Unsatisfiable
	}
	return Satisfied
}

// Combine returns the combined outcome of the outcomes of the job's dependencies. It is
// Satisfied if there are none.
func (c *Constraints) Combine(outcomes []Outcome) Outcome {
	var pending, satisfied int
	for _, outcome := range outcomes {
		switch outcome {
		case Pending:
			pending++
		case Satisfied:
			satisfied++
		}
	}
	total := len(outcomes)
	switch {
	case satisfied == total || c.AnyDependency && satisfied > 0:
		return Satisfied
	case c.AnyDependency && pending > 0 || !c.AnyDependency && pending+satisfied == total:
		return Pending
	}
	return Unsatisfiable
}
