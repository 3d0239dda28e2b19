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

// closeUsers are users that submit jobs by the users' interface, and ask at all
// controllers within milliseconds after each answer that tells something new.
type closeUsers struct {
	*cluster
	seen    *answerObserver
	pending sync.WaitGroup

	unloaded  atomic.Int64 // questions for jobs that were recorded, of which their leader had not heard
	endKnown  atomic.Int64 // questions for jobs whose end was recorded, which their leader did not know to be
	cancelled atomic.Int64 // questions for jobs recorded as cancelled, of which the asked controller had not heard
	repeated  atomic.Int64 // submissions repeated after the end or a confirmed cancel
	delayed   atomic.Int64 // answers that took longer than a second on their way

	lateStarts  int           // starts after a confirmed cancel
	latestStart time.Duration // the longest time from the confirmation to such a start

	stalls  bool   // whether some answers take a second or two on their way
	later   int    // how often users ask again after their jobs are over
	handled int    // changes of the leader that were brought about
	refused string // the controller that the state service refuses

	tasksMu sync.Mutex
	left    map[string]int // tasks of a job that have not ended
}

func newCloseUsers(w *cluster) *closeUsers {
	u := &closeUsers{cluster: w, seen: newAnswerObserver(), left: map[string]int{}}
	w.onReport = u.reported
	ended := map[string]bool{}
	for _, k := range w.workers {
		check := k.OnStart
		k.OnStart = func(task string, attempt uint64) {
			check(task, attempt)
			job, _, _ := strings.Cut(task, "/")
			u.seen.taskStarted(job, task, attempt, k.RunTime(task))
			if h := u.seen.history(job); !h.cancelled.IsZero() {
				u.lateStarts++
				u.latestStart = max(u.latestStart, time.Since(h.cancelled))
			}
		}
		k.ExitCode = func(task string) int {
			u.tasksMu.Lock()
			defer u.tasksMu.Unlock()
			if job, _, _ := strings.Cut(task, "/"); !ended[task] {
				ended[task] = true
				if u.left[job]--; u.left[job] == 0 {
					u.seen.lastTaskEnded(job, time.Now())
				}
			}
			return 0
		}
	}
	return u
}

// reported notes the running tasks of a report that arrives at a controller.
func (u *closeUsers) reported(rep *wire.Report) {
	for _, task := range rep.Tasks {
		if job, _, _ := strings.Cut(task.Task, "/"); task.State == wire.TaskRunning {
			u.seen.taskReported(job, task.Task, task.Attempt)
		}
	}
}

// submitted counts a job's tasks before its first submission.
func (u *closeUsers) submitted(job string, tasks int) {
	u.tasksMu.Lock()
	defer u.tasksMu.Unlock()
	u.left[job] = tasks
}

func submissionBody(job string, tasks int) string {
	return submissionWith(job, map[string]any{"pieces": tasks})
}

// send sends a request to a controller, takes the time that it and its answer travel,
// and has the answer judged. It returns the stage, or "" without any.
func (u *closeUsers) send(kind, name, job string, tasks int) (stage string) {
	method, path, body := http.MethodGet, "/api/jobs/"+job, ""
	switch kind {
	case submitRequest:
		method, path, body = http.MethodPost, "/api/jobs", submissionBody(job, tasks)
	case cancelRequest:
		method, path = http.MethodPost, path+"/cancel"
		u.seen.cancelSent(job)
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
		u.countUnheard(n, job)
	}
	rec := httptest.NewRecorder()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	n.mux.ServeHTTP(rec, httptest.NewRequest(method, path, strings.NewReader(body)).WithContext(ctx))
	u.mu.Lock()
	down = n.down
	u.mu.Unlock()
	if down || ctx.Err() != nil {
		return "" // the process ended, or the user has given up
	}
	u.awaitTransit()
	if u.stalls && u.planIntN(25) == 0 {
		u.delayed.Add(1)
		time.Sleep(time.Second + time.Duration(u.planIntN(1000))*time.Millisecond)
	}
	return u.seen.hear(heardAnswer{kind: kind, node: name, job: job, sent: sent, arrived: time.Now(), status: rec.Code, body: rec.Body.Bytes()})
}

