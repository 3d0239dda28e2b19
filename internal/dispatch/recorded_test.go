package dispatch_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// checkRecorded checks that a message that was recorded reads as want, and that want is
// still written with the very bytes that were recorded.
func checkRecorded[T any](t *testing.T, file string, want T) {
	t.Helper()
	recorded, err := os.ReadFile(filepath.Join("testdata", "recorded", file))
	if err != nil {
		t.Fatal(err)
	}
	var got T
	if err := json.Unmarshal(recorded, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s reads as %+v, %v; it was %+v", file, got, err, want)
	}
	if data, err := json.Marshal(want); err != nil || string(data)+"\n" != string(recorded) {
		t.Errorf("%s is written as\n%s, %v; it was\n%s", file, data, err, recorded)
	}
}

// Instructions, grants and views keep the form in which controllers send them.
func TestRecorded(t *testing.T) {
	ref := dispatch.TaskRef{Machine: "n-000231", Task: "j-000400/7", Attempt: 3}
	shape := matching.Resources{CPUs: 2.5, GPUs: 1, MemoryGB: 12.25}
	checkRecorded(t, "direction_full.json", dispatch.Instructions{
		From:            "c1",
		Assign:          []dispatch.QueueEntry{{TaskRef: ref, Owner: "c1", Resources: shape, Run: 900.5, Fetch: 18.25, Rank: 2, DueAt: 1234.5, Listed: true}},
		Halt:            []dispatch.Halt{{TaskRef: ref, GraceS: 12.5}},
		Clear:           []dispatch.Clear{{TaskRef: ref, Token: 41}},
		RaiseTokenAbove: 42,
	})
	checkRecorded(t, "direction_empty.json", dispatch.Instructions{})
	checkRecorded(t, "entry_empty.json", dispatch.QueueEntry{})
	checkRecorded(t, "halt_empty.json", dispatch.Halt{})
	checkRecorded(t, "clear_empty.json", dispatch.Clear{})
	checkRecorded(t, "unlaunched_full.json", dispatch.Unlaunched{Refs: []dispatch.TaskRef{ref}, Token: 41})
	checkRecorded(t, "unlaunched_empty.json", dispatch.Unlaunched{})
	checkRecorded(t, "grant_requests_full.json", []dispatch.GrantRequest{{TaskRef: ref, Holder: "c2", Token: 41, Session: 2}})
	checkRecorded(t, "grant_requests_empty.json", []dispatch.GrantRequest{{}})
	checkRecorded(t, "grant_replies_full.json", []dispatch.GrantReply{{OK: true, Drop: true}})
	checkRecorded(t, "grant_replies_empty.json", []dispatch.GrantReply{{}})
}

// A view keeps its form; what it says of sameness stays here.
func TestRecordedView(t *testing.T) {
	notice, exit := 30.5, 137
	view := dispatch.WorkerView{
		Name: "n-000231", Type: "g8", Zone: "a", Spot: true, Session: 2, Seq: 1088, Token: 41, Holder: "c2", Endpoint: "10.1.0.232:9000",
		AgeS: 0.5, UnansweredS: 1.25, NoticeS: &notice, Draining: true, Asked: true,
		Tasks: []dispatch.TaskView{{
			Task: wire.Task{Task: "j-000400/7", Attempt: 3, State: wire.TaskExited, Cause: wire.CauseError, Saved: true, Exit: &exit},
			ForS: 7.75, Unknown: true,
		}},
		Queue:  []dispatch.QueueView{{TaskRef: dispatch.TaskRef{Machine: "n-000231", Task: "j-000401/0", Attempt: 1}, WaitS: 20.5, Unsent: true}},
		Matrix: matching.WaitMatrix{{Wait: 20.5, Free: matching.Resources{CPUs: 4, GPUs: 1, MemoryGB: 8.25}}},
	}
	checkRecorded(t, "view_full.json", view)
	checkRecorded(t, "view_empty.json", dispatch.WorkerView{})
	checkRecorded(t, "task_view_empty.json", dispatch.TaskView{})
	checkRecorded(t, "queue_view_empty.json", dispatch.QueueView{})
	same := view
	same.Same = true
	plain, err := json.Marshal(view)
	if err != nil {
		t.Fatal(err)
	}
	if data, err := json.Marshal(same); err != nil || string(data) != string(plain) {
		t.Errorf("sameness is sent: %s, %v", data, err)
	}
}
