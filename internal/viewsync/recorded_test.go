package viewsync

import (
	"testing"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
	"github.com/wallrack/wallrack/internal/wire"
)

func fullChange() Change {
	age, unanswered, notice, exit := int64(500), int64(1250), 30.5, 137
	return Change{
		Name: "n-000231", LagMs: 40, Replace: true,
		Attributes: &Attributes{Type: "g8", Zone: "a", Spot: true, Endpoint: "10.1.0.232:9000"},
		Session:    2, Seq: 1088, Token: 41, AgeMs: &age, UnansweredMs: &unanswered,
		Condition: &Condition{NoticeS: &notice, Draining: true, Polled: true},
		AllTasks:  true,
		Tasks: []dispatch.TaskView{{
			Task:      wire.Task{Task: "j-000400/7", Attempt: 3, State: wire.TaskExited, Cause: wire.CauseError, Saved: true, Exit: &exit},
			StateAgeS: 7.75, ResourcesUnknown: true,
		}},
		RemovedTasks: []TaskKey{{Task: "j-000402/1", Attempt: 4}},
		Queue:        []dispatch.QueueView{{TaskRef: dispatch.TaskRef{Worker: "n-000231", Task: "j-000401/0", Attempt: 1}, WaitS: 20.5, Unsent: true}},
		NoQueue:      true, Matrix: []float64{20.5, 4, 1, 8.25}, NoMatrix: true, Waits: []float64{20.5, 31.25},
	}
}

// The JSON encoding of the messages of a stream is stable.
func TestRecorded(t *testing.T) {
	recorded.Check(t, "message_full", Message{
		Dispatcher: "c2", Stream: 7001, Replaces: 7000, Seq: 12, Workers: 300, Digest: 987654321, NowMs: 65000,
		Frame: &Frame{Seq: 13, AtMs: 64950, Initial: true, Changes: []Change{fullChange()}, Removed: []string{"n-000232"}},
	})
	recorded.Check(t, "message_empty", Message{})
	recorded.Check(t, "frame_empty", Frame{})
	recorded.Check(t, "change_full", fullChange())
	recorded.Check(t, "change_empty", Change{})
	recorded.Check(t, "site_empty", Attributes{})
	recorded.Check(t, "condition_empty", Condition{})
	recorded.Check(t, "task_key_empty", TaskKey{})
	recorded.Check(t, "reply_full", Reply{Stream: 7001, Seq: 13, Refused: true})
	recorded.Check(t, "reply_empty", Reply{})
}
