package slurmapi

import (
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
	"github.com/wallrack/wallrack/internal/wire"
)

func fullInfo() jobquery.Info {
	zone, due := "eu-1", 900.5
	return jobquery.Info{
		Job: wire.Job{
			UID: "j-000412", Class: "train", Team: "vision", Kind: wire.KindArray, Priority: "urgent", Tasks: 16,
			CPUs: 8, GPUs: 1, MemoryGB: 64.5, Image: "img-07", ImageGB: 6.2, Types: []string{"g8", "g16"}, Zone: &zone,
			OneZone: true, Spread: true, Spot: true, EstimateS: 240, CheckpointIntervalS: 30, CheckpointSaveS: 4, DueS: &due,
		},
		Constraints: &jobspec.Constraints{
			Number: 4100, Name: "tips", User: "erin", Array: "0-30:2", MaxConcurrent: 4, Held: true,
			BeginMs: 1_796_000_000_000, DeadlineMs: 1_796_000_900_000, LimitS: 600.5, NoRetry: true, AnyDependency: true,
			Dependencies: []jobspec.Dependency{{Kind: jobspec.After, Job: "j-7", Number: 70, DelayS: 60}}, CancelIfUnsatisfiable: true, CancelledTasks: "3,7-9", CancelReason: jobspec.Deadline,
		},
		AcceptedMs: 1_796_000_000_123, Stage: wire.StageRunning, Reason: jobspec.ReasonThrottle, EligibleMs: 1_796_000_000_500, StartMs: 1_796_000_001_000,
		PendingTasks: "4-9", PendingCount: 6, Placements: []jobquery.Placement{fullPlacement()}, Running: 1, Done: 2, Failed: 3,
		Ending: &jobspec.Ending{Number: 4100, State: jobspec.Failed, ExitCode: 7, Failed: 2, StartMs: 1_796_000_001_000, EndMs: 1_796_000_002_000},
	}
}

func fullPlacement() jobquery.Placement {
	return jobquery.Placement{Task: 3, Attempt: 2, Worker: "n-000001", StartMs: 1_796_000_001_000, Halted: true}
}

// The encoding of requests and replies between controllers.
func TestRecordedRequestsAndReplies(t *testing.T) {
	recorded.CheckFull(t, "request-full", Request{Verb: verbCancelTasks, UID: "j-000412", From: jobquery.Cursor{Number: 4100, SkipPlacements: 5, Task: 9}, Tasks: "3,7-9"})
	recorded.Check(t, "request-none", Request{Verb: verbList})
	recorded.CheckFull(t, "reply-full", Reply{Status: 200, Reason: "can't be done", Jobs: []jobquery.Info{fullInfo()}, Next: &jobquery.Cursor{Number: 4101, SkipPlacements: 5, Task: 9}})
	recorded.Check(t, "reply-none", Reply{})
	if got := []string{verbList, verbInfo, verbHold, verbRelease, verbCancelTasks}; !slices.Equal(got, []string{"list", "info", "hold", "release", "drop"}) {
		t.Errorf("verbs %q", got)
	}
}

// The types contained in messages between controllers, and in clients' requests and responses, keep
// their recorded encoding.
func TestRecordedListings(t *testing.T) {
	recorded.CheckFull(t, "info-full", fullInfo())
	recorded.Check(t, "info-none", jobquery.Info{})
	recorded.CheckFull(t, "on-full", fullPlacement())
	recorded.Check(t, "on-none", jobquery.Placement{})
	recorded.CheckFull(t, "cursor-full", jobquery.Cursor{Number: 4101, SkipPlacements: 5, Task: 9})
	recorded.Check(t, "cursor-none", jobquery.Cursor{})
	recorded.CheckFull(t, "page-full", jobquery.Page{Jobs: []jobquery.Info{fullInfo()}, Next: &jobquery.Cursor{Number: 4101, SkipPlacements: 5, Task: 9}, NowMs: 1_796_000_003_000})
	recorded.Check(t, "page-none", jobquery.Page{Jobs: []jobquery.Info{}})
	recorded.CheckFull(t, "submission-full", jobquery.Submission{Job: json.RawMessage(`{"uid":"j-000412"}`), Constraints: fullInfo().Constraints, DryRun: true})
	recorded.Check(t, "submission-none", jobquery.Submission{Job: json.RawMessage(`{}`)})
	recorded.CheckFull(t, "site-full", jobquery.Site{
		Cluster: "main", Accounts: true, Class: "adhoc", Team: "vision", Classes: []string{"adhoc", "train"},
		Teams: []string{"vision"}, Zones: []string{"eu-1"}, Types: []wire.MachineType{{
			Name: "g8", CPUs: 8, GPUs: 1, MemoryGB: 64, CacheGB: 50, FetchGBPerS: 0.5,
			Price: 2.5, SpotPrice: 0.75, BootS: 40, Zones: []string{"eu-1"},
		}},
	})
	recorded.Check(t, "site-none", jobquery.Site{})
	recorded.CheckFull(t, "rows-full", jobquery.Rows{Pages: []string{"1:AAAA"}, Next: "0000000000000ab7-000001"})
	recorded.Check(t, "rows-none", jobquery.Rows{Pages: []string{}})
}

// A response with a list has one line per item, so that line lengths don't grow with the list.
func TestListResponseHasOneLinePerItem(t *testing.T) {
	for want, items := range map[string][]jobquery.Cursor{
		"{\"jobs\":[\n],\"next\":null}\n": nil,
		"{\"jobs\":[\n{\"number\":1},\n{\"number\":2,\"on\":3,\"task\":4}\n],\"next\":null}\n": {{Number: 1}, {Number: 2, SkipPlacements: 3, Task: 4}},
	} {
		w := httptest.NewRecorder()
		writeJSONLines(w, "jobs", items, jsonField{"next", (*jobquery.Cursor)(nil)})
		if got := w.Body.String(); got != want {
			t.Errorf("written as %q, want %q", got, want)
		}
	}
}
