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
	maxWait = 90 * time.Second // for which a job may wait while a worker that fits has room
	steadyCapacityAfter = 5 * time.Second  // from which on a worker counts as one with steady room
	recurringCheckInterval   = 5 * time.Second  // between looks for recurring room
)

// waitCheck is the rule that no job waits for long while a worker that fits has room and
// its team is under its limit. It is judged while there is no fault, or, once a test
// insists, always. Two kinds of room are judged: steady room, which may be on one worker
// now and on another then, and recurring room, which is on one worker whenever it is
// looked at with pauses, and may be taken in between.
type waitCheck struct {
	always bool
	freeSince     map[*testkit.Worker]map[float64]time.Time // since when so many CPUs are free

	steadySince  map[string]time.Time // by job: since when it could start beside steady room
	lastStarts  map[string]int       // by job, when last looked
	longest time.Duration        // beside steady room

	recurring       map[string]*recurringWait // by job
	lastRecurringStarts map[string]int            // by job, when last looked with pauses
	lastRecurringCheck          time.Time                 // when that was
}

// recurringWait is a job that could start at each look with pauses.
type recurringWait struct {
	since    time.Time
	machines []*testkit.Worker // that have had room at each look since then
}

func newWaitCheck() waitCheck {
	return waitCheck{
		freeSince: map[*testkit.Worker]map[float64]time.Time{}, steadySince: map[string]time.Time{}, lastStarts: map[string]int{},
		recurring: map[string]*recurringWait{}, lastRecurringStarts: map[string]int{},
	}
}

// checkAlways has the waits judged from now on whatever the links, workers and the state
// service do.
func (c *waitCheck) checkAlways() { c.always = true }

// checkWaits is to be called every second.
func (w *cluster) checkWaits() {
	if !w.shouldCheckWaits() {
		return
	}
	c, now := &w.waits, time.Now()
	jobs := w.liveJobs()
	s := w.snapshot()
	w.mu.Lock()
	defer w.mu.Unlock()
	use := w.useByTeam(jobs)
	if c.always {
		for uid, job := range w.specs {
			jobs[uid] = job
		}
	}
	withPauses := now.Sub(c.lastRecurringCheck) >= recurringCheckInterval
	if withPauses {
		c.lastRecurringCheck = now
	}
	for uid, job := range jobs {
		if job.Gang() || hasZoneConstraint(job) {
			continue
		}
		could := s.waits(job) && use.allows(w.cfg.Params.Teams, job)
		waited := c.steadyCapacityWait(uid, could && c.hasSteadyCapacity(s, job.CPUs, now), w.startsOf[uid], now)
		c.longest = max(c.longest, waited)
		if withPauses {
			waited = max(waited, c.recurringCapacityWait(uid, could, s.workersWithFree(job.CPUs), w.startsOf[uid], now))
		}
		if waited > maxWait {
			w.fail("%s waits for %v while a machine has room and team %s is under its limit", uid, waited, job.Team)
			delete(c.steadySince, uid)
			delete(c.recurring, uid)
		}
	}
}

// shouldCheckWaits reports whether waits are judged now. A fault begins them anew.
func (w *cluster) shouldCheckWaits() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := &w.waits
	if c.always || w.faultFree() {
		return true
	}
	clear(c.freeSince)
	clear(c.steadySince)
	clear(c.recurring)
	return false
}

// steadyCapacityWait is how long a job has waited that could start beside steady room now.
func (c *waitCheck) steadyCapacityWait(uid string, could bool, starts int, now time.Time) time.Duration {
	started := starts != c.lastStarts[uid]
	c.lastStarts[uid] = starts
	if !could || started {
		delete(c.steadySince, uid)
		return 0
	}
	if c.steadySince[uid].IsZero() {
		c.steadySince[uid] = now
	}
	return now.Sub(c.steadySince[uid])
}

