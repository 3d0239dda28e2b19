package testkit_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// pollExpiringLeases stops tasks on workers whose leases are about to end and polls those workers,
// as package controller does several times a second.
func (n *node) pollExpiringLeases(ctx context.Context) {
	const pollsPerSecond = 4
	for range pollsPerSecond {
		if endpoints := n.scheduler.HandleExpiringLeases(); len(endpoints) > 0 && n.MayAnswerWorkers() {
			n.dispatcher.PollAndHaltCancelledTasks(ctx, endpoints)
		}
	}
}

// dropReports breaks the links from a worker to all controllers, but not those in the other
// direction: direct commands reach the worker, but nothing renews its lease.
func (w *cluster) dropReports(k *testkit.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.controllerNames {
		w.brokenLinks[[2]string{k.Name, n}] = true
	}
}

// taskTracker records, from the workers' callbacks, how tasks run, save their state and are lost.
type taskTracker struct {
	total func(task string) time.Duration // run time that a task needs
	saved map[string]time.Duration        // run time saved, by task
	done  map[string]time.Time            // when a task was done, by task

	cut          map[string]time.Time     // when a worker's reports began to be lost, by worker
	interrupted  map[string]time.Time     // tasks that ended on a cut worker before they were done, with the time of that worker's cut
	lateStarts   map[string]bool          // tasks started on a cut worker later than maxStartDelay
	lateKilled   int                      // those of lateStarts that were killed when the lease ended
	killed       map[string]int           // tasks killed when their worker's lease ended, by job
	stopped      map[string]int           // tasks stopped on cut workers, by job
	lostRunTime  time.Duration            // run time lost with tasks that were killed, or stopped without saving
	longest      map[string]time.Duration // longest time from a cut until an interrupted task started again, by job
	doneWhileCut int                      // tasks that were done on cut workers
}

// maxStartDelay is how long after a worker's reports began to be lost its leader may still start
// tasks there: the time until the leader detects the loss, and a report interval.
const maxStartDelay = 5 * time.Second

// readMargin is how long before the end of its worker's lease a task must be done for its leader to
// learn of it in any case: the cluster polls once a second.
const readMargin = 3 * time.Second

// trackTasks returns a tracker of the tasks of all workers. total is how long a task runs, save how
// long it takes to save its state, or a negative time if it cannot.
func (w *cluster) trackTasks(total, save func(task string) time.Duration) *taskTracker {
	tracker := &taskTracker{
		total: total, saved: map[string]time.Duration{}, done: map[string]time.Time{}, cut: map[string]time.Time{},
		interrupted: map[string]time.Time{}, killed: map[string]int{}, stopped: map[string]int{}, lateStarts: map[string]bool{}, longest: map[string]time.Duration{},
	}
	for _, k := range w.workers {
		started := k.OnStart
		k.RunTime = func(task string) time.Duration { return max(0, total(task)-tracker.saved[task]) }
		k.SaveTime = save
		k.OnStart = func(task string, attempt uint64) {
			started(task, attempt)
			tracker.taskStarted(w, k, task)
		}
		k.OnEnd = func(t wire.Task, ran time.Duration) { tracker.taskEnded(k, t, ran) }
	}
	return tracker
}

func (tracker *taskTracker) taskStarted(w *cluster, k *testkit.Worker, task string) {
	if at, cut := tracker.cut[k.Name]; cut && time.Since(at) > maxStartDelay {
		tracker.lateStarts[task] = true
	} else {
		delete(tracker.lateStarts, task)
	}
	if at, ok := tracker.done[task]; ok {
		w.fail("%s is started again on %s, %v after it was done", task, k.Name, time.Since(at))
	}
	if at, ok := tracker.interrupted[task]; ok {
		uid, _, _ := strings.Cut(task, "/")
		tracker.longest[uid] = max(tracker.longest[uid], time.Since(at).Round(time.Millisecond))
		delete(tracker.interrupted, task)
	}
}

func (tracker *taskTracker) taskEnded(k *testkit.Worker, t wire.Task, ran time.Duration) {
	uid, _, _ := strings.Cut(t.Task, "/")
	at, cut := tracker.cut[k.Name]
	switch {
	case t.Cause == wire.CauseDone:
		// The leader may not learn of a task that is done just before the lease ends.
		if !cut || time.Since(at) < workerLease-readMargin {
			tracker.done[t.Task] = time.Now()
			if cut {
				tracker.doneWhileCut++
			}
		}
		return
	case t.Saved:
		tracker.saved[t.Task] += ran
	default:
		tracker.lostRunTime += ran
	}
	if t.Cause == "" {
		tracker.killed[uid]++
		if tracker.lateStarts[t.Task] {
			tracker.lateKilled++
		}
	} else if cut {
		tracker.stopped[uid]++
	}
	if cut {
		tracker.interrupted[t.Task] = at
	}
}

