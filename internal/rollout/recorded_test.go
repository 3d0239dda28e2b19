package rollout

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/slurmtask"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
	"github.com/wallrack/wallrack/internal/wire"
)

// fullVersion returns a version with every field set.
func fullVersion(name string) Version {
	return Version{Name: name, Desc: taskspec.Spec{
		Argv: []string{"/bin/serve", "--fast"}, Env: map[string]string{"A": "1", "B": "2"}, Dir: "/srv", Script: "#!/bin/sh\n", Args: []string{"x", "y"},
		CPUs: 1.5, GPUs: 0.5, MemoryGB: 2.25,
		Slurm: &slurmtask.Context{Number: 77, Tasks: 4, Array: "0-3", Name: "n", User: "u", Output: "o", Error: "e", Step: true, Cluster: "c"},
	}}
}

// fullTemplate returns a template with every field set.
func fullTemplate() wire.Job {
	zone, due := "z1", 30.5
	return wire.Job{
		UID: "j-1", Class: "svc", Team: "risk", Kind: "service", Priority: "high", Tasks: 4, CPUs: 1.5, GPUs: 0.5, MemoryGB: 2.25,
		Image: "img", ImageGB: 0.75, Types: []string{"large", "small"}, Zone: &zone, OneZone: true, Spread: true, Spot: true,
		EstimateS: 60, CheckpointIntervalS: 5, CheckpointSaveS: 6, DueS: &due,
	}
}

// fullSpec returns a spec with every field set.
func fullSpec() Spec {
	return Spec{
		Service: "tips", To: fullVersion("v2"), Steps: []string{"1", "25%", "100%"},
		Check: Check{HTTP: "/up", TCP: true, EveryS: 2, TimeoutS: 1.5, HealthyThreshold: 2, UnhealthyThreshold: 3, TimeoutThreshold: 4},
		SoakS: 10, PlaceS: 120, OnFail: OnFailPause, IgnoreSlots: true, Template: fullTemplate(), Replicas: 8,
	}
}

func batches(version string, uids ...string) (all []Batch) {
	for i, uid := range uids {
		all = append(all, Batch{UID: uid, Replicas: i + 1, Version: version})
	}
	return all
}

// fullRun returns a roll-out with every field set.
func fullRun() Run {
	return Run{
		ID: 3, Spec: fullSpec(), From: fullVersion("v1"), Targets: []int{1, 2, 8}, Step: 1, Phase: RollingBack, ResumePhase: Soaking,
		Reason: "j-svc-tips-3-1/0 is <unhealthy> & é", Outcome: Restored,
		New: batches("v2", "j-svc-tips-3-1", "j-svc-tips-3-2"), Old: batches("v1", "j-svc-tips-2-1"),
		Restore: batches("v1", "j-svc-tips-3-4"), ToCancel: batches("v2", "j-svc-tips-3-3"),
		Losses: 2, Seq: 4, PhaseSince: 1700000000123, RollbackSince: 1700000000456, Begun: 1700000000001, Ended: 1700000000789,
	}
}

func fullService() Service {
	return Service{Name: "tips", Replicas: 8, Template: fullTemplate(), Version: fullVersion("v1"), Batches: batches("v1", "j-svc-tips-2-1", "j-svc-tips-2-2")}
}

// Controllers of different versions share the records, and operators' tools read the responses,
// so the encoding of both must not change.
func TestRecordedEncodings(t *testing.T) {
	recorded.Check(t, "spec", fullSpec())
	recorded.Check(t, "spec_least", Spec{})
	recorded.Check(t, "run", fullRun())
	recorded.Check(t, "run_least", Run{})
	recorded.Check(t, "service", fullService())
	recorded.Check(t, "service_least", Service{})
	run := fullRun()
	recorded.Check(t, "status", Status{Service: fullService(), Run: &run, Jobs: map[string]JobStatus{
		"j-svc-tips-3-1": {Ended: true, Running: 3, Healthy: 2, UnhealthyTask: "j-svc-tips-3-1/0", HungTask: "j-svc-tips-3-1/1"},
		"j-svc-tips-3-2": {},
	}})
	recorded.Check(t, "status_least", Status{})
}

