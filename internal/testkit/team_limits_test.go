package testkit_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// Two teams with limits, one of them with a guarantee; team "t" has neither. The machines
// have room for much more than both may use.
var limitedTeams = []config.Team{{Name: "t"}, {Name: "capped", CPUsMax: 8}, {Name: "assured", CPUs: 4, CPUsMax: 6}}

// teamCluster is a cluster in which both limited teams are at their limits.
type teamCluster struct {
	*cluster
}

// job submits an array job. Tasks of jobs from 80 on run for long.
func (w *cluster) job(uid, team, priority string, tasks int, cpus float64) {
	job := arrayJob(uid, tasks)
	job.Team, job.Priority, job.CPUs = team, priority, cpus
	w.submitJob(job, nil)
}

// teamsAtLimits plays on a new cluster whose limited teams stand at their limits with jobs
// j-80 to j-83 of long tasks, and have more work. Nothing is drawn but lost messages.
func teamsAtLimits(t *testing.T, seed uint64, play func(c *teamCluster)) {
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
		c.mustBeAtLimits()
		play(c)
	})
}

func (c *teamCluster) mustBeAtLimits() {
	c.t.Helper()
	for _, team := range []string{"capped", "assured"} {
		if !c.heldByLimit(team) {
			c.t.Errorf("no task of team %s waits for its limit alone; in use: %v", team, c.standing().use)
		}
	}
}

// machinesOf lists the machines with tasks of a job.
func (w *cluster) machinesOf(uid string) (ks []*testkit.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		if slices.ContainsFunc(k.On(), func(task string) bool { return strings.HasPrefix(task, uid+"/") }) {
			ks = append(ks, k)
		}
	}
	return ks
}

func (w *cluster) hang(ks ...*testkit.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range ks {
		k.Hang()
	}
}

// resume has machines that hang go on.
func (w *cluster) resume(ks ...*testkit.Worker) {
	for _, k := range ks {
		w.mu.Lock()
		k.Continue()
		w.mu.Unlock()
		w.check()
	}
}

// finishes lives until all that was not cancelled has ended, or runs for long.
func (c *teamCluster) finishes(short ...string) {
	c.t.Helper()
	c.waits.insist()
	c.live(30)
	for i := 0; !c.ended(short...)(); i++ {
		if i == 300 {
			c.t.Fatalf("only %v ended; in use: %v", c.store.Keys("final/"), c.standing().use)
		}
		c.live(1)
	}
}

// Both teams are at their limits when machines with their tasks are cut off or hang, the
// leader changes, and jobs of theirs are cancelled: before the change, while nobody
// leads, or through the new leader. What may still run counts from the new leader's first
// grant on, what goes on after its machine hung counts and is gone in time, and in the
// end nothing waits beside room.
func TestTeamLimitHoldsOverFailover(t *testing.T) {
	type change struct {
		name string
		make func(c *teamCluster, first string)
	}
	changes := []change{
		{"the leader ends", func(c *teamCluster, first string) { c.crash(first) }},
		{"it is back within a second", func(c *teamCluster, first string) { c.restart(first, 400*time.Millisecond) }},
		{"it hands over", func(c *teamCluster, first string) {
			_ = c.nodes[first].member.TransferShards(context.Background(), c.others(first)[0]) // what became of it is looked at
		}},
	}
	for _, hang := range []bool{false, true} {
		for i, ch := range changes {
			for when, name := range []string{"before it", "at once after it", "through the new leader"} {
				t.Run(fmt.Sprintf("hang %v, %s, cancelled %s", hang, ch.name, name), func(t *testing.T) {
					teamsAtLimits(t, uint64(2000+10*i+when), func(c *teamCluster) {
						jobs := []string{"j-80", "j-82"}
						away := append(c.machinesOf("j-80"), c.machinesOf("j-82")...)
						cut := away
						if hang {
							c.hang(away...)
							cut = away[:len(away)/2] // the others get what was sent when they go on
						}
						for _, k := range cut {
							c.cutAll(k.Name, c.names...)
						}
						first := c.leader()
						before := c.nodes[first].member.OwnedShards()
						at := c.others(first)[1]
						confirm := func(seconds int) {
							if n := c.cancelAll(at, jobs, seconds); n != len(jobs) {
								t.Fatalf("%d of %d cancels are confirmed", n, len(jobs))
							}
						}
						if when == 0 {
							confirm(3)
						}
						c.mustBeAtLimits()
						ch.make(c, first)
						if when == 2 && !c.within(6, func() bool { return c.leader() != "" }) {
							t.Fatal("nobody leads")
						}
						if when > 0 {
							confirm(6)
						}
						if l := c.leader(); l == first && maps.Equal(before, c.nodes[first].member.OwnedShards()) {
							t.Fatal("the leader did not change")
						}
						if n := c.onMachines("j-80") + c.onMachines("j-82"); n != 6 {
							t.Fatalf("%d cancelled tasks are on machines that nobody reaches", n)
						}
						c.mustBeAtLimits()
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
						c.finishes("j-1", "j-2", "j-3", "j-4", "j-5", "j-80", "j-82")
						for uid, n := range map[string]int{"j-81": 2, "j-83": 1} {
							if !c.within(30, func() bool { return c.onMachines(uid) == n }) {
								t.Errorf("%d of %d long tasks of %s are on", c.onMachines(uid), n, uid)
							}
						}
						t.Logf("longest wait beside room: %v", c.waits.longest)
					})
				})
			}
		}
	}
}

