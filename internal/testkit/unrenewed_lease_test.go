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

// askExpiring does what cmd/wallrack does several times a second for workers whose
// reports are overdue.
func (n *node) askExpiring(ctx context.Context) {
	const timesASecond = 4
	for range timesASecond {
		if ask := n.scheduler.HandleExpiringLeases(); len(ask) > 0 && n.MayAnswerWorkers() {
			n.dispatcher.ChaseCancelledTasks(ctx, ask)
		}
	}
}

// unreported breaks the links from a worker to all controllers, not those back: direct
// commands reach it, and nothing renews its lease.
func (w *cluster) unreported(k *testkit.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.names {
		w.brokenLinks[[2]string{k.Name, n}] = true
	}
}

// workLedger follows what tasks run, save and lose, by what the workers do.
type workLedger struct {
	total func(task string) time.Duration
	saved map[string]time.Duration
	done  map[string]time.Time

	cut     map[string]time.Time     // workers, by when their reports began to be lost
	left    map[string]time.Time     // tasks that ended there before they were done, by when
	started map[string]bool          // tasks started there later than startsAfterCut
	late    int                      // of them, those that the lease killed
	killed  map[string]int           // tasks killed by their lease, by job
	stopped map[string]int           // tasks stopped on workers that are cut, by job
	lostRun time.Duration            // run that was lost with killed tasks and with stopped ones that did not save
	longest map[string]time.Duration // from the cut to a start elsewhere, at most, by job
	read    int                      // tasks that were done on workers that are cut
}

// startsAfterCut is how long after a worker's reports began to be lost starts on it may
// still be under way: what its leader needs to know it, and a report interval.
const startsAfterCut = 5 * time.Second

// readBeforeExpiry is how long before the end of its lease a task must be done so that
// its leader surely reads it; the cluster asks once a second.
const readBeforeExpiry = 3 * time.Second

// follow has a ledger follow all workers.
func (w *cluster) follow(total, save func(task string) time.Duration) *workLedger {
	l := &workLedger{
		total: total, saved: map[string]time.Duration{}, done: map[string]time.Time{}, cut: map[string]time.Time{},
		left: map[string]time.Time{}, killed: map[string]int{}, stopped: map[string]int{}, started: map[string]bool{}, longest: map[string]time.Duration{},
	}
	for _, k := range w.workers {
		started := k.Started
		k.Run = func(task string) time.Duration { return max(0, total(task)-l.saved[task]) }
		k.Save = save
		k.Started = func(task string, attempt uint64) {
			started(task, attempt)
			l.starts(w, k, task)
		}
		k.Ended = func(t wire.Task, ran time.Duration) { l.ends(k, t, ran) }
	}
	return l
}

func (l *workLedger) starts(w *cluster, k *testkit.Worker, task string) {
	if at, cut := l.cut[k.Name]; cut && time.Since(at) > startsAfterCut {
		l.started[task] = true
	} else {
		delete(l.started, task)
	}
	if at, ok := l.done[task]; ok {
		w.fail("%s is started again on %s, %v after it was done", task, k.Name, time.Since(at))
	}
	if at, ok := l.left[task]; ok {
		uid, _, _ := strings.Cut(task, "/")
		l.longest[uid] = max(l.longest[uid], time.Since(at).Round(time.Millisecond))
		delete(l.left, task)
	}
}

func (l *workLedger) ends(k *testkit.Worker, t wire.Task, ran time.Duration) {
	uid, _, _ := strings.Cut(t.Task, "/")
	at, cut := l.cut[k.Name]
	switch {
	case t.Cause == wire.CauseDone:
		// Done too shortly before the lease ends, it may be lost with the lease.
		if !cut || time.Since(at) < workerLease-readBeforeExpiry {
			l.done[t.Task] = time.Now()
			if cut {
				l.read++
			}
		}
		return
	case t.Saved:
		l.saved[t.Task] += ran
	default:
		l.lostRun += ran
	}
	if t.Cause == "" {
		l.killed[uid]++
		if l.started[t.Task] {
			l.late++
		}
	} else if cut {
		l.stopped[uid]++
	}
	if cut {
		l.left[t.Task] = at
	}
}

