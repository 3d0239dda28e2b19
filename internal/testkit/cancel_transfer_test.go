package testkit_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// Steps of a shard transfer, as seen in the state service and at the new leader.
const (
	stepPending   = "pending" // requested but not applied: the old leader leads no shard any more
	stepUnseen    = "unseen"  // applied, but not yet seen by the new leader's watch
	stepLoading   = "loading" // the new leader reads the shard's records
	stepLoaded    = "loaded"
	stepUnclaimed = "unclaimed" // the new leader crashed: its keys are gone and no controller has claimed the shards
)

// shardTransfer is a cluster in which one controller transfers its shards to another while users
// cancel jobs. Some tasks of these jobs are running and others wait for free CPUs.
type shardTransfer struct {
	*cluster
	oldLeader, newLeader, third string
	jobs                        []string
	failoversBefore             int         // failovers of the new leader before the transfer
	loadBlocked                 atomic.Bool // whether the new leader's load is blocked
	cancelsSent                 int         // cancels sent during the step
	cancelsRefused              int         // of cancelsSent, those that were not confirmed
	lateStarts                  []string    // tasks that started after their users were told of the cancel
}

// currentStep returns the step that the transfer has reached.
func (h *shardTransfer) currentStep() string {
	it, err := (&testkit.View{Store: h.store}).Get(context.Background(), "c/shard/000")
	var record struct {
		Node string `json:"node"`
	}
	if errors.Is(err, statestore.ErrNotFound) {
		return stepUnclaimed
	}
	if err != nil || json.Unmarshal(it.Value, &record) != nil {
		h.t.Fatalf("the shard's key: %s, %v", it.Value, err)
	}
	taker := h.nodes[h.newLeader]
	switch {
	case record.Node == h.oldLeader:
		return stepPending
	case len(taker.member.ClaimedShards()) == 0:
		return stepUnseen
	case taker.scheduler.Counters().Failovers == h.failoversBefore:
		return stepLoading
	}
	return stepLoaded
}

// cancelDuring sends a cancel of a job to a controller, checks that the transfer is at the given
// step, and reports whether the cancel was confirmed.
func (h *shardTransfer) cancelDuring(step, at, uid string) bool {
	if got := h.currentStep(); got != step {
		h.t.Errorf("the cancel of %s at %s was sent in step %q, want %q", uid, at, got, step)
	}
	stage, answered := h.userRequest(at, http.MethodPost, uid)
	h.cancelsSent++
	if !answered || stage != wire.StageCancelled {
		h.cancelsRefused++
	}
	return answered && stage == wire.StageCancelled
}

// beginTransfer starts the transfer; its transaction is held back for the given time before it is applied.
func (h *shardTransfer) beginTransfer(held time.Duration) {
	sending := h.nodes[h.oldLeader].view.BeforeTxn.Get()
	h.nodes[h.oldLeader].view.BeforeTxn.Set(func(txn wire.Txn) {
		if sending != nil {
			sending(txn)
		}
		if slices.ContainsFunc(txn.Then, func(op wire.Op) bool { return op.Put == "c/moves" }) {
			time.Sleep(held)
		}
	})
	go func() { _ = h.nodes[h.oldLeader].member.TransferShards(context.Background(), h.newLeader) }() // the outcome is read from the store
	time.Sleep(20 * time.Millisecond)
}

// onCancelTransaction calls f when a controller sends the transaction of a job's cancel.
func (h *shardTransfer) onCancelTransaction(at, uid string, f func()) {
	h.nodes[at].view.BeforeTxn.Set(func(txn wire.Txn) {
		if len(txn.Then) == 1 && txn.Then[0].Put == "live/"+uid {
			f()
		}
	})
}

// recordUnseenCancel records the cancel of j-80 through the old leader without anybody learning of
// it: the response of the store is lost, and the old leader's watch lags.
func (h *shardTransfer) recordUnseenCancel() {
	const uid = "j-80"
	h.delayWatch(h.oldLeader, "live/", 3*time.Second)
	var lose atomic.Bool
	h.onCancelTransaction(h.oldLeader, uid, func() { lose.Store(true) })
	h.nodes[h.oldLeader].view.LoseResponse = func() bool { return lose.Swap(false) }
	if state, err := h.nodes[h.oldLeader].scheduler.Cancel(context.Background(), uid); err == nil {
		h.t.Errorf("the cancel of %s returned stage %s, although the response was lost", uid, state.Stage)
	}
	if s, err := storedStage(h.cluster, uid); err != nil || s != wire.StageCancelled {
		h.t.Errorf("%s is recorded as %s, %v", uid, s, err)
	}
	h.nodes[h.oldLeader].view.BeforeTxn.Set(nil)
	h.nodes[h.oldLeader].view.LoseResponse = nil
}

