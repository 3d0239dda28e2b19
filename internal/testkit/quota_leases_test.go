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

// onQuotaLeaseCluster runs a test on a new cluster with limited teams. Its shards are led by two
// of three controllers, and each team has jobs in all shards, so that team limits are leased.
func onQuotaLeaseCluster(t *testing.T, seed uint64, play func(c *teamCluster)) {
	runOnPreparedCluster(t, seed, 3, 8, func(w *cluster) {
		w.leaderCount = 2
		w.cfg.Params.Teams = limitedTeams
	}, func(w *cluster) { play(&teamCluster{w}) })
}

// shardLeaders returns the names of the running controllers that lead shards.
func (w *cluster) shardLeaders() (names []string) {
	for _, n := range w.controllerNames {
		if x := w.nodes[n]; !x.down && len(x.member.LedShards()) > 0 {
			names = append(names, n)
		}
	}
	return names
}

// awaitTwoLeaders waits until two controllers lead shards and returns their names. The first
// leader transfers half of its shards to the second one.
func (c *teamCluster) awaitTwoLeaders() []string {
	c.t.Helper()
	if !c.runUntil(30, func() bool { return len(c.shardLeaders()) == 2 }) {
		c.t.Fatalf("leaders %v, want two", c.shardLeaders())
	}
	return c.shardLeaders()
}

// submitToLeader submits a job of a limited team to a shard that the given leader leads, and
// returns the job's UID: the first unused j-N, with N at least from, that maps to such a shard.
func (c *teamCluster) submitToLeader(leader string, from int, team, priority string, tasks int, cpus float64) string {
	c.t.Helper()
	return c.submitToShards(c.nodes[leader].member.LedShards(), from, team, priority, tasks, cpus)
}

// submitToShards is submitToLeader for any of the given shards.
func (c *teamCluster) submitToShards(shards map[int]uint64, from int, team, priority string, tasks int, cpus float64) string {
	c.t.Helper()
	teams, op := c.cfg.Params.Teams, c.operatorSettings()
	for i := from; i < from+1000; i++ {
		uid := fmt.Sprintf("j-%d", i)
		if c.submittedJobs[uid] != nil {
			continue
		}
		job := arrayJob(uid, tasks)
		job.Team, job.Priority, job.CPUs = team, priority, cpus
		if _, ok := shards[quota.AssignShard(job, teams, op)]; ok {
			c.submitJob(job, nil)
			return uid
		}
	}
	c.t.Fatalf("no job UID maps to the shards %v", shards)
	return ""
}

// onTwoBusyLeaders runs a test on a cluster with two leaders. Each of them runs tasks of both
// limited teams and has more queued: jobs of short tasks, and jobs whose tasks run for long.
func onTwoBusyLeaders(t *testing.T, seed uint64, play func(c *teamCluster, leaders, jobs, longJobs []string)) {
	onQuotaLeaseCluster(t, seed, func(c *teamCluster) {
		leaders := c.awaitTwoLeaders()
		jobs, longJobs := make([]string, 0, 4*len(leaders)+1), make([]string, 0, 2*len(leaders))
		for _, leader := range leaders {
			for _, team := range []string{"capped", "assured"} {
				longJobs = append(longJobs, c.submitToLeader(leader, 80, team, "normal", 2, 1))
				jobs = append(jobs, c.submitToLeader(leader, 1000, team, "normal", 12, 1), c.submitToLeader(leader, 1000, team, "urgent", 3, 2))
			}
		}
		jobs = append(jobs, "j-1")
		c.submitArray("j-1", "t", "low", 20, 1)
		if !c.runUntil(60, func() bool { return c.allRunning(longJobs) && c.hasStarted(jobs[0]) && c.hasStarted(jobs[3]) }) {
			c.t.Fatalf("not all of %v, %v and %v have running tasks; running tasks by job: %v; quota lease records %v", longJobs, jobs[0], jobs[3], c.snapshot().running, c.quotaLeaseRecords())
		}
		play(c, leaders, jobs, longJobs)
	})
}

