package membership_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/testkit"
)

// A controller that looked for shards to take back while its hand-over was under
// way won against itself: the jobs stayed two seconds longer with an owner that
// heard nobody. Hand-overs are counted, also by who comes later.
func TestHandOverIsNotTakenBackMeanwhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		slow := func() bool { time.Sleep(20 * time.Millisecond); return false }
		ctx, cancel := context.WithCancel(context.Background())
		a, b := member(&testkit.View{Store: store, Down: slow}, "a"), member(&testkit.View{Store: store}, "b")
		doneA := run(ctx, a)
		time.Sleep(time.Second)
		doneB := run(ctx, b)
		time.Sleep(time.Second)
		if err := a.TransferShards(ctx, "b"); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		if len(a.OwnedShards()) != 0 || len(b.OwnedShards()) != 4 {
			t.Errorf("a owns %v, b %v", a.OwnedShards(), b.OwnedShards())
		}
		c := member(&testkit.View{Store: store}, "c")
		doneC := run(ctx, c)
		time.Sleep(time.Second)
		if a.RecentTransfers(time.Minute) != 1 || c.RecentTransfers(time.Minute) != 1 || c.RecentTransfers(time.Second) != 0 {
			t.Errorf("hand-overs: a knows of %d, c of %d", a.RecentTransfers(time.Minute), c.RecentTransfers(time.Minute))
		}
		cancel()
		<-doneA
		<-doneB
		<-doneC
	})
}

// A peer sees a joining controller's key before that has its own answer, and may hand the
// jobs over to it then. The watch told the joiner of shards under a lease that it did not
// know as its own yet: it owned nothing, all others thought it did, and nobody served
// any job again.
func TestHandOverToOneThatJoins(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		ctx, cancel := context.WithCancel(context.Background())
		a := member(&testkit.View{Store: store}, "a")
		b := member(&testkit.View{Store: store, Slow: func() time.Duration { return 800 * time.Millisecond }}, "b")
		doneA := run(ctx, a)
		time.Sleep(time.Second)
		doneB := run(ctx, b)
		for !a.Alive("b") {
			time.Sleep(10 * time.Millisecond)
		}
		if err := a.TransferShards(ctx, "b"); err != nil {
			t.Error(err)
		}
		if b.FencingToken() != 0 {
			t.Error("the joiner had its answer already")
		}
		time.Sleep(3 * time.Second)
		if len(a.OwnedShards()) != 0 || len(b.OwnedShards()) != 4 {
			t.Errorf("a owns %v, b %v", a.OwnedShards(), b.OwnedShards())
		}
		cancel()
		<-doneA
		<-doneB
	})
}

// A hand-over that is applied minutes late, when its outcome was long settled, must
// not move the jobs: its guards name the keys as they were.
func TestLateHandOverMovesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		var late atomic.Bool
		view := &testkit.View{Store: store, Late: late.Load}
		ctx, cancel := context.WithCancel(context.Background())
		a, b := member(view, "a"), member(&testkit.View{Store: store}, "b")
		doneA := run(ctx, a)
		time.Sleep(time.Second)
		doneB := run(ctx, b)
		time.Sleep(time.Second)
		late.Store(true)
		if err := a.TransferShards(ctx, "b"); err == nil {
			t.Error("handed over without an answer")
		}
		late.Store(false)
		time.Sleep(3 * time.Second)
		if len(a.OwnedShards()) != 4 {
			t.Fatalf("not taken back: a owns %v", a.OwnedShards())
		}
		view.Deliver()
		time.Sleep(time.Second)
		if len(a.OwnedShards()) != 4 || len(b.OwnedShards()) != 0 {
			t.Errorf("after the late copy a owns %v, b %v", a.OwnedShards(), b.OwnedShards())
		}
		cancel()
		<-doneA
		<-doneB
	})
}

// No two controllers own a shard at a time, whatever is handed over, crashes,
// is cut off, lost or late; and in the end somebody owns every one.
func TestHandOverHasOneOwner(t *testing.T) {
	names := []string{"a", "b", "c"}
	type step struct {
		Act, Who, To int
		Wait         int
	}
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{rapid.IntRange(0, 5).Draw(rt, "act"), rapid.IntRange(0, 2).Draw(rt, "who"), rapid.IntRange(0, 2).Draw(rt, "to"), rapid.IntRange(0, 4000).Draw(rt, "wait")}
		}), 1, 12).Draw(rt, "steps")
		seed := rapid.Uint64().Draw(rt, "seed")
		wrong := ""
		synctest.Test(t, func(*testing.T) {
			var drawing sync.Mutex // all members ask
			rnd := rand.New(rand.NewPCG(seed, 1))
			draw := func(n int) int {
				drawing.Lock()
				defer drawing.Unlock()
				return rnd.IntN(n)
			}
			store := testkit.NewStore()
			var members [3]*membership.Member
			var stops [3]func()
			var dones [3]<-chan struct{}
			var down [3]*atomic.Bool
			var views [3]*testkit.View
			var calm atomic.Bool
			start := func(i int) {
				down[i] = &atomic.Bool{}
				views[i] = &testkit.View{
					Store: store, Down: down[i].Load,
					Lose: func() bool { return !calm.Load() && draw(6) == 0 }, Late: func() bool { return !calm.Load() && draw(6) == 0 },
				}
				if !calm.Load() {
					// Else both controllers would hear of a change at the same instant.
					lag := time.Duration(draw(120)) * time.Millisecond
					views[i].Lag = func() time.Duration { return lag }
				}
				ctx, cancel := context.WithCancel(context.Background())
				members[i] = member(views[i], names[i])
				stops[i], dones[i] = cancel, run(ctx, members[i])
			}
			watch := func(d time.Duration) {
				for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
					owner := map[int]int{}
					for i, m := range members {
						for s := range m.OwnedShards() {
							// A hand-over may end between one look and the next: two
							// own a shard only if the first still does.
							if k, two := owner[s]; two {
								if _, still := members[k].OwnsShard(s); still {
									wrong = fmt.Sprintf("shard %d is owned by %s and %s", s, names[k], names[i])
								}
							}
							owner[s] = i
						}
					}
				}
			}
			for i := range names {
				start(i)
			}
			watch(time.Second)
			for _, st := range steps {
				switch st.Act {
				case 0, 1, 2:
					giver := members[st.Who]
					go func() { _ = giver.TransferShards(context.Background(), names[st.To]) }() // may fail
				case 3:
					down[st.Who].Store(!down[st.Who].Load())
				case 4:
					stops[st.Who]()
					<-dones[st.Who]
					start(st.Who)
				case 5:
					views[st.Who].Deliver()
				}
				watch(time.Duration(st.Wait) * time.Millisecond)
			}
			calm.Store(true)
			for i := range names {
				down[i].Store(false)
				views[i].Deliver()
			}
			watch(5 * ttl)
			total := 0
			for _, m := range members {
				total += len(m.OwnedShards())
			}
			if total != 4 && wrong == "" {
				wrong = fmt.Sprintf("%d of 4 shards are owned in the end", total)
			}
			for i := range names {
				stops[i]()
				<-dones[i]
			}
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}
