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

// drawnTeamFaults holds the faults of a drawn case; each second some begin and others end. Its
// counters show how often faults coincided.
type drawnTeamFaults struct {
	*teamCluster
	cutSeconds              map[*testkit.Worker]int // seconds until the worker's links are healed
	hungSeconds             map[*testkit.Worker]int
	leaderChangesAtLimit    int // changes of the leader while a team was at its limit and workers were unreachable
	cancelsWhileUnreachable int // cancels of jobs with tasks on unreachable workers
	cancelledTasksResumed   int // cancelled tasks that still ran when their worker's hang ended
	lateCommands            int // commands that were delivered late
}

// isUnreachable reports whether no controller can poll the worker now.
func (d *drawnTeamFaults) isUnreachable(k *testkit.Worker) bool {
	return d.cutSeconds[k] > 0 || d.hungSeconds[k] > 0
}

// beginFault begins a drawn fault.
func (d *drawnTeamFaults) beginFault(jobs []string) {
	k := d.workers[d.planIntN(len(d.workers))]
	if workers := d.workersWithTasksOf(jobs[d.planIntN(len(jobs))]); len(workers) > 0 {
		k = workers[0]
	}
	switch d.planIntN(11) {
	case 0, 1:
		if !k.IsHung() {
			d.hang(k)
			d.hungSeconds[k] = 2 + d.planIntN(10)
			if d.planIntN(2) == 0 { // commands to it arrive after the hang, or never
				d.breakLinks(k.Name, d.controllerNames...)
				d.cutSeconds[k] = d.hungSeconds[k] + d.planIntN(5)
			}
		}
	case 2:
		d.breakLinks(k.Name, d.controllerNames...)
		d.cutSeconds[k] = 1 + d.planIntN(13)
	case 3:
		d.breakLinksTo(k, d.controllerNames...)
		d.cutSeconds[k] = 1 + d.planIntN(13)
	case 10: // the worker reaches only one controller, which may not be the leader
		d.breakLinks(k.Name, d.otherControllers(d.controllerNames[d.planIntN(len(d.controllerNames))])...)
		d.cutSeconds[k] = 5 + d.planIntN(13)
	case 4, 5:
		d.changeLeader()
	case 6, 9:
		uid := jobs[d.planIntN(len(jobs))]
		if hung := d.jobOnHungWorker(jobs); hung != "" { // prefer a job whose worker resumes soon
			uid = hung
		}
		d.cancelAtAnyController(uid)
	case 7:
		d.lateCommands += d.deliverHeldCommands()
	case 8:
		for _, n := range d.controllerNames {
			d.nodes[n].view.ApplyHeld()
		}
	}
}

// jobOnHungWorker returns one of the jobs that is not cancelled and has a task on a hung worker, or ""
// if there is none.
func (d *drawnTeamFaults) jobOnHungWorker(jobs []string) (uid string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for k := range d.hungSeconds {
		for _, task := range k.UnfinishedTasks() {
			if job, _, _ := strings.Cut(task, "/"); slices.Contains(jobs, job) && d.confirmedCancels[job].IsZero() {
				uid = job
			}
		}
	}
	return uid
}

// hangWorkerOfJob hangs a worker with tasks of a job that was not cancelled, and cuts it off for
// 2 s longer, so that no command reaches it before it resumes. It returns the job, for the caller to
// cancel, or "" if no such job has tasks on workers.
func (d *drawnTeamFaults) hangWorkerOfJob(jobs []string) string {
	for _, uid := range jobs {
		if ks := d.workersWithTasksOf(uid); d.confirmedCancels[uid].IsZero() && len(ks) > 0 && !ks[0].IsHung() {
			d.hang(ks[0])
			d.breakLinks(ks[0].Name, d.controllerNames...)
			d.hungSeconds[ks[0]] = 3 + d.planIntN(4)
			d.cutSeconds[ks[0]] = d.hungSeconds[ks[0]] + 2
			return uid
		}
	}
	return ""
}

// cancelAtAnyController sends a cancel to one controller after the other until one confirms it.
func (d *drawnTeamFaults) cancelAtAnyController(uid string) {
	hasUnreachableTasks := slices.ContainsFunc(d.workersWithTasksOf(uid), d.isUnreachable)
	alreadyConfirmed := !d.confirmedCancels[uid].IsZero()
	for _, n := range d.controllerNames {
		if stage, answered := d.userRequest(n, http.MethodPost, uid); answered && stage == wire.StageCancelled {
			if hasUnreachableTasks && !alreadyConfirmed {
				d.cancelsWhileUnreachable++
			}
			return
		}
	}
}

func (d *drawnTeamFaults) changeLeader() {
	l := d.leader()
	if l == "" {
		return
	}
	if len(d.cutSeconds)+len(d.hungSeconds) > 0 && (d.waitsOnlyForLimit("capped") || d.waitsOnlyForLimit("assured")) {
		d.leaderChangesAtLimit++
	}
	switch d.planIntN(4) {
	case 0:
		d.crash(l)
	case 1:
		d.restart(l, time.Duration(d.planIntN(1000))*time.Millisecond)
	case 2:
		others := d.otherControllers(l)
		_ = d.nodes[l].member.TransferShards(context.Background(), others[d.planIntN(len(others))]) // may fail while other faults last
	case 3:
		d.breakLinks(l, append(d.otherControllers(l), stateService)...)
	}
	d.startStoppedExcept(l)
}

