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
	maxWait                = 90 * time.Second // how long a job may wait while a worker has enough free CPUs for its task
	steadyCapacityAfter    = 5 * time.Second  // time for which a worker's CPUs must be free to count as steady capacity
	recurringCheckInterval = 5 * time.Second  // time between checks for recurring capacity
)

// waitCheck checks that no job waits for long while its team is under its limit and a worker has
// enough free CPUs for its task. The check applies while there is no fault, or always if a test
// asks for that. It covers two kinds of free capacity. Capacity is steady if at each check some
// worker, not always the same one, has had it free for steadyCapacityAfter. Capacity is recurring if
// the same worker has it free at every check, recurringCheckInterval apart; it may be in use in between.
type waitCheck struct {
	always    bool
	freeSince map[*testkit.Worker]map[float64]time.Time // when a number of CPUs became free, by worker and number

	steadySince map[string]time.Time // when a job's wait despite steady capacity began, by job
	lastStarts  map[string]int       // starts at the last check, by job
	longest     time.Duration        // longest wait despite steady capacity

	recurring           map[string]*recurringWait // by job
	lastRecurringStarts map[string]int            // starts at the last check for recurring capacity, by job
	lastRecurringCheck  time.Time                 // time of the last check for recurring capacity
}

// recurringWait is the wait of a job that could have started at each check for recurring capacity.
type recurringWait struct {
	since   time.Time
	workers []*testkit.Worker // workers that had enough free CPUs at each check since then
}

func newWaitCheck() waitCheck {
	return waitCheck{
		freeSince: map[*testkit.Worker]map[float64]time.Time{}, steadySince: map[string]time.Time{}, lastStarts: map[string]int{},
		recurring: map[string]*recurringWait{}, lastRecurringStarts: map[string]int{},
	}
}

// checkAlways makes checkWaits check waits during faults too, from now on.
func (c *waitCheck) checkAlways() { c.always = true }

// checkWaits fails if a job has waited for longer than maxWait although it could start. Call it every second.
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
		for uid, job := range w.submittedJobs {
			jobs[uid] = job
		}
	}
	checkRecurring := now.Sub(c.lastRecurringCheck) >= recurringCheckInterval
	if checkRecurring {
		c.lastRecurringCheck = now
	}
	for uid, job := range jobs {
		if job.Gang() || hasZoneConstraint(job) {
			continue
		}
		startable := s.waits(job) && use.allows(w.cfg.Params.Teams, job)
		waited := c.steadyCapacityWait(uid, startable && c.hasSteadyCapacity(s, job.CPUs, now), w.startsByJob[uid], now)
		c.longest = max(c.longest, waited)
		if checkRecurring {
			waited = max(waited, c.recurringCapacityWait(uid, startable, s.workersWithFree(job.CPUs), w.startsByJob[uid], now))
		}
		if waited > maxWait {
			w.fail("%s has waited for %v although a worker has enough free CPUs and team %s is under its limit", uid, waited, job.Team)
			delete(c.steadySince, uid)
			delete(c.recurring, uid)
		}
	}
}

// shouldCheckWaits reports whether waits are checked now. During a fault it resets all waits, unless
// they are always checked.
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

// steadyCapacityWait returns how long a job has waited although it could start on steady capacity.
// startable states whether it can start now. A start of one of its tasks resets the wait.
func (c *waitCheck) steadyCapacityWait(uid string, startable bool, starts int, now time.Time) time.Duration {
	started := starts != c.lastStarts[uid]
	c.lastStarts[uid] = starts
	if !startable || started {
		delete(c.steadySince, uid)
		return 0
	}
	if c.steadySince[uid].IsZero() {
		c.steadySince[uid] = now
	}
	return now.Sub(c.steadySince[uid])
}

// recurringCapacityWait returns how long a job has waited although it could start on recurring
// capacity. workers are those with enough free CPUs now; startable states whether the job's state and
// its team's limit admit a start. A start of one of its tasks resets the wait.
func (c *waitCheck) recurringCapacityWait(uid string, startable bool, workers []*testkit.Worker, starts int, now time.Time) time.Duration {
	started := starts != c.lastRecurringStarts[uid]
	c.lastRecurringStarts[uid] = starts
	if !startable {
		delete(c.recurring, uid)
		return 0
	}
	wait := c.recurring[uid]
	if wait != nil && !started {
		wait.workers = slices.DeleteFunc(wait.workers, func(k *testkit.Worker) bool { return !slices.Contains(workers, k) })
	}
	if wait == nil || started || len(wait.workers) == 0 {
		wait = &recurringWait{now, workers}
		c.recurring[uid] = wait
	}
	return now.Sub(wait.since)
}

// hasSteadyCapacity reports whether a worker has had the given CPUs free for steadyCapacityAfter.
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

// workersWithFree returns the workers that have the given CPUs free now.
func (s *snapshot) workersWithFree(cpus float64) (ks []*testkit.Worker) {
	for k, free := range s.free {
		if free+cpuTolerance >= cpus {
			ks = append(ks, k)
		}
	}
	return ks
}

