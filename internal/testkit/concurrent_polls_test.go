package testkit_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// pollingUsers are users that submit jobs over the HTTP API, and poll all controllers
// within milliseconds after each response that changes what they know about a job.
type pollingUsers struct {
	*cluster
	checker *responseChecker
	pending sync.WaitGroup

	notLoaded    atomic.Int64 // state queries for recorded jobs that their leader had not loaded yet
	endNotSeen   atomic.Int64 // state queries for jobs whose end was recorded, but not known to their leader yet
	cancelUnseen atomic.Int64 // state queries for jobs recorded as cancelled, at a controller that did not know of the cancel yet
	repeated     atomic.Int64 // submissions repeated after the job's end or a confirmed cancel
	delayed      atomic.Int64 // responses that travelled for longer than a second

	lateStarts        int           // starts after a confirmed cancel
	longestStartDelay time.Duration // the longest time from a confirmed cancel to such a start

	delayResponses    bool   // whether some responses travel for one to two seconds
	pollsPerEndedJob  int    // how often a user polls again after the job is done or cancelled
	faults            int    // leader changes and refusals that the scenario caused
	refusedController string // the controller that the state service refuses; "" before the first refusal

	tasksMu         sync.Mutex
	unfinishedTasks map[string]int // number of tasks that have not ended, by job
}

func newPollingUsers(w *cluster) *pollingUsers {
	u := &pollingUsers{cluster: w, checker: newResponseChecker(), unfinishedTasks: map[string]int{}}
	w.onReport = u.reported
	ended := map[string]bool{}
	for _, k := range w.workers {
		check := k.OnStart
		k.OnStart = func(task string, attempt uint64) {
			check(task, attempt)
			job, _, _ := strings.Cut(task, "/")
			u.checker.taskStarted(job, task, attempt, k.RunTime(task))
			if h := u.checker.history(job); !h.cancelled.IsZero() {
				u.lateStarts++
				u.longestStartDelay = max(u.longestStartDelay, time.Since(h.cancelled))
			}
		}
		k.ExitCode = func(task string) int {
			u.tasksMu.Lock()
			defer u.tasksMu.Unlock()
			if job, _, _ := strings.Cut(task, "/"); !ended[task] {
				ended[task] = true
				if u.unfinishedTasks[job]--; u.unfinishedTasks[job] == 0 {
					u.checker.lastTaskEnded(job, time.Now())
				}
			}
			return 0
		}
	}
	return u
}

// reported records the running tasks of a report that arrives at a controller.
func (u *pollingUsers) reported(rep *wire.Report) {
	for _, task := range rep.Tasks {
		if job, _, _ := strings.Cut(task.Task, "/"); task.State == wire.TaskRunning {
			u.checker.taskReported(job, task.Task, task.Attempt)
		}
	}
}

// setTaskCount sets the number of a job's tasks; it is called before the first submission.
func (u *pollingUsers) setTaskCount(job string, tasks int) {
	u.tasksMu.Lock()
	defer u.tasksMu.Unlock()
	u.unfinishedTasks[job] = tasks
}

func submissionBody(job string, tasks int) string {
	return submissionBodyWith(job, map[string]any{"pieces": tasks})
}

// send sends a request to a controller, waits for the transit times of request and response,
// and checks the response. It returns the stage, or "" if no response with a stage arrived.
func (u *pollingUsers) send(kind, name, job string, tasks int) (stage string) {
	method, path, body := http.MethodGet, "/api/jobs/"+job, ""
	switch kind {
	case submitRequest:
		method, path, body = http.MethodPost, "/api/jobs", submissionBody(job, tasks)
	case cancelRequest:
		method, path = http.MethodPost, path+"/cancel"
		u.checker.cancelSent(job)
	}
	sent := time.Now()
	u.awaitTransit()
	u.mu.Lock()
	n := u.nodes[name]
	down := n.down
	u.mu.Unlock()
	if down {
		return ""
	}
	if kind == stateRequest {
		u.countUnseenRecords(n, job)
	}
	rec := httptest.NewRecorder()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	n.mux.ServeHTTP(rec, httptest.NewRequest(method, path, strings.NewReader(body)).WithContext(ctx))
	u.mu.Lock()
	down = n.down
	u.mu.Unlock()
	if down || ctx.Err() != nil {
		return "" // the controller crashed, or the user timed out
	}
	u.awaitTransit()
	if u.delayResponses && u.planIntN(25) == 0 {
		u.delayed.Add(1)
		time.Sleep(time.Second + time.Duration(u.planIntN(1000))*time.Millisecond)
	}
	return u.checker.checkResponse(observedResponse{kind: kind, node: name, job: job, sent: sent, received: time.Now(), status: rec.Code, body: rec.Body.Bytes()})
}

