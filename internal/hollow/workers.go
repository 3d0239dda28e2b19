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
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/matching"
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
	TaskStarted(task, worker string) (runTime time.Duration, completed bool)
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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		_ = listener.Close() // nothing was accepted
		return "", errors.New("the workers are shutting down")
	}
	o := &w.options
	h := &hollowWorker{name: m.Name, zone: m.Zone, reportsDone: make(chan struct{})}
	base := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	agent := &worker.Agent{
		Controllers: w.controllers, ReportInterval: o.ReportInterval, Log: o.Log,
		Transport: &linkTransport{&h.link, o.wrapTransport(base)},
	}
	id := worker.Identity{
		Name: m.Name, Endpoint: listener.Addr().String(), Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Size: matching.Resources{CPUs: t.CPUs, MemoryGB: t.MemoryGB}, Lease: o.Lease,
	}
	taskRunner := &runner{worker: m.Name, tasks: o.Tasks, fetchTime: o.FetchTime, cachedImages: map[string]bool{}}
	h.state = worker.New(id, taskRunner, taskRunner, agent.ReportSoon, o.Log)
	agent.State = h.state
	h.server = &http.Server{ReadHeaderTimeout: readHeaderTimeout, Handler: h.holdRequests(agent.Handler())}
	ctx, stop := context.WithCancel(context.Background())
	h.stopReports = stop
	go func() { _ = h.server.Serve(&linkListener{listener, &h.link}) }() // returns when shutDown closes the server
	go func() {
		defer close(h.reportsDone)
		_ = agent.Run(ctx) // returns when shutDown cancels ctx
		base.CloseIdleConnections()
	}()
	w.byName[m.Name] = h
	return listener.Addr().String(), nil
}

func (o *Options) wrapTransport(base *http.Transport) http.RoundTripper {
	if o.WrapTransport == nil {
		return base
	}
	return o.WrapTransport(base)
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
		if include(h.zone) {
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
