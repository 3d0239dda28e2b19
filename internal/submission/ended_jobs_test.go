package submission_test

import (
	"net/http"
	"testing"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/wire"
)

// Otherwise users who ask about ended jobs again and again use up the state service's rate, which the leader needs.
func TestRepeatedPollOfEndedJobReadsNothing(t *testing.T) {
	s, request := serve(t)
	for _, stage := range []string{wire.StageDone, wire.StageCancelled} {
		uid := "j-" + stage
		if _, err := s.Txn(t.Context(), nil, wire.Op{Put: "final/" + uid, Value: jobrecord.FinalRecord{Stage: stage, Done: 3}}); err != nil {
			t.Fatal(err)
		}
	}
	for _, reads := range []bool{true, false} {
		s.Unavailable = func() bool { return !reads }
		for _, stage := range []string{wire.StageDone, wire.StageCancelled} {
			status, _, state := request(http.MethodGet, "/api/jobs/j-"+stage, "")
			if want := (wire.JobState{UID: "j-" + stage, Stage: stage, Done: 3}); status != http.StatusOK || state != want {
				t.Errorf("status %d, %+v; state service reached: %v", status, state, reads)
			}
		}
	}
}

func TestPollOfLiveOrUnknownJobIsReadAgain(t *testing.T) {
	s, request := serve(t)
	if status, _, _ := request(http.MethodGet, "/api/jobs/j-7", ""); status != http.StatusNotFound {
		t.Errorf("status %d of a job that was never accepted", status)
	}
	if status, _, _ := request(http.MethodPost, "/api/jobs", job); status != http.StatusCreated {
		t.Fatalf("submission: %d", status)
	}
	if status, _, state := request(http.MethodGet, "/api/jobs/j-7", ""); status != http.StatusOK || state.Stage != wire.StageQueued {
		t.Errorf("status %d, %+v of a live job", status, state)
	}
	if _, err := s.Txn(t.Context(), nil, wire.Op{Delete: "live/j-7"}, wire.Op{Put: "final/j-7", Value: jobrecord.FinalRecord{Stage: wire.StageDone, Done: 3}}); err != nil {
		t.Fatal(err)
	}
	if status, _, state := request(http.MethodGet, "/api/jobs/j-7", ""); status != http.StatusOK || state.Stage != wire.StageDone {
		t.Errorf("status %d, %+v of an ended job", status, state)
	}
}
