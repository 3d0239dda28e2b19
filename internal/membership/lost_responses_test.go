package membership_test

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// A release is carried out and its response lost; another controller reads it, and claims
// what was released. Then a transfer of the remaining shards gets no response and is
// carried out late. The outcome of the one says nothing of the other: every shard has a
// leader again.
func TestReleaseAndTransferWithUnknownOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		var hold atomic.Bool // the next transfer is carried out late
		var lost, read atomic.Uint64
		view := &testkit.View{
			Store: store, Hold: func() bool { return hold.CompareAndSwap(true, false) },
			TimeOutResponse: func(txn wire.Txn, version uint64) bool {
				return strings.HasPrefix(txn.Then[0].Delete, "c/shard/") && lost.CompareAndSwap(0, version)
			},
		}
		other := &testkit.View{Store: store, OnRead: func(key string, version uint64) {
			if strings.HasPrefix(key, "c/shard/") && version == lost.Load() {
				read.Store(version)
			}
		}}
		spread := func(v *testkit.View, name string) *membership.Member {
			return membership.New(v, name, ttl, 4, 2, slog.New(slog.NewTextHandler(io.Discard, nil)))
		}
		a, b := spread(view, "a"), spread(other, "b")
		ctx, cancel := context.WithCancel(context.Background())
		doneA := run(ctx, a)
		time.Sleep(time.Second)
		doneB := run(ctx, b)
		for end := time.Now().Add(2 * ttl); lost.Load() == 0 && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		// While the release is pending, the remaining shards are transferred.
		hold.Store(true)
		if err := a.TransferShards(ctx, "b"); err == nil {
			t.Error("transferred without a response")
		}
		time.Sleep(4 * time.Second)
		if lost.Load() == 0 || read.Load() == 0 || hold.Load() {
			t.Errorf("release carried out as of %d, read by the other controller as of %d, transfer still to come: %v", lost.Load(), read.Load(), hold.Load())
		}
		if len(a.LedShards())+len(b.LedShards()) != 4 {
			t.Errorf("with both outcomes known a leads %v, b %v", a.LedShards(), b.LedShards())
		}
		view.ApplyHeld()
		time.Sleep(3 * ttl)
		if len(a.LedShards()) != 2 || len(b.LedShards()) != 2 {
			t.Errorf("in the end a leads %v, b %v", a.LedShards(), b.LedShards())
		}
		cancel()
		<-doneA
		<-doneB
	})
}

// A controller whose attempts to join are carried out while their responses are lost is
// not unsteady: it takes freed shards first, as the last that joined.
func TestJoiningWithLostResponsesIsNotUnsteady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		left := 4
		view := &testkit.View{Store: store, TimeOutResponse: func(txn wire.Txn, _ uint64) bool {
			for _, op := range txn.Then {
				if op.Put == "c/node/b" && left > 0 {
					left--
					return true
				}
			}
			return false
		}}
		ctx, cancel := context.WithCancel(context.Background())
		actx, stop := context.WithCancel(ctx)
		a, b, c := member(&testkit.View{Store: store}, "a"), member(view, "b"), member(&testkit.View{Store: store}, "c")
		doneA := run(actx, a)
		time.Sleep(time.Second)
		doneC := run(ctx, c)
		time.Sleep(time.Second)
		doneB := run(ctx, b)
		for end := time.Now().Add(time.Minute); b.FencingToken() == 0 && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		if left > 0 || b.FencingToken() == 0 {
			t.Fatalf("%d responses still to be lost, fencing token %d", left, b.FencingToken())
		}
		time.Sleep(time.Second)
		stop()
		<-doneA
		time.Sleep(2 * ttl)
		if len(b.LedShards()) != 4 {
			t.Errorf("b joined last and leads %v, c %v", b.LedShards(), c.LedShards())
		}
		cancel()
		<-doneB
		<-doneC
	})
}
