package testkit_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// deliverReports brings reports to controllers, all within a moment and in this order. What is
// answered reaches nobody. It returns how many were taken for new, by any.
func (w *cluster) deliverReports(reports []*wire.Report, to ...string) (taken int) {
	var all sync.WaitGroup
	var mu sync.Mutex
	for _, name := range to {
		n := w.nodes[name]
		if n.down {
			continue
		}
		all.Go(func() {
			for _, rep := range reports {
				again := *rep
				again.Tasks = slices.Clone(rep.Tasks)
				status, _ := n.dispatcher.HandleReport(context.Background(), &again)
				mu.Lock()
				if status == 200 {
					taken++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	w.check()
	return taken
}

// sendReportTo lets one worker report to a controller, and returns the report. The answer
// arrives.
func (w *cluster) sendReportTo(k *testkit.Worker, name string) *wire.Report {
	w.mu.Lock()
	rep := k.Report()
	rep.Endpoint = k.Name
	sent := time.Now()
	w.mu.Unlock()
	_, body := w.nodes[name].dispatcher.HandleReport(context.Background(), rep)
	w.mu.Lock()
	defer w.mu.Unlock()
	if a, ok := body.(wire.ReportResponse); ok {
		k.Answer(sent, rep.Session, a)
	}
	return rep
}

// A report of a worker's session that is over is held back until the next leader has
// read the records, and arrives there before anything newer. What it says of an attempt
// must hold for ever: the attempt must not have been started anew in a later session.
func TestDelayedHeartbeatOfEarlierSessionIsIgnored(t *testing.T) {
	for _, ended := range []bool{false, true} {
		t.Run(fmt.Sprintf("attempt ended in it: %v", ended), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(t, 1)
				w.bigger(3, 2)
				w.workers = w.workers[:2]
				w.losslessReports, w.keepCuts = true, true
				k, other := w.workers[0], w.workers[1]
				runs := 0
				for _, x := range w.workers {
					x.Run = func(string) time.Duration {
						if runs++; runs == 1 && ended {
							return time.Second
						}
						return time.Hour
					}
				}
				k.Exit = func(string) int { return 3 }
				w.startInTurn()
				time.Sleep(2 * time.Second)
				w.exchangeReachability()
				first := w.leader()
				w.submit("j-80", 1)
				// The task starts on the first worker, by the answer to a report; direct
				// orders, whose answers would tell of it, don't arrive.
				w.unheard(k, w.names...)
				for range 10 {
					w.sendReportTo(k, first)
					if w.onMachines("j-80") == 1 {
						break
					}
					time.Sleep(500 * time.Millisecond)
				}
				if w.onMachines("j-80") != 1 {
					t.Fatal("the task did not start")
				}
				renewed := time.Now()
				time.Sleep(2 * time.Second)
				w.mu.Lock()
				held := k.Report() // on its way from now on
				held.Endpoint = k.Name
				w.mu.Unlock()
				if len(held.Tasks) != 1 || (held.Tasks[0].State == wire.TaskExited) != ended {
					t.Fatalf("the report that is held back lists %+v", held.Tasks)
				}
				time.Sleep(time.Until(renewed.Add(workerLease + 20*time.Millisecond)))
				var copies []*wire.Report
				for range 6 { // in the new session the task starts again
					copies = append(copies, w.sendReportTo(k, first))
					if w.onMachines("j-80") == 1 {
						break
					}
					time.Sleep(300 * time.Millisecond)
				}
				if w.onMachines("j-80") != 1 || copies[0].Session != held.Session+1 {
					t.Fatalf("%d tasks on, session %d after %d", w.onMachines("j-80"), copies[0].Session, held.Session)
				}
				// From now on nothing newer comes from the worker, and it goes on.
				w.cutAll(k.Name, w.names...)
				w.restart(first, 100*time.Millisecond)
				time.Sleep(time.Second)
				w.exchangeReachability()
				next := w.leader()
				if next == "" {
					t.Fatal("no new leader")
				}
				if took, _, _ := w.nodes[next].scheduler.FailoverProgress(); took == 0 {
					t.Fatal("the new leader has not read the records")
				}
				if w.deliverReports(append([]*wire.Report{held}, copies...), w.names...) == 0 {
					t.Error("nobody took the report that was held back")
				}
				for range 6 {
					w.sendReportTo(other, next)
					w.check()
					time.Sleep(300 * time.Millisecond)
				}
				w.stopAll()
			})
		})
	}
}

// failoverStage is how far a new leader has come.
type failoverStage struct {
	name    string
	reached func(w *cluster, before map[string]jobstate.Stats) bool
	reports func(k int) int // how often the k-th worker has reported to it by then
}

// recoveredLeader returns the controller that has read the records since, or nil.
func (w *cluster) recoveredLeader(before map[string]jobstate.Stats) *node {
	for _, name := range w.names {
		if n := w.nodes[name]; !n.down && len(n.member.LedShards()) > 0 && n.scheduler.Counters().Failovers > before[name].Failovers {
			return n
		}
	}
	return nil
}

// anyShardClaimed reports whether any controller has anyShardClaimed jobs.
func (w *cluster) anyShardClaimed() bool {
	return slices.ContainsFunc(w.names, func(name string) bool { return !w.nodes[name].down && len(w.nodes[name].member.ClaimedShards()) > 0 })
}

// unheardWorkers counts the workers on which the records had tasks, and those of them that the
// new leader has not heard.
func (w *cluster) unheardWorkers(before map[string]jobstate.Stats) (recorded, unheard int) {
	n := w.recoveredLeader(before)
	if n == nil {
		return 0, 0
	}
	_, recorded, unheard = n.scheduler.FailoverProgress()
	return recorded, unheard
}

// failoverStages are those of a take-over.
var failoverStages = []failoverStage{
	{"before the claim", func(w *cluster, _ map[string]jobstate.Stats) bool { return !w.anyShardClaimed() }, nil},
	{"claimed, records not read", func(w *cluster, before map[string]jobstate.Stats) bool { return w.anyShardClaimed() && w.recoveredLeader(before) == nil }, nil},
	{"read, nothing settled", func(w *cluster, before map[string]jobstate.Stats) bool {
		recorded, unheard := w.unheardWorkers(before)
		return recorded > 0 && unheard == recorded
	}, nil},
	{"half settled", func(w *cluster, before map[string]jobstate.Stats) bool {
		recorded, unheard := w.unheardWorkers(before)
		return unheard > 0 && unheard < recorded
	}, func(k int) int { return 2 * (k % 2) }},
	{"settled", func(w *cluster, before map[string]jobstate.Stats) bool {
		recorded, unheard := w.unheardWorkers(before)
		return recorded > 0 && unheard == 0
	}, func(int) int { return 2 }},
	{"first grants made", func(w *cluster, before map[string]jobstate.Stats) bool {
		n := w.recoveredLeader(before)
		return n != nil && n.scheduler.Counters().Granted > before[n.name].Granted
	}, func(int) int { return 4 }},
}

// Reports of earlier leaders, sessions and attempts, among them some that never arrived,
// reach all controllers within a moment at each stage of a take-over, and once more a
// lease later: none starts, ends, settles, renews or clears anything that is newer.
func TestStaleHeartbeatsAtEachStageOfFailover(t *testing.T) {
	for _, s := range failoverStages {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, %d", s.name, seed), func(t *testing.T) {
				onCluster(t, 1200+seed, 3, 6, func(w *cluster) { playStaleReports(t, w, &s) })
			})
		}
	}
}