// cutOff notes that reports of a worker are lost from now on.
func (l *workLedger) cutOff(w *cluster, k *testkit.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l.cut[k.Name] = time.Now()
}

// healed notes that no reports are lost any more.
func (l *workLedger) healed(w *cluster) {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(l.cut)
}

// finishes heals all links, and has so many jobs end.
func (w *cluster) finishes(jobs int) {
	w.healed()
	if !w.within(300, func() bool { return len(w.store.Keys("final/")) == jobs }) {
		w.t.Errorf("of %d jobs only %v ended", jobs, w.store.Keys("final/"))
	}
	w.stopAll()
}

// byJobs lists the workers, those with tasks of most of some jobs on them first. Where they have
// tasks of as many jobs, those with the jobs come first that fewer workers before them have: the
// first workers have tasks of all of the jobs among them, however the tasks are placed.
func (w *cluster) byJobs(jobs ...string) (sorted []*testkit.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	on := map[*testkit.Worker][]string{}
	for _, k := range w.workers {
		tasks := k.On()
		for _, uid := range jobs {
			if slices.ContainsFunc(tasks, func(task string) bool { return strings.HasPrefix(task, uid) }) {
				on[k] = append(on[k], uid)
			}
		}
	}
	listed := map[string]int{} // workers with tasks of a job
	worth := func(k *testkit.Worker) (sum float64) {
		for _, uid := range on[k] {
			sum += 1 / float64(1+listed[uid])
		}
		return sum
	}
	for left := slices.Clone(w.workers); len(left) > 0; {
		next := 0
		for i, k := range left {
			if worth(k) > worth(left[next]) {
				next = i
			}
		}
		for _, uid := range on[left[next]] {
			listed[uid]++
		}
		sorted = append(sorted, left[next])
		left = slices.Delete(left, next, next+1)
	}
	return sorted
}

// session is a worker's session now.
func (w *cluster) session(k *testkit.Worker) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return k.Session()
}

// accept records a job as accepted.
func (w *cluster) accept(job *wire.Job) {
	guards, ops := jobrecord.AcceptanceTxn(job, nil, jobrecord.HashShard(job, nil, 4), time.Now().UnixMilli())
	if _, err := (&testkit.View{Store: w.store}).Txn(context.Background(), guards, ops...); err != nil {
		w.t.Fatal(err)
	}
}

