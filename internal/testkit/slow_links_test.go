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

// There is more work than room, urgent and not, of teams with limits and without, while
// every message to workers and peers takes up to a second and a half, and the leader
// ends. Urgent jobs begin soon all the same, the workers are in use and keep their leases,
// nobody forgets the other jobs, and when the links are quick again nothing waits beside
// room.
func TestOverloadOverSlowLinks(t *testing.T) {
	const (
		overload    = 150              // seconds for which there is more work than room
		standStill  = 5 * time.Second  // by which they may take longer, while the leader ends
		urgentBegin = 20 * time.Second // within which an urgent job's first task starts
		fullShare   = 0.9              // of the seconds in which there must be more work than room
		usedShare   = 0.5              // of all CPUs, that tasks use on average
		mostKilled  = 16               // tasks whose workers' leases end
	)
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			onClusterWith(t, 4000+seed, limitedTeams, 3, 6, func(w *cluster) {
				begun, killed := map[string]time.Time{}, 0
				for _, k := range w.workers {
					recordFirstStarts(k, begun)
					k.Ended = func(task wire.Task, _ time.Duration) {
						if task.Cause == "" {
							killed++
						}
					}
				}
				w.delayLinks(func() time.Duration { return time.Duration(100+w.rnd.IntN(1400)) * time.Millisecond })
				at := map[string]time.Time{}
				submit := func(uid, team, priority string, tasks int, cpus float64) {
					w.job(uid, team, priority, tasks, cpus)
					at[uid] = time.Now()
				}
				for i, team := range []string{"t", "t", "t", "capped", "assured"} {
					submit(fmt.Sprintf("j-%d", 10+i), team, []string{"low", "normal"}[i%2], 60, 1)
				}
				full, seconds, used := 0, 0, 0.0
				began := time.Now()
				for second := range overload {
					if second%10 == 4 {
						submit(fmt.Sprintf("j-u%d", second), []string{"t", "capped"}[second/10%2], "urgent", 3, 1)
					}
					if second%3 == 0 {
						submit(fmt.Sprintf("j-n%d", second), "t", []string{"low", "normal"}[second%2], 8, 1)
					}
					if second == 50 {
						if !w.within(10, func() bool { return w.leader() != "" }) {
							t.Fatal("nobody owns the jobs")
						}
						first := w.leader()
						w.crash(first)
						w.live(int(seed))
						w.start(first)
					}
					w.live(1)
					if second > 20 && second < 50 || second > 70 {
						seconds++
						used += w.cpuUtilization()
						if w.isOverloaded() {
							full++
						}
					}
				}
				if took := time.Since(began); took > overload*time.Second+standStill {
					t.Errorf("%d seconds took %v: reports waited for what others were asked", overload, took)
				}
				if float64(full) < fullShare*float64(seconds) {
					t.Errorf("there was more work than room in %d of %d seconds only", full, seconds)
				}
				if used /= float64(seconds); used < usedShare {
					t.Errorf("%.2f of all CPUs were in use beside more work than room", used)
				}
				if killed > mostKilled {
					t.Errorf("%d tasks were killed by the ends of their workers' leases", killed)
				}
				w.checkJobsKnown(slices.Collect(maps.Keys(at)))
				w.delayLinks(nil)
				w.waits.checkAlways()
				all := slices.Collect(maps.Keys(at))
				for i := 0; !w.ended(all...)(); i++ {
					if i == 400 {
						t.Fatalf("%d of %d jobs ended", len(w.store.Keys("final/")), len(all))
					}
					w.live(1)
				}
				slowest, latest := time.Duration(0), time.Duration(0)
				for uid, since := range at {
					took := begun[uid].Sub(since)
					latest = max(latest, took)
					if strings.HasPrefix(uid, "j-u") {
						slowest = max(slowest, took)
						if took > urgentBegin {
							t.Errorf("urgent %s began after %v", uid, took)
						}
					}
				}
				if latest > 4*time.Minute {
					t.Errorf("a job began after %v", latest)
				}
				t.Logf("full in %d of %d seconds, %.2f of the CPUs in use, %d tasks killed; urgent jobs began within %v, all within %v; longest wait beside room %v",
					full, seconds, used, killed, slowest, latest, w.waits.longest)
			})
		})
	}
}

// checkJobsKnown has users ask all controllers for the jobs, three times at most, while the rest
// goes on.
func (w *cluster) checkJobsKnown(uids []string) {
	w.t.Helper()
	var users sync.WaitGroup
	var open, known atomic.Int64
	for _, uid := range uids {
		for _, n := range w.names {
			open.Add(1)
			users.Go(func() {
				defer open.Add(-1)
				for range 3 {
					if _, ok := w.user(n, http.MethodGet, uid); ok {
						known.Add(1)
						return
					}
				}
			})
		}
	}
	for open.Load() > 0 {
		w.live(1)
	}
	users.Wait()
	if want := len(uids) * len(w.names); int(known.Load()) < want {
		w.t.Errorf("%d of %d questions were answered", known.Load(), want)
	}
}

// recordFirstStarts notes when the first task of each job starts.
func recordFirstStarts(k *testkit.Worker, begun map[string]time.Time) {
	started := k.Started
	k.Started = func(task string, attempt uint64) {
		uid, _, _ := strings.Cut(task, "/")
		if begun[uid].IsZero() {
			begun[uid] = time.Now()
		}
		started(task, attempt)
	}
}

// cpuUtilization is the share of all workers' CPUs that tasks use now.
func (w *cluster) cpuUtilization() float64 {
	free := 0.0
	all := w.snapshot().free
	for _, cpus := range all {
		free += cpus
	}
	return 1 - free/(float64(w.size)*float64(len(all)))
}

// isOverloaded reports whether the tasks that wait, as far as their teams' limits let
// them start, take more CPUs than all workers have free.
func (w *cluster) isOverloaded() bool {
	s := w.snapshot()
	free, wanted := 0.0, map[string]float64{}
	for _, cpus := range s.free {
		free += cpus
	}
	for _, job := range w.specs {
		if s.waits(job) {
			wanted[job.Team] += job.CPUs * float64(job.Tasks-s.running[job.UID]-s.done[job.UID])
		}
	}
	sum := 0.0
	for _, team := range w.cfg.Params.Teams {
		may := wanted[team.Name]
		if team.CPUsMax > 0 {
			may = min(may, team.CPUsMax-s.use[team.Name])
		}
		sum += may
	}
	return sum > free
}
