package scheduler_test

import (
	"encoding/json"
	"testing"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// A log that is written over must still give a new leader all that it may not forget: records
// replayed in order give the placements and ended tasks that a chunk's own record, if it is
// newer, does not cover.
func TestReplayAppliesOnlyWhatChunkRecordDoesNotCover(t *testing.T) {
	cluster := newCluster(t, 0, 0)
	placements, done := cluster.scheduler.ReplayRecords(4, 2, []string{
		`{"seq":1,"m":["n-1","n-2"],"j":[{"u":"j-1","p":[0,1,0, 1,2,1, 3,3,0]}]}`,
		`{"seq":2,"j":[{"u":"j-1","d":[3]}]}`,
		`{"seq":3,"m":["n-3"],"j":[{"u":"j-1","x":[0,1],"p":[0,4,0]}]}`,
		`{"seq":4,"j":[{"u":"j-1","d":[1], "x":[9,9]}]}`,
	})
	// The chunk's record covers log records up to 2: placement 1 of task 1 was in it.
	if len(placements) != 1 || placements[0] != "j-1/0 4 n-3" || len(done) != 1 || done[0] != 1 {
		t.Errorf("placements %v, done %v", placements, done)
	}
	placements, done = cluster.scheduler.ReplayRecords(4, 0, []string{
		`{"seq":1,"m":["n-1","n-2"],"j":[{"u":"j-1","p":[0,1,0, 1,2,1, 3,3,0]}]}`,
		`{"seq":2,"j":[{"u":"j-1","d":[3]}]}`,
	})
	if len(placements) != 2 || len(done) != 1 || done[0] != 3 {
		t.Errorf("placements %v, done %v", placements, done)
	}
	// A task that failed for good is not tried again by a new leader.
	placements, done = cluster.scheduler.ReplayRecords(4, 0, []string{
		`{"seq":1,"m":["n-1"],"j":[{"u":"j-1","p":[0,1,0, 1,2,0]}]}`,
		`{"seq":2,"j":[{"u":"j-1","f":[1,1,7]}]}`,
	})
	if len(placements) != 1 || len(done) != 1 || done[0] != 1 {
		t.Errorf("placements %v, done %v", placements, done)
	}
}

// A dispatcher kept the queue of a former leader and requested grants of it for ever; the new
// leader took the queued placements for confirmed, and 19 jobs were never done. A heartbeat with a
// newer token settles them, and the entries that nobody will grant leave the queue.
func TestHeartbeatWithFreshTokenSettlesPredecessorsQueue(t *testing.T) {
	cluster := newCluster(t, 1, 0)
	cluster.items = map[string][]wire.Item{
		"live/": {{Key: "live/j-1", Version: 1, Value: json.RawMessage(`{"job":{"uid":"j-1","docket":"c","crew":"t","sort":"sweep","pieces":1,"cpus":2}}`)}},
		"log/":  {{Key: "log/000/00000", Version: 1, Value: json.RawMessage(`{"seq":1,"m":["n-000000"],"j":[{"u":"j-1","p":[0,1,0]}]}`)}},
	}
	cluster.scheduler.Unload()
	if err := cluster.scheduler.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	view := cluster.views[0]
	view.Queue = []dispatch.QueueView{{TaskRef: dispatch.TaskRef{Worker: view.Name, Task: "j-1/0", Attempt: 1}}}
	observe := func(token uint64) (pending, halts int) {
		view.Seq, view.Token = view.Seq+1, token
		cluster.scheduler.ObserveWorker(view)
		halts, _ = cluster.scheduler.OutboxCounts()
		return cluster.scheduler.QueueDepths()["pending"], halts
	}
	if pending, _ := observe(6); pending != 0 {
		t.Error("settled by a heartbeat with an old token: its start may yet arrive")
	}
	pending, halts := observe(7)
	if pending != 1 {
		t.Error("not settled by a heartbeat with the new token")
	}
	if halts == 0 {
		t.Error("the entry stays in the queue")
	}
}

// A job that is accepted after a new leader has listed the jobs, and before it has read the rest,
// was in no leader's state: its user saw it queued for ever.
func TestJobAcceptedDuringFailoverIsLoaded(t *testing.T) {
	cluster := newCluster(t, 1, 0)
	cluster.scheduler.Unload()
	spec := &wire.Job{UID: "j-late", Class: "c", Team: "t", Kind: wire.KindArray, Priority: "low", Tasks: 3, CPUs: 1, EstimateS: 9}
	cluster.onList = func(prefix string) {
		if prefix == "log/" {
			cluster.scheduler.JobAccepted(spec, nil, 0, 0, 5)
		}
	}
	if err := cluster.scheduler.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	if depths := cluster.scheduler.QueueDepths(); depths["jobs"] != 1 || depths["pending"] != 3 {
		t.Errorf("after the failover: %v", depths)
	}
	if state, ok := cluster.scheduler.LocalState("j-late"); !ok || state.Stage != wire.StageQueued {
		t.Errorf("state %+v, %v", state, ok)
	}
}
