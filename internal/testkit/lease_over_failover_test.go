package testkit_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// leaderEndCase is a case in which a worker's reports reach no controller any more, and the leader crashes
// before the worker's lease expires or shortly after. Direct commands still reach the worker.
type leaderEndCase struct {
	leaderEndsAfterS int  // seconds from the cut of the worker's link to the leader's crash
	responseLost     bool // the response to the last report before the cut is lost
	lateCopies       bool // copies of earlier reports arrive after the leader's crash
}

// maxFailoverS limits the time, in seconds, from a leader's crash until its successor has polled
// the workers. The successor is the restarted controller, which claims the shards when it has joined.
const maxFailoverS = 4

// stopDueAtLeaderEnd reports whether the leader crashes in the second in which it must stop the tasks
// that can save their state. Then it may crash before it sends the command, and the rest of the lease is too short for the
// successor to detect that the worker's report is overdue.
func (c *leaderEndCase) stopDueAtLeaderEnd() bool {
	const (
		stopBefore    = 4 * time.Second // before the lease expires: the time of the save and of a command
		checkInterval = time.Second     // between the leader's checks for overdue reports
	)
	lastResponse := time.Second // at most this long before the cut
	if c.responseLost {
		lastResponse += time.Second
	}
	rest := workerLease - lastResponse - time.Duration(c.leaderEndsAfterS)*time.Second
	return rest <= stopBefore && rest >= stopBefore-checkInterval
}

func (c *leaderEndCase) name() string {
	return fmt.Sprintf("leader crashes after %d s, response lost %v, late copies %v", c.leaderEndsAfterS, c.responseLost, c.lateCopies)
}

// run runs the case with one job whose tasks can save and one whose tasks can't, and returns the record of their tasks.
func (c *leaderEndCase) run(t *testing.T, w *cluster) *taskTracker {
	const canSave, cannotSave = "j-save", "j-old"
	ledger := w.trackTasks(func(string) time.Duration { return time.Minute }, func(task string) time.Duration {
		if strings.HasPrefix(task, canSave) {
			return time.Second
		}
		return -1
	})
	w.startControllersOneByOne()
	time.Sleep(2 * time.Second)
	for uid, checkpointS := range map[string]float64{canSave: 30, cannotSave: 0} {
		w.recordAcceptedJob(&wire.Job{
			UID: uid, Class: uid, Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 12, CPUs: 1, MemoryGB: 1,
			Image: "i", ImageGB: 0.1, EstimateS: 60, Spot: true, CheckpointIntervalS: checkpointS, CheckpointSaveS: checkpointS / 30,
		})
		w.runFor(1)
	}
	w.runFor(15) // all tasks have run for longer than a lease
	cut := w.workersByJobs(canSave, cannotSave)[0]
	session := w.sessionOf(cut)
	if c.responseLost {
		w.breakLinksTo(cut, w.controllerNames...)
		w.runFor(1)
		w.healAllLinks()
	}
	w.dropReports(cut)
	ledger.markCut(w, cut)
	w.runFor(c.leaderEndsAfterS)
	w.restart(w.leader(), 200*time.Millisecond)
	if c.lateCopies {
		for _, name := range w.controllerNames {
			w.deliverLateReports(w.nodes[name])
		}
	}
	w.runFor(25)
	if w.sessionOf(cut) == session {
		t.Error("the lease did not expire")
	}
	return ledger
}

// A successor that does not know when the lease of an unreachable worker expires might stop the worker's tasks
// without need, stop them too late for a save, or start them late on other workers.
func TestLeaderCrashDuringUnrenewedLease(t *testing.T) {
	for endsAfter := range int(workerLease/time.Second) + 3 {
		for _, c := range []leaderEndCase{
			{endsAfter, false, false}, {endsAfter, true, false}, {endsAfter, false, true}, {endsAfter, true, true},
		} {
			t.Run(c.name(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newCluster(t, 720+uint64(endsAfter))
					w.resize(3, 8)
					w.machineTypes = 8 // so that the other workers have room for the tasks
					w.promptCommands, w.keepBrokenLinks, w.losslessReports = true, true, true
					ledger := c.run(t, w)
					t.Logf("killed %v, stopped %v, longest time until tasks ran elsewhere %v, %d still wait, %d machines deleted",
						ledger.killed, ledger.stopped, ledger.longest, len(ledger.interrupted), w.deletedMachines)
					if ledger.stopped["j-old"] > 0 {
						t.Errorf("%d tasks that can't save were stopped, although they had run for long", ledger.stopped["j-old"])
					}
					if ledger.killed["j-save"] > 0 && !c.stopDueAtLeaderEnd() {
						t.Errorf("%d tasks that can save were killed", ledger.killed["j-save"])
					}
					for uid, longest := range ledger.longest {
						if longest > max(workerLease, time.Duration(endsAfter)*time.Second)+maxFailoverS*time.Second {
							t.Errorf("%v until tasks of %s ran elsewhere", longest, uid)
						}
					}
					if len(ledger.interrupted) > 0 {
						t.Errorf("%d tasks still wait", len(ledger.interrupted))
					}
					ledger.markHealed(w)
					w.healAndAwaitJobs(2)
				})
			})
		}
	}
}
