package scheduler_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// A controller that lost its shard in a failover repeats the write of a job's end for which it
// received no response. Its successor may have written a log record with the same key and
// sequence number, or the job's end as cancelled. The controller must not mistake these for its
// own write: it must not report the job as done, and must not clear the task, because the
// successor would then never receive a heartbeat with the task.
func TestSuccessorsLogRecordIsNotMistakenForOwnWrite(t *testing.T) {
	const slot, shard = "log/000/00001", "c/shard/000"
	for _, c := range []struct {
		name string
		keys []string
		own  bool // the write was definitely applied
	}{
		{"successor wrote the log", []string{shard, slot}, false},
		{"successor wrote the log and the end", []string{shard, slot, "live/j-1"}, false},
		{"successor recorded the end", []string{shard, "live/j-1"}, false},
		{"applied, and the response lost", []string{slot, "live/j-1"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			leader, store := newScriptedScheduler(t)
			_, record := acceptedJob(t, 5)
			other := wire.Item{Key: "live/j-2", Version: 5, // a job that is not over, so that the log is written too
				Value: json.RawMessage(strings.NewReplacer("j-1", "j-2", `"pieces":1`, `"pieces":2`).Replace(string(record.Value)))}
			store.items["live/"] = []wire.Item{record, other}
			store.items["log/"] = []wire.Item{{
				Key: "log/000/00000", Version: 6,
				Value: json.RawMessage(`{"seq":1,"m":["n-1"],"j":[{"u":"j-1","p":[0,1,0]},{"u":"j-2","p":[0,1,0]}]}`),
			}}
			if err := leader.Load(t.Context()); err != nil {
				t.Fatal(err)
			}
			leader.ObserveWorker(dispatch.WorkerView{
				Name: "n-1", Type: "m", Zone: "z", Session: 1, Seq: 1, Token: 7, Dispatcher: "a",
				Tasks: []dispatch.TaskView{
					{Task: wire.Task{Task: "j-1/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseDone}},
					{Task: wire.Task{Task: "j-2/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseDone}},
				},
			})
			if err := leader.WriteOnce(t.Context()); err == nil {
				t.Fatal("the first write has a response")
			}
			store.txn = func() (uint64, error) { return 0, &statestore.ConflictError{Keys: c.keys} }
			store.get = func(key string) (wire.Item, error) {
				if key == slot {
					return wire.Item{Key: slot, Version: 20, Value: json.RawMessage(`{"seq":2,"j":[{"u":"j-9","d":[0]}]}`)}, nil
				}
				return wire.Item{}, statestore.ErrNotFound
			}
			if err := leader.WriteOnce(t.Context()); err != nil {
				t.Fatal(err)
			}
			state, ok := leader.LocalState("j-1")
			if done := ok && state.Stage == wire.StageDone; done != c.own {
				t.Errorf("the job is %+v, %v", state, ok)
			}
			if _, clears := leader.OutboxCounts(); clears > 0 != c.own {
				t.Errorf("%d clears in the outbox", clears)
			}
		})
	}
}

// A job ends in the same transaction that overwrites the log record which names it. If that
// transaction also saved a chunk record of the job, the record would remain in the state
// service until the next failover.
func TestEndedJobLeavesNoChunkRecord(t *testing.T) {
	cluster := newCluster(t, 1, 0, withLogSlots(1))
	cluster.items = map[string][]wire.Item{
		"live/": {
			{Key: "live/j-1", Version: 1, Value: json.RawMessage(`{"job":{"uid":"j-1","docket":"c","crew":"t","sort":"sweep","pieces":1,"cpus":2}}`)},
			{Key: "live/j-2", Version: 2, Value: json.RawMessage(`{"job":{"uid":"j-2","docket":"c","crew":"t","sort":"sweep","pieces":2,"cpus":2}}`)},
		},
		"log/": {{Key: "log/000/00000", Version: 1, Value: json.RawMessage(`{"seq":1,"m":["n-000000"],"j":[{"u":"j-1","p":[0,1,0]},{"u":"j-2","p":[0,1,0]}]}`)}},
	}
	keys := map[string]bool{}
	cluster.onTxn = func(ops []wire.Op) {
		for _, op := range ops {
			delete(keys, op.Delete)
			keys[op.Put] = op.Put != ""
		}
	}
	cluster.scheduler.Unload()
	if err := cluster.scheduler.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	view := cluster.views[0]
	view.Seq, view.Token = view.Seq+1, 7
	for _, task := range []string{"j-1/0", "j-2/0"} {
		view.Tasks = append(view.Tasks, dispatch.TaskView{Task: wire.Task{Task: task, Attempt: 1, State: wire.TaskExited, Cause: wire.CauseDone}})
	}
	cluster.scheduler.ObserveWorker(view)
	if err := cluster.scheduler.WriteAll(t.Context()); err != nil {
		t.Fatal(err)
	}
	if state, ok := cluster.scheduler.LocalState("j-1"); !ok || state.Stage != wire.StageDone || !keys["final/j-1"] || !keys["task/j-2/00000"] {
		t.Errorf("the ended job is %+v, %v, or the other job's chunk is not saved: %v", state, ok, keys)
	}
	for key := range keys {
		if strings.HasPrefix(key, "task/j-1/") {
			t.Errorf("%s is not deleted", key)
		}
	}
}

// The changes of a write that definitely failed are written again if the controller has led the
// shard without interruption. They are not written again after the controller has lost the
// shard, even if it leads the shard again.
func TestFailedWriteIsRepeatedByItsOwnLeadershipOnly(t *testing.T) {
	for _, c := range []struct {
		name              string
		lost, led, repeat bool
	}{
		{"the shard is still led", false, true, true},
		{"the shard was lost and is led again", true, true, false},
		{"the shard was lost", true, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			leader, store := newScriptedScheduler(t)
			_, record := acceptedJob(t, 5)
			record.Value = json.RawMessage(strings.Replace(string(record.Value), `"pieces":1`, `"pieces":2`, 1))
			store.items["live/"] = []wire.Item{record}
			store.items["log/"] = []wire.Item{{
				Key: "log/000/00000", Version: 6,
				Value: json.RawMessage(`{"seq":1,"m":["n-1"],"j":[{"u":"j-1","p":[0,1,0]}]}`),
			}}
			if err := leader.Load(t.Context()); err != nil {
				t.Fatal(err)
			}
			leader.ObserveWorker(dispatch.WorkerView{
				Name: "n-1", Type: "m", Zone: "z", Session: 1, Seq: 1, Token: 7, Dispatcher: "a",
				Tasks: []dispatch.TaskView{{Task: wire.Task{Task: "j-1/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseDone}}},
			})
			if err := leader.WriteOnce(t.Context()); err == nil {
				t.Fatal("the first write has a response")
			}
			if c.lost {
				leader.Unload()
			}
			if c.lost && c.led {
				if err := leader.Load(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			store.txn = func() (uint64, error) { return 0, &statestore.ConflictError{Keys: []string{"c/shard/000"}} }
			store.get = func(string) (wire.Item, error) { return wire.Item{}, statestore.ErrNotFound }
			if err := leader.WriteOnce(t.Context()); err != nil {
				t.Fatal(err)
			}
			if n := leader.QueueDepths()["unwritten"]; n > 0 != c.repeat {
				t.Errorf("%d changes are queued for writing", n)
			}
		})
	}
}
