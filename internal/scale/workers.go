package scale

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
	"github.com/wallrack/wallrack/internal/worker"
)

const readHeaderTimeout = 10 * time.Second

// workers implements standin.Launcher with hollow workers in this process.
type workers struct {
	settings    *Settings
	track       *tracker
	controllers []worker.Controller
	reportBytes map[string]*atomic.Int64 // of reports and their responses, by controller address
	log         *slog.Logger

	mu     sync.Mutex
	byName map[string]*hollowWorker
	closed bool
}

// Launch implements standin.Launcher.
func (w *workers) Launch(m wire.ListedMachine, t wire.MachineType) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		_ = listener.Close() // nothing was accepted
		return "", errors.New("the run is shutting down")
	}
	h := &hollowWorker{name: m.Name, zone: m.Zone, reportsDone: make(chan struct{})}
	base := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	agent := &worker.Agent{
		Controllers: w.controllers, ReportInterval: seconds(w.settings.ReportS), Log: w.log,
		Transport: &reportTransport{&h.link, base, w.reportBytes},
	}
	id := worker.Identity{
		Name: m.Name, Endpoint: listener.Addr().String(), Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Size: matching.Resources{CPUs: t.CPUs, MemoryGB: t.MemoryGB}, Lease: seconds(w.settings.LeaseS),
	}
	taskRunner := &runner{name: m.Name, track: w.track, fetchTime: seconds(w.settings.FetchS), cachedImages: map[string]bool{}}
	h.state = worker.New(id, taskRunner, taskRunner, agent.ReportSoon, w.log)
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

// End implements standin.Launcher.
func (w *workers) End(name string) {
	w.mu.Lock()
	h := w.byName[name]
	delete(w.byName, name)
	w.mu.Unlock()
	if h != nil {
		h.shutDown()
	}
}

// selectNames returns the names of the workers for which include returns true.
func (w *workers) selectNames(include func(*hollowWorker) bool) map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := map[string]bool{}
	for name, h := range w.byName {
		if include(h) {
			names[name] = true
		}
	}
	return names
}

// setCut cuts the links of the given workers, or connects them again.
func (w *workers) setCut(names map[string]bool, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range names {
		if h := w.byName[name]; h != nil {
			h.link.setCut(cut)
		}
	}
}

// close shuts down all workers and waits for them. No worker can start afterwards.
func (w *workers) close() {
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
