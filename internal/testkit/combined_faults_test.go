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

// A leader ends while workers with long tasks can't be reached, or hear no answer. Its
// successor can't settle those tasks: it starts none of them again, and all else goes
// on at once. The workers come back one by one, within their lease or after it.
func TestFailoverWhileWorkersAreUnreachable(t *testing.T) {
	for _, deaf := range []bool{false, true} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("deaf %v, %d", deaf, seed), func(t *testing.T) {
				onCluster(t, 900+seed, 3, 10, func(w *cluster) {
					w.submit("j-80", 12)
					w.live(12)
					if n := w.onMachines("j-80"); n < 12 {
						t.Fatalf("%d long tasks run", n)
					}
					away := w.workers[:4]
					for _, k := range away {
						if deaf {
							w.unheard(k, w.names...)
						} else {
							w.cutAll(k.Name, w.names...)
						}
					}
					first := w.leader()
					w.crash(first)
					w.submit("j-1", 60)
					at := time.Now()
					longest := time.Duration(0)
					for range 14 {
						w.live(1)
						if w.lastStart().After(at) {
							longest = max(longest, time.Since(w.lastStart()))
						}
					}
					if w.lastStart().Before(at) || longest > 8*time.Second {
						t.Errorf("no start for %v, first after the leader's end: %v", longest, w.lastStart().After(at))
					}
					for i, k := range away {
						w.healLinks(k.Name, w.names...)
						if i == 2 {
							w.start(first)
						}
						w.live(4)
					}
					if !w.within(120, w.ended("j-1")) {
						t.Error("the other job did not end")
					}
					if !w.within(60, func() bool { return w.onMachines("j-80") == 12 }) {
						t.Errorf("%d of 12 long tasks are on", w.onMachines("j-80"))
					}
					if len(w.store.Keys("final/j-80")) > 0 {
						t.Error("the long job ended")
					}
				})
			})
		}
	}
}

// Jobs of three tasks end far apart across changes of the leader, of which one is back
// within a second: a job is done when all of them are, and not before, and every
// controller says so soon after.
func TestTaskCompletionsAcrossFailovers(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			onCluster(t, 920+seed, 3, 6, func(w *cluster) {
				over := map[string]time.Time{}
				var last time.Time
				for _, k := range w.workers {
					k.Run = func(task string) time.Duration {
						uid, n, _ := wire.ParseTask(task)
						if uid != "j-1" && uid != "j-2" {
							return variedTime(task)
						}
						return time.Duration(4+22*n) * time.Second
					}
					k.Exit = func(task string) int {
						if _, seen := over[task]; !seen {
							over[task] = time.Now()
						}
						last = time.Now()
						return 0
					}
				}
				w.submit("j-1", 3)
				w.submit("j-2", 3)
				away := w.workers[int(seed)%len(w.workers)]
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
						w.unheard(away, w.names...)
					case 27:
						w.healLinks(away.Name, w.names...)
					}
					w.live(1)
					for _, uid := range []string{"j-1", "j-2"} {
						done := 0
						for n := range 3 {
							if _, ok := over[fmt.Sprintf("%s/%d", uid, n)]; ok {
								done++
							}
						}
						for _, n := range w.names {
							if stage, ok := w.user(n, http.MethodGet, uid); ok && stage == wire.StageDone && done < 3 {
								t.Fatalf("%s calls %s done with %d tasks", n, uid, done)
							}
						}
					}
				}
				if !w.within(60, w.ended("j-1", "j-2")) {
					t.Fatalf("only %v ended, last task %v ago", w.store.Keys("final/"), time.Since(last))
				}
				w.live(3)
				for _, n := range w.names {
					for _, uid := range []string{"j-1", "j-2"} {
						if stage, ok := w.user(n, http.MethodGet, uid); !ok || stage != wire.StageDone {
							t.Errorf("%s says %s, %v of %s", n, stage, ok, uid)
						}
					}
				}
			})
		})
	}
}

// The state service answers slowly, loses answers, and carries out a part of the
// transactions 2 to 12 s later, after newer ones, while users submit, cancel and ask
// at all controllers, and these end and are back: nobody hears anything older than
// what was said, every job ends, and nothing that was recorded late does any harm.
func TestSlowStateStoreAndLateTransactions(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			onCluster(t, 940+seed, 3, 8, func(w *cluster) {
				late, slow := 0, true
				trouble := func(n *node) {
					n.view.Slow = func() time.Duration {
						if !slow {
							return 0
						}
						return time.Duration(20+w.chance(400)) * time.Millisecond
					}
					n.view.LateBy = func() time.Duration {
						if !slow || w.chance(6) > 0 {
							return 0
						}
						late++
						return time.Duration(2000+w.chance(10000)) * time.Millisecond
					}
				}
				for _, n := range w.nodes {
					trouble(n)
				}
				jobs := make([]string, 0, 8)
				for i := range cap(jobs) {
					uid := fmt.Sprintf("j-%d", 11+i)
					jobs = append(jobs, uid)
					w.submit(uid, 5+i)
				}
				for second := range 70 {
					if second%23 == 11 {
						name := w.names[w.draw(3)]
						w.crash(name)
						time.Sleep(time.Duration(100+w.draw(3000)) * time.Millisecond)
						w.start(name)
						trouble(w.nodes[name])
					}
					at := w.names[w.draw(3)]
					if second%7 == 3 {
						w.user(at, http.MethodPost, jobs[w.draw(4)]) // the other four go on
					} else {
						w.user(at, http.MethodGet, jobs[w.draw(8)])
					}
					w.live(1)
				}
				if late == 0 {
					t.Error("no transaction was carried out late")
				}
				slow = false
				w.live(20)
				for _, n := range w.names {
					for _, uid := range jobs {
						if _, ok := w.user(n, http.MethodGet, uid); !ok {
							w.live(1)
							if _, ok = w.user(n, http.MethodGet, uid); !ok {
								t.Errorf("%s says nothing of %s", n, uid)
							}
						}
					}
				}
				if !w.within(300, w.ended(jobs...)) {
					t.Errorf("only %v ended", w.store.Keys("final/"))
				}
				clean := &testkit.View{Store: w.store}
				for i, uid := range jobs {
					s, err := scheduler.StoredState(context.Background(), clean, uid)
					if w.confirmedCancels[uid].IsZero() && s.Stage == wire.StageCancelled && i >= 4 || err != nil {
						t.Errorf("%s: %+v, %v", uid, s, err)
					}
				}
			})
		})
	}
}