func playStaleReports(t *testing.T, w *cluster, s *failoverStage) {
	w.submit("j-80", 6)
	w.submit("j-1", 400)
	var held []*wire.Report // on their way until the next leader acts
	live := func(seconds int) {
		for range seconds {
			w.mu.Lock()
			rep := w.workers[w.rnd.IntN(3)].Report()
			rep.Endpoint = rep.Machine
			held = append(held, rep)
			w.mu.Unlock()
			w.live(1)
		}
	}
	live(8)
	// An earlier session and attempts, and an earlier leader.
	away := w.workers[0]
	w.cutAll(away.Name, w.names...)
	live(4)
	w.restart(w.leader(), 200*time.Millisecond)
	live(9)
	w.healLinks(away.Name, w.names...)
	live(6)
	// The lost task waits for room among the short ones, which are of the same priority.
	if !w.within(40, func() bool { return w.onMachines("j-80") == 6 && w.leader() != "" }) {
		t.Fatalf("%d of 6 long tasks run before the take-over", w.onMachines("j-80"))
	}
	w.mu.Lock()
	old := append(slices.Clone(held), w.copies...)
	w.mu.Unlock()
	slices.SortStableFunc(old, func(a, b *wire.Report) int { return int(a.Session) - int(b.Session) })
	if w.draw(2) == 0 {
		w.mu.Lock()
		w.rnd.Shuffle(len(old), func(i, j int) { old[i], old[j] = old[j], old[i] })
		w.mu.Unlock()
	}
	again := 0 // starts of the long tasks, which have no reason to start again
	w.onStart = func(_ *testkit.Worker, task string, _ uint64) {
		if uid, _, _ := wire.ParseTask(task); uid == "j-80" {
			again++
		}
	}
	before := map[string]jobstate.Stats{}
	first := w.leader()
	for _, name := range w.names {
		before[name] = w.nodes[name].scheduler.Counters()
	}
	before[first] = jobstate.Stats{}
	w.mu.Lock()
	w.storeLatency = func() time.Duration { return 100 * time.Millisecond }
	w.mu.Unlock()
	w.restart(first, 200*time.Millisecond)
	waited := 0
	wait := func(holds func() bool) bool {
		for ; waited < 400 && !holds(); waited++ {
			if waited%20 == 0 {
				w.exchangeReachability()
			}
			time.Sleep(10 * time.Millisecond)
		}
		return holds()
	}
	if s.reports != nil {
		if !wait(func() bool { return w.recoveredLeader(before) != nil }) {
			t.Fatal("no take-over")
		}
		next := w.recoveredLeader(before).name
		w.exchangeReachability() // all know the leader, and it may answer
		for round := range 4 {
			for i, k := range w.workers {
				if round < s.reports(i) {
					w.sendReportTo(k, next)
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	if !wait(func() bool { return s.reached(w, before) }) {
		t.Fatal("the stage was not reached")
	}
	sessions, tasks := 0, 0
	newest := w.sessionOf(away)
	for _, rep := range old {
		if rep.Machine == away.Name && rep.Session < newest {
			sessions++
			tasks += len(rep.Tasks)
		}
	}
	if sessions == 0 || tasks == 0 || len(held) < 20 {
		t.Errorf("%d reports of an earlier session with %d tasks, %d that never arrived", sessions, tasks, len(held))
	}
	w.deliverReports(old, w.names...)
	w.mu.Lock()
	w.storeLatency = nil
	w.mu.Unlock()
	w.live(4)
	if again > 0 {
		t.Errorf("long tasks started %d times again", again)
	}
	// A lease later, in growing order, when two workers have been unresponsive for as long.
	silent := w.workers[4:6]
	for _, k := range silent {
		w.cutAll(k.Name, w.names...)
	}
	w.live(11)
	w.deliverReports(old, w.names...)
	w.live(1)
	w.deliverReports(old, w.names...)
	for _, k := range silent {
		w.healLinks(k.Name, w.names...)
	}
	if !w.within(200, w.ended("j-1")) {
		t.Error("the short job did not end")
	}
	if !w.within(60, func() bool { return w.onMachines("j-80") == 6 }) {
		t.Errorf("%d of 6 long tasks are on", w.onMachines("j-80"))
	}
}
