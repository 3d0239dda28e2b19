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

	"github.com/wallrack/wallrack/internal/wire"
	"github.com/wallrack/wallrack/internal/worker"
)

// site is one hollow worker and a controller that responds to its reports.
type site struct {
	t        *testing.T
	track    *tracker
	workers  *workers
	endpoint string
	reports  atomic.Int64
	token    atomic.Uint64 // fencing token of responses; 0: reports are refused
}

// newSite starts a worker, and waits for its first report.
func newSite(t *testing.T, lease time.Duration) *site {
	s := &site{t: t, track: newTracker([]Team{{"a", 2, 2}}, time.Second)}
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
	s.workers = &workers{
		settings: &Settings{ReportS: 0.1, LeaseS: lease.Seconds()}, track: s.track, all: map[string]*hollowWorker{},
		bytes: map[string]*atomic.Int64{addr: {}}, controllers: []worker.Controller{{Name: "c", Addr: addr}}, log: slog.New(slog.DiscardHandler),
	}
	t.Cleanup(s.workers.close)
	endpoint, err := s.workers.Launch(wire.ListedMachine{Name: "n-1", Type: "hollow", Zone: "z"}, wire.MachineType{CPUs: 4, MemoryGB: 8})
	if err != nil {
		t.Fatal(err)
	}
	s.endpoint = endpoint
	for uid, run := range map[string]time.Duration{"j-long": 0, "j-short": 20 * time.Millisecond, "j-late": 0, "j-third": 0} {
		s.track.add(&job{Job: &wire.Job{UID: uid, Team: "a", Tasks: 1, CPUs: 1}, run: run})
	}
	s.until("a report", func() bool { return s.reports.Load() > 0 && s.show().Token == 5 })
	return s
}

// until waits for a condition.
func (s *site) until(what string, holds func() bool) {
	s.t.Helper()
	for range 2000 {
		if holds() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatal("did not come: " + what)
}

// show returns the worker's report.
func (s *site) show() *wire.Report {
	s.t.Helper()
	resp, err := http.Get("http://" + s.endpoint + "/show")
	if err != nil {
		s.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }() // what was read counts
	var report wire.Report
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		s.t.Fatal(err)
	}
	return &report
}

// order sends a direct order and returns the status, 0 for no response in time.
func (s *site) order(client *http.Client, token, session uint64, uid string) int {
	body, _ := json.Marshal(wire.PushedCommands{Token: token, Session: session, Commands: []wire.Command{{Verb: wire.VerbStart, Task: uid + "/0", Attempt: 1}}})
	resp, err := client.Post("http://"+s.endpoint+"/orders", "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }() // what was read counts
	_, _ = io.Copy(io.Discard, resp.Body)    // so that the connection is used again
	return resp.StatusCode
}

// running is how many tasks run.
func (s *site) running() int {
	running, _ := s.track.running()
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
		{"what was the highest token", 5, 1, "j-late", http.StatusConflict},
	} {
		if got := s.order(http.DefaultClient, c.token, c.session, c.uid); got != c.status {
			t.Errorf("%s: status %d, want %d", c.why, got, c.status)
		}
	}
	s.until("the short task's end", func() bool { return s.running() == 1 && s.track.teams["a"].completed == 1 })
	for _, task := range s.show().Tasks {
		if want := map[string]string{"j-short/0": wire.TaskExited, "j-long/0": wire.TaskRunning}[task.Task]; task.State != want {
			t.Errorf("%s is %s", task.Task, task.State)
		}
	}
}

