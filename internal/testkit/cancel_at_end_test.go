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
	ends map[string][]time.Time // of a job's started tasks
	want map[string]int         // tasks of a job

	mu          sync.Mutex
	near        int // cancels that were sent within nearEnd of the end
	afterEnd    int // cancels answered "cancelled" although the last task had ended
	overtaken   int // cancels sent before the end was recorded, and answered "done"
	answeredEnd int // cancels answered "done"
	betweenAsks int // questions sent after the last task's end and before any user heard how the job ended
}

const (
	nearEnd     = 50 * time.Millisecond
	leastReport = 500 * time.Millisecond // between two reports of a worker
)

// reportOnChange lets a worker report as the protocol says: now and then, and when a task
// has ended, but at most once every half second.
func (r *endRace) reportOnChange(k *testkit.Worker, stop <-chan struct{}) {
	for {
		r.sendReport(k)
		last := time.Now()
		next := last.Add(reportEvery*3/4 + time.Duration(r.draw(int(reportEvery/2))))
		for time.Now().Before(next) {
			select {
			case <-stop:
				return
			case <-time.After(min(time.Until(next), leastReport/5)):
			}
			if time.Since(last) >= leastReport && r.ended(k, last) {
				break
			}
		}
	}
}

// ended reports whether a task of a worker has ended since.
func (r *endRace) ended(k *testkit.Worker, since time.Time) bool {
	r.cluster.mu.Lock()
	defer r.cluster.mu.Unlock()
	return k.EndedSince(since)
}

// started notes a task's start, and has its job's user act once all of its tasks have.
func (r *endRace) started(k *testkit.Worker, task string) {
	job, _, _ := strings.Cut(task, "/")
	r.ends[job] = append(r.ends[job], time.Now().Add(k.Run(task)))
	if len(r.ends[job]) != r.want[job] {
		return
	}
	end := r.ends[job][0]
	for _, at := range r.ends[job] {
		if at.After(end) {
			end = at
		}
	}
	r.pending.Go(func() { r.actAtEnd(job, end) })
}

// aroundEnd draws how long before or after the end a request is sent: as it ends, or
// while the end is reported and recorded.
func (r *endRace) aroundEnd() time.Duration {
	if r.draw(2) == 0 {
		return time.Duration(r.draw(70)-20) * time.Millisecond
	}
	return time.Duration(r.draw(800)) * time.Millisecond
}

// actAtEnd is what a job's user does about the end of its last task.
func (r *endRace) actAtEnd(job string, end time.Time) {
	at := func(act func()) {
		when := end.Add(r.aroundEnd())
		r.pending.Go(func() { time.Sleep(time.Until(when)); act() })
	}
	anyNode := func() string { return r.names[r.draw(len(r.names))] }
	for range 3 {
		at(func() {
			h := r.seen.history(job)
			r.mu.Lock()
			if time.Now().After(end) && h.done.IsZero() && h.cancelled.IsZero() {
				r.betweenAsks++
			}
			r.mu.Unlock()
			r.send(stateRequest, anyNode(), job, 0)
		})
	}
	at(func() { r.send(submitRequest, anyNode(), job, r.want[job]) })
	if r.draw(4) == 0 {
		return // it is done
	}
	at(func() {
		for range 20 {
			sent, recorded := time.Now(), r.store.Text("final/"+job) != ""
			stage := r.send(cancelRequest, anyNode(), job, 0)
			if stage == "" {
				time.Sleep(time.Second)
				continue
			}
			r.mu.Lock()
			if d := sent.Sub(end); d.Abs() <= nearEnd {
				r.near++
			}
			switch {
			case stage == "done":
				r.answeredEnd++
				if !recorded {
					r.overtaken++
				}
			case time.Now().After(end):
				r.afterEnd++
			}
			r.mu.Unlock()
			r.look(job, r.want[job])
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
					sum.near += r.near
					sum.afterEnd += r.afterEnd
					sum.overtaken += r.overtaken
					sum.answeredEnd += r.answeredEnd
					sum.betweenAsks += r.betweenAsks
					late += r.lateStarts
					answers += r.seen.answers
					unsure += r.seen.refused
				})
			})
		}
		t.Logf("%d controllers: %d answers, %d refusals; %d jobs done, %d cancelled; %d cancels within %v of the end, %d answered cancelled after the end, "+
			"%d answered done (%d of them sent before the end was recorded); %d questions between the end and the first word of it; %d starts after a confirmed cancel",
			controllers, answers, unsure, done, cancelled, sum.near, nearEnd, sum.afterEnd, sum.answeredEnd, sum.overtaken, sum.betweenAsks, late)
		if done+cancelled != seeds*jobs {
			t.Errorf("%d of %d jobs are over", done+cancelled, seeds*jobs)
		}
		if sum.near < 100 || sum.afterEnd < 100 || sum.answeredEnd < 50 || sum.overtaken < 5 || sum.betweenAsks < 300 {
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
	w.losslessReports, w.reliableStore, w.keepCuts = true, true, true
	r := &endRace{closeUsers: newCloseUsers(w), ends: map[string][]time.Time{}, want: map[string]int{}}
	r.later = 1
	upTo := func(most time.Duration) func() time.Duration {
		return func() time.Duration {
			d := time.Duration(w.rnd.Int64N(int64(most)))
			if w.rnd.IntN(12) == 0 {
				return 5 * d
			}
			return d
		}
	}
	w.transit, w.storeLatency, w.watchLag = upTo(scale), upTo(2*scale), upTo(6*scale)
	for _, k := range w.workers {
		k.Run = func(task string) time.Duration { return variedTime(task) / 5 }
		check := k.Started
		k.Started = func(task string, attempt uint64) {
			check(task, attempt)
			r.started(k, task)
		}
	}
	w.startNodes()
	time.Sleep(2 * time.Second)
	stop := make(chan struct{})
	var reporting sync.WaitGroup
	for _, k := range w.workers {
		reporting.Go(func() { r.reportOnChange(k, stop) })
	}
	for i := range jobs {
		job, tasks := fmt.Sprintf("j-%d", 100+i), 1+w.draw(2)
		w.mu.Lock()
		r.want[job] = tasks
		w.mu.Unlock()
		delay := time.Duration(w.draw(8000)) * time.Millisecond
		r.pending.Go(func() {
			time.Sleep(delay)
			r.follow(job, tasks, 0, time.Minute)
		})
	}
	for range 26 * 4 {
		time.Sleep(250 * time.Millisecond)
		w.check()
		w.exchangeReachability()
		w.publishViews()
	}
	r.pending.Wait()
	close(stop)
	reporting.Wait()
	r.finish(t)
	return r
}
