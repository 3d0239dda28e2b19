//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// stateService is the key-value store of the pages.
type stateService struct {
	cfg settings
	rec *recorder

	mu       sync.Mutex
	items    map[string]*storedItem
	ledger   uint64
	log      []storedEvent
	changed  chan struct{} // closed and replaced with every change
	permits  map[uint64]*permit
	lastID   uint64
	out      bool // nobody is served
	requests bucket
	writes   bucket
	busy     int // requests answered with 429
	bad      int // requests answered with 400
}

type storedItem struct {
	Path   string          `json:"path"`
	Data   json.RawMessage `json:"data"`
	Stamp  uint64          `json:"stamp"`
	Permit uint64          `json:"permit,omitempty"`
}

type storedEvent struct {
	Set   string          `json:"set,omitempty"`
	Drop  string          `json:"drop,omitempty"`
	Data  json.RawMessage `json:"data,omitempty"`
	Stamp uint64          `json:"stamp"`
}

type permit struct {
	life time.Duration
	ends time.Time
}

// bucket is a rate limit with bursts of one second's worth.
type bucket struct {
	perS, left float64
	at         time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.left = min(b.perS, b.left+now.Sub(b.at).Seconds()*b.perS)
	b.at = now
	if b.left < n {
		return false
	}
	b.left -= n
	return true
}

func newStateService(cfg settings, rec *recorder) *stateService {
	s := &stateService{
		cfg: cfg, rec: rec, items: map[string]*storedItem{}, changed: make(chan struct{}), permits: map[uint64]*permit{},
		requests: bucket{perS: cfg.StateRPS, left: cfg.StateRPS, at: time.Now()}, writes: bucket{perS: cfg.StateWriteRPS, left: cfg.StateWriteRPS, at: time.Now()},
	}
	go s.expire()
	return s
}

// listen serves the controllers and returns the address.
func (s *stateService) listen() string {
	lis := mustListen()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", s.served(s.get))
	mux.HandleFunc("GET /store", s.served(s.list))
	mux.HandleFunc("POST /txn", s.served(s.txn))
	mux.HandleFunc("POST /grants", s.served(s.grant))
	mux.HandleFunc("POST /grants/{id}/touch", s.served(s.touch))
	mux.HandleFunc("DELETE /grants/{id}", s.served(s.end))
	mux.HandleFunc("GET /follow", func(w http.ResponseWriter, r *http.Request) { s.follow(w, r) })
	go func() { _ = http.Serve(lis, mux) }()
	return lis.Addr().String()
}

// outage begins or ends an outage. At its end all leases have their full time again.
func (s *stateService) outage(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.out = on
	if !on {
		for _, p := range s.permits {
			p.ends = time.Now().Add(p.life)
		}
	}
	s.wake()
}

func (s *stateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *stateService) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		if !s.out {
			for id, p := range s.permits {
				if time.Now().After(p.ends) {
					s.endPermit(id)
				}
			}
		}
		s.mu.Unlock()
	}
}

// endPermit removes a lease and its keys.
func (s *stateService) endPermit(id uint64) {
	delete(s.permits, id)
	var keys []string
	for key, item := range s.items {
		if item.Permit == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.ledger++
	for _, key := range keys {
		delete(s.items, key)
		s.record(storedEvent{Drop: key, Stamp: s.ledger})
	}
	s.wake()
}

func (s *stateService) record(e storedEvent) {
	s.log = append(s.log, e)
	if len(s.log) > 10_000 {
		s.log = s.log[len(s.log)-10_000:]
	}
}

// served wraps a handler with the refusals and the limit of requests.
func (s *stateService) served(h func(w http.ResponseWriter, r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * time.Millisecond)
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case s.out:
			reply(w, 503, map[string]any{"error": "trouble"})
		case !s.requests.take(1):
			s.busy++
			reply(w, 429, map[string]any{"error": "too many requests"})
		default:
			h(w, r)
		}
	}
}

func (s *stateService) get(w http.ResponseWriter, r *http.Request) {
	item := s.items[r.PathValue("key")]
	if item == nil {
		reply(w, 404, map[string]any{"ledger": s.ledger})
		return
	}
	reply(w, 200, item)
}

func (s *stateService) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("starts"), r.URL.Query().Get("after")
	limit, _ := strconv.Atoi(r.URL.Query().Get("limit"))
	if limit <= 0 || limit > 1000 {
		limit = 1000
	}
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	rows, size, truncated := []*storedItem{}, 0, false
	for _, key := range keys {
		item := s.items[key]
		if size += len(item.Data) + len(key) + 60; len(rows) == limit || len(rows) > 0 && size > 500<<10 {
			truncated = true
			break
		}
		rows = append(rows, item)
	}
	reply(w, 200, map[string]any{"rows": rows, "truncated": truncated, "ledger": s.ledger})
}

type txnBody struct {
	Guards []struct {
		Path  string `json:"path"`
		Stamp uint64 `json:"stamp"`
	} `json:"guards"`
	Apply []struct {
		Set    string          `json:"set"`
		Drop   string          `json:"drop"`
		Data   json.RawMessage `json:"data"`
		Permit uint64          `json:"permit"`
	} `json:"apply"`
}

