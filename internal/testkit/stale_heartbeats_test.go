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

// deliverReports delivers reports to several controllers at the same time, to each in the given
// order, and drops the responses. It returns how many were accepted, summed over the controllers.
func (w *cluster) deliverReports(reports []*wire.Report, to ...string) (accepted int) {
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
					accepted++
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	w.checkInvariants()
	return accepted
}

// sendReportTo has a worker report to the given controller and handle the response. No message is
// lost. It returns the report.
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
		k.HandleResponse(sent, rep.Session, a)
	}
	return rep
}

// A report from a worker's earlier session is delayed until the next leader has read the records,
// and arrives there before any newer report. The leader relies on the state of an attempt in the
// report, so that attempt must not have been started again in the worker's later session.
func TestDelayedHeartbeatOfEarlierSessionIsIgnored(t *testing.T) {
	for _, ended := range []bool{false, true} {
		t.Run(fmt.Sprintf("attempt ended in it: %v", ended), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newCluster(t, 1)
				w.resize(3, 2)
				w.workers = w.workers[:2]
				w.losslessReports, w.keepBrokenLinks = true, true
				k, other := w.workers[0], w.workers[1]
				runs := 0
				for _, x := range w.workers {
					x.RunTime = func(string) time.Duration {
						if runs++; runs == 1 && ended {
							return time.Second
						}
						return time.Hour
					}
				}
				k.ExitCode = func(string) int { return 3 }
				w.startControllersOneByOne()
				time.Sleep(2 * time.Second)
				w.exchangeReachability()
				first := w.leader()
				w.submit("j-80", 1)
				// The task starts on the first worker through the response to a report. Direct
				// commands are blocked, since their responses would report the start to the leader.
				w.breakLinksTo(k, w.controllerNames...)
				for range 10 {
					w.sendReportTo(k, first)
					if w.unfinishedTasks("j-80") == 1 {
						break
					}
					time.Sleep(500 * time.Millisecond)
				}
				if w.unfinishedTasks("j-80") != 1 {
					t.Fatal("the task did not start")
				}
				renewed := time.Now()
				time.Sleep(2 * time.Second)
				w.mu.Lock()
				delayed := k.Report() // delivered to the next leader
				delayed.Endpoint = k.Name
				w.mu.Unlock()
				if len(delayed.Tasks) != 1 || (delayed.Tasks[0].State == wire.TaskExited) != ended {
					t.Fatalf("the delayed report lists tasks %+v", delayed.Tasks)
				}
				time.Sleep(time.Until(renewed.Add(workerLease + 20*time.Millisecond)))
				var copies []*wire.Report
				for range 6 { // in the new session the task starts again
					copies = append(copies, w.sendReportTo(k, first))
					if w.unfinishedTasks("j-80") == 1 {
						break
					}
					time.Sleep(300 * time.Millisecond)
				}
				if w.unfinishedTasks("j-80") != 1 || copies[0].Session != delayed.Session+1 {
					t.Fatalf("%d tasks running, session %d after session %d", w.unfinishedTasks("j-80"), copies[0].Session, delayed.Session)
				}
				// From now on no newer report of the worker arrives, while its task continues.
				w.breakLinks(k.Name, w.controllerNames...)
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
				if w.deliverReports(append([]*wire.Report{delayed}, copies...), w.controllerNames...) == 0 {
					t.Error("no controller accepted the delayed report")
				}
				for range 6 {
					w.sendReportTo(other, next)
					w.checkInvariants()
					time.Sleep(300 * time.Millisecond)
				}
				w.stopAll()
			})
		})
	}
}

// failoverStage is a stage of a failover to a new leader.
type failoverStage struct {
	name    string
	reached func(w *cluster, before map[string]jobstate.Stats) bool
	reports func(k int) int // reports that the k-th worker has sent to the new leader by then; nil: no worker sent any
}

// recoveredLeader returns the leader that has completed a failover, and thus read the records,
// since the given counters were taken. It returns nil if there is none yet.
func (w *cluster) recoveredLeader(before map[string]jobstate.Stats) *node {
	for _, name := range w.controllerNames {
		if n := w.nodes[name]; !n.down && len(n.member.LedShards()) > 0 && n.scheduler.Counters().Failovers > before[name].Failovers {
			return n
		}
	}
	return nil
}

// anyShardClaimed reports whether any running controller has claimed shards.
func (w *cluster) anyShardClaimed() bool {
	return slices.ContainsFunc(w.controllerNames, func(name string) bool { return !w.nodes[name].down && len(w.nodes[name].member.ClaimedShards()) > 0 })
}

// unheardWorkers returns how many workers had tasks according to the records, and from how many of
// them the new leader has not received a report yet.
func (w *cluster) unheardWorkers(before map[string]jobstate.Stats) (recorded, unheard int) {
	n := w.recoveredLeader(before)
	if n == nil {
		return 0, 0
	}
	_, recorded, unheard = n.scheduler.FailoverProgress()
	return recorded, unheard
}