// recurringCapacityWait is how long a job has waited that could start now where it fits.
func (c *waitCheck) recurringCapacityWait(uid string, could bool, fitting []*testkit.Worker, starts int, now time.Time) time.Duration {
	started := starts != c.lastRecurringStarts[uid]
	c.lastRecurringStarts[uid] = starts
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

// hasSteadyCapacity reports whether a worker has had so many CPUs free for a while.
func (c *waitCheck) hasSteadyCapacity(s *snapshot, cpus float64, now time.Time) (has bool) {
	for k, free := range s.free {
		if c.freeSince[k] == nil {
			c.freeSince[k] = map[float64]time.Time{}
		}
		since, known := c.freeSince[k][cpus]
		switch {
		case free+cpuTolerance < cpus:
			delete(c.freeSince[k], cpus)
		case !known:
			c.freeSince[k][cpus] = now
		default:
			has = has || now.Sub(since) >= steadyCapacityAfter
		}
	}
	return has
}

// workersWithFree lists the workers that have so many CPUs free now.
func (s *snapshot) workersWithFree(cpus float64) (ks []*testkit.Worker) {
	for k, free := range s.free {
		if free+cpuTolerance >= cpus {
			ks = append(ks, k)
		}
	}
	return ks
}

// useByTeam sums what tasks of these jobs use. Those of cancelled jobs excuse no wait: they are
// gone long before one is too long. The cluster is locked.
func (w *cluster) useByTeam(jobs map[string]*wire.Job) teamUse {
	use := teamUse{}
	for _, k := range w.workers {
		for _, task := range k.On() {
			uid, _, _ := strings.Cut(task, "/")
			if job := jobs[uid]; job != nil {
				use[job.Team] += job.CPUs
			}
		}
	}
	return use
}

// liveJobs reads the jobs that live, but those with terms: they may have to wait. Jobs that
// the cluster did not know are known from then on.
func (w *cluster) liveJobs() map[string]*wire.Job {
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
		if w.specs[job.UID] == nil {
			w.specs[job.UID] = job
		}
		if !record.Cancelled && record.Terms == nil {
			jobs[job.UID] = job
		}
	}
	return jobs
}

// faultFree reports whether nothing is cut, down, slow or late. The cluster is locked.
func (w *cluster) faultFree() bool {
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
	if slices.ContainsFunc(w.workers, (*testkit.Worker).Hangs) {
		return false
	}
	store := w.storeLatency != nil || w.transactionDelay != nil || w.losesResponse != nil || w.watchLag != nil || w.behind != nil || w.delay != nil
	return !store && w.holdsCommand == nil && w.transit == nil && w.messageDelay == nil
}

// hasZoneConstraint reports whether a job may not use every worker that has room for it.
func hasZoneConstraint(job *wire.Job) bool { return job.Zone != nil || job.OneZone || job.Spread }

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
					w.refuse("a")
				}
				w.waits.always = c.insist
				noticed := 0
				w.fail = func(string, ...any) { noticed++ }
				w.recordAcceptedJob(&wire.Job{UID: "j-1", Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 1, CPUs: c.cpus, MemoryGB: 1, EstimateS: 4, Spot: true})
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
	first, second := testkit.NewWorker("n-1", workerLease, taskTime), testkit.NewWorker("n-2", workerLease, taskTime)
	begin := time.Now()
	for _, starting := range []bool{false, true} {
		moving, taken := newWaitCheck(), newWaitCheck()
		besideMoving, besideTaken, besideTakenSteady := time.Duration(0), time.Duration(0), time.Duration(0)
		starts := 0
		for at := time.Duration(0); at <= maxWait+2*recurringCheckInterval; at += time.Second {
			now := begin.Add(at)
			if starting && at%(40*time.Second) == 0 {
				starts++
			}
			// When one worker loses its room, the other has had some for more than 5 s.
			s := &snapshot{free: map[*testkit.Worker]float64{first: 0, second: 0}}
			turn := int(at/time.Second) % 20
			if turn < 16 {
				s.free[first] = 1
			}
			if turn >= 9 || turn < 6 {
				s.free[second] = 1
			}
			besideMoving = max(besideMoving, moving.steadyCapacityWait("j", moving.hasSteadyCapacity(s, 1, now), starts, now))

			look := at%recurringCheckInterval == 0
			s = &snapshot{free: map[*testkit.Worker]float64{first: 0}}
			if look {
				s.free[first] = 1
			}
			besideTakenSteady = max(besideTakenSteady, taken.steadyCapacityWait("j", taken.hasSteadyCapacity(s, 1, now), starts, now))
			if look {
				besideTaken = max(besideTaken, taken.recurringCapacityWait("j", true, s.workersWithFree(1), starts, now))
			}
		}
		if noticed := besideMoving > maxWait; noticed == starting {
			t.Errorf("starting %v: waited %v beside steady room", starting, besideMoving)
		}
		if noticed := besideTaken > maxWait; noticed == starting {
			t.Errorf("starting %v: waited %v beside recurring room", starting, besideTaken)
		}
		if besideTakenSteady != 0 {
			t.Errorf("waited %v beside steady room that there was not", besideTakenSteady)
		}
	}
}
