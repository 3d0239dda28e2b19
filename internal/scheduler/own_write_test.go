package scheduler_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// A controller whose shard was taken over repeats the write of a job's end, of which it had
// no answer. What its successor wrote meanwhile (a log record with the same key and number,
// or the end as cancelled) is not its own write: it must call no job done and clear no
// task, of which the successor would never hear.
func TestSuccessorsRecordIsNotOurOwnWrite(t *testing.T) {
	const slot, shard = "log/000/00001", "c/shard/000"
	for _, c := range []struct {
		name string
		keys []string
		own  bool // whether the write was surely applied
	}{
		{"successor wrote the log", []string{shard, slot}, false},
		{"successor wrote the log and the end", []string{shard, slot, "live/j-1"}, false},
		{"successor recorded the end", []string{shard, "live/j-1"}, false},
		{"applied, and the answer lost", []string{slot, "live/j-1"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			o, s := scripted(t)
			_, record := live(t, 5)
			other := wire.Item{Key: "live/j-2", Version: 5, // a job that goes on, so that the log is written too
				Value: json.RawMessage(strings.NewReplacer("j-1", "j-2", `"pieces":1`, `"pieces":2`).Replace(string(record.Value)))}
			s.items["live/"] = []wire.Item{record, other}
			s.items["log/"] = []wire.Item{{
				Key: "log/000/00000", Version: 6,
				Value: json.RawMessage(`{"seq":1,"m":["n-1"],"j":[{"u":"j-1","p":[0,1,0]},{"u":"j-2","p":[0,1,0]}]}`),
			}}
			if err := o.Load(t.Context()); err != nil {
				t.Fatal(err)
			}
			o.ObserveWorker(dispatch.WorkerView{
				Name: "n-1", Type: "m", Zone: "z", Session: 1, Seq: 1, Token: 7, Holder: "a",
				Tasks: []dispatch.TaskView{
					{Task: wire.Task{Task: "j-1/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseDone}},
					{Task: wire.Task{Task: "j-2/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseDone}},
				},
			})
			if err := o.WriteOnce(t.Context()); err == nil {
				t.Fatal("the first write has an answer")
			}
			s.txn = func() (uint64, error) { return 0, &statestore.Conflict{Keys: c.keys} }
			s.get = func(key string) (wire.Item, error) {
				if key == slot {
					return wire.Item{Key: slot, Version: 20, Value: json.RawMessage(`{"seq":2,"j":[{"u":"j-9","d":[0]}]}`)}, nil
				}
				return wire.Item{}, statestore.ErrNotFound
			}
			if err := o.WriteOnce(t.Context()); err != nil {
				t.Fatal(err)
			}
			st, ok := o.LocalState("j-1")
			if done := ok && st.Stage == wire.StageDone; done != c.own {
				t.Errorf("the job is %+v, %v", st, ok)
			}
			if _, clears := o.Directions(); clears > 0 != c.own {
				t.Errorf("%d clears", clears)
			}
		})
	}
}
