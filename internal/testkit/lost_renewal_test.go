package testkit_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// The last response before a worker's reports stop is lost. Tasks that can save their state are still stopped early
// enough to save it, and no task is started that would be killed when the lease ends. Otherwise the leader counts the lease from a
// response that the worker never received.
func TestTasksAreSavedAfterLostResponse(t *testing.T) {
	const canSave, short = "j-save", "j-tiny"
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 710)
		w.resize(3, 8)
		w.machineTypes = 8
		w.promptCommands, w.keepBrokenLinks, w.skipInventoryPoll, w.losslessReports = true, true, true, true
		ledger := w.trackTasks(func(task string) time.Duration {
			if task[:len(short)] == short {
				return time.Second
			}
			return time.Minute
		}, func(string) time.Duration { return time.Second })
		w.startControllersOneByOne()
		time.Sleep(2 * time.Second)
		w.recordAcceptedJob(&wire.Job{
			UID: canSave, Class: canSave, Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 16, CPUs: 1, MemoryGB: 1,
			Image: "i", ImageGB: 0.1, EstimateS: 60, Spot: true, CheckpointIntervalS: 30, CheckpointSaveS: 1,
		})
		w.runFor(8)
		w.recordAcceptedJob(&wire.Job{
			UID: short, Class: short, Team: "t", Kind: wire.KindArray, Priority: "low", Tasks: 4000, CPUs: 1, MemoryGB: 1,
			Image: "i", ImageGB: 0.1, EstimateS: 1, Spot: true,
		})
		w.runFor(3)
		cut := w.workersByJobs(canSave)[0]
		session := w.sessionOf(cut)
		w.dropReports(cut)
		ledger.markCut(w, cut)
		w.runFor(len(w.controllerNames)) // it tries each controller once, without success, and then the leader again
		w.healAllLinks()
		w.breakLinksTo(cut, w.controllerNames...)
		w.runFor(1) // the next report arrives, and its response is lost
		w.healAllLinks()
		w.dropReports(cut)
		w.runFor(12)
		if w.sessionOf(cut) == session {
			t.Error("the lease did not end")
		}
		t.Logf("killed %v, stopped %v, %d of %d tasks that started late were killed", ledger.killed, ledger.stopped, ledger.lateKilled, len(ledger.lateStarts))
		if ledger.killed[canSave] > 0 || ledger.stopped[canSave] == 0 {
			t.Errorf("%d tasks that can save were killed, %d were stopped", ledger.killed[canSave], ledger.stopped[canSave])
		}
		if ledger.lateKilled > 0 {
			t.Errorf("%d tasks were started after the leader knew that the lease was not renewed, and killed", ledger.lateKilled)
		}
		ledger.markHealed(w)
		w.healAndAwaitJobs(2)
	})
}
