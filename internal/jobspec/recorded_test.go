package jobspec_test

import (
	"slices"
	"testing"

	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

func TestRecordedConstraints(t *testing.T) {
	recorded.CheckFull(t, "dependency-full", jobspec.Dependency{Kind: jobspec.After, Job: "j-7", Number: 70, DelayS: 60})
	recorded.Check(t, "dependency-none", jobspec.Dependency{Kind: jobspec.Singleton})
	recorded.CheckFull(t, "terms-full", jobspec.Constraints{
		Number: 4100, Name: "tips", User: "erin", Array: "0-30:2", MaxConcurrent: 4, Held: true,
		BeginMs: 1_796_000_000_000, DeadlineMs: 1_796_000_900_000, LimitS: 600.5, NoRetry: true, AnyDependency: true,
		Dependencies:          []jobspec.Dependency{{Kind: jobspec.AfterOK, Job: "j-7", Number: 70}, {Kind: jobspec.Singleton}},
		CancelIfUnsatisfiable: true, CancelledTasks: "3,7-9", CancelReason: jobspec.Cancelled,
	})
	recorded.Check(t, "terms-none", jobspec.Constraints{Number: 1})
	recorded.CheckFull(t, "ending-full", jobspec.Ending{Number: 4100, State: jobspec.Timeout, ExitCode: 7, Failed: 2, StartMs: 1_796_000_001_000, EndMs: 1_796_000_002_000})
	recorded.Check(t, "ending-none", jobspec.Ending{Number: 1, State: jobspec.Completed})
	recorded.CheckFull(t, "facts-full", jobspec.JobFacts{Started: true, StartedMs: 1_796_000_001_000, Over: true, OK: true})
	recorded.Check(t, "facts-none", jobspec.JobFacts{})
}

// These names are stored in records and shown by clients.
func TestRecordedNames(t *testing.T) {
	got := []string{
		jobspec.After, jobspec.AfterAny, jobspec.AfterOK, jobspec.AfterNotOK, jobspec.Singleton,
		jobspec.Completed, jobspec.Failed, jobspec.Timeout, jobspec.Cancelled, jobspec.Deadline, jobspec.NodeFail, jobspec.Preempted,
		jobspec.ReasonNone, jobspec.ReasonHeld, jobspec.ReasonBegin, jobspec.ReasonDependency, jobspec.ReasonUnsatisfiable, jobspec.ReasonThrottle,
		jobspec.ReasonLimitCPU, jobspec.ReasonLimitGPU, jobspec.ReasonPriority, jobspec.ReasonResources,
	}
	want := []string{
		"after", "afterany", "afterok", "afternotok", "singleton",
		"COMPLETED", "FAILED", "TIMEOUT", "CANCELLED", "DEADLINE", "NODE_FAIL", "PREEMPTED",
		"None", "JobHeldUser", "BeginTime", "Dependency", "DependencyNeverSatisfied", "JobArrayTaskLimit",
		"AssocGrpCPULimit", "AssocGrpGRES", "Priority", "Resources",
	}
	if !slices.Equal(got, want) {
		t.Errorf("names %q, want %q", got, want)
	}
	if text := jobspec.RangesOf([]int{20, 0, 2, 4, 7, 8, 9}).String(); text != "0,2,4,7-9,20" {
		t.Errorf("numbers are formatted as %q", text)
	}
}
