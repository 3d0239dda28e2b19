// Package dispatch maintains a queue for each worker that reports to this controller and sends the
// worker its commands.
//
// A Dispatcher answers heartbeats, pushes urgent commands directly, publishes a view of each
// worker with a matrix of expected wait times, and starts a task only after the task's leader has
// granted the start. All state is held in memory and is rebuilt from the workers' reports. The
// package does not decide where tasks run, which workers have failed or which controller leads:
// see Schedulers and Routing.
package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/wallrack/wallrack/internal/batching"
	"github.com/wallrack/wallrack/internal/matching"
)

const (
	workerRetention   = 10 * time.Minute // a worker that has neither reported nor been redirected for this time is removed
	maxDeletedWorkers = 4096             // deleted workers whose late reports are still recognised
	maxWorkers        = 20_000
)

// Dispatcher holds the queues of the workers that report to this controller and sends their
// commands. It is safe for concurrent use.
type Dispatcher struct {
	name       string
	lease      time.Duration // of a worker
	schedulers Schedulers
	tokens     Tokens
	types      MachineTypes
	routing    Routing
	log        *slog.Logger
	sender     CommandSender
	started    time.Time

	reportSlots reportSlots

	//nolint:containedctx // bounds pushes, which outlive the requests that cause them
	lifetime     context.Context
	goroutines   sync.WaitGroup
	remoteGrants batching.Sender[remoteGrant] // by leader

	cancellations Cancellations

	lastHeartbeat atomic.Int64 // time of the last accepted heartbeat of any worker, in ns since started

	mu             sync.Mutex
	workers        map[string]*workerState
	answeredAt     map[string]time.Time         // time of the last answered heartbeat, by worker
	deleted        *lru.Cache[string, struct{}] // the latest workers whose machines the cloud has deleted
	changed        map[string]bool              // workers that changed or were removed since the last call of ChangedViews
	lastExpiry     time.Time                    // last call of removeExpiredWorkersLocked
	raisingToken   bool                         // a background raise of the token is running
	forgetRaiseAt  time.Time                    // start of the last raise of the token for tasks to be forgotten
	stopped        bool                         // Wait was called after lifetime ended: no goroutine may start
	allocations    []matching.Allocation        // buffer reused by allocatedLocked
	heartbeatCount heartbeatCounter
}

// Options are a dispatcher's dependencies and settings.
type Options struct {
	Node         string        // this controller
	WorkerLease  time.Duration // a worker ends its tasks when no response has come for this time
	Schedulers   Schedulers
	Tokens       Tokens
	MachineTypes MachineTypes
	Routing      Routing
	Commands     CommandSender
	Log          *slog.Logger

	// Cancellations are the cancelled jobs of all leaders. None of their tasks is started from here,
	// and each one that a worker reports is halted. May be nil.
	Cancellations Cancellations
}

// New returns a dispatcher without workers; ctx bounds the goroutines it starts.
func New(ctx context.Context, o Options) *Dispatcher {
	deleted, _ := lru.New[string, struct{}](maxDeletedWorkers) // fails for sizes below 1 only
	d := &Dispatcher{
		name: o.Node, lease: o.WorkerLease, schedulers: o.Schedulers, tokens: o.Tokens, types: o.MachineTypes, routing: o.Routing,
		sender: o.Commands, cancellations: o.Cancellations, log: o.Log,
		lifetime: ctx, started: time.Now(), reportSlots: make(reportSlots, maxReportsHandled),
		workers: map[string]*workerState{}, answeredAt: map[string]time.Time{}, deleted: deleted, changed: map[string]bool{},
	}
	d.remoteGrants.Send = d.requestRemoteGrants
	return d
}

// Wait waits for the goroutines that the dispatcher started. If the dispatcher's context
// has ended before the call, no new ones start.
func (d *Dispatcher) Wait() {
	d.mu.Lock()
	d.stopped = d.lifetime.Err() != nil
	d.mu.Unlock()
	d.remoteGrants.Wait()
	d.goroutines.Wait()
}

// startGoroutineLocked starts a goroutine that Wait waits for, unless the dispatcher has stopped:
// a peer's message may arrive during shutdown, and Wait could miss a goroutine started that late.
func (d *Dispatcher) startGoroutineLocked(run func()) {
	if !d.stopped {
		d.goroutines.Go(run)
	}
}

// workerLocked returns the state of a worker, which it creates if the worker is not known. It
// returns nil if there are already maxWorkers.
func (d *Dispatcher) workerLocked(name string) *workerState {
	worker := d.workers[name]
	if worker == nil && len(d.workers) < maxWorkers {
		worker = newWorkerState()
		d.workers[name] = worker
	}
	return worker
}

// Drain stops task starts on an idle worker until its machine is deleted, or until the worker reports
// tasks that another dispatcher has started. It returns false if the worker is busy or unknown.
func (d *Dispatcher) Drain(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	worker := d.workers[name]
	if worker == nil || !worker.idle() {
		return false
	}
	worker.draining = true
	d.changed[name] = true
	return true
}

// RemoveWorker removes a worker whose machine the cloud has deleted; its late reports are ignored.
func (d *Dispatcher) RemoveWorker(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.workers, name)
	delete(d.answeredAt, name)
	d.changed[name] = true
	d.deleted.ContainsOrAdd(name, struct{}{})
}

// Counts returns the number of known workers, of tasks in their queues, and of pushes in flight.
func (d *Dispatcher) Counts() (workers, queued, pushes int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, worker := range d.workers {
		queued += len(worker.queue)
		if worker.pushInFlight {
			pushes++
		}
	}
	return len(d.workers), queued, pushes
}

// removeExpiredWorkersLocked removes the workers that have neither reported nor been redirected
// within workerRetention.
func (d *Dispatcher) removeExpiredWorkersLocked() {
	d.lastExpiry = time.Now()
	for name, worker := range d.workers {
		if time.Since(worker.reportedAt) > workerRetention && time.Since(worker.redirectedAt) > workerRetention {
			delete(d.workers, name)
			d.changed[name] = true
		}
	}
}
