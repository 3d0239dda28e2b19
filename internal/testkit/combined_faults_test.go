package testkit_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// A leader crashes while workers with long tasks are unreachable, or do not receive its responses. Its
// successor does not know whether those tasks still run: it starts none of them again, and starts
// all other tasks without delay. The workers come back one by one, within their lease or after it.
func TestFailoverWhileWorkersAreUnreachable(t *testing.T) {
	for _, noResponses := range []bool{false, true} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("no responses %v, %d", noResponses, seed), func(t *testing.T) {
				runOnCluster(t, 900+seed, 3, 10, func(w *cluster) {
					w.submit("j-80", 12)
					w.runFor(12)
					if n := w.unfinishedTasks("j-80"); n < 12 {
						t.Fatalf("only %d long tasks are running", n)
					}
					unreachable := w.workers[:4]
					for _, k := range unreachable {
						if noResponses {
							w.breakLinksTo(k, w.controllerNames...)
						} else {
							w.breakLinks(k.Name, w.controllerNames...)
						}
					}
					first := w.leader()
					w.crash(first)
					w.submit("j-1", 60)
					crashedAt := time.Now()
					longestGap := time.Duration(0)
					for range 14 {
						w.runFor(1)
						if w.lastStartTime().After(crashedAt) {
							longestGap = max(longestGap, time.Since(w.lastStartTime()))
						}
					}
					if w.lastStartTime().Before(crashedAt) || longestGap > 8*time.Second {
						t.Errorf("no task start for %v; any start after the leader's crash: %v", longestGap, w.lastStartTime().After(crashedAt))
					}
					for i, k := range unreachable {
						w.healLinks(k.Name, w.controllerNames...)
						if i == 2 {
							w.start(first)
						}
						w.runFor(4)
					}
					if !w.runUntil(120, w.jobsEnded("j-1")) {
						t.Error("the other job did not end")
					}
					if !w.runUntil(60, func() bool { return w.unfinishedTasks("j-80") == 12 }) {
						t.Errorf("%d of 12 long tasks are running", w.unfinishedTasks("j-80"))
					}
					if len(w.store.Keys("final/j-80")) > 0 {
						t.Error("the long job ended")
					}
				})
			})
		}
	}
}

// Jobs of three tasks, which end at long intervals, run across changes of the leader; the first is
// restarted within a second. A job is done when all its tasks are done, not before, and every
// controller reports so soon after.
func TestTaskCompletionsAcrossFailovers(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runOnCluster(t, 920+seed, 3, 6, func(w *cluster) {
				endedAt := map[string]time.Time{}
				var last time.Time
				for _, k := range w.workers {
					k.RunTime = func(task string) time.Duration {
						uid, n, _ := wire.ParseTask(task)
						if uid != "j-1" && uid != "j-2" {
							return variedTaskDuration(task)
						}
						return time.Duration(4+22*n) * time.Second
					}
					k.ExitCode = func(task string) int {
						if _, seen := endedAt[task]; !seen {
							endedAt[task] = time.Now()
						}
						last = time.Now()
						return 0
					}
				}
				w.submit("j-1", 3)
				w.submit("j-2", 3)
				mutedWorker := w.workers[int(seed)%len(w.workers)]
				for second := 0; second < 90; second++ {
					if second%19 == 9 { // between the ends of two tasks
						if first := w.leader(); first != "" {
							w.crash(first)
							time.Sleep(time.Duration(300+700*(second/19)) * time.Millisecond)
							w.start(first)
						}
					}
					switch second {
					case 20:
						w.breakLinksTo(mutedWorker, w.controllerNames...)
					case 27:
						w.healLinks(mutedWorker.Name, w.controllerNames...)
					}
					w.runFor(1)
					for _, uid := range []string{"j-1", "j-2"} {
						done := 0
						for n := range 3 {
							if _, ok := endedAt[fmt.Sprintf("%s/%d", uid, n)]; ok {
								done++
							}
						}
						for _, n := range w.controllerNames {
							if stage, ok := w.userRequest(n, http.MethodGet, uid); ok && stage == wire.StageDone && done < 3 {
								t.Fatalf("%s reports %s as done when %d tasks were done", n, uid, done)
							}
						}
					}
				}
				if !w.runUntil(60, w.jobsEnded("j-1", "j-2")) {
					t.Fatalf("only these jobs ended: %v; the last task ended %v ago", w.store.Keys("final/"), time.Since(last))
				}
				w.runFor(3)
				for _, n := range w.controllerNames {
					for _, uid := range []string{"j-1", "j-2"} {
						if stage, ok := w.userRequest(n, http.MethodGet, uid); !ok || stage != wire.StageDone {
							t.Errorf("%s reports stage %s, answered %v, of %s", n, stage, ok, uid)
						}
					}
				}
			})
		})
	}
}

