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

// limitedTeams are two teams with limits, one of them also with a guarantee, and team "t" with
// neither. The workers have far more CPUs than both limits together.
var limitedTeams = []config.Team{{Name: "t"}, {Name: "capped", CPUsMax: 8}, {Name: "assured", CPUs: 4, CPUsMax: 6}}

// teamCluster is a cluster with the teams of limitedTeams.
type teamCluster struct {
	*cluster
}

// onTeamsAtLimits runs a test on a new cluster whose limited teams are at their limits with the
// long tasks of jobs j-80 to j-83, and have more tasks queued. Lost messages are the only random
// faults.
func onTeamsAtLimits(t *testing.T, seed uint64, play func(c *teamCluster)) {
	runOnClusterWithTeams(t, seed, limitedTeams, 3, 8, func(w *cluster) {
		w.submitArray("j-80", "capped", "normal", 3, 1)
		w.submitArray("j-81", "capped", "low", 2, 2)
		w.submitArray("j-82", "assured", "normal", 3, 1)
		w.submitArray("j-83", "assured", "urgent", 1, 2)
		w.runFor(8)
		w.submitArray("j-1", "capped", "normal", 12, 1)
		w.submitArray("j-2", "capped", "urgent", 4, 2)
		w.submitArray("j-3", "assured", "normal", 12, 1)
		w.submitArray("j-4", "assured", "production", 4, 2)
		w.submitArray("j-5", "t", "low", 20, 1)
		w.runFor(6)
		c := &teamCluster{w}
		c.checkAtLimits()
		play(c)
	})
}

func (c *teamCluster) checkAtLimits() {
	c.t.Helper()
	for _, team := range []string{"capped", "assured"} {
		if !c.waitsOnlyForLimit(team) {
			c.t.Errorf("no task of team %s waits only for its team's limit; CPUs in use: %v", team, c.snapshot().use)
		}
	}
}

// awaitCompletion runs the cluster until the given jobs of short tasks have ended. From now on no
// task may wait for too long while a worker can run it, even during faults.
func (c *teamCluster) awaitCompletion(short ...string) {
	c.t.Helper()
	c.waits.checkAlways()
	c.runFor(30)
	for i := 0; !c.jobsEnded(short...)(); i++ {
		if i == 300 {
			c.t.Fatalf("only %v ended; CPUs in use: %v", c.store.Keys("final/"), c.snapshot().use)
		}
		c.runFor(1)
	}
}

// limitFailover is an event that makes the leader change.
type limitFailover struct {
	name  string
	begin func(c *teamCluster, first string)
}

var limitFailovers = []limitFailover{
	{"the leader crashes", func(c *teamCluster, first string) { c.crash(first) }},
	{"it restarts within a second", func(c *teamCluster, first string) { c.restart(first, 400*time.Millisecond) }},
	{"it transfers its shards", func(c *teamCluster, first string) {
		_ = c.nodes[first].member.TransferShards(context.Background(), c.otherControllers(first)[0]) // the test checks the result
	}},
}

// Both teams are at their limits when workers with their tasks are cut off or hang, the leader
// changes, and some of their jobs are cancelled: before the change, while no controller leads, or
// through the new leader. From its first grant on, the new leader must count all tasks that may
// still run towards the limits. Tasks that continue after a hang also count, and stop in time if
// cancelled. Finally no task waits while a worker can run it.
func TestTeamLimitHoldsOverFailover(t *testing.T) {
	for _, hang := range []bool{false, true} {
		for i, failover := range limitFailovers {
			for when, name := range []string{"before it", "at once after it", "through the new leader"} {
				t.Run(fmt.Sprintf("hang %v, %s, cancelled %s", hang, failover.name, name), func(t *testing.T) {
					onTeamsAtLimits(t, uint64(2000+10*i+when), func(c *teamCluster) {
						unreachable, cut := c.failOverAtLimits(t, failover, hang, when)
						c.recoverAtLimits(t, unreachable, cut, hang, when)
					})
				})
			}
		}
	}
}

// failOverAtLimits hangs or cuts off workers with tasks of both teams, cancels those tasks' jobs
// and changes the leader. The cancels come before the change (when is 0), right after it (1), or
// through the new leader (2). It returns all these workers, and those of them that are cut off.
func (c *teamCluster) failOverAtLimits(t *testing.T, failover limitFailover, hang bool, when int) (unreachable, cut []*testkit.Worker) {
	t.Helper()
	jobs := []string{"j-80", "j-82"}
	unreachable = append(c.workersWithTasksOf("j-80"), c.workersWithTasksOf("j-82")...)
	cut = unreachable
	if hang {
		c.hang(unreachable...)
		cut = unreachable[:len(unreachable)/2] // the others receive the messages sent meanwhile when they resume
	}
	for _, k := range cut {
		c.breakLinks(k.Name, c.controllerNames...)
	}
	first := c.leader()
	before := c.nodes[first].member.LedShards()
	at := c.otherControllers(first)[1]
	confirm := func(seconds int) {
		if n := c.cancelJobs(at, jobs, seconds); n != len(jobs) {
			t.Fatalf("only %d of %d cancels were confirmed", n, len(jobs))
		}
	}
	if when == 0 {
		confirm(3)
	}
	c.checkAtLimits()
	failover.begin(c, first)
	if when == 2 && !c.runUntil(6, func() bool { return c.leader() != "" }) {
		t.Fatal("no controller leads")
	}
	if when > 0 {
		confirm(6)
	}
	if l := c.leader(); l == first && maps.Equal(before, c.nodes[first].member.LedShards()) {
		t.Fatal("the leader did not change")
	}
	if n := c.unfinishedTasks("j-80") + c.unfinishedTasks("j-82"); n != 6 {
		t.Fatalf("%d cancelled tasks are on unreachable workers, not 6", n)
	}
	c.checkAtLimits()
	return unreachable, cut
}

// recoverAtLimits resumes the workers and heals their links, some later than others, and waits
// until all jobs of short tasks have ended.
func (c *teamCluster) recoverAtLimits(t *testing.T, unreachable, cut []*testkit.Worker, hang bool, when int) {
	t.Helper()
	if hang {
		c.resume(unreachable...)
		if n := c.unfinishedTasks("j-80") + c.unfinishedTasks("j-82"); n == 0 {
			t.Fatal("no cancelled task continued after its worker's hang")
		}
		c.runFor(1)
	} else {
		c.runFor(4)
	}
	for _, k := range cut[:1+when] {
		c.healLinks(k.Name, c.controllerNames...)
	}
	c.deliverHeldCommands()
	c.startStopped()
	c.runFor(12) // the leases of workers that are still cut off end
	for _, k := range cut {
		c.healLinks(k.Name, c.controllerNames...)
	}
	c.deliverHeldCommands()
	c.awaitCompletion("j-1", "j-2", "j-3", "j-4", "j-5", "j-80", "j-82")
	for uid, n := range map[string]int{"j-81": 2, "j-83": 1} {
		if !c.runUntil(30, func() bool { return c.unfinishedTasks(uid) == n }) {
			t.Errorf("%d of %d long tasks of %s are running", c.unfinishedTasks(uid), n, uid)
		}
	}
	t.Logf("longest wait despite free capacity: %v", c.waits.longest)
}