func (s *stateService) malformed(w http.ResponseWriter, why string) {
	s.bad++
	s.rec.note("state service refuses a request with 400", "why", why)
	reply(w, 400, map[string]any{"error": why})
}

func (s *stateService) txn(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, 64<<10+1))
	var t txnBody
	switch {
	case err != nil || len(data) > 64<<10:
		s.malformed(w, "over 64 KiB")
		return
	case json.Unmarshal(data, &t) != nil:
		s.malformed(w, "malformed")
		return
	case len(t.Apply) > s.cfg.StateTxnOps || len(t.Guards) > 4*s.cfg.StateTxnOps:
		s.malformed(w, "too many changes or conditions")
		return
	}
	for _, op := range t.Apply {
		key := op.Set + op.Drop
		if key == "" || len(key) > 200 || strings.Contains(key, " ") {
			s.malformed(w, "key")
			return
		}
		if float64(len(op.Data)) > s.cfg.StateValueKB*1024 {
			s.malformed(w, fmt.Sprintf("value of %s has %d bytes, over %v KiB", key, len(op.Data), s.cfg.StateValueKB))
			return
		}
		if op.Set != "" && op.Permit != 0 && s.permits[op.Permit] == nil {
			reply(w, 400, map[string]any{"error": "no such lease"})
			return
		}
	}
	if len(t.Apply) > 0 && !s.writes.take(float64(len(t.Apply))) {
		s.busy++
		reply(w, 429, map[string]any{"error": "too many changes"})
		return
	}
	failed := []string{}
	for _, g := range t.Guards {
		stamp := uint64(0)
		if item := s.items[g.Path]; item != nil {
			stamp = item.Stamp
		}
		if stamp != g.Stamp {
			failed = append(failed, g.Path)
		}
	}
	if len(failed) > 0 {
		reply(w, 409, map[string]any{"failed": failed, "ledger": s.ledger})
		return
	}
	if len(t.Apply) > 0 {
		s.ledger++
		for _, op := range t.Apply {
			if op.Set != "" {
				s.items[op.Set] = &storedItem{Path: op.Set, Data: op.Data, Stamp: s.ledger, Permit: op.Permit}
				s.record(storedEvent{Set: op.Set, Data: op.Data, Stamp: s.ledger})
			} else if s.items[op.Drop] != nil {
				delete(s.items, op.Drop)
				s.record(storedEvent{Drop: op.Drop, Stamp: s.ledger})
			}
		}
		s.wake()
	}
	reply(w, 200, map[string]any{"ledger": s.ledger})
}

func (s *stateService) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		LifeMs int64 `json:"lifeMs"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || body.LifeMs < 100 || body.LifeMs > 600_000 {
		s.malformed(w, "lifeMs")
		return
	}
	s.lastID++
	life := time.Duration(body.LifeMs) * time.Millisecond
	s.permits[s.lastID] = &permit{life: life, ends: time.Now().Add(life)}
	reply(w, 200, map[string]any{"permit": s.lastID})
}

func (s *stateService) touch(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	p := s.permits[id]
	if p == nil {
		reply(w, 404, map[string]any{})
		return
	}
	p.ends = time.Now().Add(p.life)
	reply(w, 200, map[string]any{"permit": id})
}

func (s *stateService) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if s.permits[id] == nil {
		reply(w, 404, map[string]any{})
		return
	}
	s.endPermit(id)
	reply(w, 200, map[string]any{})
}

func (s *stateService) follow(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("starts")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	holdMs, _ := strconv.Atoi(r.URL.Query().Get("holdMs"))
	timeout := time.After(time.Duration(min(holdMs, 60_000)) * time.Millisecond)
	s.mu.Lock()
	if s.out {
		s.mu.Unlock()
		reply(w, 503, map[string]any{"error": "trouble"})
		return
	}
	if !s.requests.take(1) {
		s.busy++
		s.mu.Unlock()
		reply(w, 429, map[string]any{"error": "too many requests"})
		return
	}
	for {
		if !s.out { // open watches stay open through an outage
			if len(s.log) == 10_000 && after+1 < s.log[0].Stamp {
				s.mu.Unlock()
				reply(w, 410, map[string]any{})
				return
			}
			events := []storedEvent{}
			for _, e := range s.log {
				if e.Stamp > after && strings.HasPrefix(e.Set+e.Drop, prefix) {
					events = append(events, e)
				}
			}
			if len(events) > 0 || holdMs == 0 {
				ledger := s.ledger
				s.mu.Unlock()
				reply(w, 200, map[string]any{"ledger": ledger, "log": events})
				return
			}
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
			s.mu.Lock()
		case <-r.Context().Done():
			return
		case <-timeout:
			s.mu.Lock()
			unserved := s.out
			s.mu.Unlock()
			if unserved {
				reply(w, 503, map[string]any{"error": "trouble"})
				return
			}
			reply(w, 200, map[string]any{"ledger": after, "log": []storedEvent{}})
			return
		}
	}
}

// reply writes a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// mustListen opens a free loopback port.
func mustListen() net.Listener {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	return lis
}

// lowPort opens a free loopback port below those that the system gives to outgoing connections, so
// that none of these holds it when a controller that starts (again) wants to listen on it.
func lowPort() net.Listener {
	for range 1000 {
		if lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 12000+rand.IntN(20000))); err == nil {
			return lis
		}
	}
	return mustListen()
}
