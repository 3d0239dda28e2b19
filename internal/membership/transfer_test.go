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

// A controller that looked for shards to reclaim while its transfer was under way won
// against itself: the jobs stayed two seconds longer with a leader that got no
// heartbeats. Transfers are counted, also by a controller that joins later.
func TestTransferInFlightIsNotReclaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		slow := func() bool { time.Sleep(20 * time.Millisecond); return false }
		ctx, cancel := context.WithCancel(context.Background())
		a, b := member(&testkit.View{Store: store, Unavailable: slow}, "a"), member(&testkit.View{Store: store}, "b")
		doneA := run(ctx, a)
		time.Sleep(time.Second)
		doneB := run(ctx, b)
		time.Sleep(time.Second)
		if err := a.TransferShards(ctx, "b"); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		if len(a.LedShards()) != 0 || len(b.LedShards()) != 4 {
			t.Errorf("a leads %v, b %v", a.LedShards(), b.LedShards())
		}
		c := member(&testkit.View{Store: store}, "c")
		doneC := run(ctx, c)
		time.Sleep(time.Second)
		if a.RecentTransfers(time.Minute) != 1 || c.RecentTransfers(time.Minute) != 1 || c.RecentTransfers(time.Second) != 0 {
			t.Errorf("transfers: a knows of %d, c of %d", a.RecentTransfers(time.Minute), c.RecentTransfers(time.Minute))
		}
		cancel()
		<-doneA
		<-doneB
		<-doneC
	})
}

// A peer sees a joining controller's key before that has its own response, and may
// transfer the shards to it then. The watch brought the joiner shards under a lease that
// it did not know as its own yet: it led nothing, all others took it for the leader, and
// nobody served any job again.
func TestTransferToJoiningController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		ctx, cancel := context.WithCancel(context.Background())
		a := member(&testkit.View{Store: store}, "a")
		b := member(&testkit.View{Store: store, ResponseDelay: func() time.Duration { return 800 * time.Millisecond }}, "b")
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
			t.Error("the joiner had its response already")
		}
		time.Sleep(3 * time.Second)
		if len(a.LedShards()) != 0 || len(b.LedShards()) != 4 {
			t.Errorf("a leads %v, b %v", a.LedShards(), b.LedShards())
		}
		cancel()
		<-doneA
		<-doneB
	})
}

// A transfer that is applied minutes late, when its outcome was long settled, must
// not move the shards: its guards name the keys as they were.
func TestLateTransferMovesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		var late atomic.Bool
		view := &testkit.View{Store: store, Hold: late.Load}
		ctx, cancel := context.WithCancel(context.Background())
		a, b := member(view, "a"), member(&testkit.View{Store: store}, "b")
		doneA := run(ctx, a)
		time.Sleep(time.Second)
		doneB := run(ctx, b)
		time.Sleep(time.Second)
		late.Store(true)
		if err := a.TransferShards(ctx, "b"); err == nil {
			t.Error("transferred without a response")
		}
		late.Store(false)
		time.Sleep(3 * time.Second)
		if len(a.LedShards()) != 4 {
			t.Fatalf("not reclaimed: a leads %v", a.LedShards())
		}
		view.ApplyHeld()
		time.Sleep(time.Second)
		if len(a.LedShards()) != 4 || len(b.LedShards()) != 0 {
			t.Errorf("after the late copy a leads %v, b %v", a.LedShards(), b.LedShards())
		}
		cancel()
		<-doneA
		<-doneB
	})
}

const (
	clusterSize  = 3
	clusterNodes = "abc"
)

// faultyCluster is three controllers whose connections to the state service fail,
// lose and delay requests, until calm is set.
type faultyCluster struct {
	store   *testkit.Store
	calm    atomic.Bool
	members [clusterSize]*membership.Member
	stops   [clusterSize]func()
	down    [clusterSize]*atomic.Bool
	views   [clusterSize]*testkit.View
	wrong   string // the first state in which a shard had two leaders

	drawing sync.Mutex // all members draw
	rnd     *rand.Rand
}

