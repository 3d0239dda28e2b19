package testkit_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A leader hears that the last tasks of jobs ended when it has just lost the state service
// and its peers. Its successor, which hears other workers, writes log records where the
// former leader's stand that were never written. Back at the state service, that one must
// not take them for its own: it would call the jobs done, and have workers forget results
// of which the successor never heard.
func TestDeposedLeaderDoesNotAdoptSuccessorsLogRecord(t *testing.T) {
	unrecorded := 0
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(t, 1600+seed)
				w.resize(3, 6)
				w.keepCuts, w.losslessReports, w.reliableStore = true, true, true
				u := newPollingUsers(w)
				for _, k := range w.workers {
					k.Run = func(task string) time.Duration {
						if strings.HasSuffix(task, "/1") {
							return 40 * time.Second // its job goes on, so that the log is written
						}
						return 4 * time.Second
					}
				}
				w.startNodes()
				w.live(5)
				former := w.leader()
				const jobs = 12
				for i := range jobs {
					job := fmt.Sprintf("j-%d", 100+i)
					u.pending.Go(func() { u.runUser(job, 1+i%2, 0, 2*time.Minute) })
				}
				if !w.within(10, func() bool { return w.starts >= jobs*3/2 }) {
					t.Fatalf("%d tasks started", w.starts)
				}
				for i, k := range w.workers { // half of them are the former leader's
					if i%2 == 0 {
						w.cutAll(k.Name, w.others(former)...)
					} else {
						w.cutAll(k.Name, former)
					}
				}
				w.cutAll(former, append(w.others(former), stateService)...)
				w.live(5)
				u.setTaskCount("j-200", 40) // has the successor write
				w.submit("j-200", 40)
				w.live(6)
				for i := range jobs {
					job := fmt.Sprintf("j-%d", 100+i)
					if h := u.checker.history(job); !h.allTasksEnded.IsZero() && w.store.Text("final/"+job) == "" {
						unrecorded++
					}
				}
				w.locked(func() {
					w.watchLag = func() time.Duration { return 3 * time.Second } // it hears late that it lost its shards
				})
				w.healLinks(former, append(w.others(former), stateService)...)
				asks := func() {
					for i := range jobs {
						u.pollAndResubmit(fmt.Sprintf("j-%d", 100+i), 1+i%2)
					}
				}
				for range 4 {
					u.pending.Go(asks)
					w.live(1)
				}
				w.healed()
				w.live(60)
				u.finishAndCheck(t)
				for job, h := range u.checker.jobs {
					if h.done.IsZero() && job != "j-200" {
						t.Errorf("%s is not done", job)
					}
				}
			})
		})
	}
	t.Logf("%d jobs had ended at the former leader when it was back, and were not recorded", unrecorded)
	if unrecorded < 10 {
		t.Error("too few of these")
	}
}