// The state service responds slowly, loses responses, and applies some transactions 2 to 12 s late,
// after newer ones. Meanwhile users submit, cancel and poll at all controllers, which crash and
// restart. Although transactions are applied late, no user is told an older state than before,
// and every job ends.
func TestSlowStateStoreAndLateTransactions(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runOnCluster(t, 940+seed, 3, 8, func(w *cluster) {
				late, slow := 0, true
				setStoreFaults := func(n *node) {
					n.view.ResponseDelay = func() time.Duration {
						if !slow {
							return 0
						}
						return time.Duration(20+w.messageIntN(400)) * time.Millisecond
					}
					n.view.ApplyAfter = func() time.Duration {
						if !slow || w.messageIntN(6) > 0 {
							return 0
						}
						late++
						return time.Duration(2000+w.messageIntN(10000)) * time.Millisecond
					}
				}
				for _, n := range w.nodes {
					setStoreFaults(n)
				}
				jobs := make([]string, 0, 8)
				for i := range cap(jobs) {
					uid := fmt.Sprintf("j-%d", 11+i)
					jobs = append(jobs, uid)
					w.submit(uid, 5+i)
				}
				for second := range 70 {
					if second%23 == 11 {
						name := w.controllerNames[w.planIntN(3)]
						w.crash(name)
						time.Sleep(time.Duration(100+w.planIntN(3000)) * time.Millisecond)
						w.start(name)
						setStoreFaults(w.nodes[name])
					}
					at := w.controllerNames[w.planIntN(3)]
					if second%7 == 3 {
						w.userRequest(at, http.MethodPost, jobs[w.planIntN(4)]) // the other four jobs are never cancelled
					} else {
						w.userRequest(at, http.MethodGet, jobs[w.planIntN(8)])
					}
					w.runFor(1)
				}
				if late == 0 {
					t.Error("no transaction was applied late")
				}
				slow = false
				w.runFor(20)
				for _, n := range w.controllerNames {
					for _, uid := range jobs {
						if _, ok := w.userRequest(n, http.MethodGet, uid); !ok {
							w.runFor(1)
							if _, ok = w.userRequest(n, http.MethodGet, uid); !ok {
								t.Errorf("%s does not answer for %s", n, uid)
							}
						}
					}
				}
				if !w.runUntil(300, w.jobsEnded(jobs...)) {
					t.Errorf("only these jobs ended: %v", w.store.Keys("final/"))
				}
				view := &testkit.View{Store: w.store}
				for i, uid := range jobs {
					s, err := scheduler.ReadStoredState(context.Background(), view, uid)
					if w.confirmedCancels[uid].IsZero() && s.Stage == wire.StageCancelled && i >= 4 || err != nil {
						t.Errorf("%s: %+v, %v", uid, s, err)
					}
				}
			})
		})
	}
}

// Stale heartbeats of earlier sessions and attempts are delivered again after newer ones, to a
// controller that has just started, a new leader and a former dispatcher: they neither end nor
// start a task, nor prove that one has stopped.
func TestStaleHeartbeatsAfterFailover(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runOnCluster(t, 960+seed, 3, 8, func(w *cluster) {
				w.submit("j-80", 6)
				w.submit("j-1", 40)
				w.runFor(12)
				for range 4 {
					first := w.leader()
					if first == "" {
						w.runFor(3)
						continue
					}
					// A worker loses its lease, so that its tasks have newer attempts.
					k := w.workers[w.planIntN(len(w.workers))]
					w.breakLinks(k.Name, w.controllerNames...)
					w.runFor(13)
					w.healLinks(k.Name, w.controllerNames...)
					w.crash(first)
					for _, n := range w.controllerNames {
						w.deliverLateReports(w.nodes[n])
					}
					w.start(first)
					for range 4 {
						w.runFor(1)
						for _, n := range w.controllerNames {
							w.deliverLateReports(w.nodes[n])
						}
					}
					w.runFor(4)
				}
				if !w.runUntil(200, w.jobsEnded("j-1")) {
					t.Error("the short job did not end")
				}
				if !w.runUntil(60, func() bool { return w.unfinishedTasks("j-80") == 6 }) {
					t.Errorf("%d of 6 long tasks are running", w.unfinishedTasks("j-80"))
				}
			})
		})
	}
}

