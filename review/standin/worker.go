//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxBody is the largest body of a request.
const maxBody = 64 << 10

// worker is a machine's worker, as the pages describe it.
type worker struct {
	site     *site
	name     string
	kind     machineType
	yard     string
	loaners  bool
	endpoint string
	server   *http.Server

	mu      sync.Mutex
	stint   uint64
	tally   uint64
	baton   uint64
	renewed time.Time // when the last answered report was sent
	pieces  map[pieceKey]*piece
	images  map[string]bool
	removed bool
	wake    chan struct{}
}

type pieceKey struct {
	piece string
	try   uint64
}

// piece is one attempt of a task on the machine.
type piece struct {
	Piece  string `json:"piece"`
	Try    uint64 `json:"try"`
	Stage  string `json:"stage"`
	Cause  string `json:"cause,omitempty"`
	Stored bool   `json:"stored,omitempty"`

	job   *jobSpec
	gen   int // changes with each stage, so that late timers are ignored
	began time.Time
}

func newWorker(s *site, name string, kind machineType, yard string, loaners bool) *worker {
	w := &worker{
		site: s, name: name, kind: kind, yard: yard, loaners: loaners, stint: 1, renewed: time.Now(),
		pieces: map[pieceKey]*piece{}, images: map[string]bool{}, wake: make(chan struct{}, 1),
	}
	s.mu.Lock()
	s.zoneOf[name] = yard
	s.mu.Unlock()
	lis := mustListen()
	w.endpoint = lis.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", w.orders)
	mux.HandleFunc("GET /show", func(rw http.ResponseWriter, _ *http.Request) {
		reply(rw, 200, w.report())
	})
	w.server = &http.Server{Handler: mux}
	go func() { _ = w.server.Serve(lis) }()
	go w.run()
	go w.leases()
	return w
}

// remove ends the machine with everything on it.
func (w *worker) remove(why string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.removed = true
	for key, p := range w.pieces {
		w.leave(p, why)
		delete(w.pieces, key)
	}
	go func() { _ = w.server.Close() }()
}

type reportBody struct {
	Bench    string   `json:"bench"`
	Endpoint string   `json:"endpoint"`
	Build    string   `json:"build"`
	Yard     string   `json:"yard"`
	Loaners  bool     `json:"loaners"`
	Stint    uint64   `json:"stint"`
	Tally    uint64   `json:"tally"`
	Baton    uint64   `json:"baton"`
	WarningS *float64 `json:"warningS"`
	Pieces   []piece  `json:"pieces"`
}

func (w *worker) report() reportBody {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	w.tally++
	body := reportBody{
		Bench: w.name, Endpoint: w.endpoint, Build: w.kind.SKU, Yard: w.yard, Loaners: w.loaners,
		Stint: w.stint, Tally: w.tally, Baton: w.baton, Pieces: []piece{},
	}
	for _, p := range w.pieces {
		body.Pieces = append(body.Pieces, *p)
	}
	return body
}

// expire kills and forgets all tasks and begins the next session if the lease has ended.
func (w *worker) expire() {
	if w.removed || time.Since(w.renewed).Seconds() <= w.site.cfg.LeaseS {
		return
	}
	w.site.rec.note("lease of a worker ends", "machine", w.name, "stint", w.stint, "tasks", len(w.pieces))
	w.site.leasesEnded.Add(1)
	for key, p := range w.pieces {
		w.leave(p, "lease ended")
		delete(w.pieces, key)
	}
	w.stint++
	w.renewed = time.Now()
	w.changed()
}

// leave records that a task is no longer on the machine.
func (w *worker) leave(p *piece, why string) {
	p.gen++
	if p.Stage == "running" || p.Stage == "saving" {
		w.site.left(w, p, why)
	}
}

func (w *worker) changed() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *worker) leases() {
	for range time.Tick(50 * time.Millisecond) {
		w.mu.Lock()
		w.expire()
		removed := w.removed
		w.mu.Unlock()
		if removed {
			return
		}
	}
}

// run reports to one controller at a time.
func (w *worker) run() {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 4 * time.Second}
	current := rand.IntN(len(w.site.nodes))
	for {
		if w.isRemoved() {
			return
		}
		sent := time.Now()
		next, wait := w.send(client, current)
		if next != current {
			client.CloseIdleConnections()
			current = next
		}
		early := w.wake
		if wait == 0 {
			wait = time.Duration((0.75 + 0.5*rand.Float64()) * w.site.cfg.ReportS * float64(time.Second))
		} else {
			early = nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-early:
			time.Sleep(time.Until(sent.Add(500 * time.Millisecond)))
		}
		timer.Stop()
	}
}

func (w *worker) isRemoved() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.removed
}

