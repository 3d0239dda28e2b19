package testkit_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// outageJobs is how many jobs with long tasks run.
const outageJobs = 6

// outageAct is what happens at a second.
type outageAct struct{ At, What, Who, Other int }

// outagePhase is a time before an outage, and the outage.
type outagePhase struct {
	Refused, Apart, Alone bool // the leader by the state service, the peers, all but its workers
	Before, Outage        int  // seconds
	Acts                  []outageAct
}

func drawOutagePhases(rt *rapid.T) []outagePhase {
	acts := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) outageAct {
		return outageAct{
			rapid.IntRange(0, 30).Draw(rt, "at"), rapid.IntRange(0, 9).Draw(rt, "what"),
			rapid.IntRange(0, 4).Draw(rt, "who"), rapid.IntRange(0, 11).Draw(rt, "other"),
		}
	}), 1, 7)
	return rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) outagePhase {
		return outagePhase{
			rapid.Bool().Draw(rt, "refused"), rapid.Bool().Draw(rt, "apart"), rapid.Bool().Draw(rt, "alone"),
			rapid.IntRange(0, 16).Draw(rt, "before"), rapid.IntRange(0, 75).Draw(rt, "outage"), acts.Draw(rt, "acts"),
		}
	}), 1, 2).Draw(rt, "phases")
}

// TestDrawnCancelsDuringOutagesAreFinal draws gaps: refusals, cuts between controllers and of workers, cancels,
// outages, ends and returns, at drawn times, and checks them by what users and workers
// saw: every task of a cancelled job is gone in time, no job is called anything else
// after it was called cancelled or done, and what was not cancelled ends.
func TestDrawnCancelsDuringOutagesAreFinal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		phases := drawOutagePhases(rt)
		controllers := rapid.IntRange(3, 5).Draw(rt, "controllers")
		seed := rapid.Uint64().Draw(rt, "seed")
		drawnCluster(t, rt, seed, controllers, 8, func(w *cluster) {
			w.long()
			for i := range outageJobs {
				w.submit(fmt.Sprintf("j-%d", 80+i), 3)
			}
			w.submit("j-1", 20)
			w.keepCuts = true
			w.live(12)
			for i := range phases {
				w.playOutagePhase(&phases[i])
			}
			w.live(25)
			w.checkAfterOutages()
		})
	})
}

// carryOut carries out an act.
func (w *cluster) carryOut(a outageAct, leader string) {
	name, other := w.names[a.Who%len(w.names)], w.names[a.Other%len(w.names)]
	uid := fmt.Sprintf("j-%d", 80+a.Other%outageJobs)
	switch a.What {
	case 0, 1, 2, 3:
		for i := 0; i < 6; i++ {
			if _, ok := w.user(name, http.MethodPost, uid); ok {
				break
			}
			w.live(1)
		}
	case 4:
		w.user(name, http.MethodGet, uid)
	case 5:
		w.restart(name, time.Duration(100+400*a.Other)*time.Millisecond)
	case 6:
		w.healLinks(leader, w.others(leader)...)
	case 7:
		if name != other {
			w.cutAll(name, other)
		}
	case 8:
		w.workersHear(w.names...)
	case 9:
		w.release()
		for _, n := range w.nodes {
			n.view.Deliver()
		}
	}
}

// playOutagePhase plays a phase, after which all links are healed.
func (w *cluster) playOutagePhase(ph *outagePhase) {
	leader := w.names[0]
	for _, n := range w.names {
		if len(w.nodes[n].member.LedShards()) > 0 {
			leader = n
		}
	}
	if ph.Refused {
		w.refuse(leader)
	}
	for _, x := range w.names {
		if ph.Apart && x != leader {
			w.cutAll(leader, x)
		}
	}
	if ph.Alone {
		w.workersHear(leader)
	}
	// Acts come before the outage, and up to 15 s into it.
	left := slices.Clone(ph.Acts)
	for s := 0; s < ph.Before+ph.Outage; s++ {
		if s == ph.Before {
			w.refuse(w.names...)
		}
		for _, a := range left {
			if a.At%(ph.Before+15) == s {
				w.carryOut(a, leader)
			}
		}
		w.live(1)
	}
	w.healed()
	w.live(15)
}

// checkAfterOutages fails if a controller does not know a job, or one that was not cancelled
// does not end.
func (w *cluster) checkAfterOutages() {
	for i := range outageJobs {
		uid := fmt.Sprintf("j-%d", 80+i)
		for _, n := range w.names {
			// An answer that a lost reply made unsure is sure a moment later.
			_, ok := w.user(n, http.MethodGet, uid)
			for range 3 {
				if !ok {
					w.live(1)
					_, ok = w.user(n, http.MethodGet, uid)
				}
			}
			if !ok {
				w.fail("40 s after the last trouble %s says nothing of %s", n, uid)
			}
		}
	}
	for end := time.Now().Add(5 * time.Minute); w.violation == "" && len(w.store.Keys("final/j-1")) < 1 && time.Now().Before(end); {
		w.live(1)
	}
	if w.violation == "" && len(w.store.Keys("final/j-1")) < 1 {
		w.fail("a job that was not cancelled did not end")
	}
}
