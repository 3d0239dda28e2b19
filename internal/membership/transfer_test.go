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

// A controller must not reclaim shards while their transfer is in flight: the reclaim usually
// wins, and the jobs stay two seconds longer with a leader that receives no heartbeats.
// Transfers are counted, also by a controller that joins later.
func TestTransferInFlightIsNotReclaimed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		slow := func() bool { time.Sleep(20 * time.Millisecond); return false }
		ctx, cancel := context.WithCancel(context.Background())
		a, b := newMember(&testkit.View{Store: store, Unavailable: slow}, "a"), newMember(&testkit.View{Store: store}, "b")
		doneA := startMember(ctx, a)
		time.Sleep(time.Second)
		doneB := startMember(ctx, b)
		time.Sleep(time.Second)
		if err := a.TransferShards(ctx, "b"); err != nil {
			t.Error(err)
		}
		time.Sleep(time.Second)
		if len(a.LedShards()) != 0 || len(b.LedShards()) != 4 {
			t.Errorf("a leads %v, b %v", a.LedShards(), b.LedShards())
		}
		c := newMember(&testkit.View{Store: store}, "c")
		doneC := startMember(ctx, c)
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

// A peer sees a joining controller's key before the joiner receives its own response, and may
// transfer the shards to it then. The joiner's watch then reports shards under a lease that the
// joiner does not yet know to be its own. It must lead them nevertheless: otherwise all others
// regard it as the leader, and nobody serves the jobs.
func TestTransferToJoiningController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		ctx, cancel := context.WithCancel(context.Background())
		a := newMember(&testkit.View{Store: store}, "a")
		b := newMember(&testkit.View{Store: store, ResponseDelay: func() time.Duration { return 800 * time.Millisecond }}, "b")
		doneA := startMember(ctx, a)
		time.Sleep(time.Second)
		doneB := startMember(ctx, b)
		for !a.Alive("b") {
			time.Sleep(10 * time.Millisecond)
		}
		if err := a.TransferShards(ctx, "b"); err != nil {
			t.Error(err)
		}
		if b.FencingToken() != 0 {
			t.Error("the joiner has received its response already")
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

// A transfer that is applied minutes late, after its outcome was settled, must not move the
// shards: its conditions name the earlier versions of the keys.
func TestLateTransferMovesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := testkit.NewStore()
		var late atomic.Bool
		view := &testkit.View{Store: store, Hold: late.Load}
		ctx, cancel := context.WithCancel(context.Background())
		a, b := newMember(view, "a"), newMember(&testkit.View{Store: store}, "b")
		doneA := startMember(ctx, a)
		time.Sleep(time.Second)
		doneB := startMember(ctx, b)
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

// faultyCluster is three controllers whose connections to the state service fail, lose
// responses and delay requests, until faultsEnded is set.
type faultyCluster struct {
	store       *testkit.Store
	faultsEnded atomic.Bool
	members     [clusterSize]*membership.Member
	stops       [clusterSize]func()
	down        [clusterSize]*atomic.Bool
	views       [clusterSize]*testkit.View
	violation   string // a violation found: a shard with two leaders, or without one in the end

	rndMu sync.Mutex // guards rnd, which all members use
	rnd   *rand.Rand
}

func newFaultyCluster(seed uint64) *faultyCluster {
	cluster := &faultyCluster{store: testkit.NewStore(), rnd: rand.New(rand.NewPCG(seed, 1))}
	for i := range clusterSize {
		cluster.start(i)
	}
	return cluster
}

func (c *faultyCluster) draw(n int) int {
	c.rndMu.Lock()
	defer c.rndMu.Unlock()
	return c.rnd.IntN(n)
}

func (c *faultyCluster) drawFault() bool { return !c.faultsEnded.Load() && c.draw(6) == 0 }

func (c *faultyCluster) start(i int) {
	c.down[i] = &atomic.Bool{}
	c.views[i] = &testkit.View{Store: c.store, Unavailable: c.down[i].Load, LoseResponse: c.drawFault, Hold: c.drawFault}
	if !c.faultsEnded.Load() {
		// Otherwise all controllers would receive an update at the same instant.
		lag := time.Duration(c.draw(120)) * time.Millisecond
		c.views[i].WatchLag = func() time.Duration { return lag }
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.members[i] = newMember(c.views[i], clusterNodes[i:i+1])
	done := startMember(ctx, c.members[i])
	c.stops[i] = func() { cancel(); <-done }
}

// checkLeadersFor checks for the given time that no shard has two leaders.
func (c *faultyCluster) checkLeadersFor(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		leaders := map[int]int{}
		for i, m := range c.members {
			for shard := range m.LedShards() {
				c.checkSecondLeader(shard, i, leaders)
				leaders[shard] = i
			}
		}
	}
}

// checkSecondLeader records a violation if a shard has a second leader. A transfer may end
// between the two checks: the shard has two leaders only if the first one still leads it.
func (c *faultyCluster) checkSecondLeader(shard, leader int, leaders map[int]int) {
	first, alreadyLed := leaders[shard]
	if !alreadyLed {
		return
	}
	if _, stillLeads := c.members[first].LeadsShard(shard); stillLeads {
		c.violation = fmt.Sprintf("shard %d is led by %c and %c", shard, clusterNodes[first], clusterNodes[leader])
	}
}

// endFaults ends all faults, and checks that every shard is led in the end.
func (c *faultyCluster) endFaults() {
	c.faultsEnded.Store(true)
	for i := range clusterSize {
		c.down[i].Store(false)
		c.views[i].ApplyHeld()
	}
	c.checkLeadersFor(5 * ttl)
	total := 0
	for _, m := range c.members {
		total += len(m.LedShards())
	}
	if total != 4 && c.violation == "" {
		c.violation = fmt.Sprintf("%d of 4 shards are led in the end", total)
	}
	for _, stop := range c.stops {
		stop()
	}
}

// clusterStep is one fault or transfer, and the time after it.
type clusterStep struct {
	Action, Member, To int
	WaitMs             int
}

func drawClusterStep(rt *rapid.T) clusterStep {
	return clusterStep{
		rapid.IntRange(0, 5).Draw(rt, "act"), rapid.IntRange(0, 2).Draw(rt, "who"),
		rapid.IntRange(0, 2).Draw(rt, "to"), rapid.IntRange(0, 4000).Draw(rt, "wait"),
	}
}

func (c *faultyCluster) apply(step clusterStep) {
	switch step.Action {
	case 0, 1, 2:
		from := c.members[step.Member]
		go func() { _ = from.TransferShards(context.Background(), clusterNodes[step.To:step.To+1]) }() // may fail
	case 3:
		c.down[step.Member].Store(!c.down[step.Member].Load())
	case 4:
		c.stops[step.Member]()
		c.start(step.Member)
	case 5:
		c.views[step.Member].ApplyHeld()
	}
	c.checkLeadersFor(time.Duration(step.WaitMs) * time.Millisecond)
}

// No two controllers lead a shard at the same time, whatever transfers, crashes, partitions, lost
// responses and delays occur; and in the end every shard is led.
func TestTransferKeepsOneLeaderPerShard(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawClusterStep), 1, 12).Draw(rt, "steps")
		seed := rapid.Uint64().Draw(rt, "seed")
		violation := ""
		synctest.Test(t, func(*testing.T) {
			c := newFaultyCluster(seed)
			c.checkLeadersFor(time.Second)
			for _, step := range steps {
				c.apply(step)
			}
			c.endFaults()
			violation = c.violation
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}
