package standin_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"github.com/wallrack/wallrack/internal/standin"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// open serves the state service on a file, as after a start.
func open(t *testing.T, file string) (c *statestore.Client, stop func()) {
	db, err := bbolt.Open(file, 0o644, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	s, err := standin.OpenState(db, 4, 1)
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go s.Sweep(done)
	srv := httptest.NewServer(s.Handler())
	return statestore.New(strings.TrimPrefix(srv.URL, "http://"), 1e6, 1e6, 4), func() {
		close(done)
		srv.Close()
		if err := db.Close(); err != nil {
			t.Error(err)
		}
	}
}

// What was answered as written is there after a restart, leases go on, stamps
// never come twice, and an old watch is told to read again.
func TestWritesAndLeasesSurviveARestart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state.db")
	c, stop := open(t, file)
	ctx := context.Background()
	must := func(rev uint64, err error) uint64 {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return rev
	}
	long, err := c.GrantLease(ctx, time.Minute)
	must(long, err)
	short, err := c.GrantLease(ctx, 100*time.Millisecond)
	must(short, err)
	rev := must(c.Txn(ctx, []wire.Guard{{Key: "c/a"}}, wire.Op{Put: "c/a", Value: 1, Lease: long}, wire.Op{Put: "c/b", Value: 2, Lease: short}))
	ev, err := c.Follow(ctx, "c/", rev, 5*time.Second)
	if err != nil || len(ev.Events) != 1 || ev.Events[0].Delete != "c/b" {
		t.Errorf("after a lease's end: %+v, %v", ev, err)
	}
	var conflict *statestore.Conflict
	if _, err := c.Txn(ctx, []wire.Guard{{Key: "c/a"}}, wire.Op{Delete: "c/a"}); !errors.As(err, &conflict) || !conflict.Has("c/a") {
		t.Errorf("a failed condition gave %v", err)
	}
	if _, err := c.Txn(ctx, nil, wire.Op{Put: "d", Value: 1, Lease: short}); !errors.Is(err, statestore.ErrNoLease) {
		t.Errorf("an ended lease gave %v", err)
	}
	for _, ops := range [][]wire.Op{{{Put: "x", Value: strings.Repeat("x", 2000)}}, {{Put: "a b", Value: 1}}, make([]wire.Op, 9)} {
		if _, err := c.Txn(ctx, nil, ops...); err == nil {
			t.Errorf("%d changes beyond the limits were taken", len(ops))
		}
	}
	last := must(c.Txn(ctx, nil, wire.Op{Put: "d/1", Value: 1}, wire.Op{Put: "d/2", Value: 2}))
	stop()
	c, stop = open(t, file)
	defer stop()
	items, at, err := c.List(ctx, "")
	if err != nil || at != last || len(items) != 3 || items[0].Key != "c/a" || items[0].Lease != long || items[0].Version != rev {
		t.Errorf("after a restart: %+v at %d, %v", items, at, err)
	}
	if err := c.RenewLease(ctx, long); err != nil {
		t.Errorf("a lease is gone: %v", err)
	}
	if _, err := c.Follow(ctx, "", last-1, 0); !errors.Is(err, statestore.ErrCompacted) {
		t.Errorf("an old watch got %v", err)
	}
	if next := must(c.Txn(ctx, nil, wire.Op{Delete: "d/1"})); next != last+1 {
		t.Errorf("revision %d after %d", next, last)
	}
	if err := c.RevokeLease(ctx, long); err != nil {
		t.Error(err)
	}
	if _, err := c.Get(ctx, "c/a"); !errors.Is(err, statestore.ErrNotFound) {
		t.Errorf("the key of a revoked lease: %v", err)
	}
}
