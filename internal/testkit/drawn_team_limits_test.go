package testkit_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// drawnTroubles are the faults of a drawn case, of which each second some begin and
// others end. It counts what coincided.
type drawnTroubles struct {
	*teamCluster
	away     map[*testkit.Worker]int // workers cut off, by the seconds left
	hung     map[*testkit.Worker]int
	changes  int // of the leader, while a team was held by its limit and workers were away
	confirms int // cancels of jobs with tasks on workers that were away
	wentOn   int // cancelled tasks that went on after their worker hung
	late     int // commands that came late
}

// unaskable reports whether nobody can ask the worker now.
func (d *drawnTroubles) unaskable(k *testkit.Worker) bool { return d.away[k] > 0 || d.hung[k] > 0 }

// strike begins a drawn fault.
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

// livingOnHung names one of the jobs that is not cancelled and has a task on a worker that
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

// cancelWhileHung has a worker with tasks of a job that was not cancelled hang, out of
// reach too, so that nothing that is sent to it comes before it goes on, and the job's
// user cancel it. It returns the job, or "" if none has tasks on workers.
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
	l := d.leader()
	if l == "" {
		return
	}
	if len(d.away)+len(d.hung) > 0 && (d.waitsOnlyForLimit("capped") || d.waitsOnlyForLimit("assured")) {
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

// second ends the faults whose time is up.
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

// Teams at their limits meet drawn faults: workers are cut off, hear nothing or hang,
// the leader ends, is back at once, transfers its shards or is cut from all but the workers, jobs
// are cancelled, commands and transactions come late. No team is ever over its limit, and
// afterwards all work is done and none waits beside room.
func TestTeamLimitsUnderDrawnFaults(t *testing.T) {
	t.Parallel()
	const perRound = 4
	var seen drawnTroubles
	for seed := range uint64(perRound * *rounds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			onTeamsAtLimits(t, 3000+seed, func(c *teamCluster) {
				d := &drawnTroubles{teamCluster: c, away: map[*testkit.Worker]int{}, hung: map[*testkit.Worker]int{}}
				if seed%2 == 1 {
					c.delayLinks(func() time.Duration { return time.Duration(50+c.rnd.IntN(1100)) * time.Millisecond })
				}
				long := []string{"j-80", "j-81", "j-82", "j-83"}
				hung := "" // the job that is cancelled while its worker hangs
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
				c.awaitCompletion(append(long, "j-1", "j-2", "j-3", "j-4", "j-5")...)
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