// blockLoad blocks the new leader's load before it lists the keys with a prefix.
func (h *shardTransfer) blockLoad(prefix string) {
	h.loadBlocked.Store(true)
	h.nodes[h.newLeader].view.BeforeList.Set(func(p string) {
		for p == prefix && h.loadBlocked.Load() {
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// awaitStep waits, without heartbeats of workers, until the transfer has reached a step.
func (h *shardTransfer) awaitStep(step string) {
	for range 1000 {
		if h.currentStep() == step {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.t.Fatalf("the transfer is in step %q, want %q", h.currentStep(), step)
}

func storedStage(w *cluster, uid string) (string, error) {
	state, err := scheduler.ReadStoredState(context.Background(), &testkit.View{Store: w.store}, uid)
	return state.Stage, err
}

// A cancel arrives at each step of a shard transfer, at the old leader, the new leader or a third
// controller. While no controller may answer for the shard, the cancel is refused. Once confirmed
// it is final at every controller: no task of the job starts afterwards, and all its tasks are
// stopped in time, whether the shard's load or the list of cancels is read first.
func TestCancelDuringShardTransferIsFinal(t *testing.T) {
	type scene struct {
		name      string
		play      func(h *shardTransfer)
		confirmed int // cancels that must be confirmed during the step
		refused   int // cancels that must be refused during the step
	}
	const lag = 3 * time.Second
	cancelAtEachController := func(h *shardTransfer, step string) { // cancels one job at each controller
		h.cancelDuring(step, h.oldLeader, "j-80")
		h.cancelDuring(step, h.newLeader, "j-81")
		h.cancelDuring(step, h.third, "j-82")
	}
	scenes := []scene{
		{"before the transaction is applied", func(h *shardTransfer) {
			h.beginTransfer(1500 * time.Millisecond)
			cancelAtEachController(h, stepPending)
		}, 0, 3},
		{"recorded while the transaction is in flight", func(h *shardTransfer) {
			h.onCancelTransaction(h.oldLeader, "j-80", func() { time.Sleep(300 * time.Millisecond) })
			go func() { time.Sleep(100 * time.Millisecond); h.beginTransfer(1500 * time.Millisecond) }()
			stage, answered := h.userRequest(h.oldLeader, http.MethodPost, "j-80")
			if h.currentStep() != stepPending || len(h.nodes[h.oldLeader].member.LedShards()) > 0 {
				h.t.Errorf("the transfer is in step %q", h.currentStep())
			}
			if answered && stage == wire.StageCancelled {
				h.cancelsSent++
			}
		}, 1, 0},
		{"sent by the old leader before, applied after the new leader has loaded", func(h *shardTransfer) {
			sent := false
			h.onCancelTransaction(h.oldLeader, "j-80", func() {
				if sent {
					return
				}
				sent = true
				h.beginTransfer(0)
				time.Sleep(3 * time.Second)
				if h.currentStep() != stepLoaded {
					h.t.Errorf("the transaction is applied in step %q", h.currentStep())
				}
				h.cancelsSent++
			})
			if _, err := h.nodes[h.oldLeader].scheduler.Cancel(context.Background(), "j-80"); err != nil {
				h.cancelsRefused++
			}
			if stage, err := storedStage(h.cluster, "j-80"); stage != wire.StageQueued || err != nil {
				h.t.Errorf("a transaction of the old leader was applied after the transfer: stage %s, %v", stage, err)
			}
		}, 0, 1},
		{"the new leader has not seen the transfer", func(h *shardTransfer) {
			h.delayWatch(h.newLeader, "c/", lag)
			h.beginTransfer(0)
			cancelAtEachController(h, stepUnseen)
		}, 0, 3},
		{"recorded before, confirmed by a third controller while the new leader has not seen the transfer", func(h *shardTransfer) {
			h.recordUnseenCancel()
			h.delayWatch(h.newLeader, "c/", lag)
			h.beginTransfer(0)
			h.cancelDuring(stepUnseen, h.third, "j-80")
		}, 1, 0},
		{"the same, and the third controller reaches no peer until the new leader has loaded", func(h *shardTransfer) {
			h.delayWatch(h.newLeader, "", lag)
			h.recordUnseenCancel()
			h.breakLinks(h.third, h.oldLeader, h.newLeader)
			h.beginTransfer(0)
			h.cancelDuring(stepUnseen, h.third, "j-80")
			if h.nodes[h.newLeader].cancellations.IsCancelled("j-80") {
				h.t.Error("the new leader knows of the cancel")
			}
			h.runFor(6)
			h.awaitStep(stepLoaded)
			h.healLinks(h.third, h.oldLeader, h.newLeader)
		}, 1, 0},
		{"the new leader has read no record", func(h *shardTransfer) {
			h.recordUnseenCancel()
			h.blockLoad("task/")
			h.beginTransfer(0)
			h.awaitStep(stepLoading)
			h.cancelDuring(stepLoading, h.newLeader, "j-80")
			h.cancelDuring(stepLoading, h.newLeader, "j-81")
			h.cancelDuring(stepLoading, h.oldLeader, "j-82")
		}, 1, 2},
		{"the new leader has read the jobs but not the log", func(h *shardTransfer) {
			h.recordUnseenCancel()
			h.blockLoad("log/")
			h.beginTransfer(0)
			h.awaitStep(stepLoading)
			h.cancelDuring(stepLoading, h.third, "j-80")
			h.cancelDuring(stepLoading, h.third, "j-81")
			h.runFor(2)
			h.cancelDuring(stepLoading, h.newLeader, "j-82")
		}, 1, 2},
		{"a third controller asks the old leader", func(h *shardTransfer) {
			h.delayWatch(h.third, "c/", 4*lag)
			h.beginTransfer(0)
			h.awaitStep(stepLoaded)
			if o := h.nodes[h.third].member.ShardLeaders(); o[0] != h.oldLeader {
				h.t.Errorf("the third controller takes %v for the shard leaders", o)
			}
			h.cancelDuring(stepLoaded, h.third, "j-80")
			for _, name := range h.controllerNames {
				if stage, answered := h.userRequest(name, http.MethodGet, "j-80"); !answered || stage != wire.StageCancelled {
					h.t.Errorf("%s reports stage %s, answered %v", name, stage, answered)
				}
			}
		}, 1, 0},
		{"the old leader crashes right after the transaction", func(h *shardTransfer) {
			h.delayWatch(h.newLeader, "c/", lag)
			h.beginTransfer(0)
			h.crash(h.oldLeader)
			h.cancelDuring(stepUnseen, h.third, "j-80")
			h.cancelDuring(stepUnseen, h.newLeader, "j-81")
			h.runFor(8)
			h.cancelDuring(stepLoaded, h.newLeader, "j-80")
			h.start(h.oldLeader)
		}, 1, 2},
		{"the new leader crashes before it has seen the transfer, and restarts", func(h *shardTransfer) {
			h.recordUnseenCancel()
			h.delayWatch(h.newLeader, "c/", lag)
			h.beginTransfer(0)
			h.cancelDuring(stepUnseen, h.third, "j-80")
			h.crash(h.newLeader)
			h.cancelDuring(stepUnseen, h.oldLeader, "j-81")
			h.awaitStep(stepUnclaimed)
			h.cancelDuring(stepUnclaimed, h.third, "j-82")
			h.start(h.newLeader) // after the restart it knows no cancels
		}, 2, 1},
		{"the old leader is cut off and its start commands are delayed right after the transaction", func(h *shardTransfer) {
			h.withLock(func() { h.holdsCommand = func() bool { return true } })
			if _, answered := h.userRequest(h.oldLeader, http.MethodPost, "j-82"); !answered { // frees CPUs for tasks of the other jobs
				h.t.Error("the first cancel was not answered")
			}
			h.sendReports()
			time.Sleep(500 * time.Millisecond)
			h.beginTransfer(0)
			h.breakLinks(h.oldLeader, append(h.workerNames(), h.newLeader, h.third, stateService)...)
			h.awaitStep(stepLoaded)
			for _, uid := range []string{"j-80", "j-81"} {
				for range 10 {
					if h.cancelDuring(stepLoaded, h.newLeader, uid) {
						break
					}
					h.cancelsRefused--
					h.cancelsSent--
					h.runFor(1)
				}
			}
			h.runFor(3)
			if late := h.deliverHeldCommands(); late == 0 {
				h.t.Error("no start command was held back")
			}
			h.withLock(func() { h.holdsCommand = nil })
			h.runFor(11)
			h.healLinks(h.oldLeader, append(h.workerNames(), h.newLeader, h.third, stateService)...)
		}, 2, 0},
	}
	for i, s := range scenes {
		t.Run(s.name, func(t *testing.T) {
			runOnCluster(t, 3720+uint64(i), 3, 6, func(w *cluster) {
				h := &shardTransfer{cluster: w, oldLeader: w.leader(), jobs: []string{"j-80", "j-81", "j-82"}}
				others := w.otherControllers(h.oldLeader)
				h.newLeader, h.third, h.losslessReports = others[0], others[1], true
				for _, n := range w.nodes {
					n.view.LoseResponse, n.view.Hold = nil, nil
				}
				h.recordLateStarts()
				for _, uid := range h.jobs {
					w.submit(uid, 12)
				}
				w.runFor(12)
				if n := h.countUnfinishedTasks(); n < 24 {
					h.t.Fatalf("only %d tasks are running", n)
				}
				h.failoversBefore = w.nodes[h.newLeader].scheduler.Counters().Failovers
				s.play(h)
				if h.cancelsRefused != s.refused || h.cancelsSent-h.cancelsRefused != s.confirmed {
					h.t.Errorf("%d cancels were sent in the step, %d of them refused; want %d and %d", h.cancelsSent, h.cancelsRefused, s.confirmed+s.refused, s.refused)
				}
				h.checkCancelsFinal()
			})
		})
	}
}

// recordLateStarts records each start of a task whose user was told before that the job is cancelled.
func (h *shardTransfer) recordLateStarts() {
	for _, k := range h.workers {
		started := k.OnStart
		k.OnStart = func(task string, attempt uint64) {
			started(task, attempt)
			uid, _, _ := wire.ParseTask(task)
			if at, cancelled := h.confirmedCancels[uid]; cancelled && time.Since(at) > 0 { // else the command was in flight
				h.lateStarts = append(h.lateStarts, fmt.Sprintf("%s on %s %v after its cancel", task, k.Name, time.Since(at)))
			}
		}
	}
}

// countUnfinishedTasks counts the unfinished tasks of all jobs on workers.
func (h *shardTransfer) countUnfinishedTasks() (n int) {
	for _, uid := range h.jobs {
		n += h.unfinishedTasks(uid)
	}
	return n
}

// checkCancelsFinal ends the fault and has users repeat their cancels until they are confirmed. It
// checks that no task of the jobs starts or remains, and that no controller reports another stage.
func (h *shardTransfer) checkCancelsFinal() {
	h.t.Helper()
	h.loadBlocked.Store(false)
	h.mu.Lock()
	h.watchLagOf = nil
	h.mu.Unlock()
	h.runFor(3)
	for _, uid := range h.jobs {
		if h.cancelJobs(h.third, []string{uid}, 20) != 1 {
			h.t.Errorf("%s is not cancelled", uid)
		}
	}
	for range int(h.cfg.Params.Workers.CancelS) + 5 {
		h.runFor(1)
		for _, name := range h.controllerNames {
			h.userRequest(name, http.MethodGet, h.jobs[h.planIntN(len(h.jobs))]) // fails on any stage other than cancelled
		}
	}
	if n := h.countUnfinishedTasks(); n > 0 {
		h.t.Errorf("%d tasks of cancelled jobs are running", n)
	}
	if !h.jobsEnded(h.jobs...)() {
		h.t.Errorf("only these jobs ended: %v", h.store.Keys("final/"))
	}
	for _, late := range h.lateStarts {
		h.t.Errorf("%s", late)
	}
}
