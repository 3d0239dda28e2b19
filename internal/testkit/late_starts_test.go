package testkit_test

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// checks are rules of the cluster that take more than a look at one moment.
type checks struct {
	waits   map[string]*waitingJob // jobs that wait although a machine has room
	done    map[string]map[string]bool
	started map[string]time.Time // when a task of each job last started
	looked  time.Time

	sender startSender // of the commands that a worker is about to execute
	late   int         // starts after their user heard that the job is cancelled
}

const (
	waitAllowed = 90 * time.Second // for which a job may wait while a machine that fits has room
	waitLook    = 5 * time.Second  // between looks
)

// waitingJob is a job with tasks on no machine.
type waitingJob struct {
	since time.Time
	room  []*testkit.Worker // machines that have had room for it at each look since then
}

// startSender is a controller that sent commands, and when.
type startSender struct {
	node *node
	at   time.Time
}

// knownCancels is when a controller first knew of each cancel.
type knownCancels struct{ sync.Map }

func (k *knownCancels) learn(uids []string) {
	for _, uid := range uids {
		k.LoadOrStore(uid, time.Now())
	}
}

func (c *checks) init() {
	c.waits, c.done, c.started = map[string]*waitingJob{}, map[string]map[string]bool{}, map[string]time.Time{}
}

// sent notes who sent the commands that a worker executes next. The cluster is locked.
func (c *checks) sent(by *node, at time.Time) { c.sender = startSender{by, at} }

// checkStart counts a start after its job's cancel was confirmed. The only one that can't
// be avoided is a command that was under way: its sender had not heard of the cancel when
// it sent it, which takes what a message between controllers takes, or, for one that is
// cut off, as long as it may answer workers. The cluster is locked.
func (w *cluster) checkStart(task string) {
	uid, _, _ := strings.Cut(task, "/")
	w.checks.started[uid] = time.Now()
	if _, cancelled := w.cancels[uid]; !cancelled {
		return
	}
	w.checks.late++
	s := w.checks.sender
	if s.node == nil {
		return
	}
	if at, ok := s.node.knows.Load(uid); ok && at.(time.Time).Before(s.at) {
		w.fail("%s was started by a command that %s sent %v after it knew that the job is cancelled", task, s.node.name, s.at.Sub(at.(time.Time)))
	}
}

// checkEnd notes a task that is done. The cluster is locked.
func (w *cluster) checkEnd(t wire.Task) {
	if t.Cause != wire.CauseDone {
		return
	}
	uid, _, _ := strings.Cut(t.Task, "/")
	if w.checks.done[uid] == nil {
		w.checks.done[uid] = map[string]bool{}
	}
	w.checks.done[uid][t.Task] = true
}

// calm reports whether nothing is cut, down, slow or late. The cluster is locked.
func (w *cluster) calm() bool {
	for link, off := range w.off {
		if off && link[0] != link[1] {
			return false
		}
	}
	for _, n := range w.nodes {
		if n.down {
			return false
		}
	}
	if slices.ContainsFunc(w.workers, (*testkit.Worker).Hangs) {
		return false
	}
	store := w.slow != nil || w.lateBy != nil || w.losing != nil || w.lag != nil || w.behind != nil || w.delay != nil
	return !store && w.holding == nil && w.transit == nil && w.linkDelay == nil
}

// bound reports whether a job may not use every machine that has room for it.
func bound(job *wire.Job) bool { return job.Zone != nil || job.OneZone || job.Spread }

// checkWaits checks that, with no trouble, no job waits for 90 s while a machine that fits
// has room and its team is under its limit.
func (w *cluster) checkWaits() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now, c := time.Now(), &w.checks
	if !w.calm() {
		clear(c.waits)
		return
	}
	if now.Sub(c.looked) < waitLook {
		return
	}
	c.looked = now
	jobs := w.living()
	on, free, use := w.inUse(jobs)
	for uid, job := range jobs {
		waits := job.Tasks - on[uid] - len(c.done[uid])
		fits := func(k *testkit.Worker) bool { return free[k] >= job.CPUs }
		if waits <= 0 || !w.cancels[uid].IsZero() || job.Gang() || bound(job) || !w.underLimit(job, use[job.Team]) {
			delete(c.waits, uid)
			continue
		}
		wait := c.waits[uid]
		if wait != nil && c.started[uid].Before(wait.since) {
			wait.room = slices.DeleteFunc(wait.room, func(k *testkit.Worker) bool { return !fits(k) })
		}
		if wait == nil || len(wait.room) == 0 || !c.started[uid].Before(wait.since) {
			wait = &waitingJob{since: now}
			for _, k := range w.workers {
				if fits(k) {
					wait.room = append(wait.room, k)
				}
			}
			c.waits[uid] = wait
		}
		if waited := now.Sub(wait.since); waited > waitAllowed {
			w.fail("%d tasks of %s have waited for %v, and %s had room", waits, uid, waited, wait.room[0].Name)
			delete(c.waits, uid)
		}
	}
}

