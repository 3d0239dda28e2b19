package testkit_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// leaderEndCase is a worker that reaches no controller any more, whose leader ends at some
// moment of its lease. Direct commands reach the worker.
type leaderEndCase struct {
	leaderEndsAfterS int  // seconds from the cut to the leader's end
	responseLost     bool // of the last report before the cut
	lateCopies       bool // copies of earlier reports arrive after the leader's end
}

// maxFailoverS bounds, in seconds, the time from a leader's end until its successor has polled
// the workers: the restarted controller claims the shards when it has joined.
const maxFailoverS = 4

// stopDueAtLeaderEnd reports whether the leader ends in the second in which it is to stop the tasks
// that save: its command may not leave any more, and the rest of the lease is too short for a
// successor to find out that the worker's report is overdue.
func (c *leaderEndCase) stopDueAtLeaderEnd() bool {
	const (
		stopBefore = 4 * time.Second // the lease's end: the save, and the time that a command takes
		look       = time.Second     // between the leader's looks
	)
	lastAnswer := time.Second // before the cut, at most
	if c.responseLost {
		lastAnswer += time.Second
	}
	rest := workerLease - lastAnswer - time.Duration(c.leaderEndsAfterS)*time.Second
	return rest <= stopBefore && rest >= stopBefore-look
}

func (c *leaderEndCase) name() string {
	return fmt.Sprintf("ends after %d s, answer lost %v, copies %v", c.leaderEndsAfterS, c.responseLost, c.lateCopies)
}

// run plays the scene with jobs that save and jobs that don't, and returns the ledger of their
// tasks.
func (c *leaderEndCase) run(t *testing.T, w *cluster) *workLedger {
	const savers, old = "j-save", "j-old"
	ledger := w.follow(func(string) time.Duration { return time.Minute }, func(task string) time.Duration {
		if strings.HasPrefix(task, savers) {
			return time.Second
		}
		return -1
	})
	w.startInTurn()
	time.Sleep(2 * time.Second)
	for uid, mark := range map[string]float64{savers: 30, old: 0} {
		w.accept(&wire.Job{
			UID: uid, Class: uid, Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 12, CPUs: 1, MemoryGB: 1,
			Image: "i", ImageGB: 0.1, EstimateS: 60, Spot: true, CheckpointIntervalS: mark, CheckpointSaveS: mark / 30,
		})
		w.live(1)
	}
	w.live(15) // all run for longer than a lease
	cut := w.byJobs(savers, old)[0]
	session := w.session(cut)
	if c.responseLost {
		w.unheard(cut, w.names...)
		w.live(1)
		w.healed()
	}
	w.unreported(cut)
	ledger.cutOff(w, cut)
	w.live(c.leaderEndsAfterS)
	w.restart(w.leader(), 200*time.Millisecond)
	if c.lateCopies {
		for _, name := range w.names {
			w.deliverCopies(w.nodes[name])
		}
	}
	w.live(25)
	if w.session(cut) == session {
		t.Error("the lease did not end")
	}
	return ledger
}

// Guards against tasks that a successor stops, kills or starts late, as it does not know the
// lease of a worker that reaches no controller.
func TestLeaderCrashDuringUnrenewedLease(t *testing.T) {
	for endsAfter := range int(workerLease/time.Second) + 3 {
		for _, c := range []leaderEndCase{
			{endsAfter, false, false}, {endsAfter, true, false}, {endsAfter, false, true}, {endsAfter, true, true},
		} {
			t.Run(c.name(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newCluster(t, 720+uint64(endsAfter))
					w.resize(3, 8)
					w.size = 8 // so that there is room elsewhere
					w.promptCommands, w.keepCuts, w.losslessReports = true, true, true
					ledger := c.run(t, w)
					t.Logf("killed %v, stopped %v, %v until all ran elsewhere, %d still wait, %d returned",
						ledger.killed, ledger.stopped, ledger.longest, len(ledger.left), w.returnedMachines)
					if ledger.stopped["j-old"] > 0 {
						t.Errorf("%d tasks that had run for long and can't save were stopped", ledger.stopped["j-old"])
					}
					if ledger.killed["j-save"] > 0 && !c.stopDueAtLeaderEnd() {
						t.Errorf("%d tasks that can save were killed", ledger.killed["j-save"])
					}
					for uid, longest := range ledger.longest {
						if longest > max(workerLease, time.Duration(endsAfter)*time.Second)+maxFailoverS*time.Second {
							t.Errorf("%v until tasks of %s ran elsewhere", longest, uid)
						}
					}
					if len(ledger.left) > 0 {
						t.Errorf("%d tasks still wait", len(ledger.left))
					}
					ledger.healed(w)
					w.finishes(2)
				})
			})
		}
	}
}
