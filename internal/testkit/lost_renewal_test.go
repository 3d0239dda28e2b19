package testkit_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// Guards against a lease that the leader counts from an answer which its worker never got.

// Tasks that save are stopped in time although the last answer before a worker's reports stop
// was lost, and none is started that its lease kills.
func TestTasksAreSavedAlthoughLastAnswerWasLost(t *testing.T) {
	const savers, tiny = "j-save", "j-tiny"
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 710)
		w.bigger(3, 8)
		w.size = 8
		w.promptCommands, w.keepCuts, w.unlisted, w.losslessReports = true, true, true, true
		ledger := w.trackTasks(func(task string) time.Duration {
			if task[:len(tiny)] == tiny {
				return time.Second
			}
			return time.Minute
		}, func(string) time.Duration { return time.Second })
		w.startInTurn()
		time.Sleep(2 * time.Second)
		w.recordAcceptedJob(&wire.Job{
			UID: savers, Class: savers, Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 16, CPUs: 1, MemoryGB: 1,
			Image: "i", ImageGB: 0.1, EstimateS: 60, Spot: true, CheckpointIntervalS: 30, CheckpointSaveS: 1,
		})
		w.live(8)
		w.recordAcceptedJob(&wire.Job{
			UID: tiny, Class: tiny, Team: "t", Kind: wire.KindArray, Priority: "low", Tasks: 4000, CPUs: 1, MemoryGB: 1,
			Image: "i", ImageGB: 0.1, EstimateS: 1, Spot: true,
		})
		w.live(3)
		cut := w.workersByJobs(savers)[0]
		session := w.sessionOf(cut)
		w.dropReports(cut)
		ledger.markCut(w, cut)
		w.live(len(w.names)) // its reports to all are lost: it is back at the leader then
		w.healed()
		w.unheard(cut, w.names...)
		w.live(1) // this one is answered, and the answer is lost
		w.healed()
		w.dropReports(cut)
		w.live(12)
		if w.sessionOf(cut) == session {
			t.Error("the lease did not end")
		}
		t.Logf("killed %v, stopped %v, %d of %d late starts killed", ledger.killed, ledger.stopped, ledger.lateKilled, len(ledger.lateStarts))
		if ledger.killed[savers] > 0 || ledger.stopped[savers] == 0 {
			t.Errorf("of the tasks that can save %d were killed, %d stopped", ledger.killed[savers], ledger.stopped[savers])
		}
		if ledger.lateKilled > 0 {
			t.Errorf("%d starts were killed on a worker whose lease was known not to be renewed", ledger.lateKilled)
		}
		ledger.markHealed(w)
		w.healAndAwaitJobs(2)
	})
}
