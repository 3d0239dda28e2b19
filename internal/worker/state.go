// Package worker is a worker by the site's protocol: it reports to one controller at a
// time, executes commands that carry the highest fencing token it has seen, and ends all
// its tasks when its lease expires.
//
// State is the state by the protocol, Agent its HTTP client and server, Processes a
// Runner of real processes. Nothing of the state outlives the process; only the files of
// Processes do, and what is left of an earlier worker is ended by them. The package does
// not decide what runs where, and does not isolate tasks from each other.
package worker

import (
	"context"
	"log/slog"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

const keepDone = 10_000 // completed tasks whose result is kept

// Descriptions is the source of what jobs' tasks run.
type Descriptions interface {
	// Get returns the description of a job's tasks; taskspec.ErrNotFound: there is none.
	// Other errors are tried again. It is called without locks held.
	Get(ctx context.Context, job string) (*taskspec.Spec, error)
}

// Runner runs tasks' processes.
type Runner interface {
	// Start starts a task. exited is called once, from another goroutine, when
	// the task and all that it started have ended, with its exit code: 0 is success,
	// 128 and more a signal, as shells have it. It is not called if Start fails.
	Start(task string, attempt uint64, spec *taskspec.Spec, exited func(code int)) (Process, error)
}

// Process is a running task.
type Process interface {
	// Stop requests that the task ends, and kills it after grace, at once if that is
	// not above 0. It does not wait for the end.
	Stop(grace time.Duration)
}

// Identity is what a worker reports of itself, its capacity and the length of its lease.
type Identity struct {
	Name, Endpoint, Type, Zone string
	Spot                       bool
	Size                       matching.Resources
	Lease                      time.Duration
}

// attemptKey names an attempt of a task.
type attemptKey struct {
	task    string
	attempt uint64
}

// attempt is an attempt of a task that is reported.
type attempt struct {
	wire.Task
	size    matching.Resources // 0 before its description came
	process Process            // nil: not started yet, or exited
	cancel  context.CancelFunc // ends the fetch; nil: there is none
	halted  bool               // it was stopped; an exit of 0 does not make it done
}

// State is a worker's state by the protocol. It is safe for concurrent use.
type State struct {
	id           Identity
	descriptions Descriptions
	runner       Runner
	log          *slog.Logger
	changed      func() // something that is reported changed

	mu       sync.Mutex
	session  uint64
	seq      uint64
	token    uint64
	renewed  time.Time // when the last report that renewed the lease was sent
	attempts map[attemptKey]*attempt
	done     *lru.Cache[string, struct{}] // tasks whose result is kept
	launches sync.WaitGroup               // goroutines that fetch and start tasks
}

// New returns the state of a worker that has just come up: session 1, its lease
// beginning now. changed is called in a goroutine of its own whenever a report would
// differ.
func New(id Identity, descriptions Descriptions, runner Runner, changed func(), log *slog.Logger) *State {
	done, _ := lru.New[string, struct{}](keepDone) // fails for sizes below 1 only
	return &State{
		id: id, descriptions: descriptions, runner: runner, changed: changed, log: log, session: 1, renewed: time.Now(),
		attempts: map[attemptKey]*attempt{}, done: done,
	}
}

// Report makes the next report; its sequence number is never used again.
func (s *State) Report() *wire.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	s.seq++
	report := &wire.Report{
		Machine: s.id.Name, Endpoint: s.id.Endpoint, Type: s.id.Type, Zone: s.id.Zone, Spot: s.id.Spot,
		Session: s.session, Seq: s.seq, Token: s.token, Tasks: []wire.Task{},
	}
	for _, a := range s.attempts {
		report.Tasks = append(report.Tasks, a.Task)
	}
	return report
}

// HandleResponse takes the response to a report of a session: it renews the lease from the time
// at which the report was sent, and executes the commands. A response with a lower
// fencing token, or for an earlier session, is dropped: it renews nothing and executes
// nothing (accepted is false). newToken: the token is higher than any before. Tasks that
// are started outlive ctx, of which only the values are used.
func (s *State) HandleResponse(ctx context.Context, sent time.Time, session uint64, response wire.ReportResponse) (accepted, newToken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if response.Token == 0 || response.Token < s.token || session != s.session {
		return false, false
	}
	newToken = response.Token > s.token
	s.token, s.renewed = response.Token, sent
	s.executeLocked(ctx, response.Commands)
	return true, newToken
}

// HandleOrders executes commands that were sent directly. It returns false if the fencing token
// is lower than the highest one seen, or the session does not match; nothing was executed
// then. The lease is not renewed. Tasks that are started outlive ctx, of which only the
// values are used.
func (s *State) HandleOrders(ctx context.Context, orders wire.PushedCommands) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if orders.Token < s.token || orders.Session != s.session {
		return false
	}
	s.token = orders.Token
	s.executeLocked(ctx, orders.Commands)
	return true
}

// Expire ends all tasks and begins a new session if the lease has expired. It must be
// called often: tasks run beyond the lease by the time between two calls.
func (s *State) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
}

func (s *State) expireLocked() {
	if time.Since(s.renewed) <= s.id.Lease {
		return
	}
	s.log.Info("lease expired", "session", s.session, "tasks", len(s.attempts))
	s.dropLocked()
	s.session++
	s.renewed = time.Now()
	go s.changed()
}

// dropLocked ends and forgets all attempts.
func (s *State) dropLocked() {
	for key, a := range s.attempts {
		a.end(0)
		delete(s.attempts, key)
	}
}

// Close ends every task and waits for the descriptions that are being fetched. It does
// not wait for the tasks' processes.
func (s *State) Close() {
	s.mu.Lock()
	s.dropLocked()
	s.mu.Unlock()
	s.launches.Wait()
}

// end ends an attempt's fetch or process.
func (a *attempt) end(grace time.Duration) {
	a.halted = true
	if a.cancel != nil {
		a.cancel()
	}
	if a.process != nil {
		a.process.Stop(grace)
	}
}

// exit marks an attempt as ended, for a cause of the protocol.
func (a *attempt) exit(cause string) {
	a.State, a.Cause = wire.TaskExited, cause
	a.process = nil
}
