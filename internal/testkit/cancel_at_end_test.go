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

// endRace is a cluster, without any fault, in which users cancel jobs, ask for them and
// repeat their submissions about the time at which their last tasks end.
type endRace struct {
	*closeUsers
	taskEnds   map[string][]time.Time // of a job's started tasks
	taskCounts map[string]int         // tasks of a job

	mu                  sync.Mutex
	cancelsNearEnd      int // cancels that were sent within nearEnd of the end
	cancelledAfterEnd   int // cancels answered "cancelled" although the last task had ended
	doneBeforeRecorded  int // cancels sent before the end was recorded, and answered "done"
	cancelsAnsweredDone int // cancels answered "done"
	pollsAfterEnd       int // questions sent after the last task's end and before any user heard how the job ended
}

const (
	nearEnd           = 50 * time.Millisecond
	minReportInterval = 500 * time.Millisecond // between two reports of a worker
)

// reportOnChange lets a worker report as the protocol says: now and then, and when a task
// has ended, but at most once every half second.
func (r *endRace) reportOnChange(k *testkit.Worker, stop <-chan struct{}) {
	for {
		r.report(k)
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

// taskEndedSince reports whether a task of a worker has taskEndedSince since.
func (r *endRace) taskEndedSince(k *testkit.Worker, since time.Time) bool {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	return k.TaskEndedSince(since)
}

// noteStart notes a task's start, and has its job's user act once all of its tasks have.
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

// drawOffsetFromEnd draws how long before or after the end a request is sent: as it ends, or
// while the end is reported and recorded.
func (r *endRace) drawOffsetFromEnd() time.Duration {
	if r.planIntN(2) == 0 {
		return time.Duration(r.planIntN(70)-20) * time.Millisecond
	}
	return time.Duration(r.planIntN(800)) * time.Millisecond
}

// sendRequestsNearEnd is what a job's user does about the end of its last task.
func (r *endRace) sendRequestsNearEnd(job string, end time.Time) {
	at := func(act func()) {
		when := end.Add(r.drawOffsetFromEnd())
		r.pending.Go(func() { time.Sleep(time.Until(when)); act() })
	}
	anyNode := func() string { return r.controllerNames[r.planIntN(len(r.controllerNames))] }
	for range 3 {
		at(func() {
			h := r.seen.history(job)
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
		return // it is done
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
			r.look(job, r.taskCounts[job])
			return
		}
	})
}

// A cancel, questions and a repeated submission come at the end of a job's last task, in
// 1,000 drawn interleavings at one and at two controllers, with the latencies of the state
// service, of watches and of links down to a millisecond, and no other fault. A job is
// either done or cancelled, to everybody and for ever, and nothing of it starts after a
// confirmed cancel.
func TestCancelAtEndOfLastTaskIsFinal(t *testing.T) {
	const seeds, jobs = 10, 50
	scales := []time.Duration{time.Millisecond, 4 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond}
	for controllers := 1; controllers <= 2; controllers++ {
		var sum endRace // its counters
		done, cancelled, answers, unsure, late := 0, 0, 0, 0, 0
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d controllers, %d", controllers, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					r := playEndRace(t, uint64(1400+100*controllers+seed), controllers, jobs, scales[seed%len(scales)])
					for _, h := range r.seen.jobs {
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
					answers += r.seen.answers
					unsure += r.seen.refused
				})
			})
		}
		t.Logf("%d controllers: %d answers, %d refusals; %d jobs done, %d cancelled; %d cancels within %v of the end, %d answered cancelled after the end, "+
			"%d answered done (%d of them sent before the end was recorded); %d questions between the end and the first word of it; %d starts after a confirmed cancel",
			controllers, answers, unsure, done, cancelled, sum.cancelsNearEnd, nearEnd, sum.cancelledAfterEnd, sum.cancelsAnsweredDone, sum.doneBeforeRecorded, sum.pollsAfterEnd, late)
		if done+cancelled != seeds*jobs {
			t.Errorf("%d of %d jobs are over", done+cancelled, seeds*jobs)
		}
		if sum.cancelsNearEnd < 100 || sum.cancelledAfterEnd < 100 || sum.cancelsAnsweredDone < 50 || sum.doneBeforeRecorded < 5 || sum.pollsAfterEnd < 300 {
			t.Error("too few of these")
		}
		if late > 0 {
			t.Error("tasks were started after a confirmed cancel")
		}
	}
}

// playEndRace plays so many jobs, with latencies up to a few times the scale.
func playEndRace(t *testing.T, seed uint64, controllers, jobs int, scale time.Duration) *endRace {
	w := newCluster(t, seed)
	w.bigger(controllers, 6)
	w.losslessReports, w.reliableStore, w.keepBrokenLinks = true, true, true
	r := &endRace{closeUsers: newCloseUsers(w), taskEnds: map[string][]time.Time{}, taskCounts: map[string]int{}}
	r.later = 1
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
			r.follow(job, tasks, 0, time.Minute)
		})
	}
	for range 26 * 4 {
		time.Sleep(250 * time.Millisecond)
		w.checkInvariants()
		w.exchange()
		w.publish()
	}
	r.pending.Wait()
	close(stop)
	reporting.Wait()
	r.finish(t)
	return r
}