// markCut records that a worker's reports are lost from now on.
func (tracker *taskTracker) markCut(w *cluster, k *testkit.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	tracker.cut[k.Name] = time.Now()
}

// markHealed records that reports are no longer lost.
func (tracker *taskTracker) markHealed(w *cluster) {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(tracker.cut)
}

// healAndAwaitJobs heals all links, and waits until the given number of jobs have ended.
func (w *cluster) healAndAwaitJobs(jobs int) {
	w.healAllLinks()
	if !w.runUntil(300, func() bool { return len(w.store.Keys("final/")) == jobs }) {
		w.t.Errorf("not all %d jobs ended; ended: %v", jobs, w.store.Keys("final/"))
	}
	w.stopAll()
}

// workersByJobs returns the workers in a greedy order: each next worker is the one with the highest
// score. For each of the given jobs whose tasks the worker runs, its score includes 1/(n+1), where n
// is the number of workers before it that run tasks of the same job. The first workers together
// therefore run tasks of all the jobs, however tasks are placed.
func (w *cluster) workersByJobs(jobs ...string) (sorted []*testkit.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	jobsOn := map[*testkit.Worker][]string{}
	for _, k := range w.workers {
		tasks := k.UnfinishedTasks()
		for _, uid := range jobs {
			if slices.ContainsFunc(tasks, func(task string) bool { return strings.HasPrefix(task, uid) }) {
				jobsOn[k] = append(jobsOn[k], uid)
			}
		}
	}
	counted := map[string]int{} // by job: number of workers already appended to sorted that run its tasks
	score := func(k *testkit.Worker) (sum float64) {
		for _, uid := range jobsOn[k] {
			sum += 1 / float64(1+counted[uid])
		}
		return sum
	}
	for remaining := slices.Clone(w.workers); len(remaining) > 0; {
		next := 0
		for i, k := range remaining {
			if score(k) > score(remaining[next]) {
				next = i
			}
		}
		for _, uid := range jobsOn[remaining[next]] {
			counted[uid]++
		}
		sorted = append(sorted, remaining[next])
		remaining = slices.Delete(remaining, next, next+1)
	}
	return sorted
}

// sessionOf returns a worker's current session.
func (w *cluster) sessionOf(k *testkit.Worker) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return k.Session()
}

// recordAcceptedJob writes the records of a job's acceptance into the store.
func (w *cluster) recordAcceptedJob(job *wire.Job) {
	guards, ops := jobrecord.AcceptanceTxn(job, nil, jobrecord.HashShard(job, nil, 4), time.Now().UnixMilli())
	if _, err := (&testkit.View{Store: w.store}).Txn(context.Background(), guards, ops...); err != nil {
		w.t.Fatal(err)
	}
}

