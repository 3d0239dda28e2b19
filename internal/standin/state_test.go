package standin_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"github.com/wallrack/wallrack/internal/standin"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// openClient serves the state service from a database file, as after a restart, and returns a
// client of it.
func openClient(t *testing.T, file string) (client *statestore.Client, stop func()) {
	db, err := bbolt.Open(file, 0o644, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	state, err := standin.OpenState(db, 4, 1)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var expiry sync.WaitGroup
	expiry.Go(func() { state.ExpireLeases(ctx) })
	srv := httptest.NewServer(state.Handler())
	return statestore.New(strings.TrimPrefix(srv.URL, "http://"), 1e6, 1e6, 4), func() {
		cancel()
		expiry.Wait()
		srv.Close()
		if err := db.Close(); err != nil {
			t.Error(err)
		}
	}
}

// must fails the test if err is not nil, and returns n otherwise.
func must(t *testing.T, n uint64, err error) uint64 {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// After a restart confirmed writes are still there, leases are still valid, revisions continue,
// and a watch from an old revision must list again.
func TestWritesAndLeasesSurviveARestart(t *testing.T) {
	file := filepath.Join(t.TempDir(), "state.db")
	client, stop := openClient(t, file)
	ctx := t.Context()
	long, err := client.GrantLease(ctx, time.Minute)
	must(t, long, err)
	short, err := client.GrantLease(ctx, 100*time.Millisecond)
	must(t, short, err)
	revision, err := client.Txn(ctx, []wire.Guard{{Key: "c/a"}}, wire.Op{Put: "c/a", Value: 1, Lease: long}, wire.Op{Put: "c/b", Value: 2, Lease: short})
	must(t, revision, err)
	events, err := client.Follow(ctx, "c/", revision, 5*time.Second)
	if err != nil || len(events.Events) != 1 || events.Events[0].Delete != "c/b" {
		t.Errorf("changes after lease expiry: %+v, error %v", events, err)
	}
	expectRefusals(t, client, short)
	last, err := client.Txn(ctx, nil, wire.Op{Put: "d/1", Value: 1}, wire.Op{Put: "d/2", Value: 2})
	must(t, last, err)
	stop()
	client, stop = openClient(t, file)
	defer stop()
	items, at, err := client.List(ctx, "")
	if err != nil || at != last || len(items) != 3 || items[0].Key != "c/a" || items[0].Lease != long || items[0].Version != revision {
		t.Errorf("items after the restart: %+v at revision %d, error %v", items, at, err)
	}
	expectStateContinues(t, client, long, last)
}

// expectRefusals checks that invalid transactions are refused.
func expectRefusals(t *testing.T, client *statestore.Client, endedLease uint64) {
	t.Helper()
	ctx := t.Context()
	var conflict *statestore.ConflictError
	if _, err := client.Txn(ctx, []wire.Guard{{Key: "c/a"}}, wire.Op{Delete: "c/a"}); !errors.As(err, &conflict) || !conflict.Has("c/a") {
		t.Errorf("transaction with a failed condition: error %v", err)
	}
	if _, err := client.Txn(ctx, nil, wire.Op{Put: "d", Value: 1, Lease: endedLease}); !errors.Is(err, statestore.ErrNoLease) {
		t.Errorf("transaction with an expired lease: error %v", err)
	}
	for _, ops := range [][]wire.Op{{{Put: "x", Value: strings.Repeat("x", 2000)}}, {{Put: "a b", Value: 1}}, make([]wire.Op, 9)} {
		if _, err := client.Txn(ctx, nil, ops...); err == nil {
			t.Errorf("an invalid transaction with %d changes was accepted", len(ops))
		}
	}
}

// expectStateContinues checks that after a restart the next revision follows the last one, and
// that an earlier lease is still valid.
func expectStateContinues(t *testing.T, client *statestore.Client, lease, last uint64) {
	t.Helper()
	ctx := t.Context()
	if err := client.RenewLease(ctx, lease); err != nil {
		t.Errorf("renewing a lease after the restart: %v", err)
	}
	if _, err := client.Follow(ctx, "", last-1, 0); !errors.Is(err, statestore.ErrCompacted) {
		t.Errorf("watch from an old revision: error %v", err)
	}
	next, err := client.Txn(ctx, nil, wire.Op{Delete: "d/1"})
	if must(t, next, err) != last+1 {
		t.Errorf("next revision is %d after %d", next, last)
	}
	if err := client.RevokeLease(ctx, lease); err != nil {
		t.Error(err)
	}
	if _, err := client.Get(ctx, "c/a"); !errors.Is(err, statestore.ErrNotFound) {
		t.Errorf("get of a revoked lease's key: error %v", err)
	}
}
