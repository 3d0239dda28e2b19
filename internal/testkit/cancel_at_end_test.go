package testkit_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/testkit"
)

// endRace is a cluster without faults. Its users cancel their jobs, poll them and repeat their
// submissions close to the end of the last task.
type endRace struct {
	*pollingUsers
	taskEnds   map[string][]time.Time // end times of a job's started tasks
	taskCounts map[string]int         // number of a job's tasks

	mu                  sync.Mutex
	cancelsNearEnd      int // cancels sent within nearEnd of the last task's end
	cancelledAfterEnd   int // cancels answered "cancelled" after the last task's end
	doneBeforeRecorded  int // cancels sent before the end was recorded and answered "done"
	cancelsAnsweredDone int // cancels answered "done"
	pollsAfterEnd       int // polls sent after the last task's end and before any user was told how the job ended
}

const (
	nearEnd           = 50 * time.Millisecond
	minReportInterval = 500 * time.Millisecond // between two heartbeats of a worker
)

// reportOnChange sends a worker's heartbeats as the protocol prescribes: periodically, and when a
// task has ended, but at most once every 500 ms.
func (r *endRace) reportOnChange(k *testkit.Worker, stop <-chan struct{}) {
	for {
		r.sendReport(k)
		last := time.Now()
		next := last.Add(reportEvery*3/4 + time.Duration(r.planIntN(int(reportEvery/2))))
		for time.Now().Before(next) {
			select {
			case <-stop:
				return
			case <-time.After(min(time.Until(next), minReportInterval/5)):
			}
			if time.Since(last) >= minReportInterval && r.taskEndedSince(k, last) {
				break
			}
		}
	}
}

// taskEndedSince reports whether a task of the worker has ended since the given time.
func (r *endRace) taskEndedSince(k *testkit.Worker, since time.Time) bool {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	return k.TaskEndedSince(since)
}

// noteStart records the start of a task. Once all tasks of a job have started, its user begins to act.
func (r *endRace) noteStart(k *testkit.Worker, task string) {
	job, _, _ := strings.Cut(task, "/")
	r.taskEnds[job] = append(r.taskEnds[job], time.Now().Add(k.RunTime(task)))
	if len(r.taskEnds[job]) != r.taskCounts[job] {
		return
	}
	end := r.taskEnds[job][0]
	for _, at := range r.taskEnds[job] {
		if at.After(end) {
			end = at
		}
	}
	r.pending.Go(func() { r.sendRequestsNearEnd(job, end) })
}

// drawOffsetFromEnd draws the time from a task's end to a request: half of the requests come from 20 ms
// before to 50 ms after the end, the others while the end is reported and recorded.
func (r *endRace) drawOffsetFromEnd() time.Duration {
	if r.planIntN(2) == 0 {
		return time.Duration(r.planIntN(70)-20) * time.Millisecond
	}
	return time.Duration(r.planIntN(800)) * time.Millisecond
}

// sendRequestsNearEnd sends the requests of a job's user around the end of its last task.
func (r *endRace) sendRequestsNearEnd(job string, end time.Time) {
	at := func(act func()) {
		when := end.Add(r.drawOffsetFromEnd())
		r.pending.Go(func() { time.Sleep(time.Until(when)); act() })
	}
	anyNode := func() string { return r.controllerNames[r.planIntN(len(r.controllerNames))] }
	for range 3 {
		at(func() {
			h := r.checker.history(job)
			r.mu.Lock()
			if time.Now().After(end) && h.done.IsZero() && h.cancelled.IsZero() {
				r.pollsAfterEnd++
			}
			r.mu.Unlock()
			r.send(stateRequest, anyNode(), job, 0)
		})
	}
	at(func() { r.send(submitRequest, anyNode(), job, r.taskCounts[job]) })
	if r.planIntN(4) == 0 {
		return // a quarter of the users do not cancel
	}
	at(func() {
		for range 20 {
			sent, recorded := time.Now(), r.store.RawValue("final/"+job) != ""
			stage := r.send(cancelRequest, anyNode(), job, 0)
			if stage == "" {
				time.Sleep(time.Second)
				continue
			}
			r.mu.Lock()
			if d := sent.Sub(end); d.Abs() <= nearEnd {
				r.cancelsNearEnd++
			}
			switch {
			case stage == "done":
				r.cancelsAnsweredDone++
				if !recorded {
					r.doneBeforeRecorded++
				}
			case time.Now().After(end):
				r.cancelledAfterEnd++
			}
			r.mu.Unlock()
			r.pollAndResubmit(job, r.taskCounts[job])
			return
		}
	})
}

