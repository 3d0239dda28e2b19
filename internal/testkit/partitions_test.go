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

// bigger makes of a new cluster one with so many controllers and workers.
func (w *cluster) bigger(controllers, workers int) {
	w.names = nil
	for i := range controllers {
		w.names = append(w.names, string(rune('a'+i)))
	}
	for _, k := range w.workers {
		k.Run = variedTime
	}
	for i := len(w.workers); i < workers; i++ {
		w.join(testkit.NewWorker(fmt.Sprintf("n-%d", i), workerLease, variedTime), i)
	}
}

// partition is a cut of links, and what it may cost.
type partition struct {
	name  string
	cut   func(w *cluster, leader string, others []string)
	bound time.Duration
	moves int // transfers at most
}

// cutPeers has the controllers refuse each other.
func (w *cluster) cutPeers() {
	for _, a := range w.names {
		w.cutAll(a, w.others(a)...)
	}
}

// calmGap is the longest time between starts when nothing is cut.
const calmGap = 3 * time.Second

var partitions = []partition{
	{"nothing", func(*cluster, string, []string) {}, calmGap, 0},
	{"the owner loses the state service", func(w *cluster, o string, _ []string) { w.cutAll(o, stateService) }, calmGap, 0},
	{"another loses the state service", func(w *cluster, _ string, x []string) { w.cutAll(x[0], stateService) }, calmGap, 0},
	{"the owner loses the workers", func(w *cluster, o string, _ []string) { w.cutAll(o, w.workerNames()...) }, 5 * time.Second, 1},
	{"another loses the workers", func(w *cluster, _ string, x []string) { w.cutAll(x[0], w.workerNames()...) }, calmGap, 0},
	{"the owner loses its peers", func(w *cluster, o string, x []string) { w.cutAll(o, x...) }, calmGap, 0},
	{"peers refuse each other", func(w *cluster, _ string, _ []string) { w.cutPeers() }, calmGap, 0},
	{"the owner reaches a peer, and is not reached by it", func(w *cluster, o string, x []string) { w.brokenLinks[[2]string{x[0], o}] = true }, calmGap, 0},
	{"the owner loses state service and workers", func(w *cluster, o string, _ []string) { w.cutAll(o, append(w.workerNames(), stateService)...) }, 7 * time.Second, 1},
	{"the owner loses state service and peers", func(w *cluster, o string, x []string) { w.cutAll(o, append(slices.Clone(x), stateService)...) }, 7 * time.Second, 1},
	{"the owner loses everything", func(w *cluster, o string, x []string) {
		w.cutAll(o, append(append(slices.Clone(x), stateService), w.workerNames()...)...)
	}, 12 * time.Second, 1},
	{"peers refuse each other, the owner loses the workers, another the state service", func(w *cluster, o string, x []string) {
		w.cutPeers()
		w.cutAll(o, w.workerNames()...)
		w.cutAll(x[0], stateService)
	}, 12 * time.Second, 1},
	{"the owner loses half of the workers", func(w *cluster, o string, _ []string) {
		w.cutAll(o, w.workerNames()[:len(w.workers)/2]...)
	}, calmGap, 1},
	{"one after the other loses the state service", func(w *cluster, o string, x []string) {
		w.cutAll(o, stateService)
		w.cutAll(x[0], stateService)
	}, calmGap, 0},
	{"everybody but one loses the workers", func(w *cluster, o string, x []string) {
		for _, n := range append([]string{o}, x[1:]...) {
			w.cutAll(n, w.workerNames()...)
		}
	}, 5 * time.Second, 1},
}

// TestEachPartitionRestartsWorkInTime is the table of docs/partitions.md: each cut, at the leader or at
// another controller, with the time from the cut to the next start and the workers
// that may be deleted (none).
func TestEachPartitionRestartsWorkInTime(t *testing.T) {
	for _, controllers := range []int{3, 5} {
		for i := range partitions {
			p := &partitions[i]
			t.Run(fmt.Sprintf("%d: %s", controllers, p.name), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { playPartition(t, p, uint64(100+i), controllers) })
			})
		}
	}
}

