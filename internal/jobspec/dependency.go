package jobspec

import (
	"errors"
	"fmt"
	"strconv"
)

// Kinds of dependency, by Slurm's names.
const (
	After      = "after"      // the other job has started, or was cancelled
	AfterAny   = "afterany"   // it is over
	AfterOK    = "afterok"    // all its tasks are done
	AfterNotOK = "afternotok" // it is over, and not all its tasks are done
	Singleton  = "singleton"  // no earlier job of the same name and user is left
)

// Dependency is a dependency on another job.
type Dependency struct {
	Kind   string `json:"k"`
	Job    string `json:"j,omitempty"` // uid; "" for Singleton
	Number uint64 `json:"n,omitempty"` // the other job's
	DelayS int64  `json:"d,omitempty"` // of After: seconds after the other job's start
}

// validate checks a dependency of a submitted job of that name.
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

// JobFacts are what is known of a job on which another depends. A job that is over stays over,
// and OK doesn't change then.
type JobFacts struct {
	Started   bool  `json:"started"`
	StartedMs int64 `json:"startedMs,omitempty"` // milliseconds since 1970; 0: not known
	Over      bool  `json:"over"`
	OK        bool  `json:"ok"` // all its tasks are done
}

// Outcome is what has become of a dependency, or of all of a job.
type Outcome int

// Outcomes of a dependency. The last two are final.
const (
	Pending Outcome = iota
	Satisfied
	Unsatisfiable
)

// String names the outcome, for messages.
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

// Evaluate returns the outcome of a dependency by the facts of the other job. For Singleton,
// Over states that no earlier job of the name is left.
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

// Combine returns the outcome of all the job's dependencies together. Without any, it is
// Satisfied.
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
