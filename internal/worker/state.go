// Package worker implements the worker's side of the protocol: a worker reports to one controller
// at a time, executes commands that carry the highest fencing token it has seen, and ends all its
// tasks when its lease expires.
//
// State holds the protocol state, Agent is its HTTP client and server, and Processes is a Runner
// of real processes. The protocol state is lost when the process exits, but for the number of its
// session; the files of Processes remain too, and the next worker uses them to kill orphaned
// processes. The package does not decide which tasks run on which worker, and does not isolate tasks
// from each other.
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

const maxStoredResults = 10_000 // completed tasks remembered

// Descriptions provides the task descriptions of jobs.
type Descriptions interface {
	// Get returns the description of a job's tasks, or taskspec.ErrNotFound if there is none.
	// Calls that return other errors are retried. It is called without locks held.
	Get(ctx context.Context, job string) (*taskspec.Spec, error)
}

// Runner runs tasks' processes.
type Runner interface {
	// Start starts a task. exited is called once, from another goroutine, when the task and all
	// its child processes have exited. Its argument is the exit code: 0 for success, 128 plus the
	// signal's number after a signal. It is not called if Start fails.
	Start(task string, attempt uint64, spec *taskspec.Spec, exited func(code int)) (Process, error)
}

// Process is a running task.
type Process interface {
	// Stop asks the task to exit, and kills it after the grace period, or immediately if grace is
	// 0 or less. It does not wait for the exit.
	Stop(grace time.Duration)
}

// Identity is a worker's identity as reported, with its capacity and the duration of its lease.
type Identity struct {
	Name, Endpoint, Type, Zone string
	Spot                       bool
	Size                       matching.Resources
	Lease                      time.Duration
	Sessions                   *SessionFile // nil: the first session is 1, and none is stored
}

// attemptKey identifies an attempt of a task.
type attemptKey struct {
	task    string
	attempt uint64
}

// attempt is the state of an attempt, as reported to controllers.
type attempt struct {
	wire.Task
	size          matching.Resources // zero until its description is fetched
	process       Process            // nil: not started yet, or exited
	cancel        context.CancelFunc // cancels the fetch of the description; nil: no fetch was started
	stopRequested bool               // if set, exit code 0 does not count as completion
}

// State is the protocol state of a worker. It is safe for concurrent use.
type State struct {
	id           Identity
	descriptions Descriptions
	runner       Runner
	log          *slog.Logger
	onChange     func() // called when the reported state has changed

	mu        sync.Mutex
	session   uint64
	seq       uint64
	token     uint64
	renewedAt time.Time // time at which the last report that renewed the lease was sent
	attempts  map[attemptKey]*attempt
	completed *lru.Cache[string, struct{}] // names of tasks completed on this worker
	launches  sync.WaitGroup               // goroutines that fetch descriptions and start tasks
}

// New returns the state of a worker that has just started, with a new session and a lease that begins
// now. onChange is called in a new goroutine whenever the reported state changes.
func New(id Identity, descriptions Descriptions, runner Runner, onChange func(), log *slog.Logger) *State {
	completed, _ := lru.New[string, struct{}](maxStoredResults) // fails only for sizes below 1
	session := uint64(1)
	if id.Sessions != nil {
		session = id.Sessions.first
	}
	return &State{
		id: id, descriptions: descriptions, runner: runner, onChange: onChange, log: log, session: session, renewedAt: time.Now(),
		attempts: map[attemptKey]*attempt{}, completed: completed,
	}
}

// Report returns the next report. Each report has a new sequence number.
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

// HandleResponse applies the response to a report that was sent at the given time in the given
// session. It renews the lease from that time and executes the commands. A response without a
// fencing token, with a lower one, or for another session is ignored (accepted is false).
// newToken is true if the token is higher than all earlier ones. Tasks continue after ctx has
// ended; only its values are used.
func (s *State) HandleResponse(ctx context.Context, sent time.Time, session uint64, response wire.ReportResponse) (accepted, newToken bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	if response.Token == 0 || response.Token < s.token || session != s.session {
		return false, false
	}
	newToken = response.Token > s.token
	s.token, s.renewedAt = response.Token, sent
	s.executeLocked(ctx, response.Commands)
	return true, newToken
}

// HandleOrders executes commands that were sent directly. If the fencing token is lower than the
// highest one seen, or the session does not match, it executes nothing and returns false. It does
// not renew the lease. Tasks continue after ctx has ended; only its values are used.
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

// Expire ends all tasks and begins a new session if the lease has expired. Tasks may run beyond
// the lease by the time between two calls, so it must be called often.
func (s *State) Expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
}

func (s *State) expireLocked() {
	if time.Since(s.renewedAt) <= s.id.Lease {
		return
	}
	s.log.Info("lease expired", "session", s.session, "tasks", len(s.attempts))
	s.terminateAllLocked()
	s.session++
	if s.id.Sessions != nil {
		if err := s.id.Sessions.store(s.session); err != nil {
			s.log.Error("session not stored, the next process may begin it again", "session", s.session, "err", err)
		}
	}
	s.renewedAt = time.Now()
	go s.onChange()
}

// terminateAllLocked ends and removes all attempts.
func (s *State) terminateAllLocked() {
	for key, a := range s.attempts {
		a.terminate(0)
		delete(s.attempts, key)
	}
}

// Close ends every task and waits for the running fetches of descriptions. It does not wait until
// the tasks' processes have exited.
func (s *State) Close() {
	s.mu.Lock()
	s.terminateAllLocked()
	s.mu.Unlock()
	s.launches.Wait()
}

// terminate cancels an attempt's fetch or stops its process.
func (a *attempt) terminate(grace time.Duration) {
	a.stopRequested = true
	if a.cancel != nil {
		a.cancel()
	}
	if a.process != nil {
		a.process.Stop(grace)
	}
}

// markExited marks an attempt as exited. cause is one of the protocol's causes.
func (a *attempt) markExited(cause string) {
	a.State, a.Cause = wire.TaskExited, cause
	a.process = nil
}
