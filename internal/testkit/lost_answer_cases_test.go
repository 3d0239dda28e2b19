package testkit_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// lostAnswerCase is a kind of write whose answer is lost.
type lostAnswerCase struct {
	name   string
	prefix string
	play   func(t *testing.T, w *cluster, l *answerLoss)
	plain  bool // no accounting rows are written, whose page would be recognised too
}

// lostAnswerCases has every kind of write that controllers make, but the provisioning of
// machines (provisioning_test.go), and the release of shards (package membership).
var lostAnswerCases = []lostAnswerCase{
	{name: "acceptance", prefix: "live/j-7", play: func(t *testing.T, w *cluster, l *answerLoss) {
		at := w.otherControllers(w.leader())[0]
		l.then = func(*node, string) {
			time.Sleep(100 * time.Millisecond)
			if stages := w.askAll("j-7"); len(stages) < 2 {
				t.Errorf("the job is known to %v", stages)
			}
			if status := w.submitAt(w.leader(), 5); status != http.StatusOK {
				t.Errorf("a repeated submission is answered %d", status)
			}
		}
		l.arm(at, 1)
		if status := w.submitAt(at, 5); status/100 != 2 {
			t.Errorf("the submission is answered %d", status)
		}
	}},
	{name: "cancel", prefix: "live/j-80", play: func(t *testing.T, w *cluster, l *answerLoss) {
		at := w.leader()
		l.then = func(*node, string) {
			time.Sleep(100 * time.Millisecond)
			for name, stage := range w.askAll("j-80") {
				if stage != wire.StageCancelled {
					t.Errorf("%s calls the job %s", name, stage)
				}
			}
		}
		l.arm(at, 1)
		if stage, ok := w.userRequest(at, http.MethodPost, "j-80"); ok && stage != wire.StageCancelled {
			t.Errorf("the cancel is answered %s", stage) // by a peer, or not at all
		}
		started := w.startCount
		w.runFor(1)
		if stage, ok := w.userRequest(at, http.MethodPost, "j-80"); !ok || stage != wire.StageCancelled {
			t.Errorf("the repeated cancel is answered %s, %v", stage, ok)
		}
		if !w.runUntil(12, func() bool { return w.unfinishedTasks("j-80") == 0 }) {
			t.Errorf("%d cancelled tasks are on, %d started", w.unfinishedTasks("j-80"), w.startCount-started)
		}
	}},
	{name: "changed terms", prefix: "live/j-8t", play: func(t *testing.T, w *cluster, l *answerLoss) {
		at := w.nodes[w.leader()]
		w.submitConstrained("j-8t", 40, &jobspec.Constraints{Number: 1})
		w.runFor(1)
		l.then = func(writer *node, key string) {
			_, _ = w.nodes[w.otherControllers(writer.name)[0]].view.Get(context.Background(), key) // it is only looked at
		}
		l.arm(at.name, 1)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := at.scheduler.Hold(ctx, "j-8t", true); err == nil {
			t.Error("held without an answer of the state service")
		}
		version := w.version("live/j-8t")
		if err := at.scheduler.Hold(context.Background(), "j-8t", true); err != nil || w.version("live/j-8t") != version {
			t.Errorf("the repeated change: %v, written again: %v", err, w.version("live/j-8t") != version)
		}
		w.runFor(3)
		held := w.unfinishedTasks("j-8t")
		w.runFor(8)
		if n := w.unfinishedTasks("j-8t"); n > held {
			t.Errorf("%d tasks of a held job are on, %d before", n, held)
		}
		if err := at.scheduler.Hold(context.Background(), "j-8t", false); err != nil {
			t.Error(err)
		}
		w.userRequest(at.name, http.MethodPost, "j-8t")
	}},
	{name: "end", prefix: "final/j-7", plain: true, play: func(t *testing.T, w *cluster, l *answerLoss) {
		if !w.runUntil(200, w.jobsEnded("j-1", "j-2", "j-3")) { // whose records would share its transaction
			t.Error("the other jobs did not end")
		}
		at := w.leader()
		l.then = func(*node, string) {
			time.Sleep(100 * time.Millisecond)
			for range 4 {
				for name, stage := range w.askAll("j-7") {
					if stage != wire.StageDone {
						t.Errorf("%s calls the job %s", name, stage)
					}
				}
				if stage, ok := w.userRequest(at, http.MethodPost, "j-7"); ok && stage != wire.StageDone {
					t.Errorf("a cancel at the owner is answered %s", stage)
				}
				if status := w.submitAt(at, 3); status != http.StatusOK {
					t.Errorf("a repeated submission is answered %d", status)
				}
				time.Sleep(200 * time.Millisecond)
			}
		}
		l.arm(at, 1)
		w.submit("j-7", 3)
		if !w.runUntil(60, w.jobsEnded("j-7")) {
			t.Error("the job did not end")
		}
		w.runFor(4)
		if q := w.nodes[at].scheduler.QueueDepths(); q["jobs"] != 1 { // the long one
			t.Errorf("the owner has %d jobs", q["jobs"])
		}
	}},
	{name: "end, and the successor's watch is behind", prefix: "final/j-7", play: func(t *testing.T, w *cluster, l *answerLoss) {
		at := w.leader()
		next := w.otherControllers(at)[0]
		behind := w.watchLagOf
		w.watchLagOf = func(n *node, prefix string) time.Duration {
			if prefix == "live/" && n.name == next {
				return 50 * time.Second
			}
			return behind(n, prefix)
		}
		l.then = func(writer *node, _ string) {
			w.userRequest(next, http.MethodGet, "j-7")
			w.moveJobs(writer)
		}
		l.arm(at, 1)
		w.submit("j-7", 3)
		if !w.runUntil(40, func() bool { return w.leader() == next }) {
			t.Errorf("%s leads", w.leader())
			return
		}
		for range 50 {
			w.runFor(1)
			for name, stage := range w.askAll("j-7") {
				if stage != wire.StageDone {
					t.Errorf("%s calls the job %s", name, stage)
				}
			}
		}
	}},
	{name: "claim of shards", prefix: "c/shard/", play: func(t *testing.T, w *cluster, l *answerLoss) {
		l.arm("", 1)
		w.crash(w.leader())
		w.atMostOneOwner(t, l)
		w.owned(t, 25)
	}},
	{name: "hand-over", prefix: "c/shard/", play: func(t *testing.T, w *cluster, l *answerLoss) {
		from := w.leader()
		l.then = func(*node, string) {
			time.Sleep(300 * time.Millisecond)
			w.askAll("j-80")
		}
		l.arm(from, 1)
		w.atMostOneOwner(t, l)
		w.moveJobs(w.nodes[from])
		w.owned(t, 4)
		if to := w.leader(); to != w.otherControllers(from)[0] {
			t.Errorf("%s owns the jobs, handed over to %s", to, w.otherControllers(from)[0])
		}
	}},
	{name: "taking back after a hand-over", prefix: "c/shard/", play: func(t *testing.T, w *cluster, l *answerLoss) {
		from := w.nodes[w.leader()]
		given := &answerLoss{w: w, prefix: l.prefix, by: 20 * time.Second}
		given.arm(from.name, 1)
		w.mu.Lock()
		w.delayTransaction = given.delay
		w.mu.Unlock()
		w.atMostOneOwner(t, l)
		go func() {
			time.Sleep(time.Second) // the transfer is out, and without an answer
			l.arm(from.name, 1)
		}()
		w.moveJobs(from)
		w.owned(t, 10)
		w.runFor(20)
		given.refused()
		if to := w.leader(); to != from.name {
			t.Errorf("%s owns the jobs, taken back by %s", to, from.name)
		}
	}},
	{name: "counter of terms", prefix: "c/term", play: func(t *testing.T, w *cluster, l *answerLoss) {
		var unused []uint64 // terms whose writers never learnt that they have them
		l.wrote = func(txn wire.Txn) {
			for _, op := range txn.Then {
				var rec struct{ N uint64 }
				if value, ok := op.Value.(json.RawMessage); ok && op.Put == "c/term" && json.Unmarshal(value, &rec) == nil {
					unused = append(unused, rec.N)
				}
			}
		}
		w.restartOwner(t, l, 3)
		for _, name := range w.controllerNames {
			for _, term := range unused {
				if w.nodes[name].member.FencingToken() == term {
					t.Errorf("%s uses term %d, whose answer was lost", name, term)
				}
			}
		}
		if len(unused) < 2 {
			t.Errorf("terms without an answer: %v", unused)
		}
	}},
	{name: "log, read by a new owner", prefix: "log/", play: func(_ *testing.T, w *cluster, l *answerLoss) {
		l.then = func(writer *node, _ string) { w.moveJobs(writer) }
		l.arm("", 2)
		w.runFor(8)
	}},
	{name: "log, repeated by its owner", prefix: "log/", plain: true, play: func(_ *testing.T, w *cluster, l *answerLoss) {
		l.then = w.look
		l.arm("", 6)
		w.runFor(20)
	}},
	{name: "chunk of tasks, read by a new owner", prefix: "task/", play: func(_ *testing.T, w *cluster, l *answerLoss) {
		l.then = func(writer *node, _ string) { w.moveJobs(writer) }
		l.arm("", 2)
		w.runFor(12)
	}},
	{name: "chunk of tasks, repeated by its owner", prefix: "task/", plain: true, play: func(_ *testing.T, w *cluster, l *answerLoss) {
		l.then = w.look
		l.arm("", 4)
		w.runFor(20)
	}},
	{name: "accounting page", prefix: accounting.KeyPrefix, play: func(_ *testing.T, w *cluster, l *answerLoss) {
		l.then = w.look
		l.arm("", 6)
		w.runFor(20)
	}},
	{name: "accounting page alone", prefix: accounting.KeyPrefix, play: rowsAlone},
	{name: "accounting page, and the jobs move", prefix: accounting.KeyPrefix, play: func(_ *testing.T, w *cluster, l *answerLoss) {
		l.then = func(writer *node, key string) {
			w.look(writer, key)
			w.moveJobs(writer)
		}
		l.arm("", 3)
		w.runFor(12)
	}},
}

// rowsAlone has the accounting rows of stopped tasks written in a transaction of their own.
func rowsAlone(t *testing.T, w *cluster, l *answerLoss) {
	if !w.runUntil(200, w.jobsEnded("j-1", "j-2", "j-3")) {
		t.Error("the short jobs did not end")
	}
	w.submit("j-81", 6)
	w.runFor(8)
	// One of its workers is away: the rows of the others go with no other record.
	away := w.workersWithTasksOf("j-81")[0]
	w.breakLinks(away.Name, w.controllerNames...)
	l.then, l.alone = w.look, true
	l.arm("", 1)
	w.userRequest(w.leader(), http.MethodPost, "j-81")
	w.runFor(5)
	w.healLinks(away.Name, w.controllerNames...)
	w.runFor(15)
	if _, attempts, _ := w.rows(); len(attempts) < 162 || len(w.store.Keys("final/j-81")) == 0 { // of 156 tasks that are done, 6 that were stopped
		t.Errorf("%d accounting rows of attempts, of the cancelled job: %v", len(attempts), w.store.Keys("final/j-81"))
	}
}
