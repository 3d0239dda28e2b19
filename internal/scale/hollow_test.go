package scale

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/hollow"
	"github.com/wallrack/wallrack/internal/wire"
	"github.com/wallrack/wallrack/internal/worker"
)

// testSite is one hollow worker and a fake controller that responds to its reports.
type testSite struct {
	t        *testing.T
	track    *tracker
	workers  *hollow.Workers
	endpoint string
	reports  atomic.Int64
	token    atomic.Uint64 // fencing token in responses; 0: reports get status 503
}

// newSite starts a worker and waits until its first report has been answered.
func newSite(t *testing.T, lease time.Duration) *testSite {
	s := &testSite{t: t, track: newTracker([]Team{{"a", 2, 2}}, time.Second)}
	s.token.Store(5)
	controller := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		s.reports.Add(1)
		if s.token.Load() == 0 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_ = json.NewEncoder(w).Encode(wire.ReportResponse{Token: s.token.Load()})
	}))
	t.Cleanup(controller.Close)
	addr := strings.TrimPrefix(controller.URL, "http://")
	s.workers = hollow.New(hollow.Options{ReportInterval: 100 * time.Millisecond, Lease: lease, Tasks: s.track, Log: slog.New(slog.DiscardHandler)})
	s.workers.SetControllers([]worker.Controller{{Name: "c", Addr: addr}})
	t.Cleanup(s.workers.Close)
	endpoint, err := s.workers.Launch(wire.ListedMachine{Name: "n-1", Type: "hollow", Zone: "z"}, wire.MachineType{CPUs: 4, MemoryGB: 8})
	if err != nil {
		t.Fatal(err)
	}
	s.endpoint = endpoint
	for uid, runTime := range map[string]time.Duration{"j-long": 0, "j-short": 20 * time.Millisecond, "j-late": 0, "j-third": 0} {
		s.track.addJob(&job{Job: &wire.Job{UID: uid, Team: "a", Tasks: 1, CPUs: 1}, runTime: runTime})
	}
	s.await("a report", func() bool { return s.reports.Load() > 0 && s.show().Token == 5 })
	return s
}

// await waits until a condition holds.
func (s *testSite) await(what string, condition func() bool) {
	s.t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatal("timed out waiting for " + what)
}

// show fetches the worker's report.
func (s *testSite) show() *wire.Report {
	s.t.Helper()
	resp, err := http.Get("http://" + s.endpoint + "/show")
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	var report wire.Report
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		s.t.Fatal(err)
	}
	return &report
}

// sendOrder sends a direct order and returns the response's status, or 0 if no response arrives
// in time.
func (s *testSite) sendOrder(client *http.Client, token, session uint64, uid string) int {
	body, _ := json.Marshal(wire.PushedCommands{Token: token, Session: session, Commands: []wire.Command{{Verb: wire.VerbStart, Task: uid + "/0", Attempt: 1}}})
	resp, err := client.Post("http://"+s.endpoint+"/orders", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }() // the body has been read
	_, _ = io.Copy(io.Discard, resp.Body)    // so that the connection is reused
	return resp.StatusCode
}

// running returns the number of running tasks.
func (s *testSite) running() int {
	running, _ := s.track.taskCounts()
	return running
}

func TestHollowWorkerRefusesOldTokensAndSessions(t *testing.T) {
	s := newSite(t, time.Minute)
	for _, c := range []struct {
		why            string
		token, session uint64
		uid            string
		status         int
	}{
		{"a lower token", 4, 1, "j-long", http.StatusConflict},
		{"another session", 5, 2, "j-long", http.StatusConflict},
		{"the highest token", 5, 1, "j-short", http.StatusOK},
		{"a higher token", 7, 1, "j-long", http.StatusOK},
		{"the token that was highest before", 5, 1, "j-late", http.StatusConflict},
	} {
		if got := s.sendOrder(http.DefaultClient, c.token, c.session, c.uid); got != c.status {
			t.Errorf("%s: status %d, want %d", c.why, got, c.status)
		}
	}
	s.await("the short task's end", func() bool { return s.running() == 1 && s.track.teams["a"].completed == 1 })
	for _, task := range s.show().Tasks {
		if want := map[string]string{"j-short/0": wire.TaskExited, "j-long/0": wire.TaskRunning}[task.Task]; task.State != want {
			t.Errorf("task %s is in state %s", task.Task, task.State)
		}
	}
}