// startStoppedExcept starts the controllers that are down, except one.
func (d *drawnTeamFaults) startStoppedExcept(except string) {
	for _, n := range d.controllerNames {
		if n != except && d.nodes[n].down {
			d.start(n)
		}
	}
}

// endDueFaults ends the faults whose time is over, and lets a second pass.
func (d *drawnTeamFaults) endDueFaults() {
	for k := range d.cutSeconds {
		if d.cutSeconds[k]--; d.cutSeconds[k] <= 0 {
			d.healLinks(k.Name, d.controllerNames...)
			delete(d.cutSeconds, k)
		}
	}
	for k := range d.hungSeconds {
		if d.hungSeconds[k]--; d.hungSeconds[k] <= 0 {
			d.resume(k)
			delete(d.hungSeconds, k)
			d.mu.Lock()
			for _, task := range k.UnfinishedTasks() {
				uid, _, _ := strings.Cut(task, "/")
				if slices.Contains(d.workers, k) && !d.confirmedCancels[uid].IsZero() {
					d.cancelledTasksResumed++
				}
			}
			d.mu.Unlock()
		}
	}
	for _, n := range d.controllerNames {
		if d.planIntN(8) == 0 {
			d.healLinks(n, append(d.otherControllers(n), stateService)...)
		}
	}
	d.runFor(1)
}

// Teams at their limits run under drawn faults: workers are cut off, receive nothing or hang; the
// leader crashes, restarts, transfers its shards or reaches only workers; jobs are cancelled;
// commands and transactions are late. No team ever exceeds its limit. Afterwards all work is
// completed, and no task waits while a worker has room for it.
func TestTeamLimitsUnderDrawnFaults(t *testing.T) {
	t.Parallel()
	const perRound = 4
	var totals drawnTeamFaults
	for seed := range uint64(perRound * *rounds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			onTeamsAtLimits(t, 3000+seed, func(c *teamCluster) {
				d := &drawnTeamFaults{teamCluster: c, cutSeconds: map[*testkit.Worker]int{}, hungSeconds: map[*testkit.Worker]int{}}
				if seed%2 == 1 {
					c.delayLinks(func() time.Duration { return time.Duration(50+c.messageRand.IntN(1100)) * time.Millisecond })
				}
				long := []string{"j-80", "j-81", "j-82", "j-83"}
				jobToCancel := "" // job to cancel while its worker hangs
				for second := range 60 {
					if second%6 == 0 { // so that both teams stay at their limits
						uid := fmt.Sprintf("j-9%d", second)
						team := limitedTeams[1+d.planIntN(2)].Name
						d.submitArray(uid, team, []string{"low", "normal", "urgent"}[d.planIntN(3)], 1+d.planIntN(3), float64(1+d.planIntN(2)))
						long = append(long, uid)
					}
					if second%10 == 2 {
						jobToCancel = d.hangWorkerOfJob(long)
					}
					if jobToCancel != "" && d.confirmedCancels[jobToCancel].IsZero() {
						d.cancelAtAnyController(jobToCancel)
					}
					for range d.planIntN(3) {
						d.beginFault(long)
					}
					d.endDueFaults()
				}
				c.delayLinks(nil)
				c.startStopped()
				c.healAllLinks()
				for k := range d.hungSeconds {
					d.resume(k)
				}
				d.lateCommands += d.deliverHeldCommands()
				for _, n := range c.controllerNames {
					c.nodes[n].view.ApplyHeld()
				}
				for _, uid := range long { // the long jobs are cancelled so that the others can run
					for _, n := range c.controllerNames {
						c.cancelJobs(n, []string{uid}, 20)
					}
				}
				c.awaitCompletion(append(long, "j-1", "j-2", "j-3", "j-4", "j-5")...)
				totals.leaderChangesAtLimit += min(d.leaderChangesAtLimit, 1)
				totals.cancelsWhileUnreachable += min(d.cancelsWhileUnreachable, 1)
				totals.cancelledTasksResumed += min(d.cancelledTasksResumed, 1)
				totals.lateCommands += min(d.lateCommands, 1)
			})
		})
	}
	t.Logf("of %d cases: the leader changed at a limit with unreachable workers in %d, a cancel of their tasks was confirmed in %d, "+
		"cancelled tasks still ran after a hang in %d, commands arrived late in %d", perRound**rounds, totals.leaderChangesAtLimit, totals.cancelsWhileUnreachable, totals.cancelledTasksResumed, totals.lateCommands)
	const maxCasesPerEvent = 8 // each event must occur in at least one out of this many cases, on average
	for _, n := range []int{totals.leaderChangesAtLimit, totals.cancelsWhileUnreachable, totals.cancelledTasksResumed, totals.lateCommands} {
		if n*maxCasesPerEvent < perRound**rounds {
			t.Errorf("these faults coincided too rarely, see the counts above")
		}
	}
}
