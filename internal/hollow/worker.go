package hollow

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
	"github.com/wallrack/wallrack/internal/worker"
)

// hollowWorker is one process of a worker whose tasks are only timers.
type hollowWorker struct {
	machine     wire.ListedMachine
	machineType wire.MachineType
	addr        string // for direct commands
	link        link
	state       *worker.State
	server      *http.Server
	stopReports context.CancelFunc // stops the agent that sends reports
	reportsDone chan struct{}      // closed when the agent has stopped
	endOnce     sync.Once

	serving sync.RWMutex // held for reading while a request is served
	ended   bool         // the process has ended: held requests have no effect
}

// start starts the worker at an address.
func (h *hollowWorker) start(w *Workers, addr string) error {
	o, m := &w.options, &h.machine
	sessions, err := o.sessions(m.Name)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	h.addr, h.reportsDone = listener.Addr().String(), make(chan struct{})
	base := &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}
	agent := &worker.Agent{
		Controllers: w.controllers, ReportInterval: o.ReportInterval, Log: o.Log,
		Transport: &linkTransport{&h.link, o.wrapTransport(base)},
	}
	id := worker.Identity{
		Name: m.Name, Endpoint: h.addr, Type: m.Type, Zone: m.Zone, Spot: m.Spot,
		Size: matching.Resources{CPUs: h.machineType.CPUs, MemoryGB: h.machineType.MemoryGB}, Lease: o.Lease, Sessions: sessions,
	}
	taskRunner := &runner{worker: m.Name, tasks: o.Tasks, fetchTime: o.FetchTime, cachedImages: map[string]bool{}}
	h.state = worker.New(id, taskRunner, taskRunner, agent.ReportSoon, o.Log)
	agent.State = h.state
	h.server = &http.Server{ReadHeaderTimeout: readHeaderTimeout, Handler: o.wrapHandler(h.addr, h.holdRequests(agent.Handler()))}
	ctx, stop := context.WithCancel(context.Background())
	h.stopReports = stop
	go func() { _ = h.server.Serve(&linkListener{listener, &h.link}) }() // returns when shutDown closes the server
	go func() {
		defer close(h.reportsDone)
		_ = agent.Run(ctx) // returns when shutDown cancels ctx
		base.CloseIdleConnections()
	}()
	return nil
}

// shutDown ends the worker and its tasks, and waits until they have ended. Further calls have no
// effect.
func (h *hollowWorker) shutDown() { h.endOnce.Do(h.end) }

func (h *hollowWorker) end() {
	h.stopReports()
	h.serving.Lock()
	h.ended = true
	h.serving.Unlock()
	_ = h.server.Close() // requests in progress are aborted
	h.link.setCut(false)
	<-h.reportsDone
	h.state.Close()
}

// holdRequests returns a handler that delays requests until the link is connected. After the process
// has ended, requests have no effect.
func (h *hollowWorker) holdRequests(agent http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-h.link.connected()
		h.serving.RLock()
		defer h.serving.RUnlock()
		if !h.ended {
			agent.ServeHTTP(w, r)
		}
	})
}

// runner provides the task descriptions of a hollow worker and runs its tasks.
type runner struct {
	worker    string // name of the worker
	tasks     Tasks
	fetchTime time.Duration // duration of fetching an image that is not cached

	mu           sync.Mutex
	cachedImages map[string]bool // by image name
}

// Get implements worker.Descriptions. If the job's image is not cached, Get takes fetchTime and then
// caches the image.
func (r *runner) Get(ctx context.Context, uid string) (*taskspec.Spec, error) {
	job := r.tasks.Job(uid)
	if job == nil {
		return nil, taskspec.ErrNotFound
	}
	r.mu.Lock()
	cached := r.cachedImages[job.Image]
	r.mu.Unlock()
	if !cached && r.fetchTime > 0 {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(r.fetchTime):
		}
		r.mu.Lock()
		r.cachedImages[job.Image] = true
		r.mu.Unlock()
	}
	return &taskspec.Spec{Argv: []string{"hollow"}, CPUs: job.CPUs, MemoryGB: job.MemoryGB}, nil
}

// process is a task without an operating system process. It lasts until its timer fires or it is
// stopped.
type process struct {
	timer  *time.Timer // nil: the task runs until it is stopped
	once   sync.Once   // ensures that finish is called once
	finish func(completed bool)
}

// killedExitCode is the exit code of a task killed by SIGKILL.
const killedExitCode = 137

// Start implements worker.Runner. A task that completed in an earlier attempt exits at once with
// code 0.
func (r *runner) Start(task string, attempt uint64, _ *taskspec.Spec, exited func(code int)) (worker.Process, error) {
	runTime, completed := r.tasks.TaskStarted(task, attempt, r.worker)
	p := &process{finish: func(completed bool) {
		r.tasks.TaskEnded(task, r.worker, completed)
		code := 0
		if !completed {
			code = killedExitCode
		}
		go exited(code)
	}}
	switch {
	case completed: // the task completed in an earlier attempt
		p.once.Do(func() {})
		go exited(0)
	case runTime > 0:
		p.timer = time.AfterFunc(runTime, func() { p.once.Do(func() { p.finish(true) }) })
	}
	return p, nil
}

// Stop implements worker.Process. It ignores the grace period, since the task has nothing to
// save.
func (p *process) Stop(time.Duration) {
	if p.timer != nil {
		p.timer.Stop()
	}
	p.once.Do(func() { p.finish(false) })
}
