package membership_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

const ttl = 7 * time.Second

func newMember(view *testkit.View, name string) *membership.Member {
	return membership.New(view, name, ttl, 4, 1, slog.New(slog.NewTextHandler(io.Discard, nil)))
}

func startMember(ctx context.Context, m *membership.Member) <-chan struct{} {
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	return done
}

// Shards are led even if the response to their claim is lost: otherwise nobody knows that they
// are led, and no job proceeds.
func TestClaimWithLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var txns atomic.Int32
		view := &testkit.View{Store: testkit.NewStore(), LoseResponse: func() bool { return txns.Add(1) == 2 }}
		m := newMember(view, "a")
		ctx, cancel := context.WithCancel(context.Background())
		done := startMember(ctx, m)
		time.Sleep(3 * time.Second)
		if txns.Load() < 2 || len(m.LedShards()) != 4 {
			t.Errorf("leads %v after %d transactions", m.LedShards(), txns.Load())
		}
		cancel()
		<-done
	})
}

// A new token is drawn again, with the next number, if the responses to its first transactions
// are lost: a new leader that gave up would restart its failover. A number that may have been
// drawn is never used.
func TestNextTokenWithLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var losing atomic.Int32
		store := testkit.NewStore()
		view := &testkit.View{Store: store, LoseResponse: func() bool { return losing.Add(-1) >= 0 }}
		m := newMember(view, "a")
		ctx, cancel := context.WithCancel(context.Background())
		done := startMember(ctx, m)
		time.Sleep(3 * time.Second)
		var counter struct{ N uint64 } // the highest token drawn, reserved ones included
		if err := json.Unmarshal([]byte(store.RawValue("c/term")), &counter); err != nil {
			t.Fatal(err)
		}
		highest := counter.N
		losing.Store(2)
		start := time.Now()
		token, err := m.NextToken(ctx)
		if err != nil || token != highest+3 || losing.Load() >= 0 {
			t.Errorf("token %d after %d, %v; %d responses left to lose", token, highest, err, losing.Load())
		}
		if took := time.Since(start); took > time.Second {
			t.Errorf("took %v", took)
		}
		cancel()
		<-done
	})
}

// In an outage of the state service every worker that has seen a higher token causes an attempt
// to raise the token with each of its heartbeats. Only few of these attempts may reach the state
// service, but the first one after the outage must.
func TestRefusedRaiseIsRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var requests atomic.Int32
		var down atomic.Bool
		view := &testkit.View{Store: testkit.NewStore(), Unavailable: func() bool { requests.Add(1); return down.Load() }}
		m := newMember(view, "a")
		ctx, cancel := context.WithCancel(context.Background())
		done := startMember(ctx, m)
		time.Sleep(3 * time.Second)
		was, before := m.FencingToken(), requests.Load()
		down.Store(true)
		for range 500 {
			if _, err := m.RaiseTokenAbove(ctx, was+1); !errors.Is(err, statestore.ErrUnavailable) {
				t.Fatalf("in an outage: %v", err)
			}
			time.Sleep(2 * time.Millisecond)
		}
		if n := requests.Load() - before; n > 60 { // the lease and the watch send some too
			t.Errorf("%d requests in a second of an outage", n)
		}
		down.Store(false)
		time.Sleep(300 * time.Millisecond)
		if token, err := m.RaiseTokenAbove(ctx, was+1); err != nil || token <= was+1 {
			t.Errorf("after the outage: %d, %v", token, err)
		}
		cancel()
		<-done
	})
}

// The lease counts from the send of the last renewal that succeeded: a leader that loses the
// state service stops before another can start.
func TestOneLeaderDuringStateStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		var down atomic.Bool
		a := newMember(&testkit.View{Store: store, Unavailable: down.Load}, "a")
		b := newMember(&testkit.View{Store: store}, "b")
		ctx, cancel := context.WithCancel(context.Background())
		doneA := startMember(ctx, a)
		time.Sleep(time.Second)
		doneB := startMember(ctx, b)
		time.Sleep(time.Second)
		if len(a.LedShards()) != 4 || len(b.LedShards()) != 0 {
			t.Fatalf("a leads %v, b %v", a.LedShards(), b.LedShards())
		}
		down.Store(true)
		for end := time.Now().Add(2 * ttl); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			if len(a.LedShards()) > 0 && len(b.LedShards()) > 0 {
				t.Fatal("two leaders")
			}
		}
		if len(b.LedShards()) != 4 {
			t.Errorf("b leads %v", b.LedShards())
		}
		cancel()
		<-doneA
		<-doneB
	})
}

// A restarted controller ends its predecessor's lease at once, and never shares its
// predecessor's fencing token.
func TestRestartEndsPredecessor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		first := newMember(&testkit.View{Store: store}, "a")
		ctx, kill := context.WithCancel(context.Background())
		done := startMember(ctx, first)
		time.Sleep(time.Second)
		kill()
		<-done
		second := newMember(&testkit.View{Store: store}, "a")
		ctx, cancel := context.WithCancel(context.Background())
		done = startMember(ctx, second)
		time.Sleep(time.Second)
		if len(second.LedShards()) != 4 {
			t.Errorf("leads %v a second after the restart", second.LedShards())
		}
		if second.FencingToken() <= first.FencingToken() {
			t.Errorf("token %d after %d", second.FencingToken(), first.FencingToken())
		}
		cancel()
		<-done
	})
}