// countUnheard counts questions that fall between a record and its reader.
func (u *closeUsers) countUnheard(n *node, job string) {
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
	known, sure := leader.scheduler.LocalState(job)
	ended := u.store.RawValue("final/"+job) != ""
	switch {
	case ended && (!sure || known.Stage != wire.StageDone && known.Stage != wire.StageCancelled):
		u.endKnown.Add(1)
	case !ended && !sure && u.store.RawValue("live/"+job) != "":
		u.unloaded.Add(1)
	}
	if !ended && !n.cancellations.IsCancelled(job) && strings.Contains(u.store.RawValue("live/"+job), `"cancelled":true`) {
		u.cancelled.Add(1)
	}
}

// look asks for a job at all controllers, again and again within milliseconds, and
// repeats its submission.
func (u *closeUsers) look(job string, tasks int) {
	for i := range 3 {
		for _, name := range u.controllerNames {
			u.pending.Go(func() { u.send(stateRequest, name, job, 0) })
		}
		if i != 1 {
			u.pending.Go(func() {
				if h := u.seen.history(job); !h.done.IsZero() || !h.cancelled.IsZero() {
					u.repeated.Add(1)
				}
				u.send(submitRequest, u.controllerNames[u.planIntN(len(u.controllerNames))], job, tasks)
			})
		}
		time.Sleep(time.Duration(500+u.planIntN(4000)) * time.Microsecond)
	}
}

// follow is the life of one job's user: it submits the job, perhaps cancels it after
// some time (0: never), and asks until the job is over.
func (u *closeUsers) follow(job string, tasks int, cancelAfter, patience time.Duration) {
	u.submitted(job, tasks)
	until := time.Now().Add(patience)
	anyNode := func() string { return u.controllerNames[u.planIntN(len(u.controllerNames))] }
	for u.send(submitRequest, anyNode(), job, tasks) == "" {
		if time.Now().After(until) {
			return
		}
		time.Sleep(time.Second)
	}
	u.look(job, tasks)
	if cancelAfter > 0 {
		u.pending.Go(func() {
			time.Sleep(cancelAfter)
			for {
				if stage := u.send(cancelRequest, anyNode(), job, 0); stage != "" {
					u.look(job, tasks)
					return
				}
				if time.Now().After(until) {
					return
				}
				time.Sleep(time.Second)
			}
		})
	}
	for time.Now().Before(until) {
		if stage := u.send(stateRequest, anyNode(), job, 0); stage == "done" || stage == "cancelled" {
			u.look(job, tasks)
			for range u.later { // and later, by when lagging watches tell of the past
				time.Sleep(time.Duration(200+u.planIntN(2000)) * time.Millisecond)
				u.look(job, tasks)
			}
			return
		}
		time.Sleep(time.Duration(300+u.planIntN(700)) * time.Millisecond)
	}
}

// finish waits for the users, stops the controllers, lets what is on its way arrive, and
// fails the test for answers that are out of order.
func (u *closeUsers) finish(t *testing.T) {
	u.pending.Wait()
	u.stopAll()
	time.Sleep(15 * time.Second)
	for _, b := range u.seen.broken {
		t.Error(b)
	}
}

// closeScene is a fault during which users look closely.
type closeScene struct {
	name  string
	each  func(u *closeUsers, second int) // what happens each second
	least int                             // changes of the leader, or refusals, that must happen
	stays bool                            // whether the jobs stay with one leader
}

// lagging has the watches tell late, and messages and the state service's answers take
// some time.
func (u *closeUsers) lagging(most time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	upTo := func(most time.Duration) func() time.Duration {
		return func() time.Duration { return time.Duration(u.messageRand.Int64N(int64(most))) }
	}
	u.watchLag, u.storeLatency, u.transitTime = upTo(most), upTo(30*time.Millisecond), upTo(15*time.Millisecond)
}

// refusal has the state service refuse a controller, which its peers may be cut off from
// too, for some seconds.
func (u *closeUsers) refusal(second, length int, name string, apart bool) {
	switch {
	case second == 0 && name != "":
		u.refused = name
		u.cutFromStateService(name)
		if apart {
			u.breakLinks(name, u.otherControllers(name)...)
		}
		u.handled++
	case second == length && u.refused != "":
		u.healLinks(u.refused, append(u.otherControllers(u.refused), stateService)...)
	}
}

