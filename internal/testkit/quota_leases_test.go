package testkit_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/quota"
	"github.com/wallrack/wallrack/internal/quotalease"
	"github.com/wallrack/wallrack/internal/wire"
)

// onLentCluster plays a test on a new cluster whose shards are spread over two of three
// controllers, with limited teams whose jobs belong to all shards.
func onLentCluster(t *testing.T, seed uint64, play func(c *teamCluster)) {
	playOn(t, seed, 3, 8, func(w *cluster) {
		w.leaderCount = 2
		w.cfg.Params.Teams = limitedTeams
	}, func(w *cluster) { play(&teamCluster{w}) })
}

// owningNodes names the controllers that own jobs.
func (w *cluster) owningNodes() (names []string) {
	for _, n := range w.names {
		if x := w.nodes[n]; !x.down && len(x.member.LedShards()) > 0 {
			names = append(names, n)
		}
	}
	return names
}

// twoOwners waits until two controllers own jobs: the first one gives half of them up.
func (c *teamCluster) twoOwners() []string {
	c.t.Helper()
	if !c.within(30, func() bool { return len(c.owningNodes()) == 2 }) {
		c.t.Fatalf("owners %v, want two", c.owningNodes())
	}
	return c.owningNodes()
}

// jobAt submits a job of a limited team to a shard of a leader, and returns its name: the
// first free one from a number on.
func (c *teamCluster) jobAt(at string, from int, team, priority string, tasks int, cpus float64) string {
	c.t.Helper()
	return c.jobIn(c.nodes[at].member.LedShards(), from, team, priority, tasks, cpus)
}

// jobIn is jobAt for any of some shards.
func (c *teamCluster) jobIn(shards map[int]uint64, from int, team, priority string, tasks int, cpus float64) string {
	c.t.Helper()
	teams, op := c.cfg.Params.Teams, c.operator()
	for i := from; i < from+1000; i++ {
		uid := fmt.Sprintf("j-%d", i)
		if c.specs[uid] != nil {
			continue
		}
		job := arrayJob(uid, tasks)
		job.Team, job.Priority, job.CPUs = team, priority, cpus
		if _, there := shards[quota.AssignShard(job, teams, op)]; there {
			c.submitJob(job, nil)
			return uid
		}
	}
	c.t.Fatalf("no job falls to the shards %v", shards)
	return ""
}

// bothAtWork is a cluster with two leaders that both run tasks of both limited teams, and
// have more: short tasks, and ones that run for long.
func bothAtWork(t *testing.T, seed uint64, play func(c *teamCluster, owners, jobs, long []string)) {
	onLentCluster(t, seed, func(c *teamCluster) {
		owners := c.twoOwners()
		jobs, long := make([]string, 0, 4*len(owners)+1), make([]string, 0, 2*len(owners))
		for _, o := range owners {
			for _, team := range []string{"capped", "assured"} {
				long = append(long, c.jobAt(o, 80, team, "normal", 2, 1))
				jobs = append(jobs, c.jobAt(o, 1000, team, "normal", 12, 1), c.jobAt(o, 1000, team, "urgent", 3, 2))
			}
		}
		jobs = append(jobs, "j-1")
		c.job("j-1", "t", "low", 20, 1)
		if !c.within(60, func() bool { return c.runsAll(long) && c.startedAny(jobs[0]) && c.startedAny(jobs[3]) }) {
			c.t.Fatalf("tasks of %v and %v and %v do not all run; in use: %v; records %v", long, jobs[0], jobs[3], c.standing().on, c.lentRecords())
		}
		play(c, owners, jobs, long)
	})
}

func (c *teamCluster) runsAll(jobs []string) bool {
	for _, uid := range jobs {
		if c.onMachines(uid) == 0 {
			return false
		}
	}
	return true
}

func (c *teamCluster) startedAny(uid string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsOf[uid] > 0
}

func (c *teamCluster) lentRecords() (out []string) {
	for _, key := range c.store.Keys(quotalease.Prefix) {
		out = append(out, key+" "+c.store.Text(key))
	}
	return out
}

// lentTo is how many CPUs of a team's limit the shards of a leader have.
func (c *teamCluster) lentTo(at, team string) (cpus float64) {
	c.t.Helper()
	record, err := quotalease.Parse([]byte(c.store.Text(quotalease.Key(quotalease.RecordOf(team)))), c.operator().Shards)
	if err != nil {
		c.t.Fatal(err)
	}
	own := c.nodes[at].member.LedShards()
	for _, row := range record.Rows {
		if _, mine := own[row.Shard]; mine {
			cpus += float64(row.Teams[team].Part[0]) / 1000
		}
	}
	return cpus
}