// playPartition cuts the links for a minute, and checks what it costs and that it heals.
func playPartition(t *testing.T, p *partition, seed uint64, controllers int) {
	t.Helper()
	w, leader, others, live := settledCluster(t, seed, controllers, 24)
	p.cut(w, leader, others)
	at := time.Now()
	longest := time.Duration(0)
	for last := w.lastStart(); time.Since(at) < 60*time.Second; {
		live(1)
		longest = max(longest, time.Since(last))
		last = w.lastStart()
	}
	if longest > p.bound {
		t.Errorf("%v without a start, not %v", longest, p.bound)
	}
	if w.returnedMachines > 0 {
		t.Errorf("%d machines were returned", w.returnedMachines)
	}
	moves := 0
	for _, n := range w.nodes {
		moves = max(moves, n.member.RecentTransfers(time.Hour))
	}
	if moves > p.moves {
		t.Errorf("%d hand-overs", moves)
	}
	w.healed()
	live(30)
	if time.Since(w.lastStart()) > 3*time.Second || w.returnedMachines > 0 {
		t.Errorf("after the healing: last start %v ago, %d machines returned", time.Since(w.lastStart()), w.returnedMachines)
	}
	w.stopAll()
}

// poll asks a controller for a job as its users' interface does.
func (w *cluster) poll(n *node, uid string) (wire.JobState, bool) {
	if s, ok := n.scheduler.LocalState(uid); ok {
		return s, true
	}
	for _, o := range n.member.ShardLeaders() {
		w.mu.Lock()
		to := w.nodes[o]
		ok := w.reach(n, to)
		w.mu.Unlock()
		if ok && to != n {
			if s, known := to.scheduler.LocalState(uid); known {
				return s, true
			}
		}
	}
	s, err := scheduler.StoredState(context.Background(), n.view, uid)
	return s, err == nil
}

// TestDrawnPartitionsBreakNoRule draws schedules of cuts, crashes, dying workers, workers that nothing
// reaches, late copies of reports and returns within a fraction of a second: a task is
// never on two workers, none that is heard and reached is deleted, every job is known
// to everybody 20 s after the last fault, and every job ends.
func TestDrawnPartitionsBreakNoRule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct{ What, Who, Other, Wait int }
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{rapid.IntRange(0, 12).Draw(rt, "what"), rapid.IntRange(0, 4).Draw(rt, "who"), rapid.IntRange(0, 11).Draw(rt, "other"), rapid.IntRange(0, 12).Draw(rt, "wait")}
		}), 1, 12).Draw(rt, "steps")
		controllers := rapid.IntRange(3, 5).Draw(rt, "controllers")
		seed := rapid.Uint64().Draw(rt, "seed")
		drawnCluster(t, rt, seed, controllers, 12, func(w *cluster) {
			const jobs = 4
			for i := range jobs {
				w.submit(fmt.Sprintf("j-%d", i), 10+30*i)
			}
			w.keepCuts = true
			live := w.live
			live(3)
			for _, st := range steps {
				name := w.names[st.Who%len(w.names)]
				other := w.names[st.Other%len(w.names)]
				k := w.workers[st.Other%len(w.workers)]
				switch st.What {
				case 0:
					w.cutAll(name, stateService)
				case 1:
					w.cutAll(name, w.workerNames()...)
				case 2:
					w.cutAll(name, k.Name)
				case 3:
					w.mu.Lock()
					w.brokenLinks[[2]string{name, other}] = true
					w.mu.Unlock()
				case 4:
					w.restart(name, 0)
				case 5:
					w.healed()
				case 6: // a worker dies: nobody hears it any more
					w.cutAll(k.Name, w.names...)
				case 7:
					w.release()
					for _, n := range w.nodes {
						n.view.Deliver()
					}
				case 8: // its reports arrive, and nothing reaches it
					w.unheard(k, w.names...)
				case 9:
					w.unheard(k, name)
				case 10: // late copies of reports, to whom they were for or not
					w.deliverLateReports(w.nodes[name])
				case 11: // nothing but the workers reach it
					for _, x := range append([]string{stateService}, w.names...) {
						if x != name {
							w.cutAll(name, x)
						}
					}
				case 12: // back within a fraction of a second, twice
					for range 2 {
						w.restart(name, time.Duration(100+50*st.Other)*time.Millisecond)
						time.Sleep(time.Duration(60*st.Wait) * time.Millisecond)
					}
				}
				live(st.Wait)
			}
			w.keepCuts = false
			live(20)
			for i := range jobs {
				// Faults over, every job is known to every controller within 20 s.
				for _, n := range w.names {
					if s, ok := w.poll(w.nodes[n], fmt.Sprintf("j-%d", i)); !ok || s.Stage == wire.StageCancelled {
						w.fail("20 s after the last trouble %s says %+v, %v of job %d", n, s, ok, i)
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