// countUnseenRecords counts a state query that arrives after a record was written and before
// the controller that needs the record has read it.
func (u *pollingUsers) countUnseenRecords(n *node, job string) {
	u.mu.Lock()
	var leader *node
	for _, name := range u.controllerNames {
		if x := u.nodes[name]; !x.down && len(x.member.LedShards()) > 0 {
			leader = x
		}
	}
	u.mu.Unlock()
	if leader == nil {
		return
	}
	state, known := leader.scheduler.LocalState(job)
	ended := u.store.RawValue("final/"+job) != ""
	switch {
	case ended && (!known || state.Stage != wire.StageDone && state.Stage != wire.StageCancelled):
		u.endNotSeen.Add(1)
	case !ended && !known && u.store.RawValue("live/"+job) != "":
		u.notLoaded.Add(1)
	}
	if !ended && !n.cancellations.IsCancelled(job) && strings.Contains(u.store.RawValue("live/"+job), `"cancelled":true`) {
		u.cancelUnseen.Add(1)
	}
}

// pollAndResubmit queries a job's state at all controllers three times within some
// milliseconds, and repeats its submission twice.
func (u *pollingUsers) pollAndResubmit(job string, tasks int) {
	for i := range 3 {
		for _, name := range u.controllerNames {
			u.pending.Go(func() { u.send(stateRequest, name, job, 0) })
		}
		if i != 1 {
			u.pending.Go(func() {
				if h := u.checker.history(job); !h.done.IsZero() || !h.cancelled.IsZero() {
					u.repeated.Add(1)
				}
				u.send(submitRequest, u.controllerNames[u.planIntN(len(u.controllerNames))], job, tasks)
			})
		}
		time.Sleep(time.Duration(500+u.planIntN(4000)) * time.Microsecond)
	}
}

// runUser acts as one job's user: it submits the job, cancels it after cancelAfter unless that is 0,
// and polls until the job is done or cancelled, or the timeout ends.
func (u *pollingUsers) runUser(job string, tasks int, cancelAfter, timeout time.Duration) {
	u.setTaskCount(job, tasks)
	deadline := time.Now().Add(timeout)
	anyNode := func() string { return u.controllerNames[u.planIntN(len(u.controllerNames))] }
	for u.send(submitRequest, anyNode(), job, tasks) == "" {
		if time.Now().After(deadline) {
			return
		}
		time.Sleep(time.Second)
	}
	u.pollAndResubmit(job, tasks)
	if cancelAfter > 0 {
		u.pending.Go(func() {
			time.Sleep(cancelAfter)
			for {
				if stage := u.send(cancelRequest, anyNode(), job, 0); stage != "" {
					u.pollAndResubmit(job, tasks)
					return
				}
				if time.Now().After(deadline) {
					return
				}
				time.Sleep(time.Second)
			}
		})
	}
	for time.Now().Before(deadline) {
		if stage := u.send(stateRequest, anyNode(), job, 0); stage == "done" || stage == "cancelled" {
			u.pollAndResubmit(job, tasks)
			for range u.pollsPerEndedJob { // poll again when lagging watches deliver events from before the job's end
				time.Sleep(time.Duration(200+u.planIntN(2000)) * time.Millisecond)
				u.pollAndResubmit(job, tasks)
			}
			return
		}
		time.Sleep(time.Duration(300+u.planIntN(700)) * time.Millisecond)
	}
}

// finishAndCheck waits for the users, stops the controllers, waits until the store has applied the
// delayed transactions, and fails the test for each inconsistent response.
func (u *pollingUsers) finishAndCheck(t *testing.T) {
	u.pending.Wait()
	u.stopAll()
	time.Sleep(15 * time.Second)
	for _, b := range u.checker.violations {
		t.Error(b)
	}
}

// pollScenario is a fault during which users poll within milliseconds of each change.
type pollScenario struct {
	name        string
	everySecond func(u *pollingUsers, second int) // is called each second, and causes the faults
	minFaults   int                               // the least number of leader changes or refusals
	sameLeader  bool                              // whether the same controller leads all the time
}

// addLatency delays watch events by up to maxWatchLag, responses of the state service by up to 30 ms
// and messages by up to 15 ms.
func (u *pollingUsers) addLatency(maxWatchLag time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	upTo := func(limit time.Duration) func() time.Duration {
		return func() time.Duration { return time.Duration(u.messageRand.Int64N(int64(limit))) }
	}
	u.watchLag, u.storeLatency, u.transitTime = upTo(maxWatchLag), upTo(30*time.Millisecond), upTo(15*time.Millisecond)
}

// refuseTemporarily is called each second. In second 0 it cuts a controller off from the state service,
// and from its peers too if fromPeers is set; in second length it restores the links.
func (u *pollingUsers) refuseTemporarily(second, length int, name string, fromPeers bool) {
	switch {
	case second == 0 && name != "":
		u.refusedController = name
		u.cutFromStateService(name)
		if fromPeers {
			u.breakLinks(name, u.otherControllers(name)...)
		}
		u.faults++
	case second == length && u.refusedController != "":
		u.healLinks(u.refusedController, append(u.otherControllers(u.refusedController), stateService)...)
	}
}