// Old reports come again after newer ones, from earlier sessions and attempts, to a
// controller that has just started, to a new leader and to a former dispatcher: they end,
// start and settle nothing.
func TestStaleHeartbeatsAfterFailover(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			onCluster(t, 960+seed, 3, 8, func(w *cluster) {
				w.submit("j-80", 6)
				w.submit("j-1", 40)
				w.live(12)
				for range 4 {
					first := w.leader()
					if first == "" {
						w.live(3)
						continue
					}
					// A worker loses its lease, so that its tasks have later attempts.
					k := w.workers[w.draw(len(w.workers))]
					w.cutAll(k.Name, w.names...)
					w.live(13)
					w.healLinks(k.Name, w.names...)
					w.crash(first)
					for _, n := range w.names {
						w.deliverLateReports(w.nodes[n])
					}
					w.start(first)
					for range 4 {
						w.live(1)
						for _, n := range w.names {
							w.deliverLateReports(w.nodes[n])
						}
					}
					w.live(4)
				}
				if !w.within(200, w.ended("j-1")) {
					t.Error("the short job did not end")
				}
				if !w.within(60, func() bool { return w.onMachines("j-80") == 6 }) {
					t.Errorf("%d of 6 long tasks are on", w.onMachines("j-80"))
				}
			})
		})
	}
}

// Commands and their answers are held up for seconds or minutes, workers hang and go
// on, leaders change in between: what was commanded under an old token or session does
// nothing, and what is carried out late runs nowhere else.
func TestDelayedCommandsChangeNothing(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			onCluster(t, 980+seed, 3, 8, func(w *cluster) {
				w.submit("j-80", 6)
				w.submit("j-1", 120)
				w.live(8)
				late := 0
				for round := range 8 {
					k := w.workers[w.draw(len(w.workers))]
					w.unheard(k, w.names...) // half of its commands are held up
					w.live(2 + w.draw(4))
					if round%2 == 1 {
						if first := w.leader(); first != "" {
							w.crash(first)
							time.Sleep(time.Duration(w.draw(1500)) * time.Millisecond)
							w.start(first)
						}
					}
					if round == 4 {
						w.user(w.names[w.draw(3)], http.MethodPost, "j-80")
					}
					w.live(w.draw(5))
					w.healLinks(k.Name, w.names...)
					late += w.release()
					w.live(3)
				}
				if late == 0 {
					t.Error("no command was held up")
				}
				if !w.within(200, w.ended("j-1")) {
					t.Error("the short job did not end")
				}
			})
		})
	}
}

// A cancel whose answer is lost is carried out seconds later, when its job is done; and
// the record of a job's end, when the job was cancelled in the meantime. Whichever is
// first holds, to every controller.
func TestLateCancelAtJobEnd(t *testing.T) {
	for _, late := range []string{"the cancel", "the end"} {
		for seed := range uint64(4) {
			t.Run(fmt.Sprintf("%s, %d", late, seed), func(t *testing.T) {
				onCluster(t, 1100+seed, 3, 6, func(w *cluster) {
					for _, k := range w.workers {
						k.Run = func(string) time.Duration { return 6 * time.Second }
					}
					w.submit("j-1", 3)
					owner := w.nodes[w.leader()]
					hold := 0 // transactions that are carried out 12 s late
					owner.view.Lose, owner.view.Late = nil, nil
					owner.view.LateBy = func() time.Duration {
						if hold == 0 {
							return 0
						}
						hold--
						return 12 * time.Second
					}
					started := w.starts
					if !w.within(20, func() bool { return w.starts >= started+3 }) {
						t.Fatal("nothing started")
					}
					if late == "the cancel" {
						w.live(int(seed))
						hold = 1
						if stage, ok := w.user(owner.name, http.MethodPost, "j-1"); ok {
							t.Fatalf("%s without an answer of the state service", stage)
						}
						if !w.within(11, w.ended("j-1")) {
							t.Fatal("the job did not end before the cancel was carried out")
						}
					} else {
						w.live(5)
						hold = 3 // what is recorded of the last tasks, and the end
						w.live(2)
						w.cancelAll(owner.name, []string{"j-1"}, 4)
					}
					w.live(20)
					for range 3 {
						for _, n := range w.names {
							if stage, ok := w.user(n, http.MethodGet, "j-1"); ok && stage != wire.StageDone && stage != wire.StageCancelled {
								t.Errorf("%s calls the job %s", n, stage)
							}
						}
						w.live(1)
					}
					if len(w.store.Keys("live/j-1")) > 0 || !w.ended("j-1")() {
						t.Errorf("in the store: %v, %v", w.store.Keys("live/"), w.store.Keys("final/"))
					}
				})
			})
		}
	}
}