// A limited team's work is at one leader, then at the other: each time the whole limit is
// there within two seconds, and in use soon after. No message is lost.
func TestQuotaLeasesFollowDemand(t *testing.T) {
	onLentCluster(t, 5001, func(c *teamCluster) {
		c.mu.Lock()
		c.reliableStore, c.losslessReports, c.promptCommands = true, true, true
		c.mu.Unlock()
		owners := c.twoOwners()
		c.live(5)
		for i, o := range []string{owners[0], owners[1], owners[0]} {
			uid := c.jobAt(o, 1000, "capped", "normal", 16, 1)
			if !c.within(2, func() bool { return c.lentTo(o, "capped") == 8 }) {
				c.t.Errorf("%d: %s has %v of 8 CPUs; records %v", i, o, c.lentTo(o, "capped"), c.lentRecords())
			}
			if !c.within(8, func() bool { return c.standing().use["capped"] == 8 }) {
				c.t.Errorf("%d: %s uses %v of 8 CPUs; records %v", i, o, c.standing().use["capped"], c.lentRecords())
			}
			if !c.within(120, c.ended(uid)) {
				c.t.Fatalf("%s did not end", uid)
			}
		}
	})
}

// Both leaders run tasks of limited teams when one of them ends, is back within a second,
// hands its shards over, or is cut off from all or from the state service alone, or when
// both end, and jobs are cancelled at the same time. No limit is exceeded, what was cancelled
// is gone in time, the other work ends, and nothing waits beside room in the end.
func TestQuotaLeasesHoldWhenALeaderFails(t *testing.T) {
	changes := []struct {
		name string
		make func(c *teamCluster, owner, other string)
	}{
		{"it ends", func(c *teamCluster, owner, _ string) { c.crash(owner) }},
		{"it is back within a second", func(c *teamCluster, owner, _ string) { c.restart(owner, 400*time.Millisecond) }},
		{"it hands over", func(c *teamCluster, owner, other string) {
			_ = c.nodes[owner].member.TransferShards(context.Background(), other) // what became of it is looked at
		}},
		{"it is cut off", func(c *teamCluster, owner, _ string) {
			c.cutAll(owner, append(c.workerNames(), append(c.others(owner), stateService)...)...)
		}},
		{"it loses the state service", func(c *teamCluster, owner, _ string) { c.cutAll(owner, stateService) }},
		{"both end", func(c *teamCluster, owner, other string) { c.crash(owner); c.crash(other) }},
	}
	for i, change := range changes {
		for _, cancel := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, cancelled %v", change.name, cancel), func(t *testing.T) {
				bothAtWork(t, uint64(5100+i), func(c *teamCluster, owners, jobs, long []string) {
					if cancel {
						c.cancelAll(owners[0], long[:2], 1)
					}
					change.make(c, owners[0], owners[1])
					if cancel {
						c.cancelAll(owners[1], long[2:], 1)
					}
					c.live(25)
					c.startAll()
					c.healed()
					c.live(10)
					if !cancel {
						c.cancelAll(c.owningNodes()[0], long, 30)
					}
					c.cancelAll(c.owningNodes()[0], long, 30)
					c.finishes(jobs...)
				})
			})
		}
	}
}

// A leader's writes of the records are held up on their way, as of a process that stood
// still: it loses its shards meanwhile, and they arrive when its successor leases limits already.
// Whatever comes of them, no limit is exceeded, and the work ends.
func TestLateQuotaLeaseWritesAfterFailover(t *testing.T) {
	for seed, by := range []time.Duration{3 * time.Second, 9 * time.Second, 20 * time.Second} {
		t.Run(fmt.Sprint(by), func(t *testing.T) {
			bothAtWork(t, uint64(5300+seed), func(c *teamCluster, owners, jobs, long []string) {
				held := 0
				c.mu.Lock()
				c.delay = func(n *node, t wire.Txn) (time.Duration, func(error)) {
					for _, op := range t.Then {
						if n.name == owners[0] && strings.HasPrefix(op.Put, quotalease.Prefix) {
							held++
							return by, func(error) {}
						}
					}
					return 0, nil
				}
				c.mu.Unlock()
				c.live(6)
				c.cutAll(owners[0], stateService)
				c.cancelAll(owners[1], long, 10)
				c.live(15)
				c.mu.Lock()
				c.delay = nil
				c.mu.Unlock()
				c.healed()
				if held == 0 {
					c.t.Errorf("no write was held up")
				}
				c.cancelAll(c.owningNodes()[0], long, 30)
				c.finishes(jobs...)
			})
		})
	}
}

