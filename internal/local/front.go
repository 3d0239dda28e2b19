package local

import (
	"context"
	"net/http"
	"net/http/httputil"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/wire"
	"github.com/wallrack/wallrack/internal/worker"
)

const (
	probeInterval     = 300 * time.Millisecond
	probeTimeout      = time.Second
	readyPollInterval = 50 * time.Millisecond
)

// LoadBalancer is the load balancer that users come to: it passes requests on to controllers
// that are up, and serves what tasks wrote.
type LoadBalancer struct {
	mux          *http.ServeMux
	dir          string
	controllers  []Controller
	client       *http.Client
	requestCount atomic.Uint64 // counts requests, so that controllers take turns

	mu      sync.Mutex
	healthy []bool // by controller
}

// NewLoadBalancer returns a front to the controllers; what tasks wrote is below dir. Until Watch
// runs, no controller counts as up.
func NewLoadBalancer(controllers []Controller, dir string) *LoadBalancer {
	f := &LoadBalancer{
		mux: http.NewServeMux(), dir: dir, controllers: controllers,
		healthy: make([]bool, len(controllers)), client: &http.Client{Timeout: probeTimeout},
	}
	f.mux.HandleFunc("/", f.proxyRequest)
	f.mux.HandleFunc("GET /logs/{job}/{n}", f.serveLogs)
	return f
}

// ServeHTTP implements http.Handler.
func (f *LoadBalancer) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.mux.ServeHTTP(w, r) }

// healthyControllers returns the controllers that are up.
func (f *LoadBalancer) healthyControllers() []Controller {
	f.mu.Lock()
	defer f.mu.Unlock()
	var up []Controller
	for i, c := range f.controllers {
		if f.healthy[i] {
			up = append(up, c)
		}
	}
	return up
}

// proxyRequest passes a request on to the next controller that is up.
func (f *LoadBalancer) proxyRequest(w http.ResponseWriter, r *http.Request) {
	up := f.healthyControllers()
	if len(up) == 0 {
		writeNoController(w)
		return
	}
	c := up[f.requestCount.Add(1)%uint64(len(up))]
	proxy := httputil.ReverseProxy{
		Rewrite:      func(p *httputil.ProxyRequest) { p.SetURL(&url.URL{Scheme: "http", Host: c.Addr}) },
		ErrorHandler: func(http.ResponseWriter, *http.Request, error) { writeNoController(w) },
	}
	proxy.ServeHTTP(w, r)
}

func writeNoController(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	httpjson.Write(w, http.StatusServiceUnavailable, wire.Problem{Error: "no controller is up"})
}

// RunProbes probes the controllers until ctx ends.
func (f *LoadBalancer) RunProbes(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		var probes sync.WaitGroup
		for i, c := range f.controllers {
			probes.Go(func() {
				up := f.probe(c)
				f.mu.Lock()
				f.healthy[i] = up
				f.mu.Unlock()
			})
		}
		probes.Wait()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// probe reports whether a controller responds, within probeTimeout, that it is up.
func (f *LoadBalancer) probe(c Controller) bool {
	resp, err := f.client.Get("http://" + c.Addr + "/up")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode == http.StatusOK
}

// probeJob is a job of a team that cannot be.
const probeJob = `{"uid":"j-ready-probe","docket":"probe","crew":"\u0001","sort":"sweep","urgency":"low","pieces":1,"cpus":1,"cards":0,"memoryGb":0,` +
	`"kit":"probe","pullGb":0,"builds":null,"yard":null,"together":false,"apart":false,"loaners":false,"reckonS":1,"markS":0,"stashS":0,"dueS":null}`

// AwaitReady waits until a controller that is up knows the machine types and reaches the state
// service, so that a job is sure to be accepted; false: ctx ended before. Watch must run.
func (f *LoadBalancer) AwaitReady(ctx context.Context) bool {
	for ctx.Err() == nil {
		for _, c := range f.healthyControllers() {
			if f.acceptsJobs(c) {
				return true
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(readyPollInterval):
		}
	}
	return false
}

// acceptsJobs reports whether a controller would accept jobs: it refuses probeJob for good
// then, and for now otherwise.
func (f *LoadBalancer) acceptsJobs(c Controller) bool {
	resp, err := f.client.Post("http://"+c.Addr+"/api/jobs", "application/json", strings.NewReader(probeJob))
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode == http.StatusUnprocessableEntity
}

// serveLogs serves what the last attempt of a task wrote, on whatever worker.
func (f *LoadBalancer) serveLogs(w http.ResponseWriter, r *http.Request) {
	task := r.PathValue("job") + "/" + r.PathValue("n")
	if _, _, err := wire.ParseTask(task); err != nil {
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "not a task's name"})
		return
	}
	file := worker.StdoutFile
	if r.URL.Query().Get("stream") == worker.StderrFile {
		file = worker.StderrFile
	}
	pattern := filepath.Join(f.dir, "machines", "*", strings.ReplaceAll(task, "/", ".")+".*", file)
	found, _ := filepath.Glob(pattern) // the pattern is well formed
	last, written := "", time.Time{}
	for _, path := range found {
		if info, err := os.Stat(path); err == nil && info.ModTime().After(written) {
			last, written = path, info.ModTime()
		}
	}
	data, err := os.ReadFile(last)
	if err != nil {
		httpjson.Write(w, http.StatusNotFound, wire.Problem{Error: "nothing was written by " + task + " here"})
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write(data) // who did not get it requests it again
}
