// Package standin stands in for the services around a site, by their protocol,
// for a whole site on one machine: the state service, with its records on disk,
// and the cloud.
package standin

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/goccy/go-json"
	"go.etcd.io/bbolt"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	keepChanges  = 10_000    // that a watch may be behind
	maxItems     = 1000      // in a listing
	maxListBytes = 512 << 10 // of a listing
	maxTxnBytes  = 64 << 10
	maxHold      = time.Minute
	leaseSweep   = 50 * time.Millisecond
)

var (
	itemsBucket  = []byte("items")
	leasesBucket = []byte("leases")
	metaBucket   = []byte("meta")
	revKey       = []byte("revision")
	nextLeaseKey = []byte("next-lease")
)

type item struct {
	Value   json.RawMessage `json:"v"`
	Version uint64          `json:"s"`
	Lease   uint64          `json:"l,omitempty"`
}

type lease struct {
	life time.Duration
	ends time.Time
}

// State is the state service. What it answers as done is on disk.
type State struct {
	db     *bbolt.DB
	txnOps int
	valueB int

	mu      sync.Mutex
	items   map[string]item
	keys    []string // sorted
	leases  map[uint64]*lease
	rev     uint64
	next    uint64
	events  []wire.Event
	changed chan struct{} // closed at every change
}

// OpenState reads what db holds. All leases get their full time again, as after
// an outage. Without a db the records are in memory alone.
func OpenState(db *bbolt.DB, txnOps int, valueKB float64) (*State, error) {
	s := &State{db: db, txnOps: txnOps, valueB: int(valueKB * 1024), items: map[string]item{}, leases: map[uint64]*lease{}, changed: make(chan struct{})}
	err := update(db, func(tx *bbolt.Tx) error {
		for _, b := range [][]byte{itemsBucket, leasesBucket, metaBucket} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		meta := tx.Bucket(metaBucket)
		s.rev, s.next = number(meta.Get(revKey)), number(meta.Get(nextLeaseKey))
		if err := tx.Bucket(leasesBucket).ForEach(func(k, v []byte) error {
			life := time.Duration(number(v)) * time.Millisecond
			s.leases[number(k)] = &lease{life, time.Now().Add(life)}
			return nil
		}); err != nil {
			return err
		}
		return tx.Bucket(itemsBucket).ForEach(func(k, v []byte) error {
			var it item
			if err := json.Unmarshal(v, &it); err != nil {
				return fmt.Errorf("record %s: %w", k, err)
			}
			s.items[string(k)] = it
			s.keys = append(s.keys, string(k))
			return nil
		})
	})
	if err != nil {
		return nil, fmt.Errorf("state records: %w", err)
	}
	return s, nil
}

// update makes a change of the records durable, if they are on disk.
func update(db *bbolt.DB, change func(*bbolt.Tx) error) error {
	if db == nil {
		return nil
	}
	return db.Update(change)
}

func number(b []byte) uint64 {
	n, _ := strconv.ParseUint(string(b), 10, 64) // absent is 0, and only numbers are written
	return n
}

func digits(n uint64) []byte { return strconv.AppendUint(nil, n, 10) }

// Sweep ends leases that nobody renewed, until stop is closed.
func (s *State) Sweep(stop <-chan struct{}) {
	tick := time.NewTicker(leaseSweep)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.ends) {
				_ = s.endLocked(id) // tried again at the next tick
			}
		}
		s.mu.Unlock()
	}
}

// endLocked ends a lease and drops the keys attached to it.
func (s *State) endLocked(id uint64) error {
	var drops []wire.Op
	for _, k := range s.keys {
		if s.items[k].Lease == id {
			drops = append(drops, wire.Op{Delete: k})
		}
	}
	if err := s.writeLocked(drops, func(tx *bbolt.Tx) error { return tx.Bucket(leasesBucket).Delete(digits(id)) }); err != nil {
		return err
	}
	delete(s.leases, id)
	return nil
}

