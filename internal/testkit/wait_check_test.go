package testkit_test

import (
	"context"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	waitAllowed = 90 * time.Second // for which a job may wait while a worker that fits has room
	steadyAfter = 5 * time.Second  // from which on a worker counts as one with steady room
	lookPause   = 5 * time.Second  // between looks for recurring room
)

// waitCheck is the rule that no job waits for long while a worker that fits has room and
// its team is under its limit. It is judged while there is no fault, or, once a test
// insists, always. Two kinds of room are judged: steady room, which may be on one worker
// now and on another then, and recurring room, which is on one worker whenever it is
// looked at with pauses, and may be taken in between.
type waitCheck struct {
	insisted bool
	room     map[*testkit.Worker]map[float64]time.Time // since when so many CPUs are free

	steady  map[string]time.Time // by job: since when it could start beside steady room
	starts  map[string]int       // by job, when last looked
	longest time.Duration        // beside steady room

	recurring       map[string]*recurringWait // by job
	recurringStarts map[string]int            // by job, when last looked with pauses
	looked          time.Time                 // when that was
}

// recurringWait is a job that could start at each look with pauses.
type recurringWait struct {
	since    time.Time
	machines []*testkit.Worker // that have had room at each look since then
}

func newWaitCheck() waitCheck {
	return waitCheck{
		room: map[*testkit.Worker]map[float64]time.Time{}, steady: map[string]time.Time{}, starts: map[string]int{},
		recurring: map[string]*recurringWait{}, recurringStarts: map[string]int{},
	}
}

// insist has the waits judged from now on whatever the links, workers and the state
// service do.
func (c *waitCheck) insist() { c.insisted = true }

// checkWaits is to be called every second.
func (w *cluster) checkWaits() {
	if !w.judgesWaits() {
		return
	}
	c, now := &w.waits, time.Now()
	jobs := w.living()
	s := w.standing()
	w.mu.Lock()
	defer w.mu.Unlock()
	use := w.useOf(jobs)
	if c.insisted {
		for uid, job := range w.submittedJobs {
			jobs[uid] = job
		}
	}
	withPauses := now.Sub(c.looked) >= lookPause
	if withPauses {
		c.looked = now
	}
	for uid, job := range jobs {
		if job.Gang() || bound(job) {
			continue
		}
		could := s.waits(job) && use.allows(w.cfg.Params.Teams, job)
		waited := c.besideSteadyRoom(uid, could && c.hasSteadyRoom(s, job.CPUs, now), w.startsByJob[uid], now)
		c.longest = max(c.longest, waited)
		if withPauses {
			waited = max(waited, c.besideRecurringRoom(uid, could, s.fitting(job.CPUs), w.startsByJob[uid], now))
		}
		if waited > waitAllowed {
			w.fail("%s waits for %v while a machine has room and team %s is under its limit", uid, waited, job.Team)
			delete(c.steady, uid)
			delete(c.recurring, uid)
		}
	}
}

// judgesWaits reports whether waits are judged now. A fault begins them anew.
func (w *cluster) judgesWaits() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := &w.waits
	if c.insisted || w.calm() {
		return true
	}
	clear(c.room)
	clear(c.steady)
	clear(c.recurring)
	return false
}

// besideSteadyRoom is how long a job has waited that could start beside steady room now.
func (c *waitCheck) besideSteadyRoom(uid string, could bool, starts int, now time.Time) time.Duration {
	started := starts != c.starts[uid]
	c.starts[uid] = starts
	if !could || started {
		delete(c.steady, uid)
		return 0
	}
	if c.steady[uid].IsZero() {
		c.steady[uid] = now
	}
	return now.Sub(c.steady[uid])
}

// besideRecurringRoom is how long a job has waited that could start now where it fits.
func (c *waitCheck) besideRecurringRoom(uid string, could bool, fitting []*testkit.Worker, starts int, now time.Time) time.Duration {
	started := starts != c.recurringStarts[uid]
	c.recurringStarts[uid] = starts
	if !could {
		delete(c.recurring, uid)
		return 0
	}
	wait := c.recurring[uid]
	if wait != nil && !started {
		wait.machines = slices.DeleteFunc(wait.machines, func(k *testkit.Worker) bool { return !slices.Contains(fitting, k) })
	}
	if wait == nil || started || len(wait.machines) == 0 {
		wait = &recurringWait{now, fitting}
		c.recurring[uid] = wait
	}
	return now.Sub(wait.since)
}

// hasSteadyRoom reports whether a worker has had so many CPUs free for a while.
func (c *waitCheck) hasSteadyRoom(s *standing, cpus float64, now time.Time) (has bool) {
	for k, free := range s.free {
		if c.room[k] == nil {
			c.room[k] = map[float64]time.Time{}
		}
		since, known := c.room[k][cpus]
		switch {
		case free+cpuTolerance < cpus:
			delete(c.room[k], cpus)
		case !known:
			c.room[k][cpus] = now
		default:
			has = has || now.Sub(since) >= steadyAfter
		}
	}
	return has
}

// fitting lists the workers that have so many CPUs free now.
func (s *standing) fitting(cpus float64) (ks []*testkit.Worker) {
	for k, free := range s.free {
		if free+cpuTolerance >= cpus {
			ks = append(ks, k)
		}
	}
	return ks
}

