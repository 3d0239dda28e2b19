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
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
	"github.com/wallrack/wallrack/internal/worker"
)

// link is a worker's way to all others. While it is cut, messages are held: what was
// on its way in is delivered afterwards, however late.
type link struct {
	mu  sync.Mutex
	cut chan struct{} // closed when the cut ends; nil: none
}

// set cuts the link or mends it.
func (l *link) set(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if cut == (l.cut != nil) {
		return
	}
	if cut {
		l.cut = make(chan struct{})
		return
	}
	close(l.cut)
	l.cut = nil
}

// mended is closed while the link is whole.
func (l *link) mended() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cut == nil {
		return closed
	}
	return l.cut
}

var closed = func() chan struct{} { c := make(chan struct{}); close(c); return c }()

// reports carries a worker's reports over its link and counts their bytes.
type reports struct {
	link  *link
	base  *http.Transport
	bytes func(controller string) *atomic.Int64
}

// RoundTrip implements http.RoundTripper.
func (r *reports) RoundTrip(req *http.Request) (*http.Response, error) {
	select {
	case <-r.link.mended():
	case <-req.Context().Done():
		return nil, req.Context().Err()
	}
	resp, err := r.base.RoundTrip(req)
	if err == nil {
		r.bytes(req.URL.Host).Add(req.ContentLength + max(0, resp.ContentLength))
	}
	return resp, err
}

// CloseIdleConnections lets the worker leave a controller.
func (r *reports) CloseIdleConnections() { r.base.CloseIdleConnections() }

// listener takes a worker's connections. One that comes while the link is cut never
// delivers anything: a connection attempt that was given up does not complete later.
type listener struct {
	net.Listener
	link *link
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		mended := l.link.mended()
		select {
		case <-mended:
			return conn, nil
		default:
			go func() { <-mended; _ = conn.Close() }()
		}
	}
}

// hollow is a worker that runs nothing but a timer per task.
type hollow struct {
	name, zone string
	link       link
	machine    *worker.State
	server     *http.Server
	stop       context.CancelFunc
	done       chan struct{}

	serving sync.RWMutex // held while a request is served
	gone    bool         // the cloud took the machine: what is on its way does nothing
}

// runner is what a worker's tasks need; the state of the protocol is worker.State's.
type runner struct {
	name  string
	track *tracker
	fetch time.Duration

	mu     sync.Mutex
	images map[string]bool
}

// Get implements worker.Descriptions: it takes as long as the image's fetch.
func (r *runner) Get(ctx context.Context, uid string) (*taskspec.Spec, error) {
	j := r.track.job(uid)
	if j == nil {
		return nil, taskspec.ErrNotFound
	}
	r.mu.Lock()
	has := r.images[j.Image]
	r.mu.Unlock()
	if !has && r.fetch > 0 {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(r.fetch):
		}
		r.mu.Lock()
		r.images[j.Image] = true
		r.mu.Unlock()
	}
	return &taskspec.Spec{Argv: []string{"hollow"}, CPUs: j.CPUs, MemoryGB: j.MemoryGB}, nil
}

// process is a task that only takes time.
type process struct {
	timer  *time.Timer // nil: until it is stopped
	once   sync.Once
	finish func(completed bool)
}

// Start implements worker.Runner.
func (r *runner) Start(task string, _ uint64, _ *taskspec.Spec, exited func(code int)) (worker.Process, error) {
	run, completed := r.track.started(task, r.name)
	p := &process{finish: func(completed bool) {
		r.track.ended(task, completed)
		if completed {
			go exited(0)
		} else {
			go exited(stoppedCode)
		}
	}}
	switch {
	case completed: // the result is kept
		p.once.Do(func() {})
		go exited(0)
	case run > 0:
		p.timer = time.AfterFunc(run, func() { p.once.Do(func() { p.finish(true) }) })
	}
	return p, nil
}

const stoppedCode = 137

// Stop implements worker.Process; nothing is saved, so it needs no grace.
func (p *process) Stop(time.Duration) {
	if p.timer != nil {
		p.timer.Stop()
	}
	p.once.Do(func() { p.finish(false) })
}

// workers are all machines of the run, in this process. It is the cloud's launcher.
type workers struct {
	settings    *Settings
	track       *tracker
	controllers []worker.Controller
	bytes       map[string]*atomic.Int64 // of reports and their answers, by address
	log         *slog.Logger

	mu     sync.Mutex
	all    map[string]*hollow
	closed bool
}

func (w *workers) reportBytes(addr string) *atomic.Int64 { return w.bytes[addr] }

// Launch implements standin.Launcher.
func (w *workers) Launch(m wire.ListedMachine, t wire.MachineType) (string, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		_ = lis.Close()
		return "", errors.New("the run is ending")
	}
	h := &hollow{name: m.Name, zone: m.Zone, done: make(chan struct{})}
	run := &runner{name: m.Name, track: w.track, fetch: seconds(w.settings.FetchS), images: map[string]bool{}}
	base := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	agent := &worker.Agent{Controllers: w.controllers, ReportEvery: seconds(w.settings.ReportS), Log: w.log,
		Transport: &reports{&h.link, base, w.reportBytes}}
	agent.Machine = worker.New(worker.Ident{Name: m.Name, Endpoint: lis.Addr().String(), Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Size: matching.Resources{CPUs: t.CPUs, MemoryGB: t.MemoryGB}, Lease: seconds(w.settings.LeaseS)}, run, run, agent.Changed, w.log)
	h.machine = agent.Machine
	serve := agent.Handler()
	h.server = &http.Server{ReadHeaderTimeout: 10 * time.Second, Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		<-h.link.mended()
		h.serving.RLock()
		defer h.serving.RUnlock()
		if !h.gone {
			serve.ServeHTTP(rw, r)
		}
	})}
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	go func() { _ = h.server.Serve(&listener{lis, &h.link}) }() // ends with the machine
	go func() {
		defer close(h.done)
		_ = agent.Run(ctx) // ends with the machine
		base.CloseIdleConnections()
	}()
	w.all[m.Name] = h
	return lis.Addr().String(), nil
}

// End implements standin.Launcher: the machine is gone, with all that ran there.
func (w *workers) End(name string) {
	w.mu.Lock()
	h := w.all[name]
	delete(w.all, name)
	w.mu.Unlock()
	if h != nil {
		h.end()
	}
}

func (h *hollow) end() {
	h.stop()
	h.serving.Lock()
	h.gone = true
	h.serving.Unlock()
	_ = h.server.Close() // what it was answering is lost
	h.link.set(false)
	<-h.done
	h.machine.Close()
}

// pick returns the workers that a choice takes, by name.
func (w *workers) pick(choose func(*hollow) bool) map[string]bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	names := map[string]bool{}
	for name, h := range w.all {
		if choose(h) {
			names[name] = true
		}
	}
	return names
}

// cut cuts these workers' links, or mends them.
func (w *workers) cut(names map[string]bool, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name := range names {
		if h := w.all[name]; h != nil {
			h.link.set(cut)
		}
	}
}

// close ends all workers.
func (w *workers) close() {
	w.mu.Lock()
	w.closed = true
	all := w.all
	w.all = map[string]*hollow{}
	w.mu.Unlock()
	var ended sync.WaitGroup
	for _, h := range all {
		ended.Add(1)
		go func() { defer ended.Done(); h.end() }()
	}
	ended.Wait()
}