// Cancels, polls and repeated submissions arrive around the end of a job's last task, in 1,000 drawn
// interleavings with one and with two controllers. The state service, watches and links have
// latencies down to a millisecond; there are no other faults. Every controller reports a job
// consistently as either done or cancelled, and none of its tasks starts after a confirmed cancel.
func TestCancelAtEndOfLastTaskIsFinal(t *testing.T) {
	const seeds, jobs = 10, 50
	scales := []time.Duration{time.Millisecond, 4 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond}
	for controllers := 1; controllers <= 2; controllers++ {
		var sum endRace // sums of the counters of all runs
		done, cancelled, answers, unsure, late := 0, 0, 0, 0, 0
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d controllers, %d", controllers, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := playEndRace(t, uint64(1400+100*controllers+seed), controllers, jobs, scales[seed%len(scales)])
					for _, h := range r.checker.jobs {
						if !h.done.IsZero() {
							done++
						}
						if !h.cancelled.IsZero() {
							cancelled++
						}
					}
					sum.cancelsNearEnd += r.cancelsNearEnd
					sum.cancelledAfterEnd += r.cancelledAfterEnd
					sum.doneBeforeRecorded += r.doneBeforeRecorded
					sum.cancelsAnsweredDone += r.cancelsAnsweredDone
					sum.pollsAfterEnd += r.pollsAfterEnd
					late += r.lateStarts
					answers += r.checker.responses
					unsure += r.checker.refused
				})
			})
		}
		t.Logf("%d controllers: %d responses, %d refusals; %d jobs done, %d cancelled; %d cancels within %v of the end, %d answered \"cancelled\" after the end, "+
			"%d answered \"done\" (%d of them sent before the end was recorded); %d polls after the end while no user had been told of it; %d starts after a confirmed cancel",
			controllers, answers, unsure, done, cancelled, sum.cancelsNearEnd, nearEnd, sum.cancelledAfterEnd, sum.cancelsAnsweredDone, sum.doneBeforeRecorded, sum.pollsAfterEnd, late)
		if done+cancelled != seeds*jobs {
			t.Errorf("%d of %d jobs are done or cancelled", done+cancelled, seeds*jobs)
		}
		if sum.cancelsNearEnd < 100 || sum.cancelledAfterEnd < 100 || sum.cancelsAnsweredDone < 50 || sum.doneBeforeRecorded < 5 || sum.pollsAfterEnd < 300 {
			t.Error("too few requests near the end of jobs, see the counts above")
		}
		if late > 0 {
			t.Error("tasks were started after a confirmed cancel")
		}
	}
}

// playEndRace runs the given number of jobs, with latencies up to a few times the scale.
func playEndRace(t *testing.T, seed uint64, controllers, jobs int, scale time.Duration) *endRace {
	w := newCluster(t, seed)
	w.resize(controllers, 6)
	w.losslessReports, w.reliableStore, w.keepBrokenLinks = true, true, true
	r := &endRace{pollingUsers: newPollingUsers(w), taskEnds: map[string][]time.Time{}, taskCounts: map[string]int{}}
	r.pollsPerEndedJob = 1
	upTo := func(most time.Duration) func() time.Duration {
		return func() time.Duration {
			d := time.Duration(w.messageRand.Int64N(int64(most)))
			if w.messageRand.IntN(12) == 0 {
				return 5 * d
			}
			return d
		}
	}
	w.transitTime, w.storeLatency, w.watchLag = upTo(scale), upTo(2*scale), upTo(6*scale)
	for _, k := range w.workers {
		k.RunTime = func(task string) time.Duration { return variedTaskDuration(task) / 5 }
		check := k.OnStart
		k.OnStart = func(task string, attempt uint64) {
			check(task, attempt)
			r.noteStart(k, task)
		}
	}
	w.startControllers()
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var reporting sync.WaitGroup
	for _, k := range w.workers {
		reporting.Go(func() { r.reportOnChange(k, stop) })
	}
	for i := range jobs {
		job, tasks := fmt.Sprintf("j-%d", 100+i), 1+w.planIntN(2)
		w.mu.Lock()
		r.taskCounts[job] = tasks
		w.mu.Unlock()
		delay := time.Duration(w.planIntN(8000)) * time.Millisecond
		r.pending.Go(func() {
			time.Sleep(delay)
			r.runUser(job, tasks, 0, time.Minute)
		})
	}
	for range 26 * 4 {
		time.Sleep(250 * time.Millisecond)
		w.checkInvariants()
		w.exchangeReachability()
		w.publishViews()
	}
	r.pending.Wait()
	close(stop)
	reporting.Wait()
	r.finishAndCheck(t)
	return r
}
