package statestore_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// changingStore is a state service in which revision n is the n-th change.
type changingStore struct {
	mu      sync.Mutex
	changed []time.Time   // when each change was made
	updated chan struct{} // closed at the next change
	opened  []time.Time   // when each watch was opened
}

func newChangingStore() *changingStore { return &changingStore{updated: make(chan struct{})} }

func (s *changingStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.changed = append(s.changed, time.Now())
	close(s.updated)
	s.updated = make(chan struct{})
}

// changesAfter returns the response with the changes after a revision; if there are none, it
// returns a channel that is closed at the next change.
func (s *changingStore) changesAfter(revision int) (response string, updated chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var log []string
	for n := revision + 1; n <= len(s.changed); n++ {
		log = append(log, fmt.Sprintf(`{"set":"live/j-1","data":{},"stamp":%d}`, n))
	}
	if len(log) == 0 {
		return "", s.updated
	}
	return fmt.Sprintf(`{"ledger":%d,"log":[%s]}`, len(s.changed), strings.Join(log, ",")), nil
}

// RoundTrip implements http.RoundTripper.
func (s *changingStore) RoundTrip(r *http.Request) (*http.Response, error) {
	response := `{"rows":[],"ledger":0}`
	if r.URL.Path == "/follow" {
		revision, err := strconv.Atoi(r.URL.Query().Get("after"))
		if err != nil {
			return nil, err
		}
		s.mu.Lock()
		s.opened = append(s.opened, time.Now())
		s.mu.Unlock()
		var updated chan struct{}
		for response, updated = s.changesAfter(revision); response == ""; response, updated = s.changesAfter(revision) {
			select {
			case <-updated:
			case <-r.Context().Done():
				return nil, r.Context().Err()
			}
		}
	}
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(strings.NewReader(response)), Request: r}, nil
}

// watchReport records when a watch reported each change, in the order of their revisions.
type watchReport struct {
	at  []time.Time
	err error
}

// watchChanges watches a store, with pacing, while a change is made after each of the gaps.
func watchChanges(pacing statestore.Pacing, gaps []time.Duration) (*changingStore, *watchReport) {
	store := newChangingStore()
	client := statestore.New("state", 1e6, 1e6, 48)
	client.SetTransport(store)
	ctx, cancel := context.WithCancel(context.Background())
	done, seen := make(chan struct{}), &watchReport{}
	go func() {
		defer close(done)
		client.Watch(statestore.WithPacing(ctx, pacing), "live/", time.Hour, func([]wire.Item) {}, func(events []wire.Event) {
			for _, e := range events {
				seen.at = append(seen.at, time.Now())
				if int(e.Version) != len(seen.at) {
					seen.err = fmt.Errorf("change %d is reported as number %d", e.Version, len(seen.at))
				}
			}
		})
	}()
	for _, gap := range gaps {
		time.Sleep(gap)
		synctest.Wait()
		store.change()
	}
	time.Sleep(pacing.Pause())
	synctest.Wait()
	cancel()
	<-done
	return store, seen
}

// A paced watch reports each change once and in order, at most one pause late, and without
// delay after a time without changes, in which the whole burst is earned again. It sends
// requests no more often than its pacing allows.
func TestPacedWatchReportsEachChangeInTime(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pause := time.Duration(rapid.IntRange(1, 100).Draw(rt, "pause")) * time.Millisecond
		pacing := statestore.Pacing{Burst: rapid.IntRange(1, 4).Draw(rt, "burst"), Pause: func() time.Duration { return pause }}
		drawn := rapid.SliceOfN(rapid.IntRange(0, 600), 1, 60).Draw(rt, "gaps")
		gaps := make([]time.Duration, 0, len(drawn))
		for _, ms := range drawn {
			gaps = append(gaps, time.Duration(ms)*time.Millisecond)
		}
		var store *changingStore
		var seen *watchReport
		synctest.Test(t, func(*testing.T) { store, seen = watchChanges(pacing, gaps) })
		if seen.err != nil || len(seen.at) != len(gaps) {
			rt.Fatalf("%d of %d changes reported, %v", len(seen.at), len(gaps), seen.err)
		}
		for i, at := range seen.at {
			late := at.Sub(store.changed[i])
			if late > pause {
				rt.Fatalf("change %d reported %v late, the pause is %v", i+1, late, pause)
			}
			if i <= pacing.Burst && late > 0 {
				rt.Fatalf("change %d reported %v late, the burst is %d", i+1, late, pacing.Burst)
			}
			if quiet := time.Duration(pacing.Burst+1) * pause; late > 0 && gaps[i] > quiet {
				rt.Fatalf("change %d reported %v late after %v without any", i+1, late, gaps[i])
			}
		}
		for i := pacing.Burst + 1; i < len(store.opened); i++ {
			if took := store.opened[i].Sub(store.opened[i-pacing.Burst-1]); took < pause {
				rt.Fatalf("the watch was opened %d times within %v, the pause is %v", pacing.Burst+2, took, pause)
			}
		}
	})
}

// A watch whose context ends does not wait for the end of a pause.
func TestPacedWatchEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, client := newChangingStore(), statestore.New("state", 1e6, 1e6, 48)
		client.SetTransport(store)
		ctx, cancel := context.WithCancel(context.Background())
		pacing := statestore.Pacing{Burst: 1, Pause: func() time.Duration { return time.Minute }}
		done := make(chan struct{})
		go func() {
			defer close(done)
			client.Watch(statestore.WithPacing(ctx, pacing), "live/", time.Hour, func([]wire.Item) {}, func([]wire.Event) {})
		}()
		for range 2 {
			synctest.Wait()
			store.change()
		}
		synctest.Wait()
		start := time.Now()
		cancel()
		<-done
		if took := time.Since(start); took > 0 {
			t.Errorf("ended after %v", took)
		}
	})
}
