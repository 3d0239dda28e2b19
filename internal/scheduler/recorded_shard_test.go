package scheduler_test

import (
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// recordedShard returns the recorded items of a shard whose leader overwrote its log after two
// records. Of j-1, tasks 0 and 3 are done (3 only according to the log), task 1 failed for good
// with exit code 7, task 2 was running, and tasks 4 to 6 were placed (6 only according to the
// log). j-2 is done.
func recordedShard(t *testing.T) []wire.Item {
	t.Helper()
	data, err := os.ReadFile("testdata/recorded/shard.json")
	if err != nil {
		t.Fatal(err)
	}
	var shard wire.Items
	if err := json.Unmarshal(data, &shard); err != nil {
		t.Fatal(err)
	}
	return shard.Items
}

// groupByPrefix groups items by the prefix of their keys, under which they are listed.
func groupByPrefix(items []wire.Item) map[string][]wire.Item {
	groups := map[string][]wire.Item{}
	for _, item := range items {
		prefix, _, _ := strings.Cut(item.Key, "/")
		groups[prefix+"/"] = append(groups[prefix+"/"], item)
	}
	return groups
}

// newSuccessor returns a scheduler that has loaded the recorded shard, and its store.
func newSuccessor(t *testing.T) (*scheduler.Scheduler, *scriptedStore) {
	t.Helper()
	leader, store := newScriptedScheduler(t)
	store.items = groupByPrefix(recordedShard(t))
	byKey := map[string]wire.Item{}
	for _, item := range recordedShard(t) {
		byKey[item.Key] = item
	}
	store.listed = 18
	store.get = func(key string) (wire.Item, error) {
		item, found := byKey[key]
		if !found {
			return item, statestore.ErrNotFound
		}
		return item, nil
	}
	if err := leader.Load(t.Context()); err != nil {
		t.Fatal(err)
	}
	return leader, store
}

// A recorded shard is loaded unchanged: the tasks of its jobs are done, failed or placed as
// recorded, and a heartbeat reports the running ones.
func TestRecordedShardIsLoadedAtFailover(t *testing.T) {
	leader, store := newSuccessor(t)
	if state, ok := leader.LocalState("j-1"); !ok || state != (wire.JobState{UID: "j-1", Stage: wire.StageRunning, Done: 2}) {
		t.Errorf("the live job is %+v, %v", state, ok)
	}
	refs := leader.PlacementsOf("j-1")
	placements := make([]string, 0, len(refs))
	for _, ref := range refs {
		placements = append(placements, ref.Task+" "+ref.Worker+" "+string(rune('0'+ref.Attempt)))
	}
	slices.Sort(placements)
	if want := []string{"j-1/2 n-000000 3", "j-1/4 n-000000 5", "j-1/5 n-000000 6", "j-1/6 n-000000 7"}; !slices.Equal(placements, want) {
		t.Errorf("placed at %q, want %q", placements, want)
	}
	leader.ObserveWorker(dispatch.WorkerView{
		Name: "n-000000", Type: "m", Zone: "z", Spot: true, Session: 1, Seq: 1, Token: 7, Dispatcher: "a",
		Tasks: []dispatch.TaskView{{Task: wire.Task{Task: "j-1/2", Attempt: 3, State: wire.TaskRunning}}},
	})
	if state, ok := leader.LocalState("j-1"); !ok || state != (wire.JobState{UID: "j-1", Stage: wire.StageRunning, Done: 2, Running: 1}) {
		t.Errorf("the job with a running task is %+v, %v", state, ok)
	}
	info, ok := leader.LocalJobInfo("j-1")
	if !ok || info.Failed != 1 || info.Done != 2 || info.PendingTasks != "4-6" || len(info.Placements) != 1 || info.Placements[0].Task != 2 || info.Placements[0].Attempt != 3 {
		t.Errorf("the live job is listed as %+v, %v", info, ok)
	}
	if want := (&jobspec.Constraints{Number: 100, Name: "tips", User: "erin", Array: "0-6", MaxConcurrent: 4, NoRetry: true}); !reflect.DeepEqual(info.Constraints, want) || info.AcceptedMs != 946_684_806_000 {
		t.Errorf("the live job's constraints are %+v, accepted at %d; want %+v", info.Constraints, info.AcceptedMs, want)
	}
	if state, err := scheduler.ReadStoredState(t.Context(), store, "j-2"); err != nil || state != (wire.JobState{UID: "j-2", Stage: wire.StageDone, Done: 1}) {
		t.Errorf("the ended job is %+v, %v", state, err)
	}
	want := jobquery.Info{
		Job: wire.Job{UID: "j-2"}, Stage: wire.StageDone, Done: 1,
		Ending: &jobspec.Ending{Number: 90, State: jobspec.Completed, StartMs: 946_684_802_000, EndMs: 946_684_805_000},
	}
	if got, err := scheduler.ReadStoredJobInfo(t.Context(), store, "j-2"); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("the ended job is listed as %+v, %v", got, err)
	}
}

