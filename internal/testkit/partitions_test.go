package testkit_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

func (w *cluster) workerNames() (names []string) {
	for _, k := range w.workers {
		names = append(names, k.Name)
	}
	return names
}

// resize sets the number of controllers, and adds workers up to the given number. It must be called before the
// controllers start.
func (w *cluster) resize(controllers, workers int) {
	w.controllerNames = nil
	for i := range controllers {
		w.controllerNames = append(w.controllerNames, string(rune('a'+i)))
	}
	for _, k := range w.workers {
		k.RunTime = variedTaskDuration
	}
	for i := len(w.workers); i < workers; i++ {
		w.registerWorker(testkit.NewWorker(fmt.Sprintf("n-%d", i), workerLease, variedTaskDuration), i)
	}
}

// partition is a set of broken links, and the limits of its effects.
type partition struct {
	name         string
	cut          func(w *cluster, leader string, others []string)
	maxStartGap  time.Duration
	maxTransfers int // shard transfers per controller
}

// cutPeers breaks all links between controllers.
func (w *cluster) cutPeers() {
	for _, a := range w.controllerNames {
		w.breakLinks(a, w.otherControllers(a)...)
	}
}

// normalStartGap limits the time between task starts when no links are broken.
const normalStartGap = 3 * time.Second

var partitions = []partition{
	{"nothing", func(*cluster, string, []string) {}, normalStartGap, 0},
	{"the owner loses the state service", func(w *cluster, leader string, _ []string) { w.breakLinks(leader, stateService) }, normalStartGap, 0},
	{"another loses the state service", func(w *cluster, _ string, others []string) { w.breakLinks(others[0], stateService) }, normalStartGap, 0},
	{"the owner loses the workers", func(w *cluster, leader string, _ []string) { w.breakLinks(leader, w.workerNames()...) }, 5 * time.Second, 1},
	{"another loses the workers", func(w *cluster, _ string, others []string) { w.breakLinks(others[0], w.workerNames()...) }, normalStartGap, 0},
	{"the owner loses its peers", func(w *cluster, leader string, others []string) { w.breakLinks(leader, others...) }, normalStartGap, 0},
	{"peers refuse each other", func(w *cluster, _ string, _ []string) { w.cutPeers() }, normalStartGap, 0},
	{"the owner reaches a peer, and is not reached by it", func(w *cluster, leader string, others []string) { w.brokenLinks[[2]string{others[0], leader}] = true }, normalStartGap, 0},
	{"the owner loses state service and workers", func(w *cluster, leader string, _ []string) {
		w.breakLinks(leader, append(w.workerNames(), stateService)...)
	}, 7 * time.Second, 1},
	{"the owner loses state service and peers", func(w *cluster, leader string, others []string) {
		w.breakLinks(leader, append(slices.Clone(others), stateService)...)
	}, 7 * time.Second, 1},
	{"the owner loses everything", func(w *cluster, leader string, others []string) {
		w.breakLinks(leader, append(append(slices.Clone(others), stateService), w.workerNames()...)...)
	}, 12 * time.Second, 1},
	{"peers refuse each other, the owner loses the workers, another the state service", func(w *cluster, leader string, others []string) {
		w.cutPeers()
		w.breakLinks(leader, w.workerNames()...)
		w.breakLinks(others[0], stateService)
	}, 12 * time.Second, 1},
	{"the owner loses half of the workers", func(w *cluster, leader string, _ []string) {
		w.breakLinks(leader, w.workerNames()[:len(w.workers)/2]...)
	}, normalStartGap, 1},
	{"one after the other loses the state service", func(w *cluster, leader string, others []string) {
		w.breakLinks(leader, stateService)
		w.breakLinks(others[0], stateService)
	}, normalStartGap, 0},
	{"everybody but one loses the workers", func(w *cluster, leader string, others []string) {
		for _, n := range append([]string{leader}, others[1:]...) {
			w.breakLinks(n, w.workerNames()...)
		}
	}, 5 * time.Second, 1},
}

// TestEachPartitionRestartsWorkInTime checks the table of docs/partitions.md: for each partition, at the leader
// or at another controller, it limits the time between task starts and the number of transfers, and no machine may
// be deleted.
func TestEachPartitionRestartsWorkInTime(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		for i := range partitions {
			p := &partitions[i]
			t.Run(fmt.Sprintf("%d: %s", controllers, p.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runPartition(t, p, uint64(100+i), controllers) })
			})
		}
	}
}