// Commands and their responses are delayed for seconds or minutes while workers hang and resume and
// leaders change. Commands of an old token or session have no effect, and a task that starts late
// runs on no other worker.
func TestDelayedCommandsChangeNothing(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runOnCluster(t, 980+seed, 3, 8, func(w *cluster) {
				w.submit("j-80", 6)
				w.submit("j-1", 120)
				w.runFor(8)
				late := 0
				for round := range 8 {
					k := w.workers[w.planIntN(len(w.workers))]
					w.breakLinksTo(k, w.controllerNames...) // half of the commands to it are held back
					w.runFor(2 + w.planIntN(4))
					if round%2 == 1 {
						if first := w.leader(); first != "" {
							w.crash(first)
							time.Sleep(time.Duration(w.planIntN(1500)) * time.Millisecond)
							w.start(first)
						}
					}
					if round == 4 {
						w.userRequest(w.controllerNames[w.planIntN(3)], http.MethodPost, "j-80")
					}
					w.runFor(w.planIntN(5))
					w.healLinks(k.Name, w.controllerNames...)
					late += w.deliverHeldCommands()
					w.runFor(3)
				}
				if late == 0 {
					t.Error("no command was held back")
				}
				if !w.runUntil(200, w.jobsEnded("j-1")) {
					t.Error("the short job did not end")
				}
			})
		})
	}
}

// Guards against two outcomes of one job: a cancel whose response was lost is applied seconds later,
// when the job is done; or the end of a job is applied after the job was cancelled. The
// transaction that is applied first wins, at every controller.
func TestLateCancelAtJobEnd(t *testing.T) {
	for _, late := range []string{"the cancel", "the end"} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s, %d", late, seed), func(t *testing.T) {
				runOnCluster(t, 1100+seed, 3, 6, func(w *cluster) {
					for _, k := range w.workers {
						k.RunTime = func(string) time.Duration { return 6 * time.Second }
					}
					started := w.startCount
					w.submit("j-1", 3)
					owner := w.nodes[w.leader()]
					lateTransactions := 0 // how many of the next transactions are applied 12 s late
					owner.view.LoseResponse, owner.view.Hold = nil, nil
					owner.view.ApplyAfter = func() time.Duration {
						if lateTransactions == 0 {
							return 0
						}
						lateTransactions--
						return 12 * time.Second
					}
					if !w.runUntil(20, func() bool { return w.startCount >= started+3 }) {
						t.Fatal("not all tasks started")
					}
					if late == "the cancel" {
						w.runFor(int(seed))
						lateTransactions = 1
						if stage, ok := w.userRequest(owner.name, http.MethodPost, "j-1"); ok {
							t.Fatalf("reported as %s without a response from the state service", stage)
						}
						if !w.runUntil(11, w.jobsEnded("j-1")) {
							t.Fatal("the job did not end before the cancel was applied")
						}
					} else {
						w.runFor(5)
						lateTransactions = 3 // the records of the last tasks and of the job's end
						w.runFor(2)
						w.cancelJobs(owner.name, []string{"j-1"}, 4)
					}
					w.runFor(20)
					for range 3 {
						for _, n := range w.controllerNames {
							if stage, ok := w.userRequest(n, http.MethodGet, "j-1"); ok && stage != wire.StageDone && stage != wire.StageCancelled {
								t.Errorf("%s reports the job as %s", n, stage)
							}
						}
						w.runFor(1)
					}
					if len(w.store.Keys("live/j-1")) > 0 || !w.jobsEnded("j-1")() {
						t.Errorf("in the store: %v, %v", w.store.Keys("live/"), w.store.Keys("final/"))
					}
				})
			})
		}
	}
}
