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

// A release is applied and its response lost; another controller reads the released shards and
// claims them. Then a transfer of the remaining shards gets no response and is applied late.
// The outcome of one transaction must not count as the other's: every shard has a leader
// again.
func TestReleaseAndTransferWithUnknownOutcomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		var delayTransfer atomic.Bool // the next transfer is applied late
		var lost, read atomic.Uint64
		view := &testkit.View{
			Store: store, Hold: func() bool { return delayTransfer.CompareAndSwap(true, false) },
			TimeOutResponse: func(txn wire.Txn, version uint64) bool {
				return strings.HasPrefix(txn.Then[0].Delete, "c/shard/") && lost.CompareAndSwap(0, version)
			},
		}
		other := &testkit.View{Store: store, OnRead: func(key string, version uint64) {
			if strings.HasPrefix(key, "c/shard/") && version == lost.Load() {
				read.Store(version)
			}
		}}
		newSpreadMember := func(v *testkit.View, name string) *membership.Member {
			return membership.New(v, name, ttl, 4, 2, slog.New(slog.NewTextHandler(io.Discard, nil)))
		}
		a, b := newSpreadMember(view, "a"), newSpreadMember(other, "b")
		ctx, cancel := context.WithCancel(context.Background())
		doneA := startMember(ctx, a)
		time.Sleep(time.Second)
		doneB := startMember(ctx, b)
		for end := time.Now().Add(2 * ttl); lost.Load() == 0 && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		// While the release is pending, the remaining shards are transferred.
		delayTransfer.Store(true)
		if err := a.TransferShards(ctx, "b"); err == nil {
			t.Error("transferred without a response")
		}
		time.Sleep(4 * time.Second)
		if lost.Load() == 0 || read.Load() == 0 || delayTransfer.Load() {
			t.Errorf("release applied as of %d, read by the other controller as of %d, transfer not sent yet: %v", lost.Load(), read.Load(), delayTransfer.Load())
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

// A controller whose attempts to join are applied while their responses are lost is not
// unstable: it claims freed shards first, as the last one that joined.
func TestJoiningWithLostResponsesIsNotUnstable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		lossesLeft := 4
		view := &testkit.View{Store: store, TimeOutResponse: func(txn wire.Txn, _ uint64) bool {
			for _, op := range txn.Then {
				if op.Put == "c/node/b" && lossesLeft > 0 {
					lossesLeft--
					return true
				}
			}
			return false
		}}
		ctx, cancel := context.WithCancel(context.Background())
		actx, stop := context.WithCancel(ctx)
		a, b, c := newMember(&testkit.View{Store: store}, "a"), newMember(view, "b"), newMember(&testkit.View{Store: store}, "c")
		doneA := startMember(actx, a)
		time.Sleep(time.Second)
		doneC := startMember(ctx, c)
		time.Sleep(time.Second)
		doneB := startMember(ctx, b)
		for end := time.Now().Add(time.Minute); b.FencingToken() == 0 && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		if lossesLeft > 0 || b.FencingToken() == 0 {
			t.Fatalf("%d responses still to be lost, fencing token %d", lossesLeft, b.FencingToken())
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
