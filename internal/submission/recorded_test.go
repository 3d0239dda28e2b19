package submission_test

import (
	"testing"

	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/submission"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
	"github.com/wallrack/wallrack/internal/wire"
)

// Users' requests that one controller forwards to another keep their encoding.
func TestRecorded(t *testing.T) {
	recorded.Check(t, "request_full", submission.Request{
		Verb: submission.VerbSubmit, UID: "j-000400", Body: []byte(`{"uid":"j-000400"}`), UIDs: []string{"j-000401", "j-000402"},
		Constraints: &jobspec.Constraints{
			Number: 4001, Name: "train", User: "ada", Array: "0-15:2", MaxConcurrent: 4, Held: true, BeginMs: 1700000000123, DeadlineMs: 1700000600123,
			LimitS: 900.5, NoRetry: true, AnyDependency: true, Dependencies: []jobspec.Dependency{{Kind: "after", Job: "j-000399", Number: 3990, DelayS: 60}},
			CancelIfUnsatisfiable: true, CancelledTasks: "3,5", CancelReason: "TIMEOUT",
		},
	})
	recorded.Check(t, "request_empty", submission.Request{})
	state := wire.JobState{UID: "j-000400", Stage: wire.StageRunning, Done: 3, Running: 5}
	recorded.Check(t, "reply_full", submission.Reply{
		Status: 422, State: state, Reason: "pieces: missing", Busy: true,
		States: []wire.JobState{state, {UID: "j-000402", Stage: wire.StageDone, Done: 8}},
	})
	recorded.Check(t, "reply_empty", submission.Reply{})
	for _, verb := range []struct{ got, want string }{
		{submission.VerbSubmit, "submit"}, {submission.VerbPoll, "poll"}, {submission.VerbCancel, "cancel"}, {submission.VerbCheck, "check"},
	} {
		if verb.got != verb.want {
			t.Errorf("verb %q is sent as %q", verb.want, verb.got)
		}
	}
}