func (c *teamCluster) allRunning(jobs []string) bool {
	for _, uid := range jobs {
		if c.unfinishedTasks(uid) == 0 {
			return false
		}
	}
	return true
}

func (c *teamCluster) hasStarted(uid string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsByJob[uid] > 0
}

func (c *teamCluster) quotaLeaseRecords() (out []string) {
	for _, key := range c.store.Keys(quotalease.Prefix) {
		out = append(out, key+" "+c.store.RawValue(key))
	}
	return out
}

// leasedCPUs returns how many CPUs of a team's limit are leased to the shards of a leader.
func (c *teamCluster) leasedCPUs(leader, team string) (cpus float64) {
	c.t.Helper()
	record, err := quotalease.Parse([]byte(c.store.RawValue(quotalease.Key(quotalease.RecordOf(team)))), c.operatorSettings().Shards)
	if err != nil {
		c.t.Fatal(err)
	}
	own := c.nodes[leader].member.LedShards()
	for _, row := range record.Rows {
		if _, ok := own[row.Shard]; ok {
			cpus += float64(row.Teams[team].Part[0]) / 1000
		}
	}
	return cpus
}

// A limited team has work at one leader only, then only at the other, and then at the first again.
// Each time the whole limit is leased to that leader within 2 s and in use within 8 s more. No
// message is lost.
func TestQuotaLeasesFollowDemand(t *testing.T) {
	onQuotaLeaseCluster(t, 5001, func(c *teamCluster) {
		c.mu.Lock()
		c.reliableStore, c.losslessReports, c.promptCommands = true, true, true
		c.mu.Unlock()
		leaders := c.awaitTwoLeaders()
		c.runFor(5)
		for i, leader := range []string{leaders[0], leaders[1], leaders[0]} {
			uid := c.submitToLeader(leader, 1000, "capped", "normal", 16, 1)
			if !c.runUntil(2, func() bool { return c.leasedCPUs(leader, "capped") == 8 }) {
				c.t.Errorf("%d: %s has a lease of %v of 8 CPUs; records %v", i, leader, c.leasedCPUs(leader, "capped"), c.quotaLeaseRecords())
			}
			if !c.runUntil(8, func() bool { return c.snapshot().use["capped"] == 8 }) {
				c.t.Errorf("%d: %s uses %v of 8 CPUs; records %v", i, leader, c.snapshot().use["capped"], c.quotaLeaseRecords())
			}
			if !c.runUntil(120, c.jobsEnded(uid)) {
				c.t.Fatalf("%s did not end", uid)
			}
		}
	})
}

// Both leaders run tasks of limited teams when one of them crashes, restarts within a second,
// transfers its shards, or is cut off from everything or from the state service alone, or when
// both crash. Jobs may be cancelled at the same time. No limit is exceeded, cancelled tasks stop
// in time, all other jobs end, and finally no task waits while a worker can run it.
func TestTeamLimitsHoldWhenLeaderFails(t *testing.T) {
	changes := []struct {
		name  string
		apply func(c *teamCluster, leader, other string)
	}{
		{"it crashes", func(c *teamCluster, leader, _ string) { c.crash(leader) }},
		{"it restarts within a second", func(c *teamCluster, leader, _ string) { c.restart(leader, 400*time.Millisecond) }},
		{"it transfers its shards", func(c *teamCluster, leader, other string) {
			_ = c.nodes[leader].member.TransferShards(context.Background(), other) // the test checks the result
		}},
		{"it is cut off", func(c *teamCluster, leader, _ string) {
			c.breakLinks(leader, append(c.workerNames(), append(c.otherControllers(leader), stateService)...)...)
		}},
		{"it loses the state service", func(c *teamCluster, leader, _ string) { c.breakLinks(leader, stateService) }},
		{"both crash", func(c *teamCluster, leader, other string) { c.crash(leader); c.crash(other) }},
	}
	for i, change := range changes {
		for _, cancel := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, cancelled %v", change.name, cancel), func(t *testing.T) {
				onTwoBusyLeaders(t, uint64(5100+i), func(c *teamCluster, leaders, jobs, longJobs []string) {
					if cancel {
						c.cancelJobs(leaders[0], longJobs[:2], 1)
					}
					change.apply(c, leaders[0], leaders[1])
					if cancel {
						c.cancelJobs(leaders[1], longJobs[2:], 1)
					}
					c.runFor(25)
					c.startStopped()
					c.healAllLinks()
					c.runFor(10)
					if !cancel {
						c.cancelJobs(c.shardLeaders()[0], longJobs, 30)
					}
					c.cancelJobs(c.shardLeaders()[0], longJobs, 30)
					c.awaitCompletion(jobs...)
				})
			})
		}
	}
}

