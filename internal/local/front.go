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
	probeEvery  = 300 * time.Millisecond
	probeWithin = time.Second
)

// Front is where users come: it hands requests to controllers that are up, and
// shows what tasks wrote.
type Front struct {
	mux    *http.ServeMux
	dir    string
	nodes  []Controller
	client *http.Client
	turn   atomic.Uint64

	mu sync.Mutex
	up []bool
}

// NewFront returns a front to the controllers; what tasks wrote is below dir.
func NewFront(nodes []Controller, dir string) *Front {
	f := &Front{mux: http.NewServeMux(), dir: dir, nodes: nodes, up: make([]bool, len(nodes)), client: &http.Client{Timeout: probeWithin}}
	f.mux.HandleFunc("/", f.pass)
	f.mux.HandleFunc("GET /logs/{job}/{n}", f.logs)
	return f
}

// pass hands a request to the next controller that is up.
func (f *Front) pass(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	var up []Controller
	for i, n := range f.nodes {
		if f.up[i] {
			up = append(up, n)
		}
	}
	f.mu.Unlock()
	busy := func() {
		w.Header().Set("Retry-After", "1")
		httpjson.Write(w, http.StatusServiceUnavailable, wire.Problem{Error: "no controller is up"})
	}
	if len(up) == 0 {
		busy()
		return
	}
	n := up[f.turn.Add(1)%uint64(len(up))]
	proxy := httputil.ReverseProxy{
		Rewrite:      func(p *httputil.ProxyRequest) { p.SetURL(&url.URL{Scheme: "http", Host: n.Users}) },
		ErrorHandler: func(http.ResponseWriter, *http.Request, error) { busy() },
	}
	proxy.ServeHTTP(w, r)
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) { f.mux.ServeHTTP(w, r) }

// Watch probes the controllers until ctx ends.
func (f *Front) Watch(ctx context.Context) {
	tick := time.NewTicker(probeEvery)
	defer tick.Stop()
	for {
		var wg sync.WaitGroup
		for i, n := range f.nodes {
			wg.Add(1)
			go func() {
				defer wg.Done()
				resp, err := f.client.Get("http://" + n.Users + "/up")
				ok := err == nil && resp.StatusCode == http.StatusOK
				if err == nil {
					_ = resp.Body.Close()
				}
				f.mu.Lock()
				f.up[i] = ok
				f.mu.Unlock()
			}()
		}
		wg.Wait()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Await waits until a controller that is up knows the machine types and reaches
// the state service, so that a job is sure to be taken: a job of a team that
// cannot be is refused for good then, and not for now.
func (f *Front) Await(ctx context.Context) bool {
	const probe = `{"uid":"j-ready-probe","docket":"probe","crew":"\u0001","sort":"sweep","urgency":"low","pieces":1,"cpus":1,"cards":0,"memoryGb":0,` +
		`"kit":"probe","pullGb":0,"builds":null,"yard":null,"together":false,"apart":false,"loaners":false,"reckonS":1,"markS":0,"stashS":0,"dueS":null}`
	for ctx.Err() == nil {
		f.mu.Lock()
		up := append([]bool(nil), f.up...)
		f.mu.Unlock()
		for i, n := range f.nodes {
			if !up[i] {
				continue
			}
			resp, err := f.client.Post("http://"+n.Users+"/api/jobs", "application/json", strings.NewReader(probe))
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusUnprocessableEntity {
				return true
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
	return false
}

// logs shows what the last attempt of a task wrote, on whatever machine.
func (f *Front) logs(w http.ResponseWriter, r *http.Request) {
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
	last, at := "", time.Time{}
	for _, p := range found {
		if info, err := os.Stat(p); err == nil && info.ModTime().After(at) {
			last, at = p, info.ModTime()
		}
	}
	data, err := os.ReadFile(last)
	if err != nil {
		httpjson.Write(w, http.StatusNotFound, wire.Problem{Error: "nothing was written by " + task + " here"})
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	_, _ = w.Write(data) // the reader asks again
}
