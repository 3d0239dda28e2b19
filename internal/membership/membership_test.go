package membership_test

import (
	"context"
	"io"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/testkit"
)

const ttl = 7 * time.Second

func member(view *testkit.View, name string) *membership.Member {
	return membership.New(view, name, ttl, 4, 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func run(ctx context.Context, m *membership.Member) <-chan struct{} {
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	return done
}

// A claim whose answer is lost is owned all the same; once nobody knew, and
// every job stood still.
func TestClaimWithLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var txns atomic.Int32
		view := &testkit.View{Store: testkit.NewStore(), Lose: func() bool { return txns.Add(1) == 2 }}
		m := member(view, "a")
		ctx, cancel := context.WithCancel(context.Background())
		done := run(ctx, m)
		time.Sleep(3 * time.Second)
		if txns.Load() < 2 || len(m.Own()) != 4 {
			t.Errorf("owns %v after %d transactions", m.Own(), txns.Load())
		}
		cancel()
		<-done
	})
}

// The lease counts as held from the send of the last good touch: an owner that
// loses the state service stops before another can begin.
func TestOneOwnerAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		var down atomic.Bool
		a := member(&testkit.View{Store: store, Down: down.Load}, "a")
		b := member(&testkit.View{Store: store}, "b")
		ctx, cancel := context.WithCancel(context.Background())
		doneA := run(ctx, a)
		time.Sleep(time.Second)
		doneB := run(ctx, b)
		time.Sleep(time.Second)
		if len(a.Own()) != 4 || len(b.Own()) != 0 {
			t.Fatalf("a owns %v, b %v", a.Own(), b.Own())
		}
		down.Store(true)
		for end := time.Now().Add(2 * ttl); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if len(a.Own()) > 0 && len(b.Own()) > 0 {
				t.Fatal("two owners")
			}
		}
		if len(b.Own()) != 4 {
			t.Errorf("b owns %v", b.Own())
		}
		cancel()
		<-doneA
		<-doneB
	})
}

// A restarted controller ends its predecessor's lease at once, and never
// shares its term.
func TestRestartEndsPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		first := member(&testkit.View{Store: store}, "a")
		ctx, kill := context.WithCancel(context.Background())
		done := run(ctx, first)
		time.Sleep(time.Second)
		kill()
		<-done
		second := member(&testkit.View{Store: store}, "a")
		ctx, cancel := context.WithCancel(context.Background())
		done = run(ctx, second)
		time.Sleep(time.Second)
		if len(second.Own()) != 4 {
			t.Errorf("owns %v a second after the restart", second.Own())
		}
		if second.Term() <= first.Term() {
			t.Errorf("term %d after %d", second.Term(), first.Term())
		}
		cancel()
		<-done
	})
}
