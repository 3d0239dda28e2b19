//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// machineType is an entry of the cloud's price list.
type machineType struct {
	SKU         string   `json:"sku"`
	CPUs        float64  `json:"cpus"`
	Cards       float64  `json:"cards"`
	MemoryGB    float64  `json:"memoryGb"`
	CacheGB     float64  `json:"cacheGb"`
	FetchGBPerS float64  `json:"fetchGbPerS"`
	Price       float64  `json:"price"`
	MarketPrice float64  `json:"marketPrice"`
	ReadyS      float64  `json:"readyS"`
	Yards       []string `json:"yards"`
}

// cloud rents machines. A machine that is up is a worker.
type cloud struct {
	cfg  settings
	rec  *recorder
	site *site

	mu       sync.Mutex
	types    []machineType
	room     int // machines that may exist at once
	machines map[string]*machine
	hires    map[string][]string
	last     int
	out      bool
}

type machine struct {
	name, build, yard string
	loaners           bool
	rented            time.Time
	up                time.Time // zero: booting
	gone              time.Time // zero: exists
	worker            *worker
}

func newCloud(cfg settings, rec *recorder, s *site, types []machineType, room int) *cloud {
	return &cloud{cfg: cfg, rec: rec, site: s, types: types, room: room, machines: map[string]*machine{}, hires: map[string][]string{}}
}

func (c *cloud) listen() string {
	lis := mustListen()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /machine_types", c.served(func(w http.ResponseWriter, _ *http.Request) { reply(w, 200, map[string]any{"builds": c.types}) }))
	mux.HandleFunc("POST /hosts", c.served(c.hire))
	mux.HandleFunc("POST /hosts/release", c.served(c.release))
	mux.HandleFunc("GET /hosts", c.served(c.list))
	go func() { _ = http.Serve(lis, mux) }()
	return lis.Addr().String()
}

func (c *cloud) served(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(50 * time.Millisecond)
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.out {
			reply(w, 503, map[string]any{"error": "trouble"})
			return
		}
		h(w, r)
	}
}

// existing counts the machines that exist.
func (c *cloud) existing() (n int) {
	for _, m := range c.machines {
		if m.gone.IsZero() {
			n++
		}
	}
	return n
}

func (c *cloud) typeOf(sku string) *machineType {
	for i := range c.types {
		if c.types[i].SKU == sku {
			return &c.types[i]
		}
	}
	return nil
}

func (c *cloud) hire(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Hire    string `json:"hire"`
		Build   string `json:"build"`
		Yard    string `json:"yard"`
		Loaners bool   `json:"loaners"`
		Number  int    `json:"number"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.Hire == "" || body.Number < 1 || body.Number > 50 || c.typeOf(body.Build) == nil {
		reply(w, 400, map[string]any{"error": "malformed"})
		return
	}
	if names, again := c.hires[body.Hire]; again {
		reply(w, 200, map[string]any{"benches": names})
		return
	}
	n := min(body.Number, c.room-c.existing())
	if n <= 0 {
		reply(w, 503, map[string]any{"error": "no capacity"})
		return
	}
	names := []string{}
	for range n {
		names = append(names, c.rent(body.Build, body.Yard, body.Loaners))
	}
	c.hires[body.Hire] = names
	c.rec.note("cloud rents", "hire", body.Hire, "machines", names, "build", body.Build, "yard", body.Yard, "loaners", body.Loaners)
	reply(w, 200, map[string]any{"benches": names})
}

// rent adds a machine, which boots.
func (c *cloud) rent(build, yard string, loaners bool) string {
	c.last++
	m := &machine{name: fmt.Sprintf("n-%06d", c.last), build: build, yard: yard, loaners: loaners, rented: time.Now()}
	c.machines[m.name] = m
	boot := time.Duration(c.typeOf(build).ReadyS * float64(time.Second))
	time.AfterFunc(boot, func() { c.boot(m) })
	return m.name
}

func (c *cloud) boot(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !m.gone.IsZero() {
		return
	}
	m.up = time.Now()
	m.worker = newWorker(c.site, m.name, *c.typeOf(m.build), m.yard, m.loaners)
	c.rec.note("machine is up", "machine", m.name)
}

func (c *cloud) release(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Benches []string `json:"benches"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Benches) > 100 {
		reply(w, 400, map[string]any{"error": "malformed"})
		return
	}
	for _, name := range body.Benches {
		if m := c.machines[name]; m != nil && (m.gone.IsZero() || m.gone.After(time.Now())) {
			c.rec.note("machine is returned", "machine", name)
			m.gone = time.Now()
			if m.worker != nil {
				m.worker.remove("returned")
			}
		}
	}
	reply(w, 200, map[string]any{})
}

// list gives the machines as they were cloud.list_lag_s ago.
func (c *cloud) list(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("after")
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	at := time.Now().Add(-time.Duration(c.cfg.CloudListLagS * float64(time.Second)))
	var names []string
	for name := range c.machines {
		names = append(names, name)
	}
	sort.Strings(names)
	rows, truncated := []map[string]any{}, false
	for _, name := range names {
		m := c.machines[name]
		if name <= after || m.rented.After(at) || !m.gone.IsZero() && !m.gone.After(at) {
			continue
		}
		if len(rows) == limit {
			truncated = true
			break
		}
		stage, endpoint := "booting", ""
		if !m.up.IsZero() && !m.up.After(at) {
			stage, endpoint = "running", m.worker.endpoint
		}
		rows = append(rows, map[string]any{"uid": name, "endpoint": endpoint, "build": m.build, "yard": m.yard, "loaners": m.loaners, "stage": stage, "ageS": at.Sub(m.rented).Seconds()})
	}
	reply(w, 200, map[string]any{"benches": rows, "truncated": truncated})
}

// add adds a machine that was rented long ago and is up.
func (c *cloud) add(build, yard string, loaners bool, age time.Duration) *machine {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	began := time.Now().Add(-age)
	m := &machine{name: fmt.Sprintf("n-%06d", c.last), build: build, yard: yard, loaners: loaners, rented: began, up: began}
	m.worker = newWorker(c.site, m.name, *c.typeOf(build), yard, loaners)
	c.machines[m.name] = m
	c.rec.note("machine is up from the start", "machine", m.name)
	return m
}

// up returns the machines that are up.
func (c *cloud) upMachines() (up []*machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.worker != nil && m.gone.IsZero() && !m.worker.isRemoved() {
			up = append(up, m)
		}
	}
	sort.Slice(up, func(i, j int) bool { return up[i].name < up[j].name })
	return up
}

// take takes a cheap machine back without notice. It stays listed as running for 30 s.
func (c *cloud) take(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.machines[name]
	c.rec.note("machine is taken without notice", "machine", name, "yard", m.yard)
	m.gone = time.Now().Add(30 * time.Second)
	m.worker.remove("taken")
}