// failoverStages lists the stages of a failover in their order.
var failoverStages = []failoverStage{
	{"before the claim", func(w *cluster, _ map[string]jobstate.Stats) bool { return !w.anyShardClaimed() }, nil},
	{"claimed, records not read", func(w *cluster, before map[string]jobstate.Stats) bool {
		return w.anyShardClaimed() && w.recoveredLeader(before) == nil
	}, nil},
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

// Reports from the time of earlier leaders, sessions and attempts, some of them delivered for the
// first time, reach all controllers at once at each stage of a failover, and again one worker
// lease later. None of them may start, end, settle, renew or clear a newer attempt or session.
func TestStaleHeartbeatsAtEachStageOfFailover(t *testing.T) {
	for _, s := range failoverStages {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s, %d", s.name, seed), func(t *testing.T) {
				runOnCluster(t, 1200+seed, 3, 6, func(w *cluster) { playStaleReports(t, w, &s) })
			})
		}
	}
}

func playStaleReports(t *testing.T, w *cluster, s *failoverStage) {
	w.submit("j-80", 6)
	w.submit("j-1", 400)
	var undelivered []*wire.Report // delivered only during the failover
	live := func(seconds int) {
		for range seconds {
			w.mu.Lock()
			rep := w.workers[w.messageRand.IntN(3)].Report()
			rep.Endpoint = rep.Machine
			undelivered = append(undelivered, rep)
			w.mu.Unlock()
			w.runFor(1)
		}
	}
	live(8)
	// Create reports of an earlier session, of earlier attempts and from the time of an earlier
	// leader.
	isolated := w.workers[0]
	w.breakLinks(isolated.Name, w.controllerNames...)
	live(4)
	w.restart(w.leader(), 200*time.Millisecond)
	live(9)
	w.healLinks(isolated.Name, w.controllerNames...)
	live(6)
	// The task that was lost with the isolated worker's lease waits for free capacity among the
	// short tasks of the same priority.
	if !w.runUntil(40, func() bool { return w.unfinishedTasks("j-80") == 6 && w.leader() != "" }) {
		t.Fatalf("only %d of 6 long tasks run before the failover", w.unfinishedTasks("j-80"))
	}
	w.mu.Lock()
	old := append(slices.Clone(undelivered), w.reportCopies...)
	w.mu.Unlock()
	slices.SortStableFunc(old, func(a, b *wire.Report) int { return int(a.Session) - int(b.Session) })
	if w.planIntN(2) == 0 {
		w.mu.Lock()
		w.messageRand.Shuffle(len(old), func(i, j int) { old[i], old[j] = old[j], old[i] })
		w.mu.Unlock()
	}
	restarts := 0 // starts of long tasks from now on: all of them are running already
	w.onStart = func(_ *testkit.Worker, task string, _ uint64) {
		if uid, _, _ := wire.ParseTask(task); uid == "j-80" {
			restarts++
		}
	}
	before := map[string]jobstate.Stats{}
	first := w.leader()
	for _, name := range w.controllerNames {
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
			t.Fatal("no failover took place")
		}
		next := w.recoveredLeader(before).name
		w.exchangeReachability() // all controllers know the leader, and it may answer workers
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
		t.Fatal("the failover did not reach the stage")
	}
	sessions, tasks := 0, 0
	newest := w.sessionOf(isolated)
	for _, rep := range old {
		if rep.Machine == isolated.Name && rep.Session < newest {
			sessions++
			tasks += len(rep.Tasks)
		}
	}
	if sessions == 0 || tasks == 0 || len(undelivered) < 20 {
		t.Errorf("too few stale reports: %d of an earlier session with %d tasks, %d undelivered", sessions, tasks, len(undelivered))
	}
	w.deliverReports(old, w.controllerNames...)
	w.mu.Lock()
	w.storeLatency = nil
	w.mu.Unlock()
	w.runFor(4)
	if restarts > 0 {
		t.Errorf("long tasks were started again %d times", restarts)
	}
	// Deliver the reports again one worker lease later, when two workers have been unresponsive for
	// that long.
	silent := w.workers[4:6]
	for _, k := range silent {
		w.breakLinks(k.Name, w.controllerNames...)
	}
	w.runFor(11)
	w.deliverReports(old, w.controllerNames...)
	w.runFor(1)
	w.deliverReports(old, w.controllerNames...)
	for _, k := range silent {
		w.healLinks(k.Name, w.controllerNames...)
	}
	if !w.runUntil(200, w.jobsEnded("j-1")) {
		t.Error("the short job did not end")
	}
	if !w.runUntil(60, func() bool { return w.unfinishedTasks("j-80") == 6 }) {
		t.Errorf("%d of 6 long tasks are running", w.unfinishedTasks("j-80"))
	}
}
