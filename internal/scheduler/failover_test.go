package scheduler_test

import (
	"encoding/json"
	"testing"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// After old log records are overwritten, a new leader must still restore the whole state: log
// records replayed in order yield the placements and ended tasks that a newer chunk record does
// not cover.
func TestReplayAppliesOnlyWhatChunkRecordDoesNotCover(t *testing.T) {
	cluster := newCluster(t, 0, 0)
	placements, done := cluster.scheduler.ReplayRecords(4, 2, []string{
		`{"seq":1,"m":["n-1","n-2"],"j":[{"u":"j-1","p":[0,1,0, 1,2,1, 3,3,0]}]}`,
		`{"seq":2,"j":[{"u":"j-1","d":[3]}]}`,
		`{"seq":3,"m":["n-3"],"j":[{"u":"j-1","x":[0,1],"p":[0,4,0]}]}`,
		`{"seq":4,"j":[{"u":"j-1","d":[1], "x":[9,9]}]}`,
	})
	// The chunk record covers log records up to 2, which include the placement of task 1.
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
	// A new leader does not retry a task that failed for good.
	placements, done = cluster.scheduler.ReplayRecords(4, 0, []string{
		`{"seq":1,"m":["n-1"],"j":[{"u":"j-1","p":[0,1,0, 1,2,0]}]}`,
		`{"seq":2,"j":[{"u":"j-1","f":[1,1,7]}]}`,
	})
	if len(placements) != 1 || len(done) != 1 || done[0] != 1 {
		t.Errorf("placements %v, done %v", placements, done)
	}
}

// A dispatcher may keep the queue of a former leader and request grants for it indefinitely. If
// the new leader took the queued placements as confirmed, their jobs would never end. A
// heartbeat with a newer token settles these placements, and the queue entries that no leader
// will grant are removed.
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
		t.Error("the placement is settled by a heartbeat with an old token, although its start may still arrive")
	}
	pending, halts := observe(7)
	if pending != 1 {
		t.Error("the placement is not settled by a heartbeat with the new token")
	}
	if halts == 0 {
		t.Error("the entry is not removed from the queue")
	}
}

// A job that is accepted after a new leader has listed the jobs, but before it has read the
// other records, must be added to its state: otherwise no leader has the job, and it stays
// queued forever.
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
		t.Errorf("the job's state is %+v, %v", state, ok)
	}
}
