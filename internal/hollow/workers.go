// Package hollow runs workers that follow the workers' protocol, but whose tasks are only timers.
// Thousands of them run in one process. The link of each one can be cut; what is sent over it
// meanwhile is held, and delivered when the link is connected again.
//
// The package starts no operating system processes and judges nothing: a Tasks is told what
// starts and ends.
package hollow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/wire"
	"github.com/wallrack/wallrack/internal/worker"
)

const readHeaderTimeout = 10 * time.Second

// Tasks describes the jobs and observes their tasks. It must be safe for concurrent use.
type Tasks interface {
	// Job returns the job with an id, or nil if no such job was submitted.
	Job(uid string) *wire.Job
	// TaskStarted is called when a worker starts a task, and returns the task's run time; 0: until
	// it is stopped. If completed is true, the task exits at once and TaskEnded is not called.
	TaskStarted(task string, attempt uint64, worker string) (runTime time.Duration, completed bool)
	// TaskEnded is called when a task no longer runs on a worker. completed is false if the task
	// was stopped.
	TaskEnded(task, worker string, completed bool)
}

// Options are the settings of the workers.
type Options struct {
	ReportInterval time.Duration
	Lease          time.Duration
	FetchTime      time.Duration // of an image that a worker has not cached
	Tasks          Tasks
	Log            *slog.Logger

	// SessionDir is the directory in which each worker stores its session, so that a restarted worker
	// begins a later one; "" if none is restarted.
	SessionDir string

	// WrapHandler returns the handler of the requests that a worker serves at an address, which passes
	// them to base; nil: base itself.
	WrapHandler func(addr string, base http.Handler) http.Handler

	// WrapTransport returns the transport for the reports of a worker, which sends them with base;
	// nil: base itself.
	WrapTransport func(base *http.Transport) http.RoundTripper
}

// Workers are the workers of a site. It implements standin.Launcher, and is safe for concurrent use.
type Workers struct {
	options     Options
	controllers []worker.Controller

	mu     sync.Mutex
	byName map[string]*hollowWorker
	closed bool
}

// New returns Workers without any worker.
func New(options Options) *Workers {
	return &Workers{options: options, byName: map[string]*hollowWorker{}}
}

// SetControllers sets the controllers to which the workers report. Call it before the first Launch.
func (w *Workers) SetControllers(controllers []worker.Controller) { w.controllers = controllers }

// Launch implements standin.Launcher.
func (w *Workers) Launch(m wire.ListedMachine, t wire.MachineType) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return "", errors.New("the workers are shutting down")
	}
	h := &hollowWorker{machine: m, machineType: t}
	if err := h.start(w, "127.0.0.1:0"); err != nil {
		return "", err
	}
	w.byName[m.Name] = h
	return h.addr, nil
}

// Restart ends a worker and its tasks, and starts it again after a pause at the same address. The worker
// loses its state but for its session. It returns without a restart if the worker's machine is deleted
// meanwhile, or ctx ends.
func (w *Workers) Restart(ctx context.Context, name string, pause time.Duration) {
	w.mu.Lock()
	h := w.byName[name]
	w.mu.Unlock()
	if h == nil {
		return
	}
	h.shutDown()
	if !periodic.Sleep(ctx, pause) {
		return
	}
	next := &hollowWorker{machine: h.machine, machineType: h.machineType}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || w.byName[name] != h {
		return
	}
	if err := next.start(w, h.addr); err != nil { //nolint:contextcheck // the worker outlives the restart
		w.options.Log.Error("worker not restarted", "worker", name, "err", err)
		return
	}
	w.byName[name] = next
}

func (o *Options) wrapTransport(base *http.Transport) http.RoundTripper {
	if o.WrapTransport == nil {
		return base
	}
	return o.WrapTransport(base)
}

func (o *Options) wrapHandler(addr string, base http.Handler) http.Handler {
	if o.WrapHandler == nil {
		return base
	}
	return o.WrapHandler(addr, base)
}

// sessions returns the stored sessions of a worker, or nil if there are none.
func (o *Options) sessions(name string) (*worker.SessionFile, error) {
	if o.SessionDir == "" {
		return nil, nil
	}
	dir := filepath.Join(o.SessionDir, name)
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("worker's directory: %w", err)
	}
	return worker.OpenSessionFile(dir)
}

// End implements standin.Launcher.
func (w *Workers) End(name string) {
	w.mu.Lock()
	h := w.byName[name]
	delete(w.byName, name)
	w.mu.Unlock()
	if h != nil {
		h.shutDown()
	}
}

// Names returns the names of the workers in zones for which include returns true.
func (w *Workers) Names(include func(zone string) bool) map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := map[string]bool{}
	for name, h := range w.byName {
		if include(h.machine.Zone) {
			names[name] = true
		}
	}
	return names
}

// SetCut cuts the links of the given workers, or connects them again.
func (w *Workers) SetCut(names map[string]bool, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range names {
		if h := w.byName[name]; h != nil {
			h.link.setCut(cut)
		}
	}
}

// Close shuts down all workers and waits for them. No worker can start afterwards.
func (w *Workers) Close() {
	w.mu.Lock()
	w.closed = true
	all := w.byName
	w.byName = map[string]*hollowWorker{}
	w.mu.Unlock()
	var ended sync.WaitGroup
	for _, h := range all {
		ended.Go(h.shutDown)
	}
	ended.Wait()
}
