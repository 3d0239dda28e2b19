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

// workers are the workers of all machines of the run, in this process: the cloud's
// launcher.
type workers struct {
	settings    *Settings
	track       *tracker
	controllers []worker.Controller
	reportBytes map[string]*atomic.Int64 // of reports and their responses, by address
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
		return "", errors.New("the run is ending")
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
	run := &runner{name: m.Name, track: w.track, fetch: seconds(w.settings.FetchS), images: map[string]bool{}}
	h.state = worker.New(id, run, run, agent.ReportSoon, w.log)
	agent.State = h.state
	h.server = &http.Server{ReadHeaderTimeout: readHeaderTimeout, Handler: h.holdRequests(agent.Handler())}
	ctx, stop := context.WithCancel(context.Background())
	h.stopReports = stop
	go func() { _ = h.server.Serve(&linkListener{listener, &h.link}) }() // until end closes it
	go func() {
		defer close(h.reportsDone)
		_ = agent.Run(ctx) // until end stops it
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

// selectNames returns the workers that a choice takes, by name.
func (w *workers) selectNames(choose func(*hollowWorker) bool) map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := map[string]bool{}
	for name, h := range w.byName {
		if choose(h) {
			names[name] = true
		}
	}
	return names
}

// setCut cuts these workers' links, or mends them.
func (w *workers) setCut(names map[string]bool, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range names {
		if h := w.byName[name]; h != nil {
			h.link.setCut(cut)
		}
	}
}

// close ends all workers and waits for them; none starts afterwards.
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