// The recorded shard's accounting page has a row for each attempt that ended, and one for the
// job that ended.
func TestRecordedShardAccountingIsRead(t *testing.T) {
	reader, err := accounting.NewReader()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	var got []string
	for _, item := range recordedShard(t) {
		if !strings.HasPrefix(item.Key, "acct/20000101/") {
			continue
		}
		var text string
		if err := json.Unmarshal(item.Value, &text); err != nil {
			t.Fatal(err)
		}
		if err := reader.Unpack(text, func(r *accounting.Row) {
			got = append(got, strings.Join([]string{r.UID, string(rune('0' + r.Task)), r.State, r.Name, r.Worker}, " "))
		}); err != nil {
			t.Fatal(err)
		}
	}
	want := []string{"j-2 0 COMPLETED  n-000000", "j-2 0 COMPLETED first ", "j-1 0 COMPLETED  n-000000", "j-1 1 FAILED  n-000000", "j-1 3 COMPLETED  n-000000"}
	if !slices.Equal(got, want) {
		t.Errorf("rows %q, want %q", got, want)
	}
}

// A new leader continues a recorded shard as its predecessor would have: it overwrites the
// oldest log record that is no longer needed, saves a chunk for which the oldest log record is
// still needed, and deletes the records of a job when the job ends.
func TestSuccessorContinuesRecordedShard(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster(t, 1, 0, withLogSlots(3))
		cluster.items = groupByPrefix(recordedShard(t))
		cluster.scheduler.Unload()
		if err := cluster.scheduler.Load(t.Context()); err != nil {
			t.Fatal(err)
		}
		var got []string
		cluster.onTxn = func(ops []wire.Op) {
			for _, op := range ops {
				data, err := json.Marshal(op)
				if err != nil {
					t.Fatal(err)
				}
				got = append(got, string(data))
			}
		}
		tasks := []dispatch.TaskView{
			{Task: wire.Task{Task: "j-1/2", Attempt: 3}},
			{Task: wire.Task{Task: "j-1/4", Attempt: 5}},
			{Task: wire.Task{Task: "j-1/5", Attempt: 6}},
			{Task: wire.Task{Task: "j-1/6", Attempt: 7}},
		}
		for i := range tasks {
			tasks[i].State = wire.TaskRunning
		}
		for i := range tasks {
			tasks[i].State, tasks[i].Cause = wire.TaskExited, wire.CauseDone
			cluster.sendHeartbeat(0, 0, tasks...)
			if err := cluster.scheduler.WriteAll(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		cluster.sendHeartbeat(0, 0) // the worker no longer reports the tasks
		if err := cluster.scheduler.WriteAll(t.Context()); err != nil {
			t.Fatal(err)
		}
		want := []string{
			`{"set":"log/000/00001","data":{"seq":6,"j":[{"u":"j-1","d":[2]}]}}`,
			`{"set":"log/000/00002","data":{"seq":7,"j":[{"u":"j-1","d":[4]}]}}`,
			`{"set":"task/j-1/00000","data":{"seq":8,"done":"PwAAAAAAAAAAAAAA","next":8,"machines":["n-000000"],"places":[6,7,0],"failed":[1,1,7]}}`,
			`{"set":"log/000/00003","data":{"seq":8,"j":[{"u":"j-1","d":[5]}]}}`,
			`{"set":"log/000/00000","data":{"seq":9,"j":[{"u":"j-1","d":[6]}]}}`,
			`{"set":"final/j-1","data":{"stage":"cancelled","done":6,"end":{"n":100,"s":"FAILED","x":7,"f":1,"b":946684800000,"e":946684800000}}}`,
			`{"drop":"live/j-1"}`,
			`{"drop":"task/j-1/00000"}`,
		}
		if !slices.Equal(got, want) {
			t.Errorf("written:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
		}
	})
}