// Constants that are stored in records or sent must not change.
func TestRecordedConstants(t *testing.T) {
	got := []any{
		Pending, WaitingSlot, Placing, Soaking, Retiring, Paused, RollingBack, Done, Aborted, Restored,
		Healthy, Unhealthy, Hung, Unknown, OnFailRollback, OnFailPause, VerbPause, VerbResume, VerbAbort,
	}
	want := []any{
		Phase("pending"), Phase("waiting-for-slot"), Phase("placing"), Phase("soaking"), Phase("retiring"), Phase("paused"),
		Phase("rolling-back"), Phase("done"), Phase("aborted"), Phase("restored"),
		Health("healthy"), Health("unhealthy"), Health("hung"), Health(""), "rollback", "pause", "pause", "resume", "abort",
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

func TestRecordedKeys(t *testing.T) {
	run := fullRun()
	for got, want := range map[string]string{
		keyPrefix: "rollout/", serviceKey: "rollout/service/", runKey: "rollout/run/", historyKey: "rollout/past/",
		run.newBatch(1, "v2").UID: "j-svc-tips-3-5",
	} {
		if got != want {
			t.Errorf("key %q, want %q", got, want)
		}
	}
}

// The records that a manager writes when a roll-out ends must not change, and another manager
// must be able to read them.
func TestRecordedManagerWrites(t *testing.T) {
	store := testkit.NewStore()
	manager := func() *Manager {
		return NewManager(nil, &testkit.View{Store: store}, nil, nil, nil, 1<<20, slog.New(slog.NewTextHandler(io.Discard, nil)))
	}
	service, run := fullService(), fullRun()
	run.Phase = Restored
	recorded.Check(t, "run_ended", run)
	if err := manager().write(t.Context(), "tips", &entry{service: service, run: &run}); err != nil {
		t.Fatal(err)
	}
	keys := store.Keys("")
	items := make([]wire.Item, 0, len(keys))
	for _, key := range keys {
		items = append(items, wire.Item{Key: key, Value: json.RawMessage(store.RawValue(key)), Version: 1})
	}
	runText, serviceText := recordedText(t, "run_ended.json"), recordedText(t, "service.json")
	if want := []wire.Item{
		{Key: "rollout/past/tips/000003", Value: runText, Version: 1},
		{Key: "rollout/run/tips", Value: runText, Version: 1},
		{Key: "rollout/service/tips", Value: serviceText, Version: 1},
	}; !reflect.DeepEqual(items, want) {
		t.Errorf("stored %+v, want %+v", items, want)
	}
	reader := manager()
	reader.reset(items)
	if want := []Status{{Service: service, Run: &run, Jobs: map[string]JobStatus{}}}; !reflect.DeepEqual(reader.Statuses(), want) {
		t.Errorf("read as %+v, want %+v", reader.Statuses(), want)
	}
	if past, err := reader.History(t.Context(), "tips"); err != nil || !reflect.DeepEqual(past, []Run{run}) {
		t.Errorf("history %+v, %v; want %+v", past, err, run)
	}
}

// recordedText returns the contents of a file of testdata/recorded without the final newline.
func recordedText(t *testing.T, file string) json.RawMessage {
	t.Helper()
	return json.RawMessage(strings.TrimSuffix(string(recorded.Read(t, file)), "\n"))
}

// The check requests that are sent to a worker, and the decoding of its response, must not change.
func TestRecordedProbe(t *testing.T) {
	var requests []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests = append(requests, r.Method+" "+r.URL.String())
		_, _ = w.Write(recordedText(t, "check_answer.json"))
	}))
	defer server.Close()
	replica := Replica{Task: "j-1/0", Attempt: 5, Endpoint: strings.TrimPrefix(server.URL, "http://")}
	for _, check := range []Check{{HTTP: "/up?x=1", TimeoutS: 1.5}, {TCP: true, TimeoutS: 1}} {
		if health := NewWorkerProber().Probe(t.Context(), replica, check); health != Hung {
			t.Errorf("%+v: %q", check, health)
		}
	}
	if want := []string{"GET /check/j-1/0/5?http=%2Fup%3Fx%3D1&timeoutMs=1500", "GET /check/j-1/0/5?tcp=1&timeoutMs=1000"}; !reflect.DeepEqual(requests, want) {
		t.Errorf("requests %q, want %q", requests, want)
	}
}