// Workers that reach no controller, but receive direct commands, lose their leases. Before that,
// the leader learns of tasks that are done there and does not run them again, stops tasks that can
// save their state, and starts tasks elsewhere that cannot finish in time and have not run for
// long. It starts no task there that would not finish in time. No such worker is deleted, since it
// responds to polls.
func TestWorkersReachingNoController(t *testing.T) {
	// Jobs whose tasks can save their state (savers), cannot save and have run for long (old) or not
	// (young), are short (short), or run for 1 s only (tiny).
	const savers, old, young, short, tiny = "j-save", "j-old", "j-young", "j-short", "j-tiny"
	for i, c := range []struct {
		name           string
		cut            int  // workers whose reports are lost
		leaderRestarts bool // the leader restarts meanwhile
		overloaded     bool // there is more work than capacity
		higherToken    bool // the first cut worker has seen a higher fencing token than the leader's
	}{
		{name: "one", cut: 1},
		{name: "one that has seen a higher token", cut: 1, higherToken: true},
		{name: "a quarter", cut: 6},
		{name: "all", cut: 24},
		{name: "a quarter, and the leader restarts", cut: 6, leaderRestarts: true},
		{name: "a quarter, with more work than capacity", cut: 6, overloaded: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(t, uint64(700+i))
				w.resize(3, 24)
				w.machineTypes = 8 // so that other workers have free CPUs
				w.promptCommands, w.keepBrokenLinks, w.skipInventoryPoll = true, true, !c.leaderRestarts
				tracker := w.trackTasks(func(task string) time.Duration {
					switch uid, _, _ := strings.Cut(task, "/"); uid {
					case short:
						return variedTaskDuration(task)
					case tiny:
						return time.Second
					}
					return 40 * time.Second
				}, func(task string) time.Duration {
					if strings.HasPrefix(task, savers) {
						return time.Second
					}
					return -1
				})
				w.startControllersOneByOne()
				time.Sleep(2 * time.Second)
				submit := func(uid, priority string, tasks int, estimate, checkpointInterval float64) {
					w.recordAcceptedJob(&wire.Job{
						UID: uid, Class: uid, Team: "t", Kind: wire.KindArray, Priority: priority, Tasks: tasks,
						CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 0.1, EstimateS: estimate, Spot: true, CheckpointIntervalS: checkpointInterval, CheckpointSaveS: checkpointInterval / 30,
					})
				}
				submit(savers, "normal", 24, 40, 30)
				submit(old, "normal", 24, 40, 0)
				w.runFor(2)
				submit(short, "normal", 240, 6, 0)
				w.runFor(8)
				submit(young, "urgent", 24, 40, 0)
				jobs := 4
				if c.overloaded {
					submit(tiny, "low", 6000, 1, 0)
					jobs++
				}
				w.runFor(1)
				sessions := map[string]uint64{}
				cut := w.workersByJobs(savers, young)[:c.cut]
				for _, k := range cut {
					w.dropReports(k)
					tracker.markCut(w, k)
					sessions[k.Name] = w.sessionOf(k)
				}
				if c.higherToken {
					session, token := w.sessionOf(cut[0]), w.nodes[w.leader()].member.FencingToken()
					w.mu.Lock()
					cut[0].HandleCommands(wire.PushedCommands{Token: token + 1, Session: session})
					w.mu.Unlock()
				}
				if c.leaderRestarts {
					w.runFor(1)
					w.restart(w.leader(), 200*time.Millisecond)
				}
				w.runFor(25)
				for _, k := range cut {
					if w.sessionOf(k) == sessions[k.Name] {
						t.Errorf("the lease of %s did not end", k.Name)
					}
				}
				t.Logf("%s: killed %v, stopped %v, %d done on cut workers, %v of run time lost, %d of %d late starts killed, longest time until restart %v, %d tasks still wait, %d machines returned",
					c.name, tracker.killed, tracker.stopped, tracker.doneWhileCut, tracker.lostRunTime, tracker.lateKilled, len(tracker.lateStarts), tracker.longest, len(tracker.interrupted), w.deletedMachines)
				if c.leaderRestarts {
					// The next leader does not know when the leases end or how long tasks have run.
					if tracker.stopped[old] > 0 || tracker.stopped[savers] == 0 {
						t.Errorf("%d tasks that had run for long and cannot save were stopped, %d that can save", tracker.stopped[old], tracker.stopped[savers])
					}
					w.healAndAwaitJobs(jobs)
					return
				}
				if tracker.killed[savers] > 0 {
					t.Errorf("%d tasks that can save were killed", tracker.killed[savers])
				}
				if tracker.lateKilled > 0 {
					t.Errorf("%d tasks were started on workers with leases about to end, and killed with the lease", tracker.lateKilled)
				}
				if c.overloaded && len(tracker.lateStarts) == 0 {
					t.Error("no task was started that could finish before the lease ended")
				}
				if w.deletedMachines > 0 {
					t.Errorf("%d machines of workers that respond were returned", w.deletedMachines)
				}
				if len(tracker.stopped) == 0 || c.cut > 1 && (tracker.stopped[savers] == 0 || tracker.doneWhileCut == 0) {
					t.Errorf("tasks stopped by job: %v; %d tasks done on workers that reach no controller", tracker.stopped, tracker.doneWhileCut)
				}
				if c.cut > 1 && c.cut < len(w.workers)/2 && tracker.stopped[young] == 0 {
					t.Error("no task was stopped early")
				}
				if c.cut < len(w.workers)/2 {
					if tracker.killed[young] > 0 {
						t.Errorf("%d tasks that had run for less than the rest of the lease were killed with it instead of stopped", tracker.killed[young])
					}
					// Tasks that cannot save run elsewhere only after the lease's end and a further report.
					for uid, bound := range map[string]time.Duration{old: workerLease + 3*time.Second, savers: workerLease + time.Second, young: workerLease - 2*time.Second} {
						if tracker.longest[uid] > bound && !c.overloaded {
							t.Errorf("%v until all interrupted tasks of %s ran again", tracker.longest[uid], uid)
						}
					}
					if len(tracker.interrupted) > 0 {
						t.Errorf("%d interrupted tasks still wait", len(tracker.interrupted))
					}
				}
				tracker.markHealed(w)
				w.healAndAwaitJobs(jobs)
			})
		})
	}
}
