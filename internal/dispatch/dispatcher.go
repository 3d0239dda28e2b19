// Package dispatch keeps a queue for each worker that reports to this controller and sends
// the worker its commands.
//
// A Dispatcher answers heartbeats, sends urgent commands directly, publishes a view with a
// wait-time matrix of each worker, and starts a task only after the task's leader granted it.
// All state is in memory and is rebuilt from the workers' reports. The package does not decide
// where tasks run, which worker has failed or which controller leads: see Schedulers and
// Routing.
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
	workerRetention   = 10 * time.Minute // after which an unheard worker is forgotten
	maxDeletedWorkers = 4096             // deleted workers that are remembered
	maxWorkers    = 20_000
)

// Dispatcher keeps the queues of the workers that report to this controller and sends their
// commands. It is safe for concurrent use.
type Dispatcher struct {
	name       string
	lease      time.Duration // of workers
	schedulers Schedulers
	tokens     Tokens
	types      MachineTypes
	routing    Routing
	log        *slog.Logger
	sender     CommandSender
	started    time.Time

	//nolint:containedctx // bounds pushes, which outlive the requests that cause them
	lifetime     context.Context
	goroutines   sync.WaitGroup
	remoteGrants batching.Sender[remoteGrant] // by leader

	cancellations Cancellations

	lastHeartbeat atomic.Int64 // ns since started

	mu             sync.Mutex
	workers        map[string]*workerState
	answeredAt     map[string]time.Time         // last answered heartbeat, by worker
	deleted        *lru.Cache[string, struct{}] // workers that the cloud deleted, the latest ones
	changed        map[string]bool              // or forgotten, since ChangedViews was last called
	lastExpiry     time.Time                    // when unheard workers were last forgotten
	raisingToken   bool
	stopped        bool                  // Wait was called after lifetime had ended
	allocations    []matching.Allocation // buffer of allocated
	heartbeatCount heartbeatCounter
}

// Options are what a dispatcher needs of the rest of its process.
type Options struct {
	Node         string        // this controller
	WorkerLease  time.Duration // without a response for so long a worker ends its tasks
	Schedulers   Schedulers
	Tokens       Tokens
	MachineTypes MachineTypes
	Routing      Routing
	Commands     CommandSender
	Log          *slog.Logger

	// Cancellations are the cancelled jobs, whoever leads them: none of their tasks is
	// launched here, and each that a worker lists is halted. nil: none.
	Cancellations Cancellations
}

// New returns a dispatcher without workers; ctx bounds the goroutines it starts.
func New(ctx context.Context, o Options) *Dispatcher {
	deleted, _ := lru.New[string, struct{}](maxDeletedWorkers) // fails for sizes below 1 only
	d := &Dispatcher{
		name: o.Node, lease: o.WorkerLease, schedulers: o.Schedulers, tokens: o.Tokens, types: o.MachineTypes, routing: o.Routing,
		sender: o.Commands, cancellations: o.Cancellations, log: o.Log,
		lifetime: ctx, started: time.Now(),
		workers: map[string]*workerState{}, answeredAt: map[string]time.Time{}, deleted: deleted, changed: map[string]bool{},
	}
	d.remoteGrants.Send = d.requestRemoteGrants
	return d
}

// Wait waits for the goroutines that the dispatcher started. Once its context has ended, none
// starts any more.
func (d *Dispatcher) Wait() {
	d.mu.Lock()
	d.stopped = d.lifetime.Err() != nil
	d.mu.Unlock()
	d.remoteGrants.Wait()
	d.goroutines.Wait()
}

// startGoroutineLocked runs a goroutine that Wait waits for. A peer's message may come while the
// process ends: a goroutine that started then could be missed by Wait.
func (d *Dispatcher) startGoroutineLocked(run func()) {
	if !d.stopped {
		d.goroutines.Go(run)
	}
}

// workerLocked returns the state of a worker, new if it is not known. It returns nil if there
// are too many.
func (d *Dispatcher) workerLocked(name string) *workerState {
	worker := d.workers[name]
	if worker == nil && len(d.workers) < maxWorkers {
		worker = newWorkerState()
		d.workers[name] = worker
	}
	return worker
}

// Drain stops starts on an idle worker. It returns false if the worker is not idle or not known
// here.
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

// RemoveWorker forgets a worker whose machine the cloud has deleted, and ignores its late
// reports.
func (d *Dispatcher) RemoveWorker(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.workers, name)
	delete(d.answeredAt, name)
	d.changed[name] = true
	d.deleted.ContainsOrAdd(name, struct{}{})
}

// Counts counts the workers known here, the tasks queued for them, and the direct commands under
// way.
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

// removeExpiredWorkersLocked forgets the workers that were not heard for long.
func (d *Dispatcher) removeExpiredWorkersLocked() {
	d.lastExpiry = time.Now()
	for name, worker := range d.workers {
		if time.Since(worker.reportedAt) > workerRetention && time.Since(worker.redirectedAt) > workerRetention {
			delete(d.workers, name)
			d.changed[name] = true
		}
	}
}
