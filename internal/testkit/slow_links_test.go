package testkit_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/testkit"
)

// There is more work than room, urgent and not, of teams with limits and without, while
// every message to workers and peers takes up to a second and a half, and the leader
// ends. Urgent jobs begin soon all the same, nobody forgets the others, and when the
// links are quick again nothing waits beside room.
func TestMoreWorkThanRoomOverSlowLinks(t *testing.T) {
	const (
		overload    = 150              // seconds for which there is more work than room
		urgentBegin = 30 * time.Second // within which an urgent job's first task starts
	)
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			onClusterWith(t, 4000+seed, limitedTeams, 3, 6, func(w *cluster) {
				begun := map[string]time.Time{}
				for _, k := range w.workers {
					noteStarts(w, k, begun)
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
				full, seconds := 0, 0
				for second := range overload {
					if second%10 == 4 {
						submit(fmt.Sprintf("j-u%d", second), []string{"t", "capped"}[second/10%2], "urgent", 3, 1)
					}
					if second%3 == 0 {
						submit(fmt.Sprintf("j-n%d", second), "t", []string{"low", "normal"}[second%2], 8, 1)
					}
					if second == 50 {
						first := w.leader()
						w.crash(first)
						w.live(int(seed))
						w.start(first)
					}
					w.live(1)
					if second > 20 && second < 50 || second > 70 {
						seconds++
						if w.moreWorkThanRoom() {
							full++
						}
					}
				}
				if full < seconds/2 {
					t.Errorf("there was more work than room in %d of %d seconds only", full, seconds)
				}
				known := 0
				for uid := range at {
					for _, n := range w.names {
						for range 3 {
							if _, ok := w.user(n, http.MethodGet, uid); ok {
								known++
								break
							}
						}
					}
				}
				if known < len(at)*len(w.names) {
					t.Errorf("%d of %d questions were answered", known, len(at)*len(w.names))
				}
				w.delayLinks(nil)
				w.waits.insist()
				var all []string
				for uid := range at {
					all = append(all, uid)
				}
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
				t.Logf("full in %d of %d seconds; urgent jobs began within %v, all within %v; longest wait beside room %v",
					full, seconds, slowest, latest, w.waits.longest)
			})
		})
	}
}

// noteStarts notes when the first task of each job starts.
func noteStarts(w *cluster, k *testkit.Worker, begun map[string]time.Time) {
	started := k.Started
	k.Started = func(task string, attempt uint64) {
		uid, _, _ := strings.Cut(task, "/")
		if begun[uid].IsZero() {
			begun[uid] = time.Now()
		}
		started(task, attempt)
	}
}

// moreWorkThanRoom reports whether the tasks that wait, as far as their teams' limits let
// them start, take more CPUs than all machines have free.
func (w *cluster) moreWorkThanRoom() bool {
	s := w.standing()
	free, wanted := 0.0, map[string]float64{}
	for _, cpus := range s.free {
		free += cpus
	}
	for _, job := range w.specs {
		if s.waits(job) {
			wanted[job.Team] += job.CPUs * float64(job.Tasks-s.on[job.UID]-s.done[job.UID])
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