// useOf sums what tasks of these jobs use. Those of cancelled jobs excuse no wait: they are
// gone long before one is too long. The cluster is locked.
func (w *cluster) useOf(jobs map[string]*wire.Job) teamUse {
	use := teamUse{}
	for _, k := range w.workers {
		for _, task := range k.UnfinishedTasks() {
			uid, _, _ := strings.Cut(task, "/")
			if job := jobs[uid]; job != nil {
				use[job.Team] += job.CPUs
			}
		}
	}
	return use
}

// living reads the jobs that live, but those with terms: they may have to wait. Jobs that
// the cluster did not know are known from then on.
func (w *cluster) living() map[string]*wire.Job {
	items, _, err := (&testkit.View{Store: w.store}).List(context.Background(), "live/")
	if err != nil {
		w.fail("%v", err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	jobs := make(map[string]*wire.Job, len(items))
	for i := range items {
		var record struct {
			Job       wire.Job        `json:"job"`
			Cancelled bool            `json:"cancelled"`
			Terms     json.RawMessage `json:"terms"`
		}
		if err := json.Unmarshal(items[i].Value, &record); err != nil {
			w.fail("%s: %v", items[i].Key, err)
			continue
		}
		job := &record.Job
		if w.submittedJobs[job.UID] == nil {
			w.submittedJobs[job.UID] = job
		}
		if !record.Cancelled && record.Terms == nil {
			jobs[job.UID] = job
		}
	}
	return jobs
}

// calm reports whether nothing is cut, down, slow or late. The cluster is locked.
func (w *cluster) calm() bool {
	for link, off := range w.brokenLinks {
		if off && link[0] != link[1] {
			return false
		}
	}
	for _, n := range w.nodes {
		if n.down {
			return false
		}
	}
	if slices.ContainsFunc(w.workers, (*testkit.Worker).IsHung) {
		return false
	}
	store := w.storeLatency != nil || w.transactionDelay != nil || w.losesResponse != nil || w.watchLag != nil || w.watchLagOf != nil || w.delayTransaction != nil
	return !store && w.holdsCommand == nil && w.transitTime == nil && w.messageDelay == nil
}

// bound reports whether a job may not use every worker that has room for it.
func bound(job *wire.Job) bool { return job.Zone != nil || job.OneZone || job.Spread }

// The check of waits must see what it is for: a job that nobody places although there is
// room, and neither one for which there is none, nor one whose team is at its limit, nor,
// unless the test insists, one that waits beside a fault.
func TestWaitCheckFindsUnplacedJobs(t *testing.T) {
	for _, c := range []struct {
		name    string
		cpus    float64
		limit   float64
		trouble bool
		insist  bool
		want    bool
	}{
		{"room", 1, 0, false, false, true},
		{"no room", 5, 0, false, false, false},
		{"at the limit", 1, 0.5, false, false, false},
		{"trouble", 1, 0, true, false, false},
		{"trouble, insisted", 1, 0, true, true, true},
		{"no room, insisted", 5, 0, true, true, false},
		{"at the limit, insisted", 1, 0.5, true, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(t, 1)
				w.cfg.Params.Teams[0].CPUsMax = c.limit
				if c.trouble {
					w.cutFromStateService("a")
				}
				w.waits.insisted = c.insist
				noticed := 0
				w.fail = func(string, ...any) { noticed++ }
				w.accept(&wire.Job{UID: "j-1", Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 1, CPUs: c.cpus, MemoryGB: 1, EstimateS: 4, Spot: true})
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

// Room that moves from one worker to another is steady room, and room that is there at
// each look with pauses alone is recurring room: a job that waits beside either is noticed,
// one whose tasks start is not.
func TestWaitCheckFindsSteadyAndRecurringRoom(t *testing.T) {
	first, second := testkit.NewWorker("n-1", workerLease, taskDuration), testkit.NewWorker("n-2", workerLease, taskDuration)
	begin := time.Now()
	for _, starting := range []bool{false, true} {
		moving, taken := newWaitCheck(), newWaitCheck()
		besideMoving, besideTaken, besideTakenSteady := time.Duration(0), time.Duration(0), time.Duration(0)
		starts := 0
		for at := time.Duration(0); at <= waitAllowed+2*lookPause; at += time.Second {
			now := begin.Add(at)
			if starting && at%(40*time.Second) == 0 {
				starts++
			}
			// When one worker loses its room, the other has had some for more than 5 s.
			s := &standing{free: map[*testkit.Worker]float64{first: 0, second: 0}}
			turn := int(at/time.Second) % 20
			if turn < 16 {
				s.free[first] = 1
			}
			if turn >= 9 || turn < 6 {
				s.free[second] = 1
			}
			besideMoving = max(besideMoving, moving.besideSteadyRoom("j", moving.hasSteadyRoom(s, 1, now), starts, now))

			look := at%lookPause == 0
			s = &standing{free: map[*testkit.Worker]float64{first: 0}}
			if look {
				s.free[first] = 1
			}
			besideTakenSteady = max(besideTakenSteady, taken.besideSteadyRoom("j", taken.hasSteadyRoom(s, 1, now), starts, now))
			if look {
				besideTaken = max(besideTaken, taken.besideRecurringRoom("j", true, s.fitting(1), starts, now))
			}
		}
		if noticed := besideMoving > waitAllowed; noticed == starting {
			t.Errorf("starting %v: waited %v beside steady room", starting, besideMoving)
		}
		if noticed := besideTaken > waitAllowed; noticed == starting {
			t.Errorf("starting %v: waited %v beside recurring room", starting, besideTaken)
		}
		if besideTakenSteady != 0 {
			t.Errorf("waited %v beside steady room that there was not", besideTakenSteady)
		}
	}
}