func TestCutHollowWorkerEndsItsTasksAtLeaseExpiry(t *testing.T) {
	const lease = 1500 * time.Millisecond
	s := newSite(t, lease)
	if s.sendOrder(http.DefaultClient, 5, 1, "j-long") != http.StatusOK {
		t.Fatal("the start order was refused")
	}
	s.await("the task", func() bool { return s.running() == 1 })
	cut := map[string]bool{"n-1": true}
	s.track.markLost("cut", cut)
	s.workers.SetCut(cut, true)
	time.Sleep(50 * time.Millisecond) // lets a report in progress arrive
	before, start := s.reports.Load(), time.Now()
	// An order on an established connection is delivered after the cut; one on a connection
	// opened during the cut is never delivered.
	heldStatus := make(chan int, 1)
	go func() { heldStatus <- s.sendOrder(&http.Client{Timeout: 200 * time.Millisecond}, 5, 1, "j-late") }()
	openedDuringCut := &http.Client{Transport: &http.Transport{}, Timeout: 200 * time.Millisecond}
	if status := s.sendOrder(openedDuringCut, 9, 1, "j-third"); status != 0 || <-heldStatus != 0 {
		t.Errorf("a worker that is cut off responded with status %d", status)
	}
	if s.running() != 1 {
		t.Errorf("%d tasks run within the lease, want 1", s.running())
	}
	s.await("the lease's end", func() bool { return s.running() == 0 })
	if took := time.Since(start); took < lease/2 || took > lease+2*time.Second {
		t.Errorf("tasks ended %v after the cut", took)
	}
	if s.reports.Load() != before {
		t.Error("a report arrived during the cut")
	}
	s.workers.SetCut(cut, false)
	s.await("reports again", func() bool { return s.reports.Load() > before })
	if r := s.show(); r.Session < 2 || len(r.Tasks) != 0 || r.Token != 5 {
		t.Errorf("report after the cut: %+v; orders of the earlier session must have no effect", r)
	}
	if len(s.track.lostTasks) != 1 || s.track.recoveries[0].tasks != 1 || s.track.recoveries[0].restored != 0 {
		t.Errorf("recovery: %+v", s.track.recoveries[0])
	}
}

// After a cut shorter than the lease, running tasks have continued, and an order that was held on
// an established connection is executed late. An order on a connection opened during the cut is
// never executed.
func TestShortCutDeliversHeldOrdersLate(t *testing.T) {
	s := newSite(t, time.Minute)
	established := &http.Client{Transport: &http.Transport{}, Timeout: 300 * time.Millisecond}
	if s.sendOrder(established, 5, 1, "j-long") != http.StatusOK {
		t.Fatal("the start order was refused")
	}
	s.await("the task", func() bool { return s.running() == 1 })
	cut := map[string]bool{"n-1": true}
	s.track.markLost("cut", cut)
	s.workers.SetCut(cut, true)
	openedDuringCut := &http.Client{Transport: &http.Transport{}, Timeout: 300 * time.Millisecond}
	if a, b := s.sendOrder(established, 5, 1, "j-late"), s.sendOrder(openedDuringCut, 5, 1, "j-third"); a != 0 || b != 0 || s.running() != 1 {
		t.Errorf("during the cut: statuses %d and %d, %d tasks running", a, b, s.running())
	}
	s.workers.SetCut(cut, false)
	s.track.markReachable(cut)
	s.await("the late order", func() bool { return s.running() >= 2 })
	time.Sleep(50 * time.Millisecond)
	for _, task := range s.show().Tasks {
		if task.Task == "j-third/0" {
			t.Error("a connection opened during the cut delivered an order")
		}
	}
	if r := s.track.recoveries[0]; r.tasks != 1 || r.restored != 1 || s.show().Session != 1 {
		t.Errorf("recovery: %+v", r)
	}
}

// A deleted machine does not execute orders that were held by its link. Otherwise a task started
// there would be counted as running twice when it is started on another machine.
func TestHeldOrdersAreDroppedAfterMachineDeletion(t *testing.T) {
	for range 20 {
		s := newSite(t, time.Minute)
		established := &http.Client{Transport: &http.Transport{}, Timeout: 30 * time.Millisecond}
		if s.sendOrder(established, 5, 1, "j-short") != http.StatusOK {
			continue // the response was too slow on a busy host
		}
		s.await("the short task's end", func() bool { return s.track.job("j-short") != nil && s.running() == 0 })
		s.workers.SetCut(map[string]bool{"n-1": true}, true)
		if status := s.sendOrder(established, 5, 1, "j-long"); status != 0 {
			t.Errorf("status %d from a worker that is cut off", status)
		}
		s.workers.End("n-1")
		time.Sleep(10 * time.Millisecond)
		if s.running() != 0 {
			t.Fatal("a held order was executed on a deleted machine")
		}
	}
}
