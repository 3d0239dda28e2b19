package testkit_test

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/testkit"
)

// Two teams with limits, one of them with a guarantee; team "t" has neither. The workers
// have room for much more than both may use.
var limitedTeams = []config.Team{{Name: "t"}, {Name: "capped", CPUsMax: 8}, {Name: "assured", CPUs: 4, CPUsMax: 6}}

// teamCluster is a cluster in which both limited teams are at their limits.
type teamCluster struct {
	*cluster
}

// onTeamsAtLimits plays on a new cluster whose limited teams stand at their limits with jobs
// j-80 to j-83 of long tasks, and have more work. Nothing is drawn but lost messages.
func onTeamsAtLimits(t *testing.T, seed uint64, play func(c *teamCluster)) {
	onClusterWith(t, seed, limitedTeams, 3, 8, func(w *cluster) {
		w.job("j-80", "capped", "normal", 3, 1)
		w.job("j-81", "capped", "low", 2, 2)
		w.job("j-82", "assured", "normal", 3, 1)
		w.job("j-83", "assured", "urgent", 1, 2)
		w.live(8)
		w.job("j-1", "capped", "normal", 12, 1)
		w.job("j-2", "capped", "urgent", 4, 2)
		w.job("j-3", "assured", "normal", 12, 1)
		w.job("j-4", "assured", "production", 4, 2)
		w.job("j-5", "t", "low", 20, 1)
		w.live(6)
		c := &teamCluster{w}
		c.checkAtLimits()
		play(c)
	})
}

func (c *teamCluster) checkAtLimits() {
	c.t.Helper()
	for _, team := range []string{"capped", "assured"} {
		if !c.waitsOnlyForLimit(team) {
			c.t.Errorf("no task of team %s waits for its limit alone; in use: %v", team, c.snapshot().use)
		}
	}
}

// awaitCompletion lives until all that was not cancelled has ended, or runs for long.
func (c *teamCluster) awaitCompletion(short ...string) {
	c.t.Helper()
	c.waits.checkAlways()
	c.live(30)
	for i := 0; !c.ended(short...)(); i++ {
		if i == 300 {
			c.t.Fatalf("only %v ended; in use: %v", c.store.Keys("final/"), c.snapshot().use)
		}
		c.live(1)
	}
}

// limitFailover is a way in which the leader changes.
type limitFailover struct {
	name  string
	begin func(c *teamCluster, first string)
}

var limitFailovers = []limitFailover{
	{"the leader ends", func(c *teamCluster, first string) { c.crash(first) }},
	{"it is back within a second", func(c *teamCluster, first string) { c.restart(first, 400*time.Millisecond) }},
	{"it hands over", func(c *teamCluster, first string) {
		_ = c.nodes[first].member.TransferShards(context.Background(), c.others(first)[0]) // what became of it is looked at
	}},
}

// Both teams are at their limits when workers with their tasks are cut off or hang, the
// leader changes, and jobs of theirs are cancelled: before the change, while nobody
// leads, or through the new leader. What may still run counts from the new leader's first
// grant on, what goes on after its worker hung counts and is gone in time, and in the
// end nothing waits beside room.
func TestTeamLimitHoldsOverFailover(t *testing.T) {
	for _, hang := range []bool{false, true} {
		for i, failover := range limitFailovers {
			for when, name := range []string{"before it", "at once after it", "through the new leader"} {
				t.Run(fmt.Sprintf("hang %v, %s, cancelled %s", hang, failover.name, name), func(t *testing.T) {
					onTeamsAtLimits(t, uint64(2000+10*i+when), func(c *teamCluster) {
						away, cut := c.failOverAtLimits(t, failover, hang, when)
						c.recoverAtLimits(t, away, cut, hang, when)
					})
				})
			}
		}
	}
}

// failOverAtLimits has workers with tasks of both teams hang or cut off, jobs cancelled and the
// leader changed. It returns those workers, and of them those that are cut off.
func (c *teamCluster) failOverAtLimits(t *testing.T, failover limitFailover, hang bool, when int) (away, cut []*testkit.Worker) {
	t.Helper()
	jobs := []string{"j-80", "j-82"}
	away = append(c.machinesOf("j-80"), c.machinesOf("j-82")...)
	cut = away
	if hang {
		c.hang(away...)
		cut = away[:len(away)/2] // the others get what was sent when they go on
	}
	for _, k := range cut {
		c.cutAll(k.Name, c.names...)
	}
	first := c.leader()
	before := c.nodes[first].member.LedShards()
	at := c.others(first)[1]
	confirm := func(seconds int) {
		if n := c.cancelAll(at, jobs, seconds); n != len(jobs) {
			t.Fatalf("%d of %d cancels are confirmed", n, len(jobs))
		}
	}
	if when == 0 {
		confirm(3)
	}
	c.checkAtLimits()
	failover.begin(c, first)
	if when == 2 && !c.within(6, func() bool { return c.leader() != "" }) {
		t.Fatal("nobody leads")
	}
	if when > 0 {
		confirm(6)
	}
	if l := c.leader(); l == first && maps.Equal(before, c.nodes[first].member.LedShards()) {
		t.Fatal("the leader did not change")
	}
	if n := c.onMachines("j-80") + c.onMachines("j-82"); n != 6 {
		t.Fatalf("%d cancelled tasks are on machines that nobody reaches", n)
	}
	c.checkAtLimits()
	return away, cut
}

// recoverAtLimits has the workers go on, some later than others, and all work end.
func (c *teamCluster) recoverAtLimits(t *testing.T, away, cut []*testkit.Worker, hang bool, when int) {
	t.Helper()
	if hang {
		c.resume(away...)
		if n := c.onMachines("j-80") + c.onMachines("j-82"); n == 0 {
			t.Fatal("no cancelled task went on after its machine hung")
		}
		c.live(1)
	} else {
		c.live(4)
	}
	for _, k := range cut[:1+when] {
		c.healLinks(k.Name, c.names...)
	}
	c.release()
	c.startAll()
	c.live(12) // the others' leases end
	for _, k := range cut {
		c.healLinks(k.Name, c.names...)
	}
	c.release()
	c.awaitCompletion("j-1", "j-2", "j-3", "j-4", "j-5", "j-80", "j-82")
	for uid, n := range map[string]int{"j-81": 2, "j-83": 1} {
		if !c.within(30, func() bool { return c.onMachines(uid) == n }) {
			t.Errorf("%d of %d long tasks of %s are on", c.onMachines(uid), n, uid)
		}
	}
	t.Logf("longest wait beside room: %v", c.waits.longest)
}