// A leader's writes of quota lease records are delayed, as by a paused process. The leader loses
// its shards meanwhile, and the writes arrive when its successor already leases limits. Whether or
// not the writes succeed, no limit is exceeded and all jobs end.
func TestLateQuotaLeaseWritesAfterFailover(t *testing.T) {
	for seed, by := range []time.Duration{3 * time.Second, 9 * time.Second, 20 * time.Second} {
		t.Run(fmt.Sprint(by), func(t *testing.T) {
			onTwoBusyLeaders(t, uint64(5300+seed), func(c *teamCluster, leaders, jobs, longJobs []string) {
				delayed := 0
				c.mu.Lock()
				c.delayTransaction = func(n *node, t wire.Txn) (time.Duration, func(error)) {
					for _, op := range t.Then {
						if n.name == leaders[0] && strings.HasPrefix(op.Put, quotalease.Prefix) {
							delayed++
							return by, func(error) {}
						}
					}
					return 0, nil
				}
				c.mu.Unlock()
				c.runFor(6)
				c.breakLinks(leaders[0], stateService)
				c.cancelJobs(leaders[1], longJobs, 10)
				c.runFor(15)
				c.mu.Lock()
				c.delayTransaction = nil
				c.mu.Unlock()
				c.healAllLinks()
				if delayed == 0 {
					c.t.Errorf("no write of a quota lease record was delayed")
				}
				c.cancelJobs(c.shardLeaders()[0], longJobs, 30)
				c.awaitCompletion(jobs...)
			})
		})
	}
}

// restartWithLeaders stops all controllers until their leases have ended, and restarts them with
// the given number of leaders.
func (c *teamCluster) restartWithLeaders(leaderCount int) {
	c.t.Helper()
	c.stopAll()
	time.Sleep(5500 * time.Millisecond) // shorter than the workers' leases: running tasks continue
	c.leaderCount = leaderCount
	c.start(c.controllerNames[0])
	time.Sleep(1500 * time.Millisecond)
	c.startStopped()
	c.runFor(15)
	if leaders := c.shardLeaders(); len(leaders) != leaderCount {
		c.t.Fatalf("leaders %v, want %d of them", leaders, leaderCount)
	}
}