// writeLocked makes changes durable, then visible.
func (s *State) writeLocked(ops []wire.Op, also func(*bbolt.Tx) error) error {
	rev := s.rev
	if len(ops) > 0 {
		rev++
	}
	values := make([]json.RawMessage, len(ops))
	for i, op := range ops {
		if op.Delete != "" {
			continue
		}
		var err error
		if values[i], err = json.Marshal(op.Value); err != nil {
			return err
		}
	}
	err := update(s.db, func(tx *bbolt.Tx) error {
		b := tx.Bucket(itemsBucket)
		for i, op := range ops {
			if op.Delete != "" {
				if err := b.Delete([]byte(op.Delete)); err != nil {
					return err
				}
				continue
			}
			rec, err := json.Marshal(item{values[i], rev, op.Lease})
			if err != nil {
				return err
			}
			if err := b.Put([]byte(op.Put), rec); err != nil {
				return err
			}
		}
		if also != nil {
			if err := also(tx); err != nil {
				return err
			}
		}
		return tx.Bucket(metaBucket).Put(revKey, digits(rev))
	})
	if err != nil {
		return err
	}
	s.rev = rev
	for i, op := range ops {
		key := op.Put + op.Delete
		at, there := slices.BinarySearch(s.keys, key)
		if op.Delete != "" {
			if there {
				s.keys = slices.Delete(s.keys, at, at+1)
				delete(s.items, key)
				s.events = append(s.events, wire.Event{Delete: key, Version: rev})
			}
			continue
		}
		if !there {
			s.keys = slices.Insert(s.keys, at, key)
		}
		s.items[key] = item{values[i], rev, op.Lease}
		s.events = append(s.events, wire.Event{Put: key, Value: values[i], Version: rev})
	}
	if over := len(s.events) - keepChanges; over > 0 {
		s.events = slices.Delete(s.events, 0, over)
	}
	if len(ops) > 0 {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return nil
}

// Handler serves the protocol.
func (s *State) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		key := r.PathValue("key")
		it, ok := s.items[key]
		rev := s.rev
		s.mu.Unlock()
		if !ok {
			httpjson.Write(w, http.StatusNotFound, wire.TxnAnswer{Revision: rev})
			return
		}
		httpjson.Write(w, http.StatusOK, wire.Item{Key: key, Value: it.Value, Version: it.Version, Lease: it.Lease})
	})
	mux.HandleFunc("GET /store", s.list)
	mux.HandleFunc("POST /txn", s.txn)
	mux.HandleFunc("POST /grants", func(w http.ResponseWriter, r *http.Request) {
		var req wire.LeaseRequest
		if !read(w, r, &req) {
			return
		}
		if req.TTLMs < 100 || req.TTLMs > 600_000 {
			httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "lifeMs: out of range"})
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		life := time.Duration(req.TTLMs) * time.Millisecond
		id := s.next + 1
		if err := s.writeLocked(nil, func(tx *bbolt.Tx) error {
			if err := tx.Bucket(metaBucket).Put(nextLeaseKey, digits(id)); err != nil {
				return err
			}
			return tx.Bucket(leasesBucket).Put(digits(id), digits(uint64(req.TTLMs)))
		}); err != nil {
			httpjson.Write(w, http.StatusServiceUnavailable, wire.Problem{Error: err.Error()})
			return
		}
		s.next, s.leases[id] = id, &lease{life, time.Now().Add(life)}
		httpjson.Write(w, http.StatusOK, wire.LeaseAnswer{Lease: id})
	})
	mux.HandleFunc("POST /grants/{id}/touch", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[number([]byte(r.PathValue("id")))]
		if l == nil {
			httpjson.Write(w, http.StatusNotFound, wire.Problem{Error: "no such lease"})
			return
		}
		l.ends = time.Now().Add(l.life)
		httpjson.Write(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("DELETE /grants/{id}", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		id := number([]byte(r.PathValue("id")))
		if s.leases[id] == nil {
			httpjson.Write(w, http.StatusNotFound, wire.Problem{Error: "no such lease"})
			return
		}
		if err := s.endLocked(id); err != nil {
			httpjson.Write(w, http.StatusServiceUnavailable, wire.Problem{Error: err.Error()})
			return
		}
		httpjson.Write(w, http.StatusOK, struct{}{})
	})
	mux.HandleFunc("GET /follow", s.follow)
	return mux
}