// runPartition breaks the links for a minute, and checks the limits and the recovery.
func runPartition(t *testing.T, p *partition, seed uint64, controllers int) {
	t.Helper()
	w, leader, others, live := settledCluster(t, seed, controllers, 24)
	p.cut(w, leader, others)
	cutAt := time.Now()
	longest := time.Duration(0)
	for last := w.lastStartTime(); time.Since(cutAt) < 60*time.Second; {
		live(1)
		longest = max(longest, time.Since(last))
		last = w.lastStartTime()
	}
	if longest > p.maxStartGap {
		t.Errorf("%v without a task start, the limit is %v", longest, p.maxStartGap)
	}
	if w.deletedMachines > 0 {
		t.Errorf("%d machines were deleted", w.deletedMachines)
	}
	transfers := 0
	for _, n := range w.nodes {
		transfers = max(transfers, n.member.RecentTransfers(time.Hour))
	}
	if transfers > p.maxTransfers {
		t.Errorf("%d transfers", transfers)
	}
	w.healAllLinks()
	live(30)
	if time.Since(w.lastStartTime()) > 3*time.Second || w.deletedMachines > 0 {
		t.Errorf("after the links were restored: last start %v ago, %d machines deleted", time.Since(w.lastStartTime()), w.deletedMachines)
	}
	w.stopAll()
}

// poll queries a job's state at a controller as the HTTP API does: at the controller itself, the leaders, then the store.
func (w *cluster) poll(n *node, uid string) (wire.JobState, bool) {
	if s, ok := n.scheduler.LocalState(uid); ok {
		return s, true
	}
	for _, leader := range n.member.ShardLeaders() {
		w.mu.Lock()
		to := w.nodes[leader]
		ok := w.reaches(n, to)
		w.mu.Unlock()
		if ok && to != n {
			if s, known := to.scheduler.LocalState(uid); known {
				return s, true
			}
		}
	}
	s, err := scheduler.ReadStoredState(context.Background(), n.view, uid)
	return s, err == nil
}

// TestDrawnPartitionsBreakNoRule runs random sequences of broken links, crashes, dead workers, workers that
// can't be reached, late copies of reports, and restarts within a fraction of a second. A task never runs
// on two workers, no worker that is reachable in both directions is deleted, all controllers know every job
// 20 s after the last fault, and every job ends.
func TestDrawnPartitionsBreakNoRule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct{ Fault, Controller, Other, Wait int } // Other selects a controller or a worker, Wait is in seconds
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{rapid.IntRange(0, 12).Draw(rt, "what"), rapid.IntRange(0, 4).Draw(rt, "who"), rapid.IntRange(0, 11).Draw(rt, "other"), rapid.IntRange(0, 12).Draw(rt, "wait")}
		}), 1, 12).Draw(rt, "steps")
		controllers := rapid.IntRange(3, 5).Draw(rt, "controllers")
		seed := rapid.Uint64().Draw(rt, "seed")
		runDrawnCase(t, rt, seed, controllers, 12, func(w *cluster) {
			const jobs = 4
			for i := range jobs {
				w.submit(fmt.Sprintf("j-%d", i), 10+30*i)
			}
			w.keepBrokenLinks = true
			live := w.runFor
			live(3)
			for _, st := range steps {
				name := w.controllerNames[st.Controller%len(w.controllerNames)]
				other := w.controllerNames[st.Other%len(w.controllerNames)]
				k := w.workers[st.Other%len(w.workers)]
				switch st.Fault {
				case 0:
					w.breakLinks(name, stateService)
				case 1:
					w.breakLinks(name, w.workerNames()...)
				case 2:
					w.breakLinks(name, k.Name)
				case 3:
					w.mu.Lock()
					w.brokenLinks[[2]string{name, other}] = true
					w.mu.Unlock()
				case 4:
					w.restart(name, 0)
				case 5:
					w.healAllLinks()
				case 6: // a worker dies: no controller reaches it or receives its reports
					w.breakLinks(k.Name, w.controllerNames...)
				case 7:
					w.deliverHeldCommands()
					for _, n := range w.nodes {
						n.view.ApplyHeld()
					}
				case 8: // its reports arrive, but no responses or commands reach it
					w.breakLinksTo(k, w.controllerNames...)
				case 9:
					w.breakLinksTo(k, name)
				case 10: // late copies of reports arrive, at their receiver or another controller
					w.deliverLateReports(w.nodes[name])
				case 11: // the controller is cut off from all but the workers
					for _, x := range append([]string{stateService}, w.controllerNames...) {
						if x != name {
							w.breakLinks(name, x)
						}
					}
				case 12: // it restarts twice, within a fraction of a second
					for range 2 {
						w.restart(name, time.Duration(100+50*st.Other)*time.Millisecond)
						time.Sleep(time.Duration(60*st.Wait) * time.Millisecond)
					}
				}
				live(st.Wait)
			}
			w.keepBrokenLinks = false
			live(20)
			for i := range jobs {
				// 20 s after the last fault all controllers must know every job.
				for _, n := range w.controllerNames {
					if s, ok := w.poll(w.nodes[n], fmt.Sprintf("j-%d", i)); !ok || s.Stage == wire.StageCancelled {
						w.fail("20 s after the last fault %s returns %+v, %v for job %d", n, s, ok, i)
					}
				}
			}
			for end := time.Now().Add(10 * time.Minute); w.violation == "" && len(w.store.Keys("final/")) < jobs && time.Now().Before(end); {
				live(1)
			}
			if n := len(w.store.Keys("final/")); n < jobs && w.violation == "" {
				w.fail("%d of %d jobs ended", n, jobs)
			}
		})
	})
}