func TestCutHollowWorkerEndsItsTasksAtLeaseExpiry(t *testing.T) {
	const lease = 1500 * time.Millisecond
	s := newSite(t, lease)
	if s.order(http.DefaultClient, 5, 1, "j-long") != http.StatusOK {
		t.Fatal("not started")
	}
	s.until("the task", func() bool { return s.running() == 1 })
	cut := map[string]bool{"n-1": true}
	s.track.lose("cut", cut)
	s.workers.cut(cut, true)
	time.Sleep(50 * time.Millisecond) // a report that was on its way
	before, began := s.reports.Load(), time.Now()
	// On the connection that stands, the order comes late; on a new one never.
	held := make(chan int, 1)
	go func() { held <- s.order(&http.Client{Timeout: 200 * time.Millisecond}, 5, 1, "j-late") }()
	never := &http.Client{Transport: &http.Transport{}, Timeout: 200 * time.Millisecond}
	if status := s.order(never, 9, 1, "j-third"); status != 0 || <-held != 0 {
		t.Errorf("a worker that is cut off answered: %d", status)
	}
	if s.running() != 1 {
		t.Errorf("%d tasks on within the lease", s.running())
	}
	s.until("the lease's end", func() bool { return s.running() == 0 })
	if took := time.Since(began); took < lease/2 || took > lease+2*time.Second {
		t.Errorf("tasks ended %v after the cut", took)
	}
	if s.reports.Load() != before {
		t.Error("reports came through")
	}
	s.workers.cut(cut, false)
	s.until("reports again", func() bool { return s.reports.Load() > before })
	if r := s.show(); r.Session < 2 || len(r.Tasks) != 0 || r.Token != 5 {
		t.Errorf("after the cut: %+v; orders of the earlier session must do nothing", r)
	}
	if len(s.track.lost) != 1 || s.track.events[0].tasks != 1 || s.track.events[0].restored != 0 {
		t.Errorf("recovery: %+v", s.track.events[0])
	}
}

// A cut shorter than the lease: what stood is as before, and an order that was on its
// way is executed late; one on a connection that came during the cut never is.
func TestShortCutDeliversHeldOrdersLate(t *testing.T) {
	s := newSite(t, time.Minute)
	stood := &http.Client{Transport: &http.Transport{}, Timeout: 300 * time.Millisecond}
	if s.order(stood, 5, 1, "j-long") != http.StatusOK {
		t.Fatal("not started")
	}
	s.until("the task", func() bool { return s.running() == 1 })
	cut := map[string]bool{"n-1": true}
	s.track.lose("cut", cut)
	s.workers.cut(cut, true)
	during := &http.Client{Transport: &http.Transport{}, Timeout: 300 * time.Millisecond}
	if a, b := s.order(stood, 5, 1, "j-late"), s.order(during, 5, 1, "j-third"); a != 0 || b != 0 || s.running() != 1 {
		t.Errorf("statuses %d and %d, %d tasks on during the cut", a, b, s.running())
	}
	s.workers.cut(cut, false)
	s.track.found(cut)
	s.until("the late order", func() bool { return s.running() >= 2 })
	time.Sleep(50 * time.Millisecond)
	for _, task := range s.show().Tasks {
		if task.Task == "j-third/0" {
			t.Error("a connection that was given up delivered an order")
		}
	}
	if r := s.track.events[0]; r.tasks != 1 || r.restored != 1 || s.show().Session != 1 {
		t.Errorf("recovery: %+v", r)
	}
}

// A machine that was deleted runs nothing any more, nor does it execute orders that were
// on their way: a task that began there would count as on two workers when it is started
// elsewhere.
func TestHeldOrdersOfADeletedMachineStartNothing(t *testing.T) {
	for range 20 {
		s := newSite(t, time.Minute)
		stood := &http.Client{Transport: &http.Transport{}, Timeout: 30 * time.Millisecond}
		if s.order(stood, 5, 1, "j-short") != http.StatusOK {
			continue // too busy to respond in time
		}
		s.until("the short task's end", func() bool { return s.track.job("j-short") != nil && s.running() == 0 })
		s.workers.cut(map[string]bool{"n-1": true}, true)
		if status := s.order(stood, 5, 1, "j-long"); status != 0 {
			t.Errorf("status %d from a worker that is cut off", status)
		}
		s.workers.End("n-1")
		time.Sleep(10 * time.Millisecond)
		if s.running() != 0 {
			t.Fatal("a held order was executed on a machine that was deleted")
		}
	}
}