// Workers that reach no controller, while direct commands reach them, lose their leases.
// Before that, what is done there is read, and not run again; what can save is stopped
// and saves; what can't be done in time, and has not run for long, is begun elsewhere;
// and nothing is started there that would not be done in time. None is deleted, since they answer.
func TestWorkersReachingNoController(t *testing.T) {
	const savers, old, young, short, tiny = "j-save", "j-old", "j-young", "j-short", "j-tiny"
	for i, c := range []struct {
		name  string
		cut   int
		ends  bool // the leader ends meanwhile
		full  bool // there is more work than room
		token bool // it has seen a higher fencing token than the leader has
	}{
		{name: "one", cut: 1},
		{name: "one that has seen a higher token", cut: 1, token: true},
		{name: "a quarter", cut: 6},
		{name: "all", cut: 24},
		{name: "a quarter, and the leader ends", cut: 6, ends: true},
		{name: "a quarter, with more work than room", cut: 6, full: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(t, uint64(700+i))
				w.bigger(3, 24)
				w.size = 8 // so that there is room elsewhere
				w.promptCommands, w.keepCuts, w.unlisted = true, true, !c.ends
				l := w.follow(func(task string) time.Duration {
					switch uid, _, _ := strings.Cut(task, "/"); uid {
					case short:
						return variedTime(task)
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
				w.startInTurn()
				time.Sleep(2 * time.Second)
				submit := func(uid, priority string, tasks int, estimate, mark float64) {
					w.accept(&wire.Job{
						UID: uid, Class: uid, Team: "t", Kind: wire.KindArray, Priority: priority, Tasks: tasks,
						CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 0.1, EstimateS: estimate, Spot: true, CheckpointIntervalS: mark, CheckpointSaveS: mark / 30,
					})
				}
				submit(savers, "normal", 24, 40, 30)
				submit(old, "normal", 24, 40, 0)
				w.live(2)
				submit(short, "normal", 240, 6, 0)
				w.live(8)
				submit(young, "urgent", 24, 40, 0)
				jobs := 4
				if c.full {
					submit(tiny, "low", 6000, 1, 0)
					jobs++
				}
				w.live(1)
				sessions := map[string]uint64{}
				cut := w.byJobs(savers, young)[:c.cut]
				for _, k := range cut {
					w.unreported(k)
					l.cutOff(w, k)
					sessions[k.Name] = w.session(k)
				}
				if c.token {
					session, term := w.session(cut[0]), w.nodes[w.leader()].member.FencingToken()
					w.mu.Lock()
					cut[0].Orders(wire.PushedCommands{Token: term + 1, Session: session})
					w.mu.Unlock()
				}
				if c.ends {
					w.live(1)
					w.restart(w.leader(), 200*time.Millisecond)
				}
				w.live(25)
				for _, k := range cut {
					if w.session(k) == sessions[k.Name] {
						t.Errorf("the lease of %s did not end", k.Name)
					}
				}
				t.Logf("%s: killed %v, stopped %v, %d done there, %v of run lost, %d of %d late starts killed, %v until all ran elsewhere, %d still wait, %d returned",
					c.name, l.killed, l.stopped, l.read, l.lostRun, l.late, len(l.started), l.longest, len(l.left), w.returnedMachines)
				if c.ends {
					// The next leader knows neither when the leases end nor how long tasks have run.
					if l.stopped[old] > 0 || l.stopped[savers] == 0 {
						t.Errorf("%d tasks that had run for long were stopped, %d that save", l.stopped[old], l.stopped[savers])
					}
					w.finishes(jobs)
					return
				}
				if l.killed[savers] > 0 {
					t.Errorf("%d tasks that can save were killed", l.killed[savers])
				}
				if l.late > 0 {
					t.Errorf("%d starts were killed on machines whose leases were known not to be renewed", l.late)
				}
				if c.full && len(l.started) == 0 {
					t.Error("no task that would be done in time was started")
				}
				if w.returnedMachines > 0 {
					t.Errorf("%d machines that answer were returned", w.returnedMachines)
				}
				if len(l.stopped) == 0 || c.cut > 1 && (l.stopped[savers] == 0 || l.read == 0) {
					t.Errorf("%v tasks were stopped, %d were done on machines that reach nobody", l.stopped, l.read)
				}
				if c.cut > 1 && c.cut < len(w.workers)/2 && l.stopped[young] == 0 {
					t.Error("no task was stopped early")
				}
				if c.cut < len(w.workers)/2 {
					if l.killed[young] > 0 {
						t.Errorf("%d tasks that had run for less than the rest of the lease were left to be killed", l.killed[young])
					}
					// Those that nothing saves wait for the end of the lease, and for a request after it.
					for uid, bound := range map[string]time.Duration{old: workerLease + 3*time.Second, savers: workerLease + time.Second, young: workerLease - 2*time.Second} {
						if l.longest[uid] > bound && !c.full {
							t.Errorf("%v until tasks of %s ran elsewhere", l.longest[uid], uid)
						}
					}
					if len(l.left) > 0 {
						t.Errorf("%d tasks still wait", len(l.left))
					}
				}
				l.healed(w)
				w.finishes(jobs)
			})
		})
	}
}
