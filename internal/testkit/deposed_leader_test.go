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
				w.bigger(3, 6)
				w.keepBrokenLinks, w.losslessReports, w.reliableStore = true, true, true
				u := newCloseUsers(w)
				for _, k := range w.workers {
					k.RunTime = func(task string) time.Duration {
						if strings.HasSuffix(task, "/1") {
							return 40 * time.Second // its job goes on, so that the log is written
						}
						return 4 * time.Second
					}
				}
				w.startControllers()
				w.runFor(5)
				former := w.leader()
				const jobs = 12
				for i := range jobs {
					job := fmt.Sprintf("j-%d", 100+i)
					u.pending.Go(func() { u.follow(job, 1+i%2, 0, 2*time.Minute) })
				}
				if !w.runUntil(10, func() bool { return w.startCount >= jobs*3/2 }) {
					t.Fatalf("%d tasks started", w.startCount)
				}
				for i, k := range w.workers { // half of them are the former leader's
					if i%2 == 0 {
						w.breakLinks(k.Name, w.otherControllers(former)...)
					} else {
						w.breakLinks(k.Name, former)
					}
				}
				w.breakLinks(former, append(w.otherControllers(former), stateService)...)
				w.runFor(5)
				u.submitted("j-200", 40) // has the successor write
				w.submit("j-200", 40)
				w.runFor(6)
				for i := range jobs {
					job := fmt.Sprintf("j-%d", 100+i)
					if h := u.seen.history(job); !h.ended.IsZero() && w.store.RawValue("final/"+job) == "" {
						unrecorded++
					}
				}
				w.withLock(func() {
					w.watchLag = func() time.Duration { return 3 * time.Second } // it hears late that it lost its shards
				})
				w.healLinks(former, append(w.otherControllers(former), stateService)...)
				asks := func() {
					for i := range jobs {
						u.look(fmt.Sprintf("j-%d", 100+i), 1+i%2)
					}
				}
				for range 4 {
					u.pending.Go(asks)
					w.runFor(1)
				}
				w.healAllLinks()
				w.runFor(60)
				u.finish(t)
				for job, h := range u.seen.jobs {
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
