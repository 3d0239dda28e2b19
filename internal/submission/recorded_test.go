package submission_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/submission"
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

// Users' requests that one controller passes to another keep their form.
func TestRecorded(t *testing.T) {
	checkRecorded(t, "request_full.json", submission.Request{
		Verb: submission.VerbSubmit, UID: "j-000400", Body: []byte(`{"uid":"j-000400"}`), UIDs: []string{"j-000401", "j-000402"},
		Constraints: &jobspec.Constraints{
			Number: 4001, Name: "train", User: "ada", Array: "0-15:2", MaxConcurrent: 4, Held: true, BeginMs: 1700000000123, DeadlineMs: 1700000600123,
			LimitS: 900.5, NoRetry: true, AnyDependency: true, Dependencies: []jobspec.Dependency{{Kind: "after", Job: "j-000399", Number: 3990, DelayS: 60}},
			CancelIfUnsatisfiable: true, CancelledTasks: "3,5", CancelReason: "TIMEOUT",
		},
	})
	checkRecorded(t, "request_empty.json", submission.Request{})
	state := wire.JobState{UID: "j-000400", Stage: wire.StageRunning, Done: 3, Running: 5}
	checkRecorded(t, "reply_full.json", submission.Reply{
		Status: 422, State: state, Reason: "pieces: missing", Busy: true,
		States: []wire.JobState{state, {UID: "j-000402", Stage: wire.StageDone, Done: 8}},
	})
	checkRecorded(t, "reply_empty.json", submission.Reply{})
	for _, verb := range []struct{ is, was string }{
		{submission.VerbSubmit, "submit"}, {submission.VerbPoll, "poll"}, {submission.VerbCancel, "cancel"}, {submission.VerbCheck, "check"},
	} {
		if verb.is != verb.was {
			t.Errorf("the request %q is sent as %q", verb.was, verb.is)
		}
	}
}