// drawnTroubles are the troubles of a drawn case, of which each second some begin and
// others end. It counts what coincided.
type drawnTroubles struct {
	*teamCluster
	away     map[*testkit.Worker]int // machines cut off, by the seconds left
	hung     map[*testkit.Worker]int
	changes  int // of the leader, while a team was held by its limit and machines were away
	confirms int // cancels of jobs with tasks on machines that were away
	wentOn   int // cancelled tasks that went on after their machine hung
	late     int // commands that came late
}

// unaskable reports whether nobody can ask the machine now.
func (d *drawnTroubles) unaskable(k *testkit.Worker) bool { return d.away[k] > 0 || d.hung[k] > 0 }

// strike begins a drawn trouble.
func (d *drawnTroubles) strike(jobs []string) {
	k := d.workers[d.draw(len(d.workers))]
	if with := d.machinesOf(jobs[d.draw(len(jobs))]); len(with) > 0 {
		k = with[0]
	}
	switch d.draw(11) {
	case 0, 1:
		if !k.Hangs() {
			d.hang(k)
			d.hung[k] = 2 + d.draw(10)
			if d.draw(2) == 0 { // what is sent to it comes later still, or never
				d.cutAll(k.Name, d.names...)
				d.away[k] = d.hung[k] + d.draw(5)
			}
		}
	case 2:
		d.cutAll(k.Name, d.names...)
		d.away[k] = 1 + d.draw(13)
	case 3:
		d.unheard(k, d.names...)
		d.away[k] = 1 + d.draw(13)
	case 10: // it reaches one controller alone, which need not lead
		d.cutAll(k.Name, d.others(d.names[d.draw(len(d.names))])...)
		d.away[k] = 5 + d.draw(13)
	case 4, 5:
		d.changeLeader()
	case 6, 9:
		uid := jobs[d.draw(len(jobs))]
		if hung := d.livingOnHung(jobs); hung != "" { // rather one that goes on in a moment
			uid = hung
		}
		d.cancel(uid)
	case 7:
		d.late += d.release()
	case 8:
		for _, n := range d.names {
			d.nodes[n].view.Deliver()
		}
	}
}

// livingOnHung names one of the jobs that is not cancelled and has a task on a machine that
// hangs; "" if there is none.
func (d *drawnTroubles) livingOnHung(jobs []string) (uid string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k := range d.hung {
		for _, task := range k.On() {
			if on, _, _ := strings.Cut(task, "/"); slices.Contains(jobs, on) && d.confirmedCancels[on].IsZero() {
				uid = on
			}
		}
	}
	return uid
}

// cancelWhileHung has a machine with tasks of a job that was not cancelled hang, out of
// reach too, so that nothing that is sent to it comes before it goes on, and the job's
// user cancel it. It returns the job, or "" if none has tasks on machines.
func (d *drawnTroubles) cancelWhileHung(jobs []string) string {
	for _, uid := range jobs {
		if ks := d.machinesOf(uid); d.confirmedCancels[uid].IsZero() && len(ks) > 0 && !ks[0].Hangs() {
			d.hang(ks[0])
			d.cutAll(ks[0].Name, d.names...)
			d.hung[ks[0]] = 3 + d.draw(4)
			d.away[ks[0]] = d.hung[ks[0]] + 2
			return uid
		}
	}
	return ""
}

// cancel has a job's user ask all controllers until one confirms.
func (d *drawnTroubles) cancel(uid string) {
	there := slices.ContainsFunc(d.machinesOf(uid), d.unaskable)
	known := !d.confirmedCancels[uid].IsZero()
	for _, n := range d.names {
		if stage, heard := d.user(n, http.MethodPost, uid); heard && stage == wire.StageCancelled {
			if there && !known {
				d.confirms++
			}
			return
		}
	}
}

