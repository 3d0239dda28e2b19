package jobspec_test

import (
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/jobspec"
)

// The end of the other job decides a dependency permanently. Until then the dependency is
// pending, or already satisfied if it requires only the other job's start.
func TestDependencyOutcomeByStateOfOtherJob(t *testing.T) {
	var waiting jobspec.JobFacts
	running := jobspec.JobFacts{Started: true, StartedMs: 1000}
	done, failed := jobspec.JobFacts{Over: true, OK: true}, jobspec.JobFacts{Over: true}
	const nowMs = 2000
	for _, c := range []struct {
		kind   string
		delayS int64
		facts  jobspec.JobFacts
		want   jobspec.Outcome
	}{
		{jobspec.After, 0, waiting, jobspec.Pending},
		{jobspec.After, 0, running, jobspec.Satisfied},
		{jobspec.After, 5, running, jobspec.Pending},
		{jobspec.After, 0, failed, jobspec.Satisfied},
		{jobspec.AfterAny, 0, running, jobspec.Pending},
		{jobspec.AfterAny, 0, failed, jobspec.Satisfied},
		{jobspec.AfterAny, 0, done, jobspec.Satisfied},
		{jobspec.AfterOK, 0, running, jobspec.Pending},
		{jobspec.AfterOK, 0, done, jobspec.Satisfied},
		{jobspec.AfterOK, 0, failed, jobspec.Unsatisfiable},
		{jobspec.AfterNotOK, 0, done, jobspec.Unsatisfiable},
		{jobspec.AfterNotOK, 0, failed, jobspec.Satisfied},
		{jobspec.Singleton, 0, waiting, jobspec.Pending},
		{jobspec.Singleton, 0, done, jobspec.Satisfied},
	} {
		if got := (jobspec.Dependency{Kind: c.kind, DelayS: c.delayS}).Evaluate(c.facts, nowMs); got != c.want {
			t.Errorf("%s+%d, %+v: got %v, want %v", c.kind, c.delayS, c.facts, got, c.want)
		}
	}
}

func TestCombinedOutcomeOfAllOrAnyDependencies(t *testing.T) {
	requireAll, requireAny := &jobspec.Constraints{}, &jobspec.Constraints{AnyDependency: true}
	const pending, satisfied, unsatisfiable = jobspec.Pending, jobspec.Satisfied, jobspec.Unsatisfiable
	for _, c := range []struct {
		outcomes []jobspec.Outcome
		all, any jobspec.Outcome
	}{
		{nil, satisfied, satisfied},
		{[]jobspec.Outcome{satisfied, satisfied}, satisfied, satisfied},
		{[]jobspec.Outcome{pending, satisfied}, pending, satisfied},
		{[]jobspec.Outcome{unsatisfiable, satisfied}, unsatisfiable, satisfied},
		{[]jobspec.Outcome{unsatisfiable, pending}, unsatisfiable, pending},
		{[]jobspec.Outcome{unsatisfiable, unsatisfiable}, unsatisfiable, unsatisfiable},
	} {
		if a, b := requireAll.Combine(c.outcomes), requireAny.Combine(c.outcomes); a != c.all || b != c.any {
			t.Errorf("%v: outcome %v if all are required, %v if any is", c.outcomes, a, b)
		}
	}
}

func TestHoldTakesPrecedenceOverBeginTime(t *testing.T) {
	held := &jobspec.Constraints{Number: 1, Held: true, BeginMs: 5}
	if reason := held.WaitReason(jobspec.Satisfied, 1); reason != jobspec.ReasonHeld {
		t.Error(reason)
	}
}

func TestUnknownKindOfDependencyIsRejected(t *testing.T) {
	constraints := &jobspec.Constraints{Number: 1, Dependencies: []jobspec.Dependency{{Kind: "later"}}}
	if err := constraints.Validate(1, false, false, time.Now()); err == nil {
		t.Error("an unknown kind of dependency is accepted")
	}
}

// Users see these error texts, and scripts may match them.
func TestValidateErrorNamesInvalidField(t *testing.T) {
	now := time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name        string
		constraints jobspec.Constraints
		service     bool
		want        string
	}{
		{"nothing at fault", jobspec.Constraints{Number: 1, Array: "0-4:2", LimitS: 60}, false, ""},
		{"no number", jobspec.Constraints{}, false, "number: missing"},
		{"throttled service", jobspec.Constraints{Number: 1, MaxConcurrent: 2}, true, "most: must not be negative, and is for arrays only"},
		{"begin before 1970", jobspec.Constraints{Number: 1, BeginMs: -1}, false, "begin, until: out of range"},
		{"deadline in eleven years", jobspec.Constraints{Number: 1, DeadlineMs: now.AddDate(11, 0, 0).UnixMilli()}, false, "begin, until: out of range"},
		{"negative limit", jobspec.Constraints{Number: 1, LimitS: -1}, false, "limit: out of range"},
		{"limited service", jobspec.Constraints{Number: 1, LimitS: 60}, true, "limit, final: not for services"},
		{"cancelled tasks at submission", jobspec.Constraints{Number: 1, CancelledTasks: "1"}, false, "dropped, why: not for submissions"},
		{"too few indices", jobspec.Constraints{Number: 1, Array: "0-1"}, false, "array: 2 indices for 3 tasks"},
		{"unnamed singleton", jobspec.Constraints{Number: 1, Dependencies: []jobspec.Dependency{{Kind: jobspec.Singleton}}}, false, "after: singleton needs a name"},
		{"delayed end", jobspec.Constraints{Number: 1, Dependencies: []jobspec.Dependency{{Kind: jobspec.AfterAny, Number: 7, DelayS: 1}}}, false, "after: a delay goes with after only"},
	} {
		got := ""
		if err := c.constraints.Validate(3, false, c.service, now); err != nil {
			got = err.Error()
		}
		if got != c.want {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}
