package scheduler_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// A job ends in the transaction that writes over the log record which names it: a chunk
// record that the same transaction saved for that would stay in the state service until the
// next takeover.
func TestEndedJobLeavesNoChunkRecord(t *testing.T) {
	f := newFleet(t, 1, 0, withLogSlots(1))
	f.items = map[string][]wire.Item{
		"live/": {
			{Key: "live/j-1", Version: 1, Value: json.RawMessage(`{"job":{"uid":"j-1","docket":"c","crew":"t","sort":"sweep","pieces":1,"cpus":2}}`)},
			{Key: "live/j-2", Version: 2, Value: json.RawMessage(`{"job":{"uid":"j-2","docket":"c","crew":"t","sort":"sweep","pieces":2,"cpus":2}}`)},
		},
		"log/": {{Key: "log/000/00000", Version: 1, Value: json.RawMessage(`{"seq":1,"m":["n-000000"],"j":[{"u":"j-1","p":[0,1,0]},{"u":"j-2","p":[0,1,0]}]}`)}},
	}
	keys := map[string]bool{}
	f.sent = func(ops []wire.Op) {
		for _, op := range ops {
			delete(keys, op.Delete)
			keys[op.Put] = op.Put != ""
		}
	}
	f.owner.Unload()
	if err := f.owner.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	v := f.views[0]
	v.Seq, v.Token = v.Seq+1, 7
	for _, task := range []string{"j-1/0", "j-2/0"} {
		v.Tasks = append(v.Tasks, dispatch.TaskView{Task: wire.Task{Task: task, Attempt: 1, State: wire.TaskExited, Cause: wire.CauseDone}})
	}
	f.owner.ObserveWorker(v)
	if err := f.owner.Record(t.Context()); err != nil {
		t.Fatal(err)
	}
	if s, ok := f.owner.LocalState("j-1"); !ok || s.Stage != wire.StageDone || !keys["final/j-1"] || !keys["task/j-2/00000"] {
		t.Errorf("the ended job is %+v, %v, and the other's chunk is not saved: %v", s, ok, keys)
	}
	for key := range keys {
		if strings.HasPrefix(key, "task/j-1/") {
			t.Errorf("%s stays", key)
		}
	}
}
