package dispatch_test

import (
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
	"github.com/wallrack/wallrack/internal/wire"
)

// The JSON encoding of instructions, grants and their replies is stable.
func TestRecorded(t *testing.T) {
	ref := dispatch.TaskRef{Worker: "n-000231", Task: "j-000400/7", Attempt: 3}
	shape := matching.Resources{CPUs: 2.5, GPUs: 1, MemoryGB: 12.25}
	recorded.Check(t, "direction_full", dispatch.Instructions{
		From:            "c1",
		Assign:          []dispatch.QueueEntry{{TaskRef: ref, Leader: "c1", Resources: shape, RunS: 900.5, FetchS: 18.25, Rank: 2, DueAt: 1234.5, Reported: true}},
		Halt:            []dispatch.Halt{{TaskRef: ref, GraceS: 12.5}},
		Forget:          []dispatch.Forget{{TaskRef: ref, MaxStartToken: 41}},
		RaiseTokenAbove: 42,
	})
	recorded.Check(t, "direction_empty", dispatch.Instructions{})
	recorded.Check(t, "entry_empty", dispatch.QueueEntry{})
	recorded.Check(t, "halt_empty", dispatch.Halt{})
	recorded.Check(t, "clear_empty", dispatch.Forget{})
	recorded.Check(t, "unlaunched_full", dispatch.Unlaunched{Refs: []dispatch.TaskRef{ref}, Token: 41})
	recorded.Check(t, "unlaunched_empty", dispatch.Unlaunched{})
	recorded.Check(t, "grant_requests_full", []dispatch.GrantRequest{{TaskRef: ref, Dispatcher: "c2", Token: 41, Session: 2}})
	recorded.Check(t, "grant_requests_empty", []dispatch.GrantRequest{{}})
	recorded.Check(t, "grant_replies_full", []dispatch.GrantReply{{OK: true, Drop: true}})
	recorded.Check(t, "grant_replies_empty", []dispatch.GrantReply{{}})
}

// The JSON encoding of views is stable and does not include Unchanged.
func TestRecordedView(t *testing.T) {
	notice, exit := 30.5, 137
	view := dispatch.WorkerView{
		Name: "n-000231", Type: "g8", Zone: "a", Spot: true, Session: 2, Seq: 1088, Token: 41, Dispatcher: "c2", Endpoint: "10.1.0.232:9000",
		AgeS: 0.5, UnansweredS: 1.25, NoticeS: &notice, Draining: true, Polled: true,
		Tasks: []dispatch.TaskView{{
			Task:      wire.Task{Task: "j-000400/7", Attempt: 3, State: wire.TaskExited, Cause: wire.CauseError, Saved: true, Exit: &exit},
			StateAgeS: 7.75, ResourcesUnknown: true,
		}},
		Queue:  []dispatch.QueueView{{TaskRef: dispatch.TaskRef{Worker: "n-000231", Task: "j-000401/0", Attempt: 1}, WaitS: 20.5, Unsent: true}},
		Matrix: matching.WaitMatrix{{WaitS: 20.5, Free: matching.Resources{CPUs: 4, GPUs: 1, MemoryGB: 8.25}}},
	}
	recorded.Check(t, "view_full", view)
	recorded.Check(t, "view_empty", dispatch.WorkerView{})
	recorded.Check(t, "task_view_empty", dispatch.TaskView{})
	recorded.Check(t, "queue_view_empty", dispatch.QueueView{})
	same := view
	same.Unchanged = true
	plain, err := json.Marshal(view)
	if err != nil {
		t.Fatal(err)
	}
	if data, err := json.Marshal(same); err != nil || string(data) != string(plain) {
		t.Errorf("Unchanged is sent: %s, %v", data, err)
	}
}
