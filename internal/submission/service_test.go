package submission_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/submission"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// stub implements the dependencies of a Service: no jobs in this process, and peers that never
// respond.
type stub struct {
	*testkit.View
	types   []wire.MachineType
	healthy bool
}

func (s *stub) LocalState(string) (wire.JobState, bool)                         { return wire.JobState{}, false }
func (s *stub) RefineState(stored wire.JobState) wire.JobState                  { return stored }
func (s *stub) JobAccepted(*wire.Job, *jobspec.Constraints, int, int64, uint64) {}
func (s *stub) All() []wire.MachineType                                         { return s.types }
func (s *stub) ShardLeaders() []string                                          { return nil }
func (s *stub) ServingPeers() []string                                          { return []string{"b"} }
func (s *stub) Healthy() bool                                                   { return s.healthy }
func (s *stub) Cancel(context.Context, string) (wire.JobState, error) {
	return wire.JobState{}, statestore.ErrUnavailable
}

func (s *stub) QueryPeer(context.Context, string, submission.Request) (*submission.Reply, error) {
	return nil, errors.New("cut off")
}

const job = `{"uid":"j-7","docket":"c","crew":"t","sort":"sweep","urgency":"normal","pieces":3,"cpus":2,"cards":0,"memoryGb":1,
	"kit":"i","pullGb":1,"builds":null,"yard":null,"together":false,"apart":false,"loaners":true,"reckonS":9,"markS":0,"stashS":0,"dueS":null}`

func newStub() *stub {
	return &stub{View: &testkit.View{Store: testkit.NewStore()}, healthy: true, types: []wire.MachineType{{Name: "m", CPUs: 4, MemoryGB: 8, Zones: []string{"z"}}}}
}

func serve(t testing.TB) (s *stub, request func(method, path, body string) (int, http.Header, wire.JobState)) {
	s = newStub()
	return s, serveWith(t, s, submission.Options{})
}

// serveWith serves users from the stub's state with the options o.
func serveWith(t testing.TB, s *stub, o submission.Options) (request func(method, path, body string) (int, http.Header, wire.JobState)) {
	return requestTo(newService(t, s, o))
}

// requestTo returns a function that makes a user's request to a service.
func requestTo(service *submission.Service) (request func(method, path, body string) (int, http.Header, wire.JobState)) {
	mux := http.NewServeMux()
	service.Register(mux)
	return func(method, path, body string) (int, http.Header, wire.JobState) {
		w := httptest.NewRecorder()
		mux.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
		var state wire.JobState
		_ = json.Unmarshal(w.Body.Bytes(), &state) // a refusal has no state
		return w.Code, w.Header(), state
	}
}

// newService returns a service over the stub's state.
func newService(t testing.TB, s *stub, o submission.Options) *submission.Service {
	return newServiceWith(t, s, s, o)
}

// newServiceWith is newService with other jobs than the stub's.
func newServiceWith(t testing.TB, s *stub, jobs submission.Jobs, o submission.Options) *submission.Service {
	cfg := &config.Platform{Node: "a", Params: config.Params{Teams: []config.Team{{Name: "t", CPUsMax: 8}}}}
	op, err := config.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	if o.Peers == nil {
		o.Peers = s
	}
	o.Platform, o.Operator, o.Store, o.Jobs, o.Catalog, o.Log = cfg, op, s, jobs, s, slog.New(slog.NewTextHandler(io.Discard, nil))
	return submission.New(o)
}

// The response to a submission follows the recorded state: 201 once, 200 for each repeat, and
// rejections only for unknown jobs.
func TestSubmissionResponses(t *testing.T) {
	s, request := serve(t)
	with := func(old, replacement string) string { return strings.Replace(job, old, replacement, 1) }
	for _, c := range []struct {
		name, body string
		status     int
	}{
		{"new", job, 201},
		{"known", job, 200},
		{"known, now malformed", with(`"pieces":3`, `"pieces":0`), 200},
		{"known, now too large", with(`"cpus":2`, `"cpus":64`), 200},
		{"not JSON", `{"uid":`, 400},
		{"not an object", `[]`, 400},
		{"a field missing", strings.Replace(with(`j-7`, `j-8`), `"cpus":2,`, ``, 1), 400},
		{"unknown team", strings.Replace(with(`j-7`, `j-8`), `"crew":"t"`, `"crew":"x"`, 1), 422},
		{"fits no type", strings.Replace(with(`j-7`, `j-8`), `"cpus":2`, `"cpus":6`, 1), 422},
		{"over 64 KiB", with(`"kit":"i"`, `"kit":"`+strings.Repeat("i", 70_000)+`"`), 400},
	} {
		if status, _, _ := request(http.MethodPost, "/api/jobs", c.body); status != c.status {
			t.Errorf("%s: status %d, want %d", c.name, status, c.status)
		}
	}
	s.types = nil
	if status, header, _ := request(http.MethodPost, "/api/jobs", with(`j-7`, `j-9`)); status != 503 || header.Get("Retry-After") == "" {
		t.Errorf("machine types not known yet: %d", status)
	}
}