// A team uses its whole limit in one shard, and the limit is leased to that shard, when a restart
// gives all shards to one leader. A single leader does not lease limits: it cancels that job and
// runs another one that uses the whole limit in a second shard, without changing the quota lease
// record. When two leaders lead again, no job of the first shard may start because of the outdated
// record.
func TestUnleasedUsageCountsWhenQuotaIsLeasedAgain(t *testing.T) {
	onQuotaLeaseCluster(t, 5500, func(c *teamCluster) {
		c.awaitTwoLeaders()
		c.runFor(5)
		oneLeader := c.operatorSettings()
		oneLeader.ShardControllers = 1
		defaultShard := quota.AssignShard(&wire.Job{Team: "capped"}, limitedTeams, oneLeader) // shard of all the team's jobs that a single leader accepts
		firstShard := map[int]uint64{(defaultShard + 1) % oneLeader.Shards: 1}
		usesLimit := func(uid string) func() bool { return func() bool { return c.unfinishedTasks(uid) == 8 } }
		firstJob := c.submitToShards(firstShard, 80, "capped", "normal", 8, 1)
		if !c.runUntil(30, usesLimit(firstJob)) {
			c.t.Fatalf("%s has %d of 8 tasks running", firstJob, c.unfinishedTasks(firstJob))
		}
		c.restartWithLeaders(1)
		secondJob := c.submitToShards(map[int]uint64{defaultShard: 1}, 80, "capped", "normal", 8, 1)
		c.cancelJobs(c.shardLeaders()[0], []string{firstJob}, 10)
		if !c.runUntil(60, usesLimit(secondJob)) {
			c.t.Fatalf("%s has %d of 8 tasks running", secondJob, c.unfinishedTasks(secondJob))
		}
		c.leaderCount = 2 // so that the next job is already mapped to a shard as with two leaders
		thirdJob := c.submitToShards(firstShard, 1000, "capped", "normal", 8, 1)
		c.restartWithLeaders(2)
		c.runFor(30)
		if n := c.unfinishedTasks(secondJob); n == 0 {
			c.t.Errorf("%s has no running tasks any more", secondJob)
		}
		c.cancelJobs(c.shardLeaders()[0], []string{secondJob}, 10)
		c.awaitCompletion(thirdJob)
	})
}

// All controllers stop until their leases have ended, and restart alternately with one leader and
// with two, while long tasks of limited teams run in all shards. Tasks that a single leader
// started are not covered by any quota lease record, but must count towards their team's limit.
func TestQuotaHoldsWhenLeaderCountChanges(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			onTwoBusyLeaders(t, 5400+seed, func(c *teamCluster, _, jobs, longJobs []string) {
				next := 81 // first UID to try; jobs from j-80 on have long tasks
				for _, leaderCount := range []int{1, 2, 1, 2} {
					c.restartWithLeaders(leaderCount)
					c.cancelJobs(c.shardLeaders()[0], longJobs[:2], 20)
					for _, team := range []string{"capped", "assured"} {
						leaders := c.shardLeaders()
						uid := c.submitToLeader(leaders[len(leaders)-1], next, team, "production", 2, 1)
						longJobs = append(longJobs[1:], uid)
					}
					c.runFor(15)
				}
				for range 2 {
					c.cancelJobs(c.shardLeaders()[0], longJobs, 30)
				}
				for _, uid := range c.store.Keys("live/") {
					if uid = strings.TrimPrefix(uid, "live/"); strings.HasPrefix(uid, "j-8") || strings.HasPrefix(uid, "j-9") {
						c.cancelJobs(c.shardLeaders()[0], []string{uid}, 30)
					}
				}
				c.awaitCompletion(jobs...)
			})
		})
	}
}

// Under randomly drawn faults, with lost, late and repeated writes, no leased limit is exceeded
// and all jobs end.
func TestQuotaLeasesUnderDrawnFaults(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			onQuotaLeaseCluster(t, 5200+seed, func(c *teamCluster) {
				c.keepBrokenLinks = false
				jobs := make([]string, 0, 16)
				for i := range cap(jobs) {
					uid := fmt.Sprintf("j-%d", 1000+i)
					c.submitArray(uid, []string{"capped", "assured"}[i%2], []string{"normal", "urgent", "low"}[i%3], 4+i%5, float64(1+i%3))
					jobs = append(jobs, uid)
				}
				faultsEnd := time.Now().Add(2 * time.Minute)
				for i := 0; !c.jobsEnded(jobs...)(); i++ {
					if i == 900 {
						c.t.Fatalf("only %v ended; records %v", c.store.Keys("final/"), c.quotaLeaseRecords())
					}
					c.sendReports()
					c.step(faultsEnd)
					if !time.Now().Before(faultsEnd) {
						c.startStopped()
					}
				}
			})
		})
	}
}
