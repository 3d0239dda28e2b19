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

// delay has a transaction applied later.
func (l *answerLoss) delay(n *node, t wire.Txn) (time.Duration, func(error)) {
	if _, ok := l.takes(n, t); !ok {
		return 0, nil
	}
	return l.by, func(err error) {
		l.w.mu.Lock()
		defer l.w.mu.Unlock()
		l.late = append(l.late, err)
	}
}

// refused fails the test unless transactions were carried out late, and changed nothing.
func (l *answerLoss) refused() {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	if len(l.late) == 0 {
		l.w.t.Errorf("no write of %s came late", l.prefix)
	}
	for _, err := range l.late {
		var conflict *statestore.ConflictError
		if !errors.As(err, &conflict) && !errors.Is(err, statestore.ErrNoLease) {
			l.w.t.Errorf("a late write of %s: %v", l.prefix, err)
		}
	}
}

// lateWriteCases has writes that are carried out after newer ones of the same controller,
// or of a successor. Those of hand-overs, releases and cancels that meet the end of a job
// have tests of their own.
var lateWriteCases = []lostAnswerCase{
	{name: "acceptance, after its repetition", prefix: "live/j-7", play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.arm("", 1)
		if status := w.submitAt(w.leader(), 5); status/100 != 2 {
			t.Errorf("the submission is answered %d", status)
		}
	}},
	{name: "acceptance, after the job's end", prefix: "live/j-7", play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.by = time.Minute
		l.arm(w.leader(), 1)
		w.submitAt(w.leader(), 5)
		if !w.runUntil(50, w.jobsEnded("j-7")) {
			t.Error("the job did not end in time")
		}
		w.runFor(60)
		if len(w.store.Keys("live/j-7")) > 0 {
			t.Error("the job lives again")
		}
	}},
	{name: "cancel, after a hand-over", prefix: "live/j-80", play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.then = func(writer *node, _ string) { w.moveJobs(writer) }
		from := w.leader()
		l.arm(from, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		if s, err := w.nodes[from].scheduler.Cancel(ctx, "j-80"); err == nil {
			t.Errorf("%+v without an answer", s)
		}
	}},
	{name: "cancel, after the job's record was written anew", prefix: "live/j-80", play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.by = 20 * time.Second
		at := w.leader()
		l.arm(at, 1)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		before := w.version("live/j-80")
		if s, err := w.nodes[at].scheduler.Cancel(ctx, "j-80"); err == nil {
			t.Errorf("%+v without an answer", s)
		}
		if s, ok := w.nodes[at].scheduler.LocalState("j-80"); ok {
			t.Errorf("the owner is sure of %+v at once", s)
		}
		if stage, ok := w.userRequest(at, http.MethodGet, "j-80"); !ok || stage != wire.StageRunning {
			t.Errorf("the owner calls the job %q, which runs by the store and by its books", stage)
		}
		w.runFor(10)
		if stage, ok := w.userRequest(at, http.MethodGet, "j-80"); !ok || stage != wire.StageRunning || w.version("live/j-80") == before {
			t.Errorf("the owner calls the job %q, its record has version %d, %d before", stage, w.version("live/j-80"), before)
		}
		version := w.version("live/j-80")
		w.runFor(12)
		if w.version("live/j-80") != version {
			t.Error("the record was written again")
		}
	}},
	{name: "end, after its repetition", prefix: "final/j-1", plain: true, play: func(_ *testing.T, _ *cluster, l *answerLoss) {
		l.arm("", 1)
	}},
	{name: "end, after a cancel", prefix: "final/j-7", plain: true, play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.then = func(writer *node, _ string) {
			time.Sleep(100 * time.Millisecond)
			if stage, ok := w.userRequest(writer.name, http.MethodPost, "j-7"); !ok || stage != wire.StageCancelled {
				t.Errorf("the cancel is answered %s, %v", stage, ok)
			}
		}
		if !w.runUntil(200, w.jobsEnded("j-1", "j-2", "j-3")) { // whose records would share its transaction
			t.Error("the other jobs did not end")
		}
		l.arm("", 1)
		w.submit("j-7", 3)
		if !w.runUntil(60, w.jobsEnded("j-7")) {
			t.Error("the job did not end")
		}
		w.runFor(10)
		if s, err := scheduler.ReadStoredState(context.Background(), &testkit.View{Store: w.store}, "j-7"); err != nil || s.Stage != wire.StageCancelled {
			t.Errorf("recorded in the end: %+v, %v", s, err)
		}
	}},
	{name: "claim of shards, after its repetition", prefix: "c/shard/", play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.arm("", 1)
		w.crash(w.leader())
		w.atMostOneOwner(t, l)
		w.owned(t, 25)
	}},
	{name: "counter of terms", prefix: "c/term", play: func(t *testing.T, w *cluster, l *answerLoss) {
		w.restartOwner(t, l, 2)
	}},
	{name: "accounting page alone, after newer ones", prefix: accounting.KeyPrefix, play: rowsAlone},
	{name: "log, at a new owner that has just read it", prefix: "log/", plain: true, play: moveMeanwhile},
	{name: "chunk of tasks, at a new owner that has just read it", prefix: "task/", plain: true, play: moveMeanwhile},
	{name: "accounting page, at a new owner that has just read it", prefix: accounting.KeyPrefix, play: moveMeanwhile},
	{name: "log, at a new owner", prefix: "log/", plain: true, play: moveWhileLate},
	{name: "chunk of tasks, at a new owner", prefix: "task/", plain: true, play: moveWhileLate},
	{name: "accounting page, at a new owner", prefix: accounting.KeyPrefix, play: moveWhileLate},
}

// restartOwner has the leader back within half a second, while so many answers are lost.
func (w *cluster) restartOwner(t *testing.T, l *answerLoss, lost int) {
	l.arm("", lost)
	w.restart(w.leader(), 500*time.Millisecond)
	w.owned(t, 25)
}

// moveWhileLate transfers the jobs while a write of their leader is under way.
func moveWhileLate(_ *testing.T, w *cluster, l *answerLoss) {
	l.then = func(writer *node, _ string) { w.moveJobs(writer) }
	l.arm("", 1)
	w.runFor(15)
}

// moveMeanwhile is moveWhileLate with a write that comes before the new leader has written
// anything itself.
func moveMeanwhile(t *testing.T, w *cluster, l *answerLoss) {
	l.by = 300 * time.Millisecond
	moveWhileLate(t, w, l)
}

// TestWriteAppliedLateIsRefused has a write applied six seconds late, when its writer has
// repeated it or somebody else does its work: it changes nothing any more.
func TestWriteAppliedLateIsRefused(t *testing.T) {
	for i := range lateWriteCases {
		c := &lateWriteCases[i]
		t.Run(c.name, func(t *testing.T) {
			playCase(t, uint64(1350+i), c, func(w *cluster, l *answerLoss) {
				l.by, w.delayTransaction = 6*time.Second, l.delay
			}, (*answerLoss).refused)
		})
	}
}