var pollScenarios = []pollScenario{
	{"watches lag", func(*pollingUsers, int) {}, 0, true},
	{"the leader transfers its shards", func(u *pollingUsers, second int) {
		if leader := u.leader(); second%3 == 1 && leader != "" {
			others := u.otherControllers(leader)
			if u.nodes[leader].member.TransferShards(context.Background(), others[u.planIntN(len(others))]) == nil {
				u.faults++
			}
		}
	}, 6, false},
	{"the leader crashes", func(u *pollingUsers, second int) {
		if leader := u.leader(); second%8 == 3 && leader != "" {
			u.restart(leader, time.Duration(100+u.planIntN(3000))*time.Millisecond)
			u.faults++
		}
	}, 4, false},
	{"the state service refuses a controller", func(u *pollingUsers, second int) {
		u.refuseTemporarily(second%6, 4, u.controllerNames[u.planIntN(len(u.controllerNames))], false)
	}, 6, true},
	{"the leader is cut off from the state service and its peers", func(u *pollingUsers, second int) {
		u.refuseTemporarily(second%12, 8, u.leader(), true)
	}, 4, false},
}

// pollStats sums the events of all runs of a scenario.
type pollStats struct {
	responses, refused, done, cancelled, faults, lateStarts int
	staleQueued                                             int
	notLoaded, endNotSeen, cancelNotSeen, repeated, delayed int64
	longestStartDelay                                       time.Duration
}

func (s *pollStats) add(u *pollingUsers) {
	s.responses += u.checker.responses
	s.refused += u.checker.refused
	s.staleQueued += u.checker.staleQueued
	for _, h := range u.checker.jobs {
		if !h.done.IsZero() {
			s.done++
		} else if !h.cancelled.IsZero() {
			s.cancelled++
		}
	}
	s.faults += u.faults
	s.lateStarts += u.lateStarts
	s.longestStartDelay = max(s.longestStartDelay, u.longestStartDelay)
	s.notLoaded += u.notLoaded.Load()
	s.endNotSeen += u.endNotSeen.Load()
	s.cancelNotSeen += u.cancelUnseen.Load()
	s.repeated += u.repeated.Load()
	s.delayed += u.delayed.Load()
}

// Users poll all controllers within milliseconds after their jobs were accepted,
// ended or cancelled, and repeat the submissions, while watches lag and responses are
// delayed. No controller may return an older state than any controller returned before.
func TestConcurrentPollsNeverSeeOlderState(t *testing.T) {
	for i, s := range pollScenarios {
		t.Run(s.name, func(t *testing.T) {
			var sum pollStats
			for seed := range uint64(2) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { sum.add(runPollScenario(t, &s, 1300+10*uint64(i)+seed)) })
				})
			}
			t.Logf("%+v", sum)
			if sum.faults < s.minFaults || sum.done < 40 || sum.cancelled < 15 || sum.notLoaded < 50 || sum.endNotSeen < 10 ||
				sum.cancelNotSeen < 10 || sum.repeated < 200 || sum.delayed < 50 {
				t.Error("the scenario did not cause enough of the events that it tests")
			}
			if s.sameLeader && sum.staleQueued > 0 {
				t.Errorf("%d responses said \"queued\" for running jobs", sum.staleQueued)
			}
			if sum.longestStartDelay > maxStartDelayAfterCancel {
				t.Errorf("a task started %v after a confirmed cancel", sum.longestStartDelay)
			}
		})
	}
}

// maxStartDelayAfterCancel limits the time from a confirmed cancel to a start by a command that was sent before.
const maxStartDelayAfterCancel = time.Second

func runPollScenario(t *testing.T, s *pollScenario, seed uint64) *pollingUsers {
	const seconds = 32
	w := newCluster(t, seed)
	w.resize(3, 8)
	w.keepBrokenLinks = true
	u := newPollingUsers(w)
	u.addLatency(4 * time.Second)
	u.pollsPerEndedJob, u.delayResponses = 2, true
	for _, k := range w.workers {
		k.RunTime = func(task string) time.Duration {
			if strings.HasPrefix(task, "j-11") || strings.HasPrefix(task, "j-13") {
				return variedTaskDuration(task)
			}
			return variedTaskDuration(task) / 4
		}
	}
	w.startControllers()
	time.Sleep(2 * time.Second)
	w.runFor(3)
	for second := range seconds {
		s.everySecond(u, second)
		for i := range 2 {
			job, tasks := fmt.Sprintf("j-%d", 100+2*second+i), 1+w.planIntN(2)
			cancelAfter := time.Duration(0)
			if w.planIntN(3) == 0 {
				cancelAfter = time.Duration(1+w.planIntN(3000)) * time.Millisecond
			}
			startDelay := time.Duration(w.planIntN(1000)) * time.Millisecond
			u.pending.Go(func() {
				time.Sleep(startDelay)
				u.runUser(job, tasks, cancelAfter, time.Minute)
			})
		}
		w.runFor(1)
	}
	w.healAllLinks()
	w.startStopped()
	w.runFor(75)
	u.finishAndCheck(t)
	for job, h := range u.checker.jobs {
		if h.done.IsZero() && h.cancelled.IsZero() && !h.accepted.IsZero() {
			t.Errorf("%s was accepted, but is neither done nor cancelled", job)
		}
	}
	return u
}
