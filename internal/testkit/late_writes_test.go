package testkit_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// delayTransaction delays a transaction that matches, and collects its result.
func (l *responseLoss) delayTransaction(n *node, t wire.Txn) (time.Duration, func(error)) {
	if _, ok := l.consume(n, t); !ok {
		return 0, nil
	}
	return l.applyAfter, func(err error) {
		l.w.mu.Lock()
		defer l.w.mu.Unlock()
		l.lateResults = append(l.lateResults, err)
	}
}

// checkLateWritesRefused fails the test unless transactions were applied late, and the store refused all of them.
func (l *responseLoss) checkLateWritesRefused() {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	if len(l.lateResults) == 0 {
		l.w.t.Errorf("no write of %s was applied late", l.prefix)
	}
	for _, err := range l.lateResults {
		var conflict *statestore.ConflictError
		if !errors.As(err, &conflict) && !errors.Is(err, statestore.ErrNoLease) {
			l.w.t.Errorf("a late write of %s: %v", l.prefix, err)
		}
	}
}

// lateWriteCases lists writes that reach the store after newer ones of the same controller,
// or of a successor. Transfers and releases of shards, and cancels that coincide with the end of a job,
// have tests of their own.
var lateWriteCases = []lostWriteCase{
	{name: "acceptance, after its repetition", prefix: "live/j-7", run: func(t *testing.T, w *cluster, l *responseLoss) {
		l.arm("", 1)
		if status := w.submitJ7(w.leader(), 5); status/100 != 2 {
			t.Errorf("the submission returned status %d", status)
		}
	}},
	{name: "acceptance, after the job's end", prefix: "live/j-7", run: func(t *testing.T, w *cluster, l *responseLoss) {
		l.applyAfter = time.Minute
		l.arm(w.leader(), 1)
		w.submitJ7(w.leader(), 5)
		if !w.runUntil(50, w.jobsEnded("j-7")) {
			t.Error("the job did not end in time")
		}
		w.runFor(60)
		if len(w.store.Keys("live/j-7")) > 0 {
			t.Error("the job is stored as live again")
		}
	}},
	{name: "cancel, after a shard transfer", prefix: "live/j-80", run: func(t *testing.T, w *cluster, l *responseLoss) {
		l.whileWaiting = func(writer *node, _ string) { w.transferShards(writer) }
		from := w.leader()
		l.arm(from, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if s, err := w.nodes[from].scheduler.Cancel(ctx, "j-80"); err == nil {
			t.Errorf("the cancel returned %+v without a response of the store", s)
		}
	}},
	{name: "cancel, after the job's record was written anew", prefix: "live/j-80", run: func(t *testing.T, w *cluster, l *responseLoss) {
		l.applyAfter = 20 * time.Second
		at := w.leader()
		l.arm(at, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		before := w.keyVersion("live/j-80")
		if s, err := w.nodes[at].scheduler.Cancel(ctx, "j-80"); err == nil {
			t.Errorf("the cancel returned %+v without a response of the store", s)
		}
		if s, ok := w.nodes[at].scheduler.LocalState("j-80"); ok {
			t.Errorf("the owner returned %+v before the record was written anew", s)
		}
		if stage, ok := w.userRequest(at, http.MethodGet, "j-80"); !ok || stage != wire.StageRunning {
			t.Errorf("the owner returned stage %q, but the job runs according to the store and its own state", stage)
		}
		w.runFor(10)
		if stage, ok := w.userRequest(at, http.MethodGet, "j-80"); !ok || stage != wire.StageRunning || w.keyVersion("live/j-80") == before {
			t.Errorf("the owner returned stage %q, the record has version %d, %d before", stage, w.keyVersion("live/j-80"), before)
		}
		version := w.keyVersion("live/j-80")
		w.runFor(12)
		if w.keyVersion("live/j-80") != version {
			t.Error("the record was written a second time")
		}
	}},
	{name: "end, after its repetition", prefix: "final/j-1", noAccounting: true, run: func(_ *testing.T, _ *cluster, l *responseLoss) {
		l.arm("", 1)
	}},
	{name: "end, after a cancel", prefix: "final/j-7", noAccounting: true, run: func(t *testing.T, w *cluster, l *responseLoss) {
		l.whileWaiting = func(writer *node, _ string) {
			time.Sleep(100 * time.Millisecond)
			if stage, ok := w.userRequest(writer.name, http.MethodPost, "j-7"); !ok || stage != wire.StageCancelled {
				t.Errorf("the cancel returned stage %s, %v", stage, ok)
			}
		}
		if !w.runUntil(200, w.jobsEnded("j-1", "j-2", "j-3")) { // otherwise one transaction could write their records and j-7's
			t.Error("the other jobs did not end")
		}
		l.arm("", 1)
		w.submit("j-7", 3)
		if !w.runUntil(60, w.jobsEnded("j-7")) {
			t.Error("the job did not end")
		}
		w.runFor(10)
		if s, err := scheduler.ReadStoredState(context.Background(), &testkit.View{Store: w.store}, "j-7"); err != nil || s.Stage != wire.StageCancelled {
			t.Errorf("state stored at the end: %+v, %v", s, err)
		}
	}},
	{name: "claim of shards, after its repetition", prefix: "c/shard/", run: func(t *testing.T, w *cluster, l *responseLoss) {
		l.arm("", 1)
		w.crash(w.leader())
		w.checkSingleOwner(t, l)
		w.awaitSingleOwner(t, 25)
	}},
	{name: "counter of terms", prefix: "c/term", run: func(t *testing.T, w *cluster, l *responseLoss) {
		w.restartOwner(t, l, 2)
	}},
	{name: "accounting page alone, after newer ones", prefix: accounting.KeyPrefix, run: accountingRowsAlone},
	{name: "log, at a new owner that has just read it", prefix: "log/", noAccounting: true, run: transferJustBeforeLateWrite},
	{name: "chunk of tasks, at a new owner that has just read it", prefix: "task/", noAccounting: true, run: transferJustBeforeLateWrite},
	{name: "accounting page, at a new owner that has just read it", prefix: accounting.KeyPrefix, run: transferJustBeforeLateWrite},
	{name: "log, at a new owner", prefix: "log/", noAccounting: true, run: transferDuringLateWrite},
	{name: "chunk of tasks, at a new owner", prefix: "task/", noAccounting: true, run: transferDuringLateWrite},
	{name: "accounting page, at a new owner", prefix: accounting.KeyPrefix, run: transferDuringLateWrite},
}

// restartOwner restarts the leader after half a second, and loses the given number of responses meanwhile.
func (w *cluster) restartOwner(t *testing.T, l *responseLoss, lost int) {
	l.arm("", lost)
	w.restart(w.leader(), 500*time.Millisecond)
	w.awaitSingleOwner(t, 25)
}

// transferDuringLateWrite transfers the shards while a write of their leader is delayed.
func transferDuringLateWrite(_ *testing.T, w *cluster, l *responseLoss) {
	l.whileWaiting = func(writer *node, _ string) { w.transferShards(writer) }
	l.arm("", 1)
	w.runFor(15)
}

// transferJustBeforeLateWrite is like transferDuringLateWrite, but the write reaches the store before the
// new leader has written anything.
func transferJustBeforeLateWrite(t *testing.T, w *cluster, l *responseLoss) {
	l.applyAfter = 300 * time.Millisecond
	transferDuringLateWrite(t, w, l)
}

// A write reaches the store six seconds late, when its writer has repeated it or another controller
// has taken over the writer's work: the store must refuse it.
func TestWriteAppliedLateIsRefused(t *testing.T) {
	for i := range lateWriteCases {
		c := &lateWriteCases[i]
		t.Run(c.name, func(t *testing.T) {
			runLostWriteCase(t, uint64(1350+i), c, func(w *cluster, l *responseLoss) {
				l.applyAfter, w.delayTransaction = 6*time.Second, l.delayTransaction
			}, (*responseLoss).checkLateWritesRefused)
		})
	}
}