// send sends one report and returns the controller for the next one, and the pause before it; 0
// is the usual one.
func (w *worker) send(client *http.Client, current int) (next int, wait time.Duration) {
	other := (current + 1) % len(w.site.nodes)
	body := w.report()
	data, _ := json.Marshal(body)
	if len(data) > maxBody {
		w.site.rec.note("report would be over 64 KiB and is not sent", "machine", w.name, "bytes", len(data), "tasks", len(body.Pieces))
		return other, time.Second
	}
	sent := time.Now()
	req, _ := http.NewRequestWithContext(context.Background(), "POST", "http://"+w.site.nodes[current].serve+"/v1/report", bytes.NewReader(data))
	resp, err := client.Do(req)
	if err != nil {
		return other, time.Second
	}
	answer, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	if err != nil || time.Since(sent) > 4*time.Second {
		return other, time.Second
	}
	switch resp.StatusCode {
	case 200:
		var orders ordersBody
		if json.Unmarshal(answer, &orders) == nil {
			w.answered(sent, body.Stint, orders)
		}
		return current, 0
	case 421:
		var to struct {
			Foreman string `json:"foreman"`
		}
		_ = json.Unmarshal(answer, &to)
		for i, n := range w.site.nodes {
			if n.name == to.Foreman && i != current {
				return i, time.Duration(1 + rand.IntN(int(500*time.Millisecond)))
			}
		}
	default:
		w.site.rec.note("report is refused", "machine", w.name, "node", w.site.nodes[current].name, "status", resp.StatusCode, "bytes", len(data), "tasks", len(body.Pieces), "answer", strings.TrimSpace(string(answer)))
	}
	return other, time.Second
}

type order struct {
	Verb    string  `json:"verb"`
	Piece   string  `json:"piece"`
	Try     uint64  `json:"try"`
	WindupS float64 `json:"windupS"`
}

type ordersBody struct {
	Baton  *uint64 `json:"baton"`
	Stint  *uint64 `json:"stint"`
	Orders []order `json:"orders"`
}

// answered applies the response to a report.
func (w *worker) answered(sent time.Time, stint uint64, body ordersBody) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.expire()
	if body.Baton == nil || *body.Baton < w.baton || stint != w.stint || w.removed {
		return
	}
	if *body.Baton > w.baton {
		w.changed()
	}
	w.baton, w.renewed = *body.Baton, sent
	w.execute(body.Orders)
}

// orders serves direct commands.
func (w *worker) orders(rw http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	var body ordersBody
	if err != nil || len(data) > maxBody || json.Unmarshal(data, &body) != nil || body.Baton == nil || body.Stint == nil {
		reply(rw, 400, map[string]any{"error": "malformed"})
		return
	}
	w.mu.Lock()
	w.expire()
	status := 409
	if *body.Baton >= w.baton && *body.Stint == w.stint && !w.removed {
		status, w.baton = 200, *body.Baton
		w.execute(body.Orders)
	}
	w.mu.Unlock()
	reply(rw, status, w.report())
}

func (w *worker) execute(orders []order) {
	for _, o := range orders {
		key := pieceKey{o.Piece, o.Try}
		p := w.pieces[key]
		switch {
		case o.Verb == "launch" && p == nil:
			w.launch(key)
		case o.Verb == "halt" && p != nil && p.Stage != "exited":
			w.halt(p, o.WindupS)
		case o.Verb == "clear" && p != nil && p.Stage == "exited":
			delete(w.pieces, key)
		default:
			continue
		}
		w.changed()
	}
}

func (w *worker) exit(p *piece, cause string) {
	w.leave(p, cause)
	p.Stage, p.Cause = "exited", cause
	w.changed()
}

func (w *worker) launch(key pieceKey) {
	uid, number, _ := strings.Cut(key.piece, "/")
	n, err := strconv.Atoi(number)
	job := w.site.job(uid)
	p := &piece{Piece: key.piece, Try: key.try, Stage: "fetching", job: job}
	w.pieces[key] = p
	if job == nil || err != nil || n < 0 || n >= job.Pieces {
		w.exit(p, "no_such")
		return
	}
	cpus, memory := job.CPUs, job.MemoryGB
	for k, other := range w.pieces {
		if other == p || other.Stage == "exited" {
			continue
		}
		if k.piece == key.piece {
			w.exit(p, "in_use")
			return
		}
		cpus, memory = cpus+other.job.CPUs, memory+other.job.MemoryGB
	}
	if cpus > w.kind.CPUs+1e-6 || memory > w.kind.MemoryGB+1e-6 {
		w.exit(p, "no_room")
		return
	}
	fetch := time.Duration(0)
	if !w.images[job.Kit] {
		fetch = time.Duration(job.PullGB / w.kind.FetchGBPerS * float64(time.Second))
	}
	w.after(p, fetch, func() {
		w.images[job.Kit] = true
		w.site.started(w, p)
		p.Stage, p.began = "running", time.Now()
		w.changed()
		if w.site.isDone(p.Piece) {
			w.exit(p, "done")
			return
		}
		if run := job.runS; run > 0 {
			w.after(p, time.Duration(run*float64(time.Second)), func() {
				w.site.completed(p.Piece)
				w.exit(p, "done")
			})
		}
	})
}

// after calls f with the lock held when the piece has stayed in its stage for a time.
func (w *worker) after(p *piece, d time.Duration, f func()) {
	p.gen++
	gen := p.gen
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expire()
		if p.gen == gen && !w.removed {
			f()
		}
	})
}

func (w *worker) halt(p *piece, windupS float64) {
	if p.Stage == "running" && p.job.MarkS > 0 && windupS >= p.job.StashS && windupS > 0 {
		p.Stage = "saving"
		w.after(p, time.Duration(p.job.StashS*float64(time.Second)), func() { p.Stored = true; w.exit(p, "halted") })
		return
	}
	if p.Stage == "saving" && windupS > 0 {
		return
	}
	w.exit(p, "halted")
}
