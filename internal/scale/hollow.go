package scale

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/worker"
)

// hollowWorker is a worker that runs nothing but a timer per task.
type hollowWorker struct {
	name, zone  string
	link        link
	state       *worker.State
	server      *http.Server
	stopReports context.CancelFunc // ends reports
	reportsDone chan struct{}      // closed when reports have ended

	serving sync.RWMutex // held while a request is served
	deleted bool         // with its machine: requests on their way do nothing
}

// shutDown ends the worker with all that runs there, and waits for it.
func (h *hollowWorker) shutDown() {
	h.stopReports()
	h.serving.Lock()
	h.deleted = true
	h.serving.Unlock()
	_ = h.server.Close() // responses on their way are lost
	h.link.setCut(false)
	<-h.reportsDone
	h.state.Close()
}

// holdRequests returns a handler that holds requests while the link is cut.
func (h *hollowWorker) holdRequests(agent http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-h.link.restored()
		h.serving.RLock()
		defer h.serving.RUnlock()
		if !h.deleted {
			agent.ServeHTTP(w, r)
		}
	})
}

// runner is the source of a worker's descriptions, and what its tasks run on.
type runner struct {
	name  string // of the worker
	track *tracker
	fetch time.Duration // of an image that is not cached

	mu     sync.Mutex
	images map[string]bool // cached
}

// Get implements worker.Descriptions: it takes as long as the image's fetch.
func (r *runner) Get(ctx context.Context, uid string) (*taskspec.Spec, error) {
	job := r.track.job(uid)
	if job == nil {
		return nil, taskspec.ErrNotFound
	}
	r.mu.Lock()
	cached := r.images[job.Image]
	r.mu.Unlock()
	if !cached && r.fetch > 0 {
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(r.fetch):
		}
		r.mu.Lock()
		r.images[job.Image] = true
		r.mu.Unlock()
	}
	return &taskspec.Spec{Argv: []string{"hollow"}, CPUs: job.CPUs, MemoryGB: job.MemoryGB}, nil
}

// process is a task that only takes time.
type process struct {
	timer  *time.Timer // nil: it runs until it is stopped
	once   sync.Once   // it ends once
	finish func(completed bool)
}

// killedExitCode is the exit code of a stopped task, as after SIGKILL.
const killedExitCode = 137

// Start implements worker.Runner.
func (r *runner) Start(task string, _ uint64, _ *taskspec.Spec, exited func(code int)) (worker.Process, error) {
	run, completed := r.track.taskStarted(task, r.name)
	p := &process{finish: func(completed bool) {
		r.track.taskEnded(task, completed)
		code := 0
		if !completed {
			code = killedExitCode
		}
		go exited(code)
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

// Stop implements worker.Process; nothing is saved, so it needs no grace.
func (p *process) Stop(time.Duration) {
	if p.timer != nil {
		p.timer.Stop()
	}
	p.once.Do(func() { p.finish(false) })
}
