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
	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/wire"
	"github.com/wallrack/wallrack/internal/worker"
)

const (
	probeInterval     = 300 * time.Millisecond
	probeTimeout      = time.Second
	readyPollInterval = 50 * time.Millisecond
)

// LoadBalancer forwards users' requests to healthy controllers, and serves the output of tasks.
type LoadBalancer struct {
	mux          *http.ServeMux
	dir          string
	controllers  []Controller
	client       *http.Client
	requestCount atomic.Uint64 // used to choose the healthy controllers in turn

	mu      sync.Mutex
	healthy []bool // by controller index
}

// NewLoadBalancer returns a load balancer for the controllers. It also serves the output of tasks,
// which is stored below dir. Until RunProbes runs, all controllers count as unhealthy.
func NewLoadBalancer(controllers []Controller, dir string) *LoadBalancer {
	lb := &LoadBalancer{
		mux: http.NewServeMux(), dir: dir, controllers: controllers,
		healthy: make([]bool, len(controllers)), client: &http.Client{Timeout: probeTimeout},
	}
	lb.mux.HandleFunc("/", lb.proxyRequest)
	lb.mux.HandleFunc("GET /logs/{job}/{n}", lb.serveLogs)
	return lb
}

// ServeHTTP implements http.Handler.
func (lb *LoadBalancer) ServeHTTP(w http.ResponseWriter, r *http.Request) { lb.mux.ServeHTTP(w, r) }

// healthyControllers returns the controllers whose last probe succeeded.
func (lb *LoadBalancer) healthyControllers() []Controller {
	lb.mu.Lock()
	defer lb.mu.Unlock()
	var healthy []Controller
	for i, c := range lb.controllers {
		if lb.healthy[i] {
			healthy = append(healthy, c)
		}
	}
	return healthy
}

// proxyRequest forwards a request to the next healthy controller. If there is none, or forwarding
// fails, it responds with status 503.
func (lb *LoadBalancer) proxyRequest(w http.ResponseWriter, r *http.Request) {
	healthy := lb.healthyControllers()
	if len(healthy) == 0 {
		writeNoController(w)
		return
	}
	c := healthy[lb.requestCount.Add(1)%uint64(len(healthy))]
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
func (lb *LoadBalancer) RunProbes(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		var probes sync.WaitGroup
		for i, c := range lb.controllers {
			probes.Go(func() {
				healthy := lb.probe(c)
				lb.mu.Lock()
				lb.healthy[i] = healthy
				lb.mu.Unlock()
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

// probe reports whether a controller responds with status 200 within probeTimeout.
func (lb *LoadBalancer) probe(c Controller) bool {
	resp, err := lb.client.Get("http://" + c.Addr + "/up")
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode == http.StatusOK
}

// probeJob is a job with an invalid team name.
const probeJob = `{"uid":"j-ready-probe","docket":"probe","crew":"\u0001","sort":"sweep","urgency":"low","pieces":1,"cpus":1,"cards":0,"memoryGb":0,` +
	`"kit":"probe","pullGb":0,"builds":null,"yard":null,"together":false,"apart":false,"loaners":false,"reckonS":1,"markS":0,"stashS":0,"dueS":null}`

// AwaitReady waits until a healthy controller knows the machine types and reaches the state
// service, so that jobs will be accepted. It returns false if ctx ends first. RunProbes must be
// running.
func (lb *LoadBalancer) AwaitReady(ctx context.Context) bool {
	for ctx.Err() == nil {
		for _, c := range lb.healthyControllers() {
			if lb.acceptsJobs(c) {
				return true
			}
		}
		periodic.Sleep(ctx, readyPollInterval)
	}
	return false
}

// acceptsJobs reports whether a controller would accept a valid job. Such a controller rejects
// probeJob permanently (status 422); any other rejects it temporarily.
func (lb *LoadBalancer) acceptsJobs(c Controller) bool {
	resp, err := lb.client.Post("http://"+c.Addr+"/api/jobs", "application/json", strings.NewReader(probeJob))
	if err != nil {
		return false
	}
	_ = resp.Body.Close() // only the status counts
	return resp.StatusCode == http.StatusUnprocessableEntity
}

// serveLogs serves the standard output of a task, or its standard error if the parameter stream
// names it. If several attempts ran, on any workers, it serves the file that was written last.
func (lb *LoadBalancer) serveLogs(w http.ResponseWriter, r *http.Request) {
	task := r.PathValue("job") + "/" + r.PathValue("n")
	if _, _, err := wire.ParseTask(task); err != nil {
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "not a task's name"})
		return
	}
	file := worker.StdoutFile
	if r.URL.Query().Get("stream") == worker.StderrFile {
		file = worker.StderrFile
	}
	pattern := filepath.Join(lb.dir, "machines", "*", strings.ReplaceAll(task, "/", ".")+".*", file)
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
	_, _ = w.Write(data) // after a failed write the client may retry
}
