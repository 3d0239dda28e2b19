package testkit_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// outageJobs is the number of jobs with long tasks.
const outageJobs = 6

// outageAction is a user's request, a fault or its end in the given second of a phase.
type outageAction struct{ Second, Kind, Controller, Target int }

// outagePhase is the time before an outage of the state service and the outage itself.
type outagePhase struct {
	LeaderCutFromStore, LeaderCutFromPeers, WorkersReachOnlyLeader bool // links that are broken from the start of the phase
	SecondsBefore, OutageSeconds                                   int
	Actions                                                        []outageAction
}

func drawOutagePhases(rt *rapid.T) []outagePhase {
	acts := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) outageAction {
		return outageAction{
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

// TestDrawnCancelsDuringOutagesAreFinal draws broken links between controllers, workers and the state
// service, cancels, outages and restarts at drawn times. It checks what users and workers saw: every
// task of a cancelled job is stopped in time, no job is reported in another stage after it was
// reported as cancelled or done, and every job that was not cancelled ends.
func TestDrawnCancelsDuringOutagesAreFinal(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		phases := drawOutagePhases(rt)
		controllers := rapid.IntRange(3, 5).Draw(rt, "controllers")
		seed := rapid.Uint64().Draw(rt, "seed")
		runDrawnCase(t, rt, seed, controllers, 8, func(w *cluster) {
			w.setLongTasks()
			for i := range outageJobs {
				w.submit(fmt.Sprintf("j-%d", 80+i), 3)
			}
			w.submit("j-1", 20)
			w.keepBrokenLinks = true
			w.runFor(12)
			for i := range phases {
				w.playOutagePhase(&phases[i])
			}
			w.runFor(25)
			w.checkAfterOutages()
		})
	})
}

// performAction performs an action of a phase in which leader leads.
func (w *cluster) performAction(a outageAction, leader string) {
	name, other := w.controllerNames[a.Controller%len(w.controllerNames)], w.controllerNames[a.Target%len(w.controllerNames)]
	uid := fmt.Sprintf("j-%d", 80+a.Target%outageJobs)
	switch a.Kind {
	case 0, 1, 2, 3:
		for i := 0; i < 6; i++ {
			if _, ok := w.userRequest(name, http.MethodPost, uid); ok {
				break
			}
			w.runFor(1)
		}
	case 4:
		w.userRequest(name, http.MethodGet, uid)
	case 5:
		w.restart(name, time.Duration(100+400*a.Target)*time.Millisecond)
	case 6:
		w.healLinks(leader, w.otherControllers(leader)...)
	case 7:
		if name != other {
			w.breakLinks(name, other)
		}
	case 8:
		w.connectWorkersOnlyTo(w.controllerNames...)
	case 9:
		w.deliverHeldCommands()
		for _, n := range w.nodes {
			n.view.ApplyHeld()
		}
	}
}

// playOutagePhase plays a phase, and heals all links at its end.
func (w *cluster) playOutagePhase(phase *outagePhase) {
	leader := w.controllerNames[0]
	for _, n := range w.controllerNames {
		if len(w.nodes[n].member.LedShards()) > 0 {
			leader = n
		}
	}
	if phase.LeaderCutFromStore {
		w.cutFromStateService(leader)
	}
	for _, peer := range w.controllerNames {
		if phase.LeaderCutFromPeers && peer != leader {
			w.breakLinks(leader, peer)
		}
	}
	if phase.WorkersReachOnlyLeader {
		w.connectWorkersOnlyTo(leader)
	}
	// Actions happen before the outage, or in its first 15 s.
	actions := slices.Clone(phase.Actions)
	for second := 0; second < phase.SecondsBefore+phase.OutageSeconds; second++ {
		if second == phase.SecondsBefore {
			w.cutFromStateService(w.controllerNames...)
		}
		for _, a := range actions {
			if a.Second%(phase.SecondsBefore+15) == second {
				w.performAction(a, leader)
			}
		}
		w.runFor(1)
	}
	w.healAllLinks()
	w.runFor(15)
}

// checkAfterOutages fails if a controller does not answer for a job, or if the job that was not
// cancelled does not end.
func (w *cluster) checkAfterOutages() {
	for i := range outageJobs {
		uid := fmt.Sprintf("j-%d", 80+i)
		for _, n := range w.controllerNames {
			// A controller that could not answer because a reply was lost can do so a moment later.
			_, ok := w.userRequest(n, http.MethodGet, uid)
			for range 3 {
				if !ok {
					w.runFor(1)
					_, ok = w.userRequest(n, http.MethodGet, uid)
				}
			}
			if !ok {
				w.fail("40 s after the last fault %s does not answer for %s", n, uid)
			}
		}
	}
	for end := time.Now().Add(5 * time.Minute); w.violation == "" && len(w.store.Keys("final/j-1")) < 1 && time.Now().Before(end); {
		w.runFor(1)
	}
	if w.violation == "" && len(w.store.Keys("final/j-1")) < 1 {
		w.fail("a job that was not cancelled did not end")
	}
}