func (d *drawnTroubles) changeLeader() {
	l := d.cluster.leader()
	if l == "" {
		return
	}
	if len(d.away)+len(d.hung) > 0 && (d.heldByLimit("capped") || d.heldByLimit("assured")) {
		d.changes++
	}
	switch d.draw(4) {
	case 0:
		d.crash(l)
	case 1:
		d.restart(l, time.Duration(d.draw(1000))*time.Millisecond)
	case 2:
		others := d.others(l)
		_ = d.nodes[l].member.TransferShards(context.Background(), others[d.draw(len(others))]) // may fail, as anything here
	case 3:
		d.cutAll(l, append(d.others(l), stateService)...)
	}
	d.startOthers(l)
}

// startOthers starts the controllers that are down, but one.
func (d *drawnTroubles) startOthers(but string) {
	for _, n := range d.names {
		if n != but && d.nodes[n].down {
			d.start(n)
		}
	}
}

// second ends the troubles whose time is up.
func (d *drawnTroubles) second() {
	for k := range d.away {
		if d.away[k]--; d.away[k] <= 0 {
			d.healLinks(k.Name, d.names...)
			delete(d.away, k)
		}
	}
	for k := range d.hung {
		if d.hung[k]--; d.hung[k] <= 0 {
			d.resume(k)
			delete(d.hung, k)
			d.mu.Lock()
			for _, task := range k.On() {
				uid, _, _ := strings.Cut(task, "/")
				if slices.Contains(d.workers, k) && !d.confirmedCancels[uid].IsZero() {
					d.wentOn++
				}
			}
			d.mu.Unlock()
		}
	}
	for _, n := range d.names {
		if d.draw(8) == 0 {
			d.healLinks(n, append(d.others(n), stateService)...)
		}
	}
	d.live(1)
}

// Teams at their limits meet drawn troubles: machines are cut off, hear nothing or hang,
// the leader ends, is back at once, hands over or is cut from all but the workers, jobs
// are cancelled, commands and transactions come late. No team is ever over its limit, and
// afterwards all work is done and none waits beside room.
func TestTeamLimitsUnderDrawnFaults(t *testing.T) {
	t.Parallel()
	const perRound = 4
	var seen drawnTroubles
	for seed := range uint64(perRound * *rounds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			teamsAtLimits(t, 3000+seed, func(c *teamCluster) {
				d := &drawnTroubles{teamCluster: c, away: map[*testkit.Worker]int{}, hung: map[*testkit.Worker]int{}}
				if seed%2 == 1 {
					c.delayLinks(func() time.Duration { return time.Duration(50+c.rnd.IntN(1100)) * time.Millisecond })
				}
				long := []string{"j-80", "j-81", "j-82", "j-83"}
				short := []string{"j-1", "j-2", "j-3", "j-4", "j-5"}
				hung := "" // the job that is cancelled while its machine hangs
				for second := range 60 {
					if second%6 == 0 { // so that both teams stay at their limits
						uid := fmt.Sprintf("j-9%d", second)
						team := limitedTeams[1+d.draw(2)].Name
						d.job(uid, team, []string{"low", "normal", "urgent"}[d.draw(3)], 1+d.draw(3), float64(1+d.draw(2)))
						long = append(long, uid)
					}
					if second%10 == 2 {
						hung = d.cancelWhileHung(long)
					}
					if hung != "" && d.confirmedCancels[hung].IsZero() {
						d.cancel(hung)
					}
					for range d.draw(3) {
						d.strike(long)
					}
					d.second()
				}
				c.delayLinks(nil)
				c.startAll()
				c.healed()
				for k := range d.hung {
					d.resume(k)
				}
				d.late += d.release()
				for _, n := range c.names {
					c.nodes[n].view.Deliver()
				}
				for _, uid := range long { // so that the others get their turn
					for _, n := range c.names {
						c.cancelAll(n, []string{uid}, 20)
					}
				}
				c.finishes(append(short, long...)...)
				seen.changes += min(d.changes, 1)
				seen.confirms += min(d.confirms, 1)
				seen.wentOn += min(d.wentOn, 1)
				seen.late += min(d.late, 1)
			})
		})
	}
	t.Logf("of %d cases: the leader changed at a limit with machines away in %d, a cancel of their tasks was confirmed in %d, "+
		"cancelled tasks went on after a hang in %d, commands came late in %d", perRound**rounds, seen.changes, seen.confirms, seen.wentOn, seen.late)
	const seldom = 8 // one in so many cases must have had each
	for _, n := range []int{seen.changes, seen.confirms, seen.wentOn, seen.late} {
		if n*seldom < perRound**rounds {
			t.Errorf("the troubles coincided too rarely")
		}
	}
}