// A freed shard goes to the controller that joined last. Otherwise each step of a rolling
// restart moves all shards to a controller that is still to be restarted: three failovers
// instead of one.
func TestFreedShardsGoToLastJoined(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		members := map[string]*membership.Member{}
		stops := map[string]context.CancelFunc{}
		dones := map[string]<-chan struct{}{}
		start := func(name string) {
			ctx, cancel := context.WithCancel(context.Background())
			slow := func() bool { time.Sleep(10 * time.Millisecond); return false } // the duration of a request
			members[name] = newMember(&testkit.View{Store: store, Unavailable: slow}, name)
			stops[name], dones[name] = cancel, startMember(ctx, members[name])
		}
		leader := func() (name string) {
			for n, m := range members {
				if len(m.LedShards()) > 0 {
					name += n
				}
			}
			return name
		}
		for _, n := range []string{"a", "b", "c"} {
			start(n)
			time.Sleep(time.Second)
		}
		moves := 0
		for range 3 { // the leader first, as in a rolling restart that starts with the busiest
			was := leader()
			for _, n := range []string{was, "b", "c"} {
				stops[n]()
				<-dones[n]
				time.Sleep(4 * time.Second)
				start(n)
				time.Sleep(2 * time.Second)
				if now := leader(); now != was {
					was, moves = now, moves+1
				}
			}
			if leader() != was || was == "" {
				t.Fatalf("led by %q", leader())
			}
		}
		if moves > 0 {
			t.Errorf("%d moves: a restarted leader did not get its shards back", moves)
		}
		for n := range stops {
			stops[n]()
			<-dones[n]
		}
	})
}

// An unstable controller leaves shards to others. Otherwise one that ends every ten seconds
// takes the shards back each time, since it has joined last: 16 failovers.
func TestUnstableControllerLeavesShardsToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		members, stops, dones := map[string]*membership.Member{}, map[string]context.CancelFunc{}, map[string]<-chan struct{}{}
		start := func(name string) {
			ctx, cancel := context.WithCancel(context.Background())
			members[name] = newMember(&testkit.View{Store: store}, name)
			stops[name], dones[name] = cancel, startMember(ctx, members[name])
		}
		for _, name := range []string{"a", "b", "c"} {
			start(name)
			time.Sleep(time.Second)
		}
		time.Sleep(time.Minute)
		timesLeading := 0
		for range 12 {
			stops["c"]()
			<-dones["c"]
			time.Sleep(3 * time.Second)
			start("c")
			time.Sleep(8 * time.Second)
			if len(members["c"].LedShards()) > 0 {
				timesLeading++
			}
		}
		if timesLeading > 4 || len(members["a"].LedShards())+len(members["b"].LedShards()) != 4 {
			t.Errorf("c led shards %d times; a leads %v, b %v", timesLeading, members["a"].LedShards(), members["b"].LedShards())
		}
		// If all controllers are unstable, every shard is led nevertheless.
		for range 5 {
			for _, name := range []string{"a", "b"} {
				stops[name]()
				<-dones[name]
				start(name)
			}
			time.Sleep(5 * time.Second)
		}
		if total := len(members["a"].LedShards()) + len(members["b"].LedShards()) + len(members["c"].LedShards()); total != 4 {
			t.Errorf("%d of 4 shards are led", total)
		}
		for name := range members {
			stops[name]()
			<-dones[name]
		}
	})
}

// releaseDelayer delays the first release of shards until deliverDelayed is called: its
// outcome is unknown.
type releaseDelayer struct {
	*testkit.View
	delayed atomic.Pointer[wire.Txn]
}

func (d *releaseDelayer) Txn(ctx context.Context, guards []wire.Guard, ops ...wire.Op) (uint64, error) {
	txn := &wire.Txn{If: guards, Then: ops}
	if strings.HasPrefix(ops[0].Delete, "c/shard/") && d.delayed.CompareAndSwap(nil, txn) {
		return 0, statestore.ErrUnknown
	}
	return d.View.Txn(ctx, guards, ops...)
}

func (d *releaseDelayer) deliverDelayed(ctx context.Context) {
	txn := d.delayed.Load()
	_, _ = d.View.Txn(ctx, txn.If, txn.Then...) // its conditions may fail
}

// A release whose response is lost, and that is applied late or never, leaves no shard without
// a leader.
func TestReleaseWithUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		view := &releaseDelayer{View: &testkit.View{Store: store}}
		newSpreadMember := func(store membership.Store, name string) *membership.Member {
			return membership.New(store, name, ttl, 4, 2, slog.New(slog.NewTextHandler(io.Discard, nil)))
		}
		a, b := newSpreadMember(view, "a"), newSpreadMember(&testkit.View{Store: store}, "b")
		ctx, cancel := context.WithCancel(context.Background())
		doneA := startMember(ctx, a)
		time.Sleep(time.Second)
		if len(a.LedShards()) != 4 {
			t.Fatalf("a leads %v", a.LedShards())
		}
		doneB := startMember(ctx, b)
		for end := time.Now().Add(2 * ttl); view.delayed.Load() == nil && time.Now().Before(end); {
			time.Sleep(10 * time.Millisecond)
		}
		if view.delayed.Load() == nil {
			t.Fatal("nothing was released")
		}
		time.Sleep(2 * time.Second)
		if len(a.LedShards())+len(b.LedShards()) != 4 {
			t.Errorf("2 s after the release was lost a leads %v, b %v", a.LedShards(), b.LedShards())
		}
		view.deliverDelayed(ctx)
		time.Sleep(3 * ttl)
		if len(a.LedShards()) != 2 || len(b.LedShards()) != 2 {
			t.Errorf("in the end a leads %v, b %v", a.LedShards(), b.LedShards())
		}
		cancel()
		<-doneA
		<-doneB
	})
}
