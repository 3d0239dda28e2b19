package testkit_test

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// The cluster has more work than capacity: urgent and other jobs, of teams with and without
// limits. Every message to workers and peers takes up to 1.5 s, and the leader restarts. Urgent
// jobs still start soon, the workers stay busy and keep their leases, and controllers know every job.
// Once the links are fast again, no task waits while a worker can run it.
func TestOverloadOverSlowLinks(t *testing.T) {
	const (
		overloadSeconds    = 150              // seconds during which there is more work than capacity
		maxFailoverDelay   = 5 * time.Second  // allowed in addition to overloadSeconds, for the leader's restart
		maxUrgentWait      = 20 * time.Second // until an urgent job's first task starts
		minOverloadedShare = 0.9              // share of the seconds in which there must be more work than capacity
		minCPUUtilization  = 0.5              // share of all CPUs that tasks use on average
		maxKilled          = 16               // tasks that may be killed because their worker's lease ended
	)
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runOnClusterWithTeams(t, 4000+seed, limitedTeams, 3, 6, func(w *cluster) {
				firstStarts, killed := map[string]time.Time{}, 0
				for _, k := range w.workers {
					recordFirstStarts(k, firstStarts)
					k.OnEnd = func(task wire.Task, _ time.Duration) {
						if task.Cause == "" {
							killed++
						}
					}
				}
				w.delayLinks(func() time.Duration { return time.Duration(100+w.messageRand.IntN(1400)) * time.Millisecond })
				submittedAt := map[string]time.Time{}
				submit := func(uid, team, priority string, tasks int, cpus float64) {
					w.submitArray(uid, team, priority, tasks, cpus)
					submittedAt[uid] = time.Now()
				}
				for i, team := range []string{"t", "t", "t", "capped", "assured"} {
					submit(fmt.Sprintf("j-%d", 10+i), team, []string{"low", "normal"}[i%2], 60, 1)
				}
				overloadedSeconds, seconds, used := 0, 0, 0.0
				began := time.Now()
				for second := range overloadSeconds {
					if second%10 == 4 {
						submit(fmt.Sprintf("j-u%d", second), []string{"t", "capped"}[second/10%2], "urgent", 3, 1)
					}
					if second%3 == 0 {
						submit(fmt.Sprintf("j-n%d", second), "t", []string{"low", "normal"}[second%2], 8, 1)
					}
					if second == 50 {
						if !w.runUntil(10, func() bool { return w.leader() != "" }) {
							t.Fatal("no controller leads the shards")
						}
						first := w.leader()
						w.crash(first)
						w.runFor(int(seed))
						w.start(first)
					}
					w.runFor(1)
					if second > 20 && second < 50 || second > 70 {
						seconds++
						used += w.cpuUtilization()
						if w.isOverloaded() {
							overloadedSeconds++
						}
					}
				}
				if took := time.Since(began); took > overloadSeconds*time.Second+maxFailoverDelay {
					t.Errorf("%d seconds of reports took %v: reports waited for other requests", overloadSeconds, took)
				}
				if float64(overloadedSeconds) < minOverloadedShare*float64(seconds) {
					t.Errorf("there was more work than capacity in only %d of %d seconds", overloadedSeconds, seconds)
				}
				if used /= float64(seconds); used < minCPUUtilization {
					t.Errorf("only %.2f of all CPUs were in use although there was more work than capacity", used)
				}
				if killed > maxKilled {
					t.Errorf("%d tasks were killed because their workers' leases ended", killed)
				}
				w.checkJobsKnown(slices.Collect(maps.Keys(submittedAt)))
				w.delayLinks(nil)
				w.waits.checkAlways()
				all := slices.Collect(maps.Keys(submittedAt))
				for i := 0; !w.jobsEnded(all...)(); i++ {
					if i == 400 {
						t.Fatalf("only %d of %d jobs ended", len(w.store.Keys("final/")), len(all))
					}
					w.runFor(1)
				}
				slowestUrgent, slowestStart := time.Duration(0), time.Duration(0)
				for uid, since := range submittedAt {
					took := firstStarts[uid].Sub(since)
					slowestStart = max(slowestStart, took)
					if strings.HasPrefix(uid, "j-u") {
						slowestUrgent = max(slowestUrgent, took)
						if took > maxUrgentWait {
							t.Errorf("urgent job %s started after %v", uid, took)
						}
					}
				}
				if slowestStart > 4*time.Minute {
					t.Errorf("a job started only after %v", slowestStart)
				}
				t.Logf("overloaded in %d of %d seconds, %.2f of the CPUs in use, %d tasks killed; urgent jobs started within %v, all jobs within %v; longest wait despite free capacity %v",
					overloadedSeconds, seconds, used, killed, slowestUrgent, slowestStart, w.waits.longest)
			})
		})
	}
}

// checkJobsKnown has users query every controller for each job, at most three times, while the
// cluster continues to run, and fails unless every query is answered.
func (w *cluster) checkJobsKnown(uids []string) {
	w.t.Helper()
	var users sync.WaitGroup
	var open, known atomic.Int64
	for _, uid := range uids {
		for _, n := range w.controllerNames {
			open.Add(1)
			users.Go(func() {
				defer open.Add(-1)
				for range 3 {
					if _, ok := w.userRequest(n, http.MethodGet, uid); ok {
						known.Add(1)
						return
					}
				}
			})
		}
	}
	for open.Load() > 0 {
		w.runFor(1)
	}
	users.Wait()
	if want := len(uids) * len(w.controllerNames); int(known.Load()) < want {
		w.t.Errorf("only %d of %d job queries were answered", known.Load(), want)
	}
}

// recordFirstStarts records in firstStarts, by job, when the job's first task starts on a worker.
func recordFirstStarts(k *testkit.Worker, firstStarts map[string]time.Time) {
	started := k.OnStart
	k.OnStart = func(task string, attempt uint64) {
		uid, _, _ := strings.Cut(task, "/")
		if firstStarts[uid].IsZero() {
			firstStarts[uid] = time.Now()
		}
		started(task, attempt)
	}
}

// cpuUtilization returns the share of all workers' CPUs that running tasks use, from 0 to 1.
func (w *cluster) cpuUtilization() float64 {
	free := 0.0
	all := w.snapshot().free
	for _, cpus := range all {
		free += cpus
	}
	return 1 - free/(float64(w.machineTypes)*float64(len(all)))
}

// isOverloaded reports whether the waiting tasks that their teams' limits allow to start need more
// CPUs than all workers have free.
func (w *cluster) isOverloaded() bool {
	s := w.snapshot()
	free, wanted := 0.0, map[string]float64{}
	for _, cpus := range s.free {
		free += cpus
	}
	for _, job := range w.submittedJobs {
		if s.waits(job) {
			wanted[job.Team] += job.CPUs * float64(job.Tasks-s.running[job.UID]-s.done[job.UID])
		}
	}
	sum := 0.0
	for _, team := range w.cfg.Params.Teams {
		allowed := wanted[team.Name]
		if team.CPUsMax > 0 {
			allowed = min(allowed, team.CPUsMax-s.use[team.Name])
		}
		sum += allowed
	}
	return sum > free
}