var closeScenes = []closeScene{
	{"watches lag", func(*closeUsers, int) {}, 0, true},
	{"the leader hands over", func(u *closeUsers, second int) {
		if l := u.leader(); second%3 == 1 && l != "" {
			to := u.otherControllers(l)
			if u.nodes[l].member.TransferShards(context.Background(), to[u.planIntN(len(to))]) == nil {
				u.handled++
			}
		}
	}, 6, false},
	{"the leader ends", func(u *closeUsers, second int) {
		if l := u.leader(); second%8 == 3 && l != "" {
			u.restart(l, time.Duration(100+u.planIntN(3000))*time.Millisecond)
			u.handled++
		}
	}, 4, false},
	{"the state service refuses a controller", func(u *closeUsers, second int) {
		u.refusal(second%6, 4, u.controllerNames[u.planIntN(len(u.controllerNames))], false)
	}, 6, true},
	{"the leader is apart from state service and peers", func(u *closeUsers, second int) {
		u.refusal(second%12, 8, u.leader(), true)
	}, 4, false},
}

// closeTally is what happened in a scene's runs.
type closeTally struct {
	answers, refused, done, cancelled, handled, lateStarts int
	behind                                                 int
	unloaded, endKnown, cancelUnheard, repeated, delayed   int64
	latestStart                                            time.Duration
}

func (s *closeTally) add(u *closeUsers) {
	s.answers += u.seen.answers
	s.refused += u.seen.refused
	s.behind += u.seen.behind
	for _, h := range u.seen.jobs {
		if !h.done.IsZero() {
			s.done++
		} else if !h.cancelled.IsZero() {
			s.cancelled++
		}
	}
	s.handled += u.handled
	s.lateStarts += u.lateStarts
	s.latestStart = max(s.latestStart, u.latestStart)
	s.unloaded += u.unloaded.Load()
	s.endKnown += u.endKnown.Load()
	s.cancelUnheard += u.cancelled.Load()
	s.repeated += u.repeated.Load()
	s.delayed += u.delayed.Load()
}

// Users ask at all controllers within milliseconds after their jobs were accepted,
// ended or cancelled, and repeat the submissions, while watches lag and answers are
// delayed: no controller answers anything older than what any controller had told.
func TestConcurrentPollsNeverSeeOlderState(t *testing.T) {
	for i, s := range closeScenes {
		t.Run(s.name, func(t *testing.T) {
			var sum closeTally
			for seed := range uint64(2) {
				t.Run(fmt.Sprint(seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { sum.add(playCloseScene(t, &s, 1300+10*uint64(i)+seed)) })
				})
			}
			t.Logf("%+v", sum)
			if sum.handled < s.least || sum.done < 40 || sum.cancelled < 15 || sum.unloaded < 50 || sum.endKnown < 10 ||
				sum.cancelUnheard < 10 || sum.repeated < 200 || sum.delayed < 50 {
				t.Error("too few of these")
			}
			if s.stays && sum.behind > 0 {
				t.Errorf("%d answers \"queued\" for running jobs", sum.behind)
			}
			if sum.latestStart > inFlight {
				t.Errorf("a task started %v after a confirmed cancel", sum.latestStart)
			}
		})
	}
}

// inFlight is how long after a confirmed cancel a start that was on its way may arrive.
const inFlight = time.Second

func playCloseScene(t *testing.T, s *closeScene, seed uint64) *closeUsers {
	const seconds = 32
	w := newCluster(t, seed)
	w.bigger(3, 8)
	w.keepBrokenLinks = true
	u := newCloseUsers(w)
	u.lagging(4 * time.Second)
	u.later, u.stalls = 2, true
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
		s.each(u, second)
		for i := range 2 {
			job, tasks := fmt.Sprintf("j-%d", 100+2*second+i), 1+w.planIntN(2)
			cancelAfter := time.Duration(0)
			if w.planIntN(3) == 0 {
				cancelAfter = time.Duration(1+w.planIntN(3000)) * time.Millisecond
			}
			from := time.Duration(w.planIntN(1000)) * time.Millisecond
			u.pending.Go(func() {
				time.Sleep(from)
				u.follow(job, tasks, cancelAfter, time.Minute)
			})
		}
		w.runFor(1)
	}
	w.healAllLinks()
	w.startStopped()
	w.runFor(75)
	u.finish(t)
	for job, h := range u.seen.jobs {
		if h.done.IsZero() && h.cancelled.IsZero() && !h.accepted.IsZero() {
			t.Errorf("%s was accepted, and is not over", job)
		}
	}
	return u
}