// restartAllWith stops all controllers until their leases have ended, and starts them with
// another number of leaders.
func (c *teamCluster) restartAllWith(spread int) {
	c.t.Helper()
	c.stopAll()
	time.Sleep(5500 * time.Millisecond) // workers' leases last longer: what runs goes on
	c.leaderCount = spread
	c.start(c.names[0])
	time.Sleep(1500 * time.Millisecond)
	c.startAll()
	c.live(15)
	if at := c.owningNodes(); len(at) != spread {
		c.t.Fatalf("owners %v, want %d", at, spread)
	}
}

// A team's whole limit is in use in one shard, and leased to it, when one leader gets all shards by failover
// alone; under it that work is cancelled, and all of the limit used in another shard, of
// which no record of leased limits tells. With two leaders again, work for the first shard
// must not start with the part that the record has.
func TestUnleasedUseCountsWhenQuotaIsLeasedAgain(t *testing.T) {
	onLentCluster(t, 5500, func(c *teamCluster) {
		c.twoOwners()
		c.live(5)
		alone := c.operator()
		alone.ShardControllers = 1
		home := quota.AssignShard(&wire.Job{Team: "capped"}, limitedTeams, alone) // of all such jobs that one leader accepts
		first := map[int]uint64{(home + 1) % alone.Shards: 1}
		uses := func(uid string) func() bool { return func() bool { return c.onMachines(uid) == 8 } }
		before := c.jobIn(first, 80, "capped", "normal", 8, 1)
		if !c.within(30, uses(before)) {
			c.t.Fatalf("%s has %d tasks on", before, c.onMachines(before))
		}
		c.restartAllWith(1)
		under := c.jobIn(map[int]uint64{home: 1}, 80, "capped", "normal", 8, 1)
		c.cancelAll(c.owningNodes()[0], []string{before}, 10)
		if !c.within(60, uses(under)) {
			c.t.Fatalf("%s has %d tasks on", under, c.onMachines(under))
		}
		c.leaderCount = 2 // of who accepts the next job, already
		after := c.jobIn(first, 1000, "capped", "normal", 8, 1)
		c.restartAllWith(2)
		c.live(30)
		if n := c.onMachines(under); n == 0 {
			c.t.Errorf("nothing of %s is on any more", under)
		}
		c.cancelAll(c.owningNodes()[0], []string{under}, 10)
		c.finishes(after)
	})
}

// All controllers stop until their leases have ended, and start again with one leader, and
// then with two, while tasks of limited teams run for long in all shards: what the one leader started is in no record of
// leased limits, and counts all the same.
func TestQuotaHoldsWhenLeaderCountChanges(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bothAtWork(t, 5400+seed, func(c *teamCluster, _, jobs, long []string) {
				next := 81 // what runs for long
				for _, spread := range []int{1, 2, 1, 2} {
					c.restartAllWith(spread)
					c.cancelAll(c.owningNodes()[0], long[:2], 20)
					for _, team := range []string{"capped", "assured"} {
						at := c.owningNodes()
						uid := c.jobAt(at[len(at)-1], next, team, "production", 2, 1)
						long = append(long[1:], uid)
					}
					c.live(15)
				}
				for range 2 {
					c.cancelAll(c.owningNodes()[0], long, 30)
				}
				for _, uid := range c.store.Keys("live/") {
					if uid = strings.TrimPrefix(uid, "live/"); strings.HasPrefix(uid, "j-8") || strings.HasPrefix(uid, "j-9") {
						c.cancelAll(c.owningNodes()[0], []string{uid}, 30)
					}
				}
				c.finishes(jobs...)
			})
		})
	}
}

// Under drawn faults, with lost, late and repeated writes, no limit that is leased is
// exceeded, and all work ends.
func TestQuotaLeasesUnderDrawnFaults(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			onLentCluster(t, 5200+seed, func(c *teamCluster) {
				c.keepCuts = false
				jobs := make([]string, 0, 16)
				for i := range cap(jobs) {
					uid := fmt.Sprintf("j-%d", 1000+i)
					c.job(uid, []string{"capped", "assured"}[i%2], []string{"normal", "urgent", "low"}[i%3], 4+i%5, float64(1+i%3))
					jobs = append(jobs, uid)
				}
				calm := time.Now().Add(2 * time.Minute)
				for i := 0; !c.ended(jobs...)(); i++ {
					if i == 900 {
						c.t.Fatalf("only %v ended; records %v", c.store.Keys("final/"), c.lentRecords())
					}
					c.reportAll()
					c.step(calm)
					if !time.Now().Before(calm) {
						c.startAll()
					}
				}
			})
		})
	}
}