// useByTeam returns the CPUs that tasks of the given jobs use, by team. Tasks of cancelled jobs are
// left out since they stop long before a wait becomes too long. The caller holds the cluster's lock.
func (w *cluster) useByTeam(jobs map[string]*wire.Job) teamUse {
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

// liveJobs reads the records of the jobs that have not ended, and adds them to the cluster's known
// jobs. It returns those that are not cancelled and have no constraints, since constraints may make
// a job wait.
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
		if w.submittedJobs[job.UID] == nil {
			w.submittedJobs[job.UID] = job
		}
		if !record.Cancelled && record.Terms == nil {
			jobs[job.UID] = job
		}
	}
	return jobs
}

// faultFree reports whether no link is broken, no controller is down, no worker hangs, and no
// message or store operation is delayed. The caller holds the cluster's lock.
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
	if slices.ContainsFunc(w.workers, (*testkit.Worker).IsHung) {
		return false
	}
	store := w.storeLatency != nil || w.transactionDelay != nil || w.losesResponse != nil || w.watchLag != nil || w.watchLagOf != nil || w.delayTransaction != nil
	return !store && w.holdsCommand == nil && w.transitTime == nil && w.messageDelay == nil
}

// hasZoneConstraint reports whether the job's zone constraint may exclude workers.
func hasZoneConstraint(job *wire.Job) bool { return job.Zone != nil || job.OneZone || job.Spread }

// The wait check must detect a job that is not placed although a worker has enough free CPUs. It
// must not fail for a job without free capacity, for one whose team is at its limit, or, unless
// waits are always checked, during a fault.
func TestWaitCheckFindsUnplacedJobs(t *testing.T) {
	for _, c := range []struct {
		name        string
		cpus        float64 // of the job's task
		limit       float64 // of the team in CPUs; 0: none
		fault       bool
		alwaysCheck bool // waits are checked during faults too
		want        bool // the check fails
	}{
		{"free capacity", 1, 0, false, false, true},
		{"no free capacity", 5, 0, false, false, false},
		{"at the limit", 1, 0.5, false, false, false},
		{"fault", 1, 0, true, false, false},
		{"fault, always checked", 1, 0, true, true, true},
		{"no free capacity, always checked", 5, 0, true, true, false},
		{"at the limit, always checked", 1, 0.5, true, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(t, 1)
				w.cfg.Params.Teams[0].CPUsMax = c.limit
				if c.fault {
					w.cutFromStateService("a")
				}
				w.waits.always = c.alwaysCheck
				failures := 0
				w.fail = func(string, ...any) { failures++ }
				w.recordAcceptedJob(&wire.Job{UID: "j-1", Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 1, CPUs: c.cpus, MemoryGB: 1, EstimateS: 4, Spot: true})
				for range 60 { // no controller runs
					time.Sleep(2 * time.Second)
					w.checkWaits()
				}
				if got := failures > 0; got != c.want {
					t.Errorf("wait check failed: %v", got)
				}
			})
		})
	}
}

// Free capacity that moves from one worker to another is steady capacity, and capacity that is free
// only at each of the checks, recurringCheckInterval apart, is recurring capacity. The wait check
// detects a job that waits despite either, but not one whose tasks start.
func TestWaitCheckFindsSteadyAndRecurringCapacity(t *testing.T) {
	first, second := testkit.NewWorker("n-1", workerLease, taskDuration), testkit.NewWorker("n-2", workerLease, taskDuration)
	begin := time.Now()
	for _, starting := range []bool{false, true} {
		moving, intermittent := newWaitCheck(), newWaitCheck()
		movingWait, intermittentWait, intermittentSteadyWait := time.Duration(0), time.Duration(0), time.Duration(0)
		starts := 0
		for at := time.Duration(0); at <= maxWait+2*recurringCheckInterval; at += time.Second {
			now := begin.Add(at)
			if starting && at%(40*time.Second) == 0 {
				starts++
			}
			// When one worker's free CPU is taken, the other's has been free for more than 5 s.
			s := &snapshot{free: map[*testkit.Worker]float64{first: 0, second: 0}}
			turn := int(at/time.Second) % 20
			if turn < 16 {
				s.free[first] = 1
			}
			if turn >= 9 || turn < 6 {
				s.free[second] = 1
			}
			movingWait = max(movingWait, moving.steadyCapacityWait("j", moving.hasSteadyCapacity(s, 1, now), starts, now))

			checkRecurring := at%recurringCheckInterval == 0
			s = &snapshot{free: map[*testkit.Worker]float64{first: 0}}
			if checkRecurring {
				s.free[first] = 1
			}
			intermittentSteadyWait = max(intermittentSteadyWait, intermittent.steadyCapacityWait("j", intermittent.hasSteadyCapacity(s, 1, now), starts, now))
			if checkRecurring {
				intermittentWait = max(intermittentWait, intermittent.recurringCapacityWait("j", true, s.workersWithFree(1), starts, now))
			}
		}
		if detected := movingWait > maxWait; detected == starting {
			t.Errorf("starting %v: waited %v despite steady capacity", starting, movingWait)
		}
		if detected := intermittentWait > maxWait; detected == starting {
			t.Errorf("starting %v: waited %v despite recurring capacity", starting, intermittentWait)
		}
		if intermittentSteadyWait != 0 {
			t.Errorf("waited %v for steady capacity although there was none", intermittentSteadyWait)
		}
	}
}
