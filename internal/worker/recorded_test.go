package worker_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
	"github.com/wallrack/wallrack/internal/wire"
	"github.com/wallrack/wallrack/internal/worker"
)

// recordedState returns the state of the worker whose messages were recorded.
func recordedState() *worker.State {
	id := worker.Identity{Name: "n-000231", Endpoint: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Lease: time.Hour}
	return worker.New(id, &fakeBackend{}, &fakeBackend{}, func() {}, discardLogger)
}

// Reports are encoded as recorded.
func TestRecordedReport(t *testing.T) {
	state := recordedState()
	defer state.Close()
	recorded.Check(t, "report_idle", *state.Report())
	recorded.Check(t, "report_task", wire.Report{
		Machine: "n-000231", Endpoint: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Session: 1, Seq: 2, Token: 41,
		Tasks: []wire.Task{{Task: "odd", Attempt: 3, State: wire.TaskExited, Cause: wire.CauseUnknown}},
	})
}

// The recorded requests are understood, and the responses match the recorded bytes.
func TestRecordedRequests(t *testing.T) {
	state := recordedState()
	defer state.Close()
	state.Report() // uses sequence number 1, as in report_idle.json
	handler := (&worker.Agent{State: state, Log: discardLogger}).Handler()
	for _, c := range []struct {
		method, path, body string
		status             int
		response           string
	}{
		{"POST", "/orders", `{"baton":41,"stint":1,"orders":[{"verb":"launch","piece":"odd","try":3}]}`, http.StatusOK, "report_task.json"},
		{"POST", "/orders", `{"baton":40,"stint":1,"orders":[]}`, http.StatusConflict, "report_refused.json"},
		{"POST", "/orders", `{"baton":41,"stint":1,"orders":[{"verb":"clear","piece":"odd","try":3}]}`, http.StatusOK, "report_cleared.json"},
		{"GET", "/show", "", http.StatusOK, "report_shown.json"},
		{"POST", "/orders", `{"orders":[]}`, http.StatusBadRequest, "orders_malformed.json"},
		{"GET", "/check/j-1/0/3?timeoutMs=100&tcp=1", "", http.StatusNotFound, "check_no_ports.json"},
		{"GET", "/check/j-1/0/3?timeoutMs=100", "", http.StatusBadRequest, "check_malformed.json"},
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		want := string(recorded.Read(t, c.response))
		if w.Code != c.status || w.Body.String()+"\n" != want || w.Header().Get("Content-Type") != "application/json" {
			t.Errorf("%s %s %s: %d %s; recorded: %d %s", c.method, c.path, c.body, w.Code, w.Body, c.status, want)
		}
	}
}

// The response to a check of a running task matches the recorded bytes. Nothing listens on its
// port.
func TestRecordedCheck(t *testing.T) {
	p := newProcesses(t, t.TempDir())
	if _, err := p.Start("j-1/0", 3, &taskspec.Spec{Argv: []string{"sleep", "600"}, CPUs: 1}, func(int) {}); err != nil {
		t.Fatal(err)
	}
	handler := (&worker.Agent{State: recordedState(), Processes: p, Log: discardLogger}).Handler()
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, httptest.NewRequest("GET", "/check/j-1/0/3?timeoutMs=5000&http=/up", nil))
	if w.Code != http.StatusOK || w.Body.String() != `{"outcome":"unhealthy"}` {
		t.Errorf("responded %d %s", w.Code, w.Body)
	}
}

// A report is sent as the recorded request, and the recorded responses are followed: the first
// redirects to another controller, the second starts a task.
func TestRecordedExchange(t *testing.T) {
	reports := make(chan string, 1)
	there := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // an unreadable body fails the check below
		select {
		case reports <- r.Method + " " + r.URL.Path + " " + r.Header.Get("Content-Type") + " " + string(body):
		default:
		}
		_, _ = io.WriteString(w, `{"baton":41,"orders":[{"verb":"launch","piece":"odd","try":3}]}`)
	}))
	defer there.Close()
	here := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		_, _ = io.WriteString(w, `{"foreman":"there"}`)
	}))
	defer here.Close()
	state := recordedState()
	defer state.Close()
	agent := &worker.Agent{State: state, ReportInterval: time.Hour, Log: discardLogger, Controllers: []worker.Controller{
		{Name: "here", Addr: here.Listener.Addr().String()}, {Name: "there", Addr: there.Listener.Addr().String()},
	}}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- agent.Run(ctx) }()
	defer func() {
		cancel()
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Errorf("Run returned %v", err)
		}
	}()
	report := regexp.MustCompile(`^POST /v1/report application/json ` +
		`\{"bench":"n-000231","endpoint":"10\.1\.0\.232:9000","build":"g8","yard":"a","loaners":true,"stint":1,"tally":[12],"baton":0,"warningS":null,"pieces":\[\]\}$`)
	select {
	case got := <-reports:
		if !report.MatchString(got) {
			t.Errorf("report request: %s", got)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("no report")
	}
	for start := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if report := state.Report(); report.Token == 41 && len(report.Tasks) == 1 && report.Tasks[0].Task == "odd" && report.Tasks[0].Attempt == 3 {
			return
		} else if time.Since(start) > 20*time.Second {
			t.Fatalf("the recorded response was not applied: %+v", report)
		}
	}
}

// The names of the check outcomes are part of the response format.
func TestRecordedOutcomes(t *testing.T) {
	for _, words := range []struct{ current, recorded string }{
		{worker.CheckHealthy, "healthy"}, {worker.CheckUnhealthy, "unhealthy"}, {worker.CheckHung, "hung"},
	} {
		if words.current != words.recorded {
			t.Errorf("the outcome %q is sent as %q", words.recorded, words.current)
		}
	}
}
