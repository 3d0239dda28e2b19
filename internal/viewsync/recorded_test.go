package viewsync

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/dispatch"
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

func fullChange() Change {
	age, unanswered, notice, exit := int64(500), int64(1250), 30.5, 137
	return Change{
		Name: "n-000231", BackMs: 40, Anew: true,
		Site:    &Site{Type: "g8", Zone: "a", Spot: true, Endpoint: "10.1.0.232:9000"},
		Session: 2, Seq: 1088, Token: 41, AgeMs: &age, UnansweredMs: &unanswered,
		Condition: &Condition{NoticeS: &notice, Draining: true, Asked: true},
		AllTasks:  true,
		Tasks: []dispatch.TaskView{{
			Task: wire.Task{Task: "j-000400/7", Attempt: 3, State: wire.TaskExited, Cause: wire.CauseError, Saved: true, Exit: &exit},
			ForS: 7.75, Unknown: true,
		}},
		Unlisted: []TaskKey{{Task: "j-000402/1", Attempt: 4}},
		Queue:    []dispatch.QueueView{{TaskRef: dispatch.TaskRef{Machine: "n-000231", Task: "j-000401/0", Attempt: 1}, WaitS: 20.5, Unsent: true}},
		NoQueue:  true, Matrix: []float64{20.5, 4, 1, 8.25}, NoMatrix: true, Waits: []float64{20.5, 31.25},
	}
}

// Messages of the streams of views keep their short names.
func TestRecorded(t *testing.T) {
	checkRecorded(t, "message_full.json", Message{
		Holder: "c2", Stream: 7001, After: 7000, Seq: 12, Machines: 300, Sum: 987654321, NowMs: 65000,
		Frame: &Frame{Seq: 13, AtMs: 64950, Whole: true, Changes: []Change{fullChange()}, Gone: []string{"n-000232"}},
	})
	checkRecorded(t, "message_empty.json", Message{})
	checkRecorded(t, "frame_empty.json", Frame{})
	checkRecorded(t, "change_full.json", fullChange())
	checkRecorded(t, "change_empty.json", Change{})
	checkRecorded(t, "site_empty.json", Site{})
	checkRecorded(t, "condition_empty.json", Condition{})
	checkRecorded(t, "task_key_empty.json", TaskKey{})
	checkRecorded(t, "reply_full.json", Reply{Stream: 7001, Seq: 13, Refused: true})
	checkRecorded(t, "reply_empty.json", Reply{})
}
