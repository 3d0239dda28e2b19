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

// Steps of a transfer, as the store and the taker show them.
const (
	stepPending = "pending" // called, and not carried out: the giver owns nothing any more
	stepUntold  = "untold"  // carried out, and the taker's watch has not told of it
	stepLoading = "loading" // the taker reads the records
	stepLoaded  = "loaded"
	stepUnowned = "unowned" // the taker ended: its keys are gone, and nobody has claimed them
)

// handOver is a cluster in which one controller gives its shards to another, while users
// cancel jobs of which some tasks run and others wait for room.
type handOver struct {
	*cluster
	giver, taker, third string
	jobs                []string
	takeovers           int         // of the taker, before
	hold                atomic.Bool // whether the taker's load waits
	fell                int         // cancels asked for in the step
	refused             int         // of those, the ones that were not confirmed
	lateStarts          []string    // tasks that started after their users had heard of the cancel
}

// step tells how far the transfer has come.
func (h *handOver) step() string {
	it, err := (&testkit.View{Store: h.store}).Get(context.Background(), "c/shard/000")
	var record struct {
		Node string `json:"node"`
	}
	if errors.Is(err, statestore.ErrNotFound) {
		return stepUnowned
	}
	if err != nil || json.Unmarshal(it.Value, &record) != nil {
		h.t.Fatalf("the shard's key: %s, %v", it.Value, err)
	}
	taker := h.nodes[h.taker]
	switch {
	case record.Node == h.giver:
		return stepPending
	case len(taker.member.ClaimedShards()) == 0:
		return stepUntold
	case taker.scheduler.Counters().Failovers == h.takeovers:
		return stepLoading
	}
	return stepLoaded
}

// cancelIn has a user cancel a job at a controller while the transfer is at a step, and
// reports whether its user heard that it is cancelled.
func (h *handOver) cancelIn(step, at, uid string) bool {
	if got := h.step(); got != step {
		h.t.Errorf("the cancel of %s at %s comes at %q, not %q", uid, at, got, step)
	}
	stage, heard := h.user(at, http.MethodPost, uid)
	h.fell++
	if !heard || stage != wire.StageCancelled {
		h.refused++
	}
	return heard && stage == wire.StageCancelled
}

// begin has the giver transfer its shards; the transaction is held for a time before it is carried out.
func (h *handOver) begin(held time.Duration) {
	sending := h.nodes[h.giver].view.Sending.Get()
	h.nodes[h.giver].view.Sending.Set(func(txn wire.Txn) {
		if sending != nil {
			sending(txn)
		}
		if slices.ContainsFunc(txn.Then, func(op wire.Op) bool { return op.Put == "c/moves" }) {
			time.Sleep(held)
		}
	})
	go func() { _ = h.nodes[h.giver].member.TransferShards(context.Background(), h.taker) }() // its outcome is read in the store
	time.Sleep(20 * time.Millisecond)
}

// onCancel has f called when a controller sends the transaction of a job's cancel.
func (h *handOver) onCancel(at, uid string, f func()) {
	h.nodes[at].view.Sending.Set(func(txn wire.Txn) {
		if len(txn.Then) == 1 && txn.Then[0].Put == "live/"+uid {
			f()
		}
	})
}

// recordUnheard records the cancel of j-80 at the giver; nobody hears of it, since the store's
// answer is lost and the user's connection with it, and the giver's watch lags.
func (h *handOver) recordUnheard() {
	const uid = "j-80"
	h.delayWatch(h.giver, "live/", 3*time.Second)
	var lose atomic.Bool
	h.onCancel(h.giver, uid, func() { lose.Store(true) })
	h.nodes[h.giver].view.Lose = func() bool { return lose.Swap(false) }
	if state, err := h.nodes[h.giver].scheduler.Cancel(context.Background(), uid); err == nil {
		h.t.Errorf("%s is called %s, though the answer was lost", uid, state.Stage)
	}
	if s, err := storedStage(h.cluster, uid); err != nil || s != wire.StageCancelled {
		h.t.Errorf("%s is recorded as %s, %v", uid, s, err)
	}
	h.nodes[h.giver].view.Sending.Set(nil)
	h.nodes[h.giver].view.Lose = nil
}

// holdLoad has the taker's load wait before it reads the keys with a prefix.
func (h *handOver) holdLoad(prefix string) {
	h.hold.Store(true)
	h.nodes[h.taker].view.Listing.Set(func(p string) {
		for p == prefix && h.hold.Load() {
			time.Sleep(10 * time.Millisecond)
		}
	})
}

