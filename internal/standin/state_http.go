package standin

import (
	"errors"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	maxItems      = 1000      // per listing
	maxListBytes  = 512 << 10 // per listing
	itemOverheadB = 64        // estimate of an item's size in a listing without its key and value
	maxKeyBytes   = 200
	maxWatchWait  = time.Minute // how long a watch request may wait for changes

	minTTLMs = 100
	maxTTLMs = 600_000
)

// Handler serves the protocol of the state service.
func (s *State) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /store/{key...}", s.serveGet)
	mux.HandleFunc("GET /store", s.serveList)
	mux.HandleFunc("POST /txn", s.serveTxn)
	mux.HandleFunc("POST /grants", s.serveGrant)
	mux.HandleFunc("POST /grants/{id}/touch", s.serveRenew)
	mux.HandleFunc("DELETE /grants/{id}", s.serveRevoke)
	mux.HandleFunc("GET /follow", s.serveWatch)
	return mux
}

func (s *State) serveGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	key := r.PathValue("key")
	it, ok := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		httpjson.Write(w, http.StatusNotFound, wire.TxnResponse{Revision: revision})
		return
	}
	httpjson.Write(w, http.StatusOK, it.toWire(key))
}

// toWire converts an item to its form in the protocol.
func (it item) toWire(key string) wire.Item {
	return wire.Item{Key: key, Value: it.Value, Version: it.Version, Lease: it.Lease}
}

func (s *State) serveList(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := parseLimit(query.Get("limit"), maxItems)
	s.mu.Lock()
	list := s.listLocked(query.Get("starts"), query.Get("after"), limit)
	s.mu.Unlock()
	httpjson.Write(w, http.StatusOK, list)
}

// listLocked lists the items whose keys begin with prefix and are greater than the key after. It
// lists at most limit items and about maxListBytes, but always the first item.
func (s *State) listLocked(prefix, after string, limit int) wire.Items {
	list := wire.Items{Items: []wire.Item{}, Revision: s.revision}
	size := 0
	for _, key := range s.keys[sort.SearchStrings(s.keys, max(prefix, after)):] {
		if !strings.HasPrefix(key, prefix) {
			if key > prefix {
				break
			}
			continue
		}
		if after != "" && key <= after {
			continue
		}
		it := s.items[key]
		itemSize := len(it.Value) + len(key) + itemOverheadB
		if len(list.Items) == limit || size+itemSize > maxListBytes && size > 0 {
			list.More = true
			break
		}
		size += itemSize
		list.Items = append(list.Items, it.toWire(key))
	}
	return list
}

// checkTxn returns an error if a transaction has too many conditions or changes, an invalid key or a
// value that is too large.
func (s *State) checkTxn(txn *wire.Txn) error {
	if len(txn.Then) > s.maxOps || len(txn.If) > 4*s.maxOps {
		return errors.New("too many conditions or changes")
	}
	for _, guard := range txn.If {
		if !validKey(guard.Key) {
			return fmt.Errorf("key %.40q", guard.Key)
		}
	}
	for i := range txn.Then {
		op := &txn.Then[i]
		if (op.Put == "") == (op.Delete == "") || !validKey(op.Put+op.Delete) {
			return fmt.Errorf("change %d names no key, or two", i)
		}
		if data, err := json.Marshal(op.Value); err != nil || len(data) > s.maxValueBytes {
			return fmt.Errorf("value of %.40q is too large", op.Put)
		}
	}
	return nil
}

func validKey(key string) bool {
	return key != "" && len(key) <= maxKeyBytes && !strings.ContainsAny(key, " ")
}

func (s *State) serveTxn(w http.ResponseWriter, r *http.Request) {
	var txn wire.Txn
	if !decodeBody(w, r, &txn) {
		return
	}
	if err := s.checkTxn(&txn); err != nil {
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: err.Error()})
		return
	}
	if !allowWrites(r.Context(), len(txn.Then)) {
		writeTooManyRequests(w)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, op := range txn.Then {
		if op.Lease != 0 && s.leases[op.Lease] == nil {
			httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "no such lease"})
			return
		}
	}
	var failedKeys []string
	for _, guard := range txn.If {
		if s.items[guard.Key].Version != guard.Version {
			failedKeys = append(failedKeys, guard.Key)
		}
	}
	if len(failedKeys) > 0 {
		httpjson.Write(w, http.StatusConflict, wire.TxnResponse{Failed: failedKeys, Revision: s.revision})
		return
	}
	if err := s.commitLocked(txn.Then, nil); err != nil {
		writeUnavailable(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, wire.TxnResponse{Revision: s.revision})
}

func (s *State) serveGrant(w http.ResponseWriter, r *http.Request) {
	var req wire.LeaseRequest
	if !decodeBody(w, r, &req) {
		return
	}
	if req.TTLMs < minTTLMs || req.TTLMs > maxTTLMs {
		httpjson.Write(w, http.StatusBadRequest, wire.Problem{Error: "lifeMs: out of range"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id, err := s.grantLeaseLocked(int64(req.TTLMs))
	if err != nil {
		writeUnavailable(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, wire.LeaseResponse{Lease: id})
}

func (s *State) serveRenew(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[parseNumber([]byte(r.PathValue("id")))]
	if l == nil {
		writeNoLease(w)
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	httpjson.Write(w, http.StatusOK, struct{}{})
}

func (s *State) serveRevoke(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := parseNumber([]byte(r.PathValue("id")))
	if s.leases[id] == nil {
		writeNoLease(w)
		return
	}
	if err := s.revokeLeaseLocked(id); err != nil {
		writeUnavailable(w, err)
		return
	}
	httpjson.Write(w, http.StatusOK, struct{}{})
}

func writeNoLease(w http.ResponseWriter) {
	httpjson.Write(w, http.StatusNotFound, wire.Problem{Error: "no such lease"})
}

// serveWatch responds with the changes that were made to keys with a prefix after a revision. If
// there are none, it waits for the requested time, at most maxWatchWait, and then responds with no
// changes. If changes after the revision are no longer retained, it responds with status 410.
func (s *State) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("starts")
	after := parseNumber([]byte(query.Get("after")))
	maxWait := min(maxWatchWait, time.Duration(parseNumber([]byte(query.Get("holdMs"))))*time.Millisecond)
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		events, complete := s.eventsLocked(prefix, after)
		changed := s.changed
		s.mu.Unlock()
		if !complete {
			httpjson.Write(w, http.StatusGone, wire.Problem{Error: "too old"})
			return
		}
		if len(events.Events) > 0 {
			httpjson.Write(w, http.StatusOK, events)
			return
		}
		after = events.Revision
		select {
		case <-changed:
		case <-timeout.C:
			httpjson.Write(w, http.StatusOK, events)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// eventsLocked returns the changes of keys with a prefix after a revision. complete is false if
// some of them are no longer retained.
func (s *State) eventsLocked(prefix string, after uint64) (events wire.Events, complete bool) {
	oldest := s.revision // without retained events, a watch can only continue from the current revision
	if len(s.events) > 0 {
		oldest = s.events[0].Version - 1
	}
	if after < oldest {
		return wire.Events{}, false
	}
	events = wire.Events{Revision: s.revision, Events: []wire.Event{}}
	from := sort.Search(len(s.events), func(i int) bool { return s.events[i].Version > after })
	for _, event := range s.events[from:] {
		if strings.HasPrefix(event.Put+event.Delete, prefix) {
			events.Events = append(events.Events, event)
		}
	}
	return events, true
}