func newFaultyCluster(seed uint64) *faultyCluster {
	c := &faultyCluster{store: testkit.NewStore(), rnd: rand.New(rand.NewPCG(seed, 1))}
	for i := range clusterSize {
		c.start(i)
	}
	return c
}

func (c *faultyCluster) draw(n int) int {
	c.drawing.Lock()
	defer c.drawing.Unlock()
	return c.rnd.IntN(n)
}

func (c *faultyCluster) oneInSix() bool { return !c.calm.Load() && c.draw(6) == 0 }

func (c *faultyCluster) start(i int) {
	c.down[i] = &atomic.Bool{}
	c.views[i] = &testkit.View{Store: c.store, Unavailable: c.down[i].Load, LoseResponse: c.oneInSix, Hold: c.oneInSix}
	if !c.calm.Load() {
		// Else both controllers would get an update at the same instant.
		lag := time.Duration(c.draw(120)) * time.Millisecond
		c.views[i].WatchLag = func() time.Duration { return lag }
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.members[i] = member(c.views[i], clusterNodes[i:i+1])
	done := run(ctx, c.members[i])
	c.stops[i] = func() { cancel(); <-done }
}

// watch notes for a while whether a shard has two leaders.
func (c *faultyCluster) watch(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		leaders := map[int]int{}
		for i, m := range c.members {
			for shard := range m.LedShards() {
				c.compare(shard, i, leaders)
				leaders[shard] = i
			}
		}
	}
}

// compare notes a second leader of a shard. A transfer may end between one look and
// the next: two lead a shard only if the first still does.
func (c *faultyCluster) compare(shard, leader int, leaders map[int]int) {
	first, two := leaders[shard]
	if !two {
		return
	}
	if _, still := c.members[first].LeadsShard(shard); still {
		c.wrong = fmt.Sprintf("shard %d is led by %c and %c", shard, clusterNodes[first], clusterNodes[leader])
	}
}

// settle ends all faults, and notes whether every shard is led in the end.
func (c *faultyCluster) settle() {
	c.calm.Store(true)
	for i := range clusterSize {
		c.down[i].Store(false)
		c.views[i].ApplyHeld()
	}
	c.watch(5 * ttl)
	total := 0
	for _, m := range c.members {
		total += len(m.LedShards())
	}
	if total != 4 && c.wrong == "" {
		c.wrong = fmt.Sprintf("%d of 4 shards are led in the end", total)
	}
	for _, stop := range c.stops {
		stop()
	}
}

// clusterStep is one fault or transfer, and the time after it.
type clusterStep struct {
	Act, Who, To int
	Wait         int // ms
}

func drawClusterStep(rt *rapid.T) clusterStep {
	return clusterStep{
		rapid.IntRange(0, 5).Draw(rt, "act"), rapid.IntRange(0, 2).Draw(rt, "who"),
		rapid.IntRange(0, 2).Draw(rt, "to"), rapid.IntRange(0, 4000).Draw(rt, "wait"),
	}
}

func (c *faultyCluster) apply(step clusterStep) {
	switch step.Act {
	case 0, 1, 2:
		from := c.members[step.Who]
		go func() { _ = from.TransferShards(context.Background(), clusterNodes[step.To:step.To+1]) }() // may fail
	case 3:
		c.down[step.Who].Store(!c.down[step.Who].Load())
	case 4:
		c.stops[step.Who]()
		c.start(step.Who)
	case 5:
		c.views[step.Who].ApplyHeld()
	}
	c.watch(time.Duration(step.Wait) * time.Millisecond)
}

// No two controllers lead a shard at a time, whatever is transferred, crashes, is cut
// off, lost or late; and in the end somebody leads every one.
func TestTransferKeepsOneLeaderPerShard(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawClusterStep), 1, 12).Draw(rt, "steps")
		seed := rapid.Uint64().Draw(rt, "seed")
		wrong := ""
		synctest.Test(t, func(*testing.T) {
			c := newFaultyCluster(seed)
			c.watch(time.Second)
			for _, step := range steps {
				c.apply(step)
			}
			c.settle()
			wrong = c.wrong
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}