// During an outage of the state service the response for an unknown job is 503, never 404.
func TestUnknownOutcomeIsNeverNotFound(t *testing.T) {
	s, request := serve(t)
	if status, _, _ := request(http.MethodGet, "/api/jobs/j-1", ""); status != 404 {
		t.Errorf("a job that nobody submitted: %d", status)
	}
	if status, _, _ := request(http.MethodPost, "/api/jobs", job); status != 201 {
		t.Fatalf("submission: %d", status)
	}
	if status, _, state := request(http.MethodGet, "/api/jobs/j-7", ""); status != 200 || state.Stage != wire.StageQueued {
		t.Errorf("poll: %d %+v", status, state)
	}
	s.Unavailable = func() bool { return true }
	for _, path := range []string{"/api/jobs/j-1", "/api/jobs/j-7"} {
		if status, header, _ := request(http.MethodGet, path, ""); status != 503 || header.Get("Retry-After") == "" {
			t.Errorf("%s while the state service is down: %d", path, status)
		}
	}
	if status, _, _ := request(http.MethodPost, "/api/jobs/j-7/cancel", ""); status != 503 {
		t.Errorf("cancel while the state service is down: %d", status)
	}
	s.healthy = false
	if status, _, _ := request(http.MethodGet, "/up", ""); status != 503 {
		t.Errorf("health check of an unhealthy controller: %d", status)
	}
}

// neverConfirmed confirms no cancel.
type neverConfirmed struct{ queried []string }

func (u *neverConfirmed) Confirm(uid string) error {
	u.queried = append(u.queried, uid)
	return cancellation.ErrCannotConfirm
}

// Neither a poll nor a repeated submission reports a job as cancelled before the cancel is
// confirmed.
func TestCancelledStageRequiresConfirmation(t *testing.T) {
	s, request := serve(t)
	if status, _, _ := request(http.MethodPost, "/api/jobs", job); status != 201 {
		t.Fatalf("submission: %d", status)
	}
	item, err := s.Get(t.Context(), "live/j-7")
	if err != nil {
		t.Fatal(err)
	}
	var record map[string]any
	if err := json.Unmarshal(item.Value, &record); err != nil {
		t.Fatal(err)
	}
	record["cancelled"] = true
	if _, err := s.Txn(t.Context(), nil, wire.Op{Put: "live/j-7", Value: record}); err != nil {
		t.Fatal(err)
	}
	cancellations := &neverConfirmed{}
	for _, confirm := range []bool{false, true} {
		o := submission.Options{Cancellations: cancellations}
		if confirm {
			o.Cancellations = nil
		}
		cancellations.queried = nil
		request := serveWith(t, s, o)
		for _, c := range [][3]string{{http.MethodGet, "/api/jobs/j-7", ""}, {http.MethodPost, "/api/jobs", job}} {
			status, header, state := request(c[0], c[1], c[2])
			if !confirm && (status != 503 || header.Get("Retry-After") == "" || state.Stage != "") || confirm && (status != 200 || state.Stage != wire.StageCancelled) {
				t.Errorf("%s, confirmed %v: %d, %+v", c[0], confirm, status, state)
			}
		}
		if !confirm && len(cancellations.queried) != 2 {
			t.Errorf("confirmation was requested for %v, want twice", cancellations.queried)
		}
	}
}

// Under memory pressure a controller refuses new jobs but still serves requests for those that
// it has accepted.
func TestMemoryPressureRefusesNewJobsOnly(t *testing.T) {
	s, request := serve(t)
	if status, _, _ := request(http.MethodPost, "/api/jobs", job); status != 201 {
		t.Fatalf("submission: %d", status)
	}
	request = serveWith(t, s, submission.Options{MemoryPressure: func() bool { return true }})
	if status, header, _ := request(http.MethodPost, "/api/jobs", strings.Replace(job, "j-7", "j-8", 1)); status != 503 || header.Get("Retry-After") == "" {
		t.Errorf("a new job: %d", status)
	}
	if status, _, _ := request(http.MethodGet, "/api/jobs/j-8", ""); status != 404 {
		t.Errorf("the refused job: %d", status)
	}
	if status, _, _ := request(http.MethodPost, "/api/jobs", job); status != 200 {
		t.Errorf("a retry of the accepted job: %d", status)
	}
}

// A submission that was recorded is accepted after one write, although the responses to all
// writes are lost.
func TestRecordedSubmissionIsAcceptedWhenResponsesAreLost(t *testing.T) {
	s, request := serve(t)
	tries := 0
	s.LoseResponse = func() bool { tries++; return true }
	if code, _, state := request("POST", "/api/jobs", job); code != http.StatusOK || state.Stage != wire.StageQueued {
		t.Errorf("all responses lost: %d %+v", code, state)
	}
	if tries != 1 {
		t.Errorf("recorded submission was written %d times", tries)
	}
}
