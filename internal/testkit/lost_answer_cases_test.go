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

// lostWriteCase is a kind of write whose response is lost or which is applied late.
type lostWriteCase struct {
	name         string
	prefix       string
	run          func(t *testing.T, w *cluster, l *responseLoss)
	noAccounting bool // write no accounting rows; otherwise the writer can recognise its transaction by their page, too
}

// lostResponseCases lists all kinds of writes that controllers make, except the provisioning of
// machines (provisioning_test.go) and the release of shards (package membership).
var lostResponseCases = []lostWriteCase{
	{name: "acceptance", prefix: "live/j-7", run: func(t *testing.T, w *cluster, l *responseLoss) {
		at := w.otherControllers(w.leader())[0]
		l.whileWaiting = func(*node, string) {
			time.Sleep(100 * time.Millisecond)
			if stages := w.pollAll("j-7"); len(stages) < 2 {
				t.Errorf("only these controllers know the job: %v", stages)
			}
			if status := w.submitJ7(w.leader(), 5); status != http.StatusOK {
				t.Errorf("a repeated submission returned status %d", status)
			}
		}
		l.arm(at, 1)
		if status := w.submitJ7(at, 5); status/100 != 2 {
			t.Errorf("the submission returned status %d", status)
		}
	}},
	{name: "cancel", prefix: "live/j-80", run: func(t *testing.T, w *cluster, l *responseLoss) {
		at := w.leader()
		l.whileWaiting = func(*node, string) {
			time.Sleep(100 * time.Millisecond)
			for name, stage := range w.pollAll("j-80") {
				if stage != wire.StageCancelled {
					t.Errorf("%s reports the job as %s", name, stage)
				}
			}
		}
		l.arm(at, 1)
		if stage, ok := w.userRequest(at, http.MethodPost, "j-80"); ok && stage != wire.StageCancelled {
			t.Errorf("the cancel returned stage %s", stage) // either a peer answers or no controller does
		}
		started := w.startCount
		w.runFor(1)
		if stage, ok := w.userRequest(at, http.MethodPost, "j-80"); !ok || stage != wire.StageCancelled {
			t.Errorf("the repeated cancel returned stage %s, %v", stage, ok)
		}
		if !w.runUntil(12, func() bool { return w.unfinishedTasks("j-80") == 0 }) {
			t.Errorf("%d cancelled tasks run, %d started", w.unfinishedTasks("j-80"), w.startCount-started)
		}
	}},
	{name: "changed constraints", prefix: "live/j-8t", run: func(t *testing.T, w *cluster, l *responseLoss) {
		at := w.nodes[w.leader()]
		w.submitConstrained("j-8t", 40, &jobspec.Constraints{Number: 1})
		w.runFor(1)
		l.whileWaiting = func(writer *node, key string) {
			_, _ = w.nodes[w.otherControllers(writer.name)[0]].view.Get(context.Background(), key) // only the read itself matters
		}
		l.arm(at.name, 1)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if err := at.scheduler.Hold(ctx, "j-8t", true); err == nil {
			t.Error("the job was held without a response of the state service")
		}
		version := w.keyVersion("live/j-8t")
		if err := at.scheduler.Hold(context.Background(), "j-8t", true); err != nil || w.keyVersion("live/j-8t") != version {
			t.Errorf("the repeated change: %v, written again: %v", err, w.keyVersion("live/j-8t") != version)
		}
		w.runFor(3)
		held := w.unfinishedTasks("j-8t")
		w.runFor(8)
		if n := w.unfinishedTasks("j-8t"); n > held {
			t.Errorf("%d tasks of a held job run, %d before", n, held)
		}
		if err := at.scheduler.Hold(context.Background(), "j-8t", false); err != nil {
			t.Error(err)
		}
		w.userRequest(at.name, http.MethodPost, "j-8t")
	}},
	{name: "end", prefix: "final/j-7", noAccounting: true, run: func(t *testing.T, w *cluster, l *responseLoss) {
		if !w.runUntil(200, w.jobsEnded("j-1", "j-2", "j-3")) { // otherwise one transaction could write their records and j-7's
			t.Error("the other jobs did not end")
		}
		at := w.leader()
		l.whileWaiting = func(*node, string) {
			time.Sleep(100 * time.Millisecond)
			for range 4 {
				for name, stage := range w.pollAll("j-7") {
					if stage != wire.StageDone {
						t.Errorf("%s reports the job as %s", name, stage)
					}
				}
				if stage, ok := w.userRequest(at, http.MethodPost, "j-7"); ok && stage != wire.StageDone {
					t.Errorf("a cancel at the owner returned stage %s", stage)
				}
				if status := w.submitJ7(at, 3); status != http.StatusOK {
					t.Errorf("a repeated submission returned status %d", status)
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
		if q := w.nodes[at].scheduler.QueueDepths(); q["jobs"] != 1 { // only j-80 is left
			t.Errorf("the owner's queue has %d jobs, not 1", q["jobs"])
		}
	}},
	{name: "end, while the successor's watch lags", prefix: "final/j-7", run: func(t *testing.T, w *cluster, l *responseLoss) {
		at := w.leader()
		next := w.otherControllers(at)[0]
		previous := w.watchLagOf
		w.watchLagOf = func(n *node, prefix string) time.Duration {
			if prefix == "live/" && n.name == next {
				return 50 * time.Second
			}
			return previous(n, prefix)
		}
		l.whileWaiting = func(writer *node, _ string) {
			w.userRequest(next, http.MethodGet, "j-7")
			w.transferShards(writer)
		}
		l.arm(at, 1)
		w.submit("j-7", 3)
		if !w.runUntil(40, func() bool { return w.leader() == next }) {
			t.Errorf("%s leads", w.leader())
			return
		}
		for range 50 {
			w.runFor(1)
			for name, stage := range w.pollAll("j-7") {
				if stage != wire.StageDone {
					t.Errorf("%s reports the job as %s", name, stage)
				}
			}
		}
	}},
	{name: "claim of shards", prefix: "c/shard/", run: func(t *testing.T, w *cluster, l *responseLoss) {
		l.arm("", 1)
		w.crash(w.leader())
		w.checkSingleOwner(t, l)
		w.awaitSingleOwner(t, 25)
	}},
	{name: "shard transfer", prefix: "c/shard/", run: func(t *testing.T, w *cluster, l *responseLoss) {
		from := w.leader()
		l.whileWaiting = func(*node, string) {
			time.Sleep(300 * time.Millisecond)
			w.pollAll("j-80")
		}
		l.arm(from, 1)
		w.checkSingleOwner(t, l)
		w.transferShards(w.nodes[from])
		w.awaitSingleOwner(t, 4)
		if to := w.leader(); to != w.otherControllers(from)[0] {
			t.Errorf("%s owns the shards, which were transferred to %s", to, w.otherControllers(from)[0])
		}
	}},
	{name: "claim back after a shard transfer", prefix: "c/shard/", run: func(t *testing.T, w *cluster, l *responseLoss) {
		from := w.nodes[w.leader()]
		lateTransfer := &responseLoss{w: w, prefix: l.prefix, applyAfter: 20 * time.Second}
		lateTransfer.arm(from.name, 1)
		w.mu.Lock()
		w.delayTransaction = lateTransfer.delayTransaction
		w.mu.Unlock()
		w.checkSingleOwner(t, l)
		go func() {
			time.Sleep(time.Second) // the transfer was sent, and has no response
			l.arm(from.name, 1)
		}()
		w.transferShards(from)
		w.awaitSingleOwner(t, 10)
		w.runFor(20)
		lateTransfer.checkLateWritesRefused()
		if to := w.leader(); to != from.name {
			t.Errorf("%s owns the shards, which %s had claimed back", to, from.name)
		}
	}},
	{name: "counter of terms", prefix: "c/term", run: func(t *testing.T, w *cluster, l *responseLoss) {
		var unused []uint64 // terms whose writers never received the response
		l.onLost = func(txn wire.Txn) {
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
					t.Errorf("%s uses term %d, whose response was lost", name, term)
				}
			}
		}
		if len(unused) < 2 {
			t.Errorf("terms without a response: %v", unused)
		}
	}},
	{name: "log, read by a new owner", prefix: "log/", run: func(_ *testing.T, w *cluster, l *responseLoss) {
		l.whileWaiting = func(writer *node, _ string) { w.transferShards(writer) }
		l.arm("", 2)
		w.runFor(8)
	}},
	{name: "log, repeated by its owner", prefix: "log/", noAccounting: true, run: func(_ *testing.T, w *cluster, l *responseLoss) {
		l.whileWaiting = w.readElsewhere
		l.arm("", 6)
		w.runFor(20)
	}},
	{name: "chunk of tasks, read by a new owner", prefix: "task/", run: func(_ *testing.T, w *cluster, l *responseLoss) {
		l.whileWaiting = func(writer *node, _ string) { w.transferShards(writer) }
		l.arm("", 2)
		w.runFor(12)
	}},
	{name: "chunk of tasks, repeated by its owner", prefix: "task/", noAccounting: true, run: func(_ *testing.T, w *cluster, l *responseLoss) {
		l.whileWaiting = w.readElsewhere
		l.arm("", 4)
		w.runFor(20)
	}},
	{name: "accounting page", prefix: accounting.KeyPrefix, run: func(_ *testing.T, w *cluster, l *responseLoss) {
		l.whileWaiting = w.readElsewhere
		l.arm("", 6)
		w.runFor(20)
	}},
	{name: "accounting page alone", prefix: accounting.KeyPrefix, run: accountingRowsAlone},
	{name: "accounting page, during a shard transfer", prefix: accounting.KeyPrefix, run: func(_ *testing.T, w *cluster, l *responseLoss) {
		l.whileWaiting = func(writer *node, key string) {
			w.readElsewhere(writer, key)
			w.transferShards(writer)
		}
		l.arm("", 3)
		w.runFor(12)
	}},
}

// accountingRowsAlone makes the leader write accounting rows of stopped tasks in a transaction without other records.
func accountingRowsAlone(t *testing.T, w *cluster, l *responseLoss) {
	if !w.runUntil(200, w.jobsEnded("j-1", "j-2", "j-3")) {
		t.Error("the short jobs did not end")
	}
	w.submit("j-81", 6)
	w.runFor(8)
	// One of its workers is cut off, so the job can't end, and no other record is written with the rows
	// of the other workers' tasks.
	unreachable := w.workersWithTasksOf("j-81")[0]
	w.breakLinks(unreachable.Name, w.controllerNames...)
	l.whileWaiting, l.singleWriteOnly = w.readElsewhere, true
	l.arm("", 1)
	w.userRequest(w.leader(), http.MethodPost, "j-81")
	w.runFor(5)
	w.healLinks(unreachable.Name, w.controllerNames...)
	w.runFor(15)
	if _, attempts, _ := w.accountingRows(); len(attempts) < 162 || len(w.store.Keys("final/j-81")) == 0 { // 156 tasks that are done, 6 that were stopped
		t.Errorf("%d accounting rows of attempts, final records of the cancelled job: %v", len(attempts), w.store.Keys("final/j-81"))
	}
}