func (s *State) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > maxItems {
		limit = maxItems
	}
	prefix, after := q.Get("starts"), q.Get("after")
	s.mu.Lock()
	out := wire.Items{Items: []wire.Item{}, Revision: s.rev}
	from := max(prefix, after)
	size := 0
	for i := sort.SearchStrings(s.keys, from); i < len(s.keys); i++ {
		k := s.keys[i]
		if !strings.HasPrefix(k, prefix) {
			if k > prefix {
				break
			}
			continue
		}
		if after != "" && k <= after {
			continue
		}
		it := s.items[k]
		if len(out.Items) == limit || size+len(it.Value)+len(k)+64 > maxListBytes && size > 0 {
			out.More = true
			break
		}
		size += len(it.Value) + len(k) + 64
		out.Items = append(out.Items, wire.Item{Key: k, Value: it.Value, Version: it.Version, Lease: it.Lease})
	}
	s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, out)
}

// checkTxn says what is malformed about a transaction.
func (s *State) checkTxn(t *wire.Txn) error {
	if len(t.Then) > s.txnOps || len(t.If) > 4*s.txnOps {
		return errors.New("too many conditions or changes")
	}
	key := func(k string) bool { return k != "" && len(k) <= 200 && !strings.ContainsAny(k, " ") }
	for _, g := range t.If {
		if !key(g.Key) {
			return fmt.Errorf("key %.40q", g.Key)
		}
	}
	for i := range t.Then {
		op := &t.Then[i]
		if (op.Put == "") == (op.Delete == "") || !key(op.Put+op.Delete) {
			return fmt.Errorf("change %d names no key, or two", i)
		}
		if data, err := json.Marshal(op.Value); err != nil || len(data) > s.valueB {
			return fmt.Errorf("value of %.40q is too large", op.Put)
		}
	}
	return nil
}

func (s *State) txn(w http.ResponseWriter, r *http.Request) {
	var t wire.Txn
	if !read(w, r, &t) {
		return
	}
	if err := s.checkTxn(&t); err != nil {
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: err.Error()})
		return
	}
	if !mayWrite(r.Context(), len(t.Then)) {
		overBudget(w)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range t.Then {
		if op.Lease == 0 {
			continue
		}
		if l := s.leases[op.Lease]; l == nil {
			httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "no such lease"})
			return
		}
	}
	var failed []string
	for _, g := range t.If {
		if s.items[g.Key].Version != g.Version {
			failed = append(failed, g.Key)
		}
	}
	if len(failed) > 0 {
		httpjson.Write(w, http.StatusConflict, wire.TxnAnswer{Failed: failed, Revision: s.rev})
		return
	}
	if err := s.writeLocked(t.Then, nil); err != nil {
		httpjson.Write(w, http.StatusServiceUnavailable, wire.Problem{Error: err.Error()})
		return
	}
	httpjson.Write(w, http.StatusOK, wire.TxnAnswer{Revision: s.rev})
}

func (s *State) follow(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	prefix := q.Get("starts")
	after := number([]byte(q.Get("after")))
	hold := min(maxHold, time.Duration(number([]byte(q.Get("holdMs"))))*time.Millisecond)
	timeout := time.NewTimer(hold)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		oldest := s.rev // a watch from here on misses nothing
		if len(s.events) > 0 {
			oldest = s.events[0].Version - 1
		}
		if after < oldest {
			s.mu.Unlock()
			httpjson.Write(w, http.StatusGone, wire.Problem{Error: "too old"})
			return
		}
		out := wire.Events{Revision: s.rev, Events: []wire.Event{}}
		from := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > after })
		for _, e := range s.events[from:] {
			if strings.HasPrefix(e.Put+e.Delete, prefix) {
				out.Events = append(out.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out.Events) > 0 {
			httpjson.Write(w, http.StatusOK, out)
			return
		}
		after = out.Revision
		select {
		case <-changed:
		case <-timeout.C:
			httpjson.Write(w, http.StatusOK, out)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// read takes a JSON body; false if it has been refused.
func read(w http.ResponseWriter, r *http.Request, into any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxTxnBytes))
	if err == nil {
		err = json.Unmarshal(data, into)
	}
	if err != nil {
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "malformed: " + err.Error()})
		return false
	}
	return true
}
