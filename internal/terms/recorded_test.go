package terms_test

import (
	"slices"
	"testing"

	"github.com/wallrack/wallrack/internal/terms"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

func TestTermsKeepTheirBytes(t *testing.T) {
	recorded.CheckFull(t, "dependency-full", terms.Dep{Kind: terms.After, Job: "j-7", Number: 70, DelayS: 60})
	recorded.Check(t, "dependency-none", terms.Dep{Kind: terms.Singleton})
	recorded.CheckFull(t, "terms-full", terms.Terms{Number: 4100, Name: "tips", User: "erin", Array: "0-30:2", Most: 4, Held: true,
		BeginMs: 1_796_000_000_000, DeadlineMs: 1_796_000_900_000, LimitS: 600.5, Final: true, Any: true,
		After:     []terms.Dep{{Kind: terms.AfterOK, Job: "j-7", Number: 70}, {Kind: terms.Singleton}},
		KillNever: true, Dropped: "3,7-9", Why: terms.Cancelled})
	recorded.Check(t, "terms-none", terms.Terms{Number: 1})
	recorded.CheckFull(t, "ending-full", terms.Ending{Number: 4100, State: terms.Timeout, Exit: 7, Failed: 2, StartMs: 1_796_000_001_000, EndMs: 1_796_000_002_000})
	recorded.Check(t, "ending-none", terms.Ending{Number: 1, State: terms.Completed})
	recorded.CheckFull(t, "facts-full", terms.Facts{Started: true, StartedMs: 1_796_000_001_000, Over: true, OK: true})
	recorded.Check(t, "facts-none", terms.Facts{})
}

// These names are stored, and shown by clients.
func TestNamesInTerms(t *testing.T) {
	got := []string{terms.After, terms.AfterAny, terms.AfterOK, terms.AfterNotOK, terms.Singleton,
		terms.Completed, terms.Failed, terms.Timeout, terms.Cancelled, terms.Deadline, terms.NodeFail, terms.Preempted,
		terms.ReasonNone, terms.ReasonHeld, terms.ReasonBegin, terms.ReasonDependency, terms.ReasonNever, terms.ReasonThrottle,
		terms.ReasonLimitCPU, terms.ReasonLimitGPU, terms.ReasonPriority, terms.ReasonResources}
	want := []string{"after", "afterany", "afterok", "afternotok", "singleton",
		"COMPLETED", "FAILED", "TIMEOUT", "CANCELLED", "DEADLINE", "NODE_FAIL", "PREEMPTED",
		"None", "JobHeldUser", "BeginTime", "Dependency", "DependencyNeverSatisfied", "JobArrayTaskLimit",
		"AssocGrpCPULimit", "AssocGrpGRES", "Priority", "Resources"}
	if !slices.Equal(got, want) {
		t.Errorf("names %q, want %q", got, want)
	}
	if text := terms.RangesOf([]int{20, 0, 2, 4, 7, 8, 9}).String(); text != "0,2,4,7-9,20" {
		t.Errorf("numbers are written %q", text)
	}
}
