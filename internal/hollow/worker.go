package hollow

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/worker"
)

// hollowWorker is a worker whose tasks are only timers.
type hollowWorker struct {
	name, zone  string
	link        link
	state       *worker.State
	server      *http.Server
	stopReports context.CancelFunc // stops the agent that sends reports
	reportsDone chan struct{}      // closed when the agent has stopped

	serving sync.RWMutex // held for reading while a request is served
	deleted bool         // the machine was deleted: held requests have no effect
}

// shutDown ends the worker and its tasks, and waits until they have ended.
func (h *hollowWorker) shutDown() {
	h.stopReports()
	h.serving.Lock()
	h.deleted = true
	h.serving.Unlock()
	_ = h.server.Close() // requests in progress are aborted
	h.link.setCut(false)
	<-h.reportsDone
	h.state.Close()
}

// holdRequests returns a handler that delays requests until the link is connected. After the machine
// was deleted, requests have no effect.
func (h *hollowWorker) holdRequests(agent http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		<-h.link.connected()
		h.serving.RLock()
		defer h.serving.RUnlock()
		if !h.deleted {
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
func (r *runner) Start(task string, _ uint64, _ *taskspec.Spec, exited func(code int)) (worker.Process, error) {
	runTime, completed := r.tasks.TaskStarted(task, r.worker)
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
