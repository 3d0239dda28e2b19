package testkit_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A leader that has just lost the state service and its peers receives reports that the last tasks of
// some jobs ended, and can't write the log records. Its successor, which receives reports of other workers,
// writes its own records under the same log keys. When the former leader reaches the state service again, it
// must not mistake these records for its own: otherwise it reports the jobs as done, and the workers discard
// results that the successor never received.
func TestDeposedLeaderDoesNotAdoptSuccessorsLogRecord(t *testing.T) {
	unrecorded := 0
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(t, 1600+seed)
				w.resize(3, 6)
				w.keepBrokenLinks, w.losslessReports, w.reliableStore = true, true, true
				u := newPollingUsers(w)
				for _, k := range w.workers {
					k.RunTime = func(task string) time.Duration {
						if strings.HasSuffix(task, "/1") {
							return 40 * time.Second // keeps its job running, so that the leader writes the log
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
					u.pending.Go(func() { u.runUser(job, 1+i%2, 0, 2*time.Minute) })
				}
				if !w.runUntil(10, func() bool { return w.startCount >= jobs*3/2 }) {
					t.Fatalf("%d tasks started", w.startCount)
				}
				for i, k := range w.workers { // each half reports to one side only: the former leader or the others
					if i%2 == 0 {
						w.breakLinks(k.Name, w.otherControllers(former)...)
					} else {
						w.breakLinks(k.Name, former)
					}
				}
				w.breakLinks(former, append(w.otherControllers(former), stateService)...)
				w.runFor(5)
				u.setTaskCount("j-200", 40) // a new job makes the successor write log records
				w.submit("j-200", 40)
				w.runFor(6)
				for i := range jobs {
					job := fmt.Sprintf("j-%d", 100+i)
					if h := u.checker.history(job); !h.allTasksEnded.IsZero() && w.store.RawValue("final/"+job) == "" {
						unrecorded++
					}
				}
				w.withLock(func() {
					w.watchLag = func() time.Duration { return 3 * time.Second } // the former leader learns late that it lost its shards
				})
				w.healLinks(former, append(w.otherControllers(former), stateService)...)
				pollAllJobs := func() {
					for i := range jobs {
						u.pollAndResubmit(fmt.Sprintf("j-%d", 100+i), 1+i%2)
					}
				}
				for range 4 {
					u.pending.Go(pollAllJobs)
					w.runFor(1)
				}
				w.healAllLinks()
				w.runFor(60)
				u.finishAndCheck(t)
				for job, h := range u.checker.jobs {
					if h.done.IsZero() && job != "j-200" {
						t.Errorf("%s is not done", job)
					}
				}
			})
		})
	}
	t.Logf("%d jobs had ended, without a final record, when the former leader reached the state service again", unrecorded)
	if unrecorded < 10 {
		t.Error("fewer than 10 jobs ended without a final record")
	}
}