// until waits, without letting workers report, until the transfer is at a step.
func (h *handOver) until(step string) {
	for range 1000 {
		if h.step() == step {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.t.Fatalf("the hand-over is at %q, not %q", h.step(), step)
}

func storedStage(w *cluster, uid string) (string, error) {
	state, err := scheduler.StoredState(context.Background(), &testkit.View{Store: w.store}, uid)
	return state.Stage, err
}

// A cancel meets each step of a transfer, at the giver, at the taker and at a third
// controller. Where nobody may answer for the shard it is refused; once it is confirmed it
// is final at every controller: no task of the job starts afterwards, and all are gone in
// time, however the load of the shard and the list of cancels follow each other.
func TestCancelDuringShardTransferIsFinal(t *testing.T) {
	type scene struct {
		name      string
		play      func(h *handOver)
		confirmed int // cancels that must be confirmed in the step
		refused   int // and refused
	}
	const lag = 3 * time.Second
	everywhere := func(h *handOver, step string) { // a job at each controller
		h.cancelIn(step, h.giver, "j-80")
		h.cancelIn(step, h.taker, "j-81")
		h.cancelIn(step, h.third, "j-82")
	}
	scenes := []scene{
		{"before the transaction", func(h *handOver) {
			h.begin(1500 * time.Millisecond)
			everywhere(h, stepPending)
		}, 0, 3},
		{"recorded before the transaction, which is on its way", func(h *handOver) {
			h.onCancel(h.giver, "j-80", func() { time.Sleep(300 * time.Millisecond) })
			go func() { time.Sleep(100 * time.Millisecond); h.begin(1500 * time.Millisecond) }()
			stage, heard := h.user(h.giver, http.MethodPost, "j-80")
			if h.step() != stepPending || len(h.nodes[h.giver].member.LedShards()) > 0 {
				h.t.Errorf("the hand-over is at %q", h.step())
			}
			if heard && stage == wire.StageCancelled {
				h.fell++
			}
		}, 1, 0},
		{"sent by the giver before, carried out after the taker has loaded", func(h *handOver) {
			sent := false
			h.onCancel(h.giver, "j-80", func() {
				if sent {
					return
				}
				sent = true
				h.begin(0)
				time.Sleep(3 * time.Second)
				if h.step() != stepLoaded {
					h.t.Errorf("the transaction is carried out at %q", h.step())
				}
				h.fell++
			})
			if _, err := h.nodes[h.giver].scheduler.Cancel(context.Background(), "j-80"); err != nil {
				h.refused++
			}
			if stage, err := storedStage(h.cluster, "j-80"); stage != wire.StageQueued || err != nil {
				h.t.Errorf("recorded behind the new owner's back: %s, %v", stage, err)
			}
		}, 0, 1},
		{"the taker is not told", func(h *handOver) {
			h.delayWatch(h.taker, "c/", lag)
			h.begin(0)
			everywhere(h, stepUntold)
		}, 0, 3},
		{"recorded before, confirmed by a third while the taker is not told", func(h *handOver) {
			h.recordUnheard()
			h.delayWatch(h.taker, "c/", lag)
			h.begin(0)
			h.cancelIn(stepUntold, h.third, "j-80")
		}, 1, 0},
		{"the same, and the third reaches no peer until the taker has loaded", func(h *handOver) {
			h.delayWatch(h.taker, "", lag)
			h.recordUnheard()
			h.cutAll(h.third, h.giver, h.taker)
			h.begin(0)
			h.cancelIn(stepUntold, h.third, "j-80")
			if h.nodes[h.taker].cancellations.IsCancelled("j-80") {
				h.t.Error("the taker knows of the cancel")
			}
			h.live(6)
			h.until(stepLoaded)
			h.healLinks(h.third, h.giver, h.taker)
		}, 1, 0},
		{"the taker has read no record", func(h *handOver) {
			h.recordUnheard()
			h.holdLoad("task/")
			h.begin(0)
			h.until(stepLoading)
			h.cancelIn(stepLoading, h.taker, "j-80")
			h.cancelIn(stepLoading, h.taker, "j-81")
			h.cancelIn(stepLoading, h.giver, "j-82")
		}, 1, 2},
		{"the taker has read the jobs, and not the log", func(h *handOver) {
			h.recordUnheard()
			h.holdLoad("log/")
			h.begin(0)
			h.until(stepLoading)
			h.cancelIn(stepLoading, h.third, "j-80")
			h.cancelIn(stepLoading, h.third, "j-81")
			h.live(2)
			h.cancelIn(stepLoading, h.taker, "j-82")
		}, 1, 2},
		{"a third asks the former owner", func(h *handOver) {
			h.delayWatch(h.third, "c/", 4*lag)
			h.begin(0)
			h.until(stepLoaded)
			if o := h.nodes[h.third].member.ShardLeaders(); o[0] != h.giver {
				h.t.Errorf("the third knows of %v", o)
			}
			h.cancelIn(stepLoaded, h.third, "j-80")
			for _, name := range h.names {
				if stage, heard := h.user(name, http.MethodGet, "j-80"); !heard || stage != wire.StageCancelled {
					h.t.Errorf("%s says %s, %v", name, stage, heard)
				}
			}
		}, 1, 0},
		{"the giver ends right after the transaction", func(h *handOver) {
			h.delayWatch(h.taker, "c/", lag)
			h.begin(0)
			h.crash(h.giver)
			h.cancelIn(stepUntold, h.third, "j-80")
			h.cancelIn(stepUntold, h.taker, "j-81")
			h.live(8)
			h.cancelIn(stepLoaded, h.taker, "j-80")
			h.start(h.giver)
		}, 1, 2},
		{"the taker ends before it is told, and is back", func(h *handOver) {
			h.recordUnheard()
			h.delayWatch(h.taker, "c/", lag)
			h.begin(0)
			h.cancelIn(stepUntold, h.third, "j-80")
			h.crash(h.taker)
			h.cancelIn(stepUntold, h.giver, "j-81")
			h.until(stepUnowned)
			h.cancelIn(stepUnowned, h.third, "j-82")
			h.start(h.taker) // it knows no cancels
		}, 2, 1},
		{"the giver's launches and the giver are held up right after the transaction", func(h *handOver) {
			h.locked(func() { h.holdsCommand = func() bool { return true } })
			if _, heard := h.user(h.giver, http.MethodPost, "j-82"); !heard { // makes room for tasks of the others
				h.t.Error("the first cancel is not heard")
			}
			h.sendReports()
			time.Sleep(500 * time.Millisecond)
			h.begin(0)
			h.cutAll(h.giver, append(h.workerNames(), h.taker, h.third, stateService)...)
			h.until(stepLoaded)
			for _, uid := range []string{"j-80", "j-81"} {
				for range 10 {
					if h.cancelIn(stepLoaded, h.taker, uid) {
						break
					}
					h.refused--
					h.fell--
					h.live(1)
				}
			}
			h.live(3)
			if late := h.release(); late == 0 {
				h.t.Error("no launch was held up")
			}
			h.locked(func() { h.holdsCommand = nil })
			h.live(11)
			h.healLinks(h.giver, append(h.workerNames(), h.taker, h.third, stateService)...)
		}, 2, 0},
	}
	for i, s := range scenes {
		t.Run(s.name, func(t *testing.T) {
			onCluster(t, 3720+uint64(i), 3, 6, func(w *cluster) {
				h := &handOver{cluster: w, giver: w.leader(), jobs: []string{"j-80", "j-81", "j-82"}}
				others := w.others(h.giver)
				h.taker, h.third, h.losslessReports = others[0], others[1], true
				for _, n := range w.nodes {
					n.view.Lose, n.view.Late = nil, nil
				}
				h.watchStarts()
				for _, uid := range h.jobs {
					w.submit(uid, 12)
				}
				w.live(12)
				if n := h.running(); n < 24 {
					h.t.Fatalf("%d tasks are on", n)
				}
				h.takeovers = w.nodes[h.taker].scheduler.Counters().Failovers
				s.play(h)
				if h.refused != s.refused || h.fell-h.refused != s.confirmed {
					h.t.Errorf("%d cancels fell into the step, %d of them were refused; not %d and %d", h.fell, h.refused, s.confirmed+s.refused, s.refused)
				}
				h.settle()
			})
		})
	}
}

// watchStarts notes each start of a task whose user had heard that its job is cancelled.
func (h *handOver) watchStarts() {
	for _, k := range h.workers {
		started := k.Started
		k.Started = func(task string, attempt uint64) {
			started(task, attempt)
			uid, _, _ := wire.ParseTask(task)
			if at, heard := h.confirmedCancels[uid]; heard && time.Since(at) > 0 { // else the command was on its way
				h.lateStarts = append(h.lateStarts, fmt.Sprintf("%s on %s %v after its cancel", task, k.Name, time.Since(at)))
			}
		}
	}
}

// running counts the tasks of all jobs that are on workers.
func (h *handOver) running() (n int) {
	for _, uid := range h.jobs {
		n += h.onMachines(uid)
	}
	return n
}

// settle ends the fault, has users come back until they hear of their cancels, and checks
// that nothing of the jobs starts or is on any more, and that nobody says anything else.
func (h *handOver) settle() {
	h.t.Helper()
	h.hold.Store(false)
	h.mu.Lock()
	h.behind = nil
	h.mu.Unlock()
	h.live(3)
	for _, uid := range h.jobs {
		if h.cancelAll(h.third, []string{uid}, 20) != 1 {
			h.t.Errorf("%s is not cancelled", uid)
		}
	}
	for range int(h.cfg.Params.Workers.CancelS) + 5 {
		h.live(1)
		for _, name := range h.names {
			h.user(name, http.MethodGet, h.jobs[h.draw(len(h.jobs))]) // fails on anything but cancelled
		}
	}
	if n := h.running(); n > 0 {
		h.t.Errorf("%d tasks are on", n)
	}
	if !h.ended(h.jobs...)() {
		h.t.Errorf("only %v ended", h.store.Keys("final/"))
	}
	for _, late := range h.lateStarts {
		h.t.Errorf("%s", late)
	}
}