// living reads the jobs that live, but those with terms: they may have to wait.
func (w *cluster) living() map[string]*wire.Job {
	items, _, err := (&testkit.View{Store: w.store}).List(context.Background(), "live/")
	if err != nil {
		w.fail("%v", err)
	}
	jobs := make(map[string]*wire.Job, len(items))
	for i := range items {
		var record struct {
			Job       wire.Job        `json:"job"`
			Cancelled bool            `json:"cancelled"`
			Terms     json.RawMessage `json:"terms"`
		}
		if err := json.Unmarshal(items[i].Value, &record); err != nil {
			w.fail("%s: %v", items[i].Key, err)
		} else if !record.Cancelled && record.Terms == nil {
			jobs[record.Job.UID] = &record.Job
		}
	}
	return jobs
}

// inUse counts the jobs' tasks on machines, and the CPUs that are free there and in use by
// each team. A machine with a task of an unknown job has none free.
func (w *cluster) inUse(jobs map[string]*wire.Job) (on map[string]int, free map[*testkit.Worker]float64, use map[string]float64) {
	on, free, use = map[string]int{}, map[*testkit.Worker]float64{}, map[string]float64{}
	for _, k := range w.workers {
		free[k] = float64(w.size)
		for _, task := range k.On() {
			uid, _, _ := strings.Cut(task, "/")
			on[uid]++
			if job := jobs[uid]; job != nil {
				free[k] -= job.CPUs
				use[job.Team] += job.CPUs
			} else {
				free[k] = 0
			}
		}
	}
	return on, free, use
}

// underLimit reports whether a team that uses so many CPUs may use a task's more.
func (w *cluster) underLimit(job *wire.Job, use float64) bool {
	for _, t := range w.cfg.Params.Teams {
		if t.Name == job.Team && t.CPUsMax > 0 && use+job.CPUs > t.CPUsMax {
			return false
		}
	}
	return true
}

// The check of waits must see what it is for: a job that nobody places although there is
// room, and neither one for which there is none, nor one whose team is at its limit.
func TestWaitsAreNoticed(t *testing.T) {
	for _, c := range []struct {
		name  string
		cpus  float64
		limit float64
		want  bool
	}{{"room", 1, 0, true}, {"no room", 5, 0, false}, {"at the limit", 1, 0.5, false}} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(t, 1)
				w.cfg.Params.Teams[0].CPUsMax = c.limit
				noticed := 0
				w.fail = func(string, ...any) { noticed++ }
				w.accept(&wire.Job{UID: "j-1", Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 1, CPUs: c.cpus, MemoryGB: 1, Estimate: 4, Spot: true})
				for range 60 { // no controller runs
					time.Sleep(2 * time.Second)
					w.checkWaits()
				}
				if got := noticed > 0; got != c.want {
					t.Errorf("noticed: %v", got)
				}
			})
		})
	}
}

// Orders are held up while users cancel jobs at other controllers, and come afterwards:
// what they start is all that starts after a confirmed cancel, and is soon gone.
func TestOnlyOrdersUnderWayStartAfterCancel(t *testing.T) {
	late := 0
	for seed := uint64(1); seed <= 6; seed++ {
		synctest.Test(t, func(t *testing.T) {
			w := newCluster(t, 800+seed)
			w.bigger(3, 12)
			for _, n := range w.names {
				w.start(n)
			}
			w.live(3)
			w.keepCuts, w.holding = true, func() bool { return true }
			jobs := []string{"j-1", "j-2", "j-3"}
			for _, uid := range jobs {
				w.submit(uid, 30)
			}
			underWay := func() (n int) {
				w.mu.Lock()
				defer w.mu.Unlock()
				return len(w.late)
			}
			if !w.within(5, func() bool { return underWay() > 0 }) {
				t.Fatal("no order was held up")
			}
			confirmed := w.cancelAll(w.others(w.leader())[0], jobs, 8)
			w.release()
			w.mu.Lock()
			w.holding = nil
			w.mu.Unlock()
			w.live(60)
			t.Logf("%d cancels confirmed, %d starts after them", confirmed, w.checks.late)
			late += w.checks.late
			// One order is under way to a machine at a time, and starts what fits there.
			if most := len(w.workers) * int(w.size); w.checks.late > most {
				t.Errorf("%d starts after confirmed cancels, %d could be under way", w.checks.late, most)
			}
			for _, uid := range jobs {
				if stage, heard := w.user(w.names[0], http.MethodGet, uid); heard && !w.cancels[uid].IsZero() && stage != wire.StageCancelled {
					t.Errorf("%s is %s", uid, stage)
				}
			}
			w.stopAll()
		})
	}
	if late == 0 {
		t.Error("no start came after a confirmed cancel")
	}
}
