package testkit_test

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// leaseOverFailover is a worker that reaches no controller any more, whose leader ends at some
// moment of its lease. Direct commands reach the worker.
type leaseOverFailover struct {
	endsAfter  int  // seconds from the cut to the leader's end
	answerLost bool // of the last report before the cut
	copies     bool // copies of earlier reports arrive after the leader's end
}

// failoverTakes bounds, in seconds, the time from a leader's end until its successor has polled
// the workers: the restarted controller claims the shards when it has joined.
const failoverTakes = 4

// stopFallsBetween reports whether the leader ends in the second in which it is to stop the tasks
// that save: its command may not leave any more, and the rest of the lease is too short for a
// successor to find out that the worker's report is overdue.
func (c *leaseOverFailover) stopFallsBetween() bool {
	const (
		stopBefore = 4 * time.Second // the lease's end: the save, and the time that a command takes
		look       = time.Second     // between the leader's looks
	)
	lastAnswer := time.Second // before the cut, at most
	if c.answerLost {
		lastAnswer += time.Second
	}
	rest := workerLease - lastAnswer - time.Duration(c.endsAfter)*time.Second
	return rest <= stopBefore && rest >= stopBefore-look
}

func (c *leaseOverFailover) name() string {
	return fmt.Sprintf("ends after %d s, answer lost %v, copies %v", c.endsAfter, c.answerLost, c.copies)
}

// play plays the scene with jobs that save and jobs that don't, and returns the ledger of their
// tasks.
func (c *leaseOverFailover) play(t *testing.T, w *cluster) *taskTracker {
	const savers, old = "j-save", "j-old"
	ledger := w.trackTasks(func(string) time.Duration { return time.Minute }, func(task string) time.Duration {
		if strings.HasPrefix(task, savers) {
			return time.Second
		}
		return -1
	})
	w.startInTurn()
	time.Sleep(2 * time.Second)
	for uid, mark := range map[string]float64{savers: 30, old: 0} {
		w.recordAcceptedJob(&wire.Job{
			UID: uid, Class: uid, Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 12, CPUs: 1, MemoryGB: 1,
			Image: "i", ImageGB: 0.1, EstimateS: 60, Spot: true, CheckpointIntervalS: mark, CheckpointSaveS: mark / 30,
		})
		w.live(1)
	}
	w.live(15) // all run for longer than a lease
	cut := w.workersByJobs(savers, old)[0]
	session := w.sessionOf(cut)
	if c.answerLost {
		w.unheard(cut, w.names...)
		w.live(1)
		w.healed()
	}
	w.dropReports(cut)
	ledger.markCut(w, cut)
	w.live(c.endsAfter)
	w.restart(w.leader(), 200*time.Millisecond)
	if c.copies {
		for _, name := range w.names {
			w.deliverLateReports(w.nodes[name])
		}
	}
	w.live(25)
	if w.sessionOf(cut) == session {
		t.Error("the lease did not end")
	}
	return ledger
}

// Guards against tasks that a successor stops, kills or starts late, as it does not know the
// lease of a worker that reaches no controller.
func TestLeaderEndsDuringUnrenewedLease(t *testing.T) {
	for endsAfter := range int(workerLease/time.Second) + 3 {
		for _, c := range []leaseOverFailover{
			{endsAfter, false, false}, {endsAfter, true, false}, {endsAfter, false, true}, {endsAfter, true, true},
		} {
			t.Run(c.name(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := newCluster(t, 720+uint64(endsAfter))
					w.bigger(3, 8)
					w.size = 8 // so that there is room elsewhere
					w.promptCommands, w.keepCuts, w.losslessReports = true, true, true
					ledger := c.play(t, w)
					t.Logf("killed %v, stopped %v, %v until all ran elsewhere, %d still wait, %d returned",
						ledger.killed, ledger.stopped, ledger.longest, len(ledger.interrupted), w.returnedMachines)
					if ledger.stopped["j-old"] > 0 {
						t.Errorf("%d tasks that had run for long and can't save were stopped", ledger.stopped["j-old"])
					}
					if ledger.killed["j-save"] > 0 && !c.stopFallsBetween() {
						t.Errorf("%d tasks that can save were killed", ledger.killed["j-save"])
					}
					for uid, longest := range ledger.longest {
						if longest > max(workerLease, time.Duration(endsAfter)*time.Second)+failoverTakes*time.Second {
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
