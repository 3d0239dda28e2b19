package controller

import (
	"context"
	"io"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/goccy/go-json"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/peerlinks"
	"github.com/wallrack/wallrack/internal/planner"
	"github.com/wallrack/wallrack/internal/reachability"
	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/rolloutapi"
	"github.com/wallrack/wallrack/internal/slurmapi"
	"github.com/wallrack/wallrack/internal/slurmtask"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// checkRecorded checks that a message that was recorded reads as want, and that want is
// still written with the very bytes that were recorded.
func checkRecorded[T any](t *testing.T, file string, want T) {
	t.Helper()
	recorded, err := os.ReadFile(filepath.Join("testdata", "recorded", file))
	if err != nil {
		t.Fatal(err)
	}
	var got T
	if err := json.Unmarshal(recorded, &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%s reads as %+v, %v; it was %+v", file, got, err, want)
	}
	if data, err := json.Marshal(want); err != nil || string(data)+"\n" != string(recorded) {
		t.Errorf("%s is written as\n%s, %v; it was\n%s", file, data, err, recorded)
	}
}

// The mesh's methods keep the names under which other controllers call them.
func TestRecordedMethods(t *testing.T) {
	for _, method := range []struct{ is, was string }{
		{methodPing, "Ping"},
		{peerlinks.MethodForward, "Forward"},
		{methodStore, "Store"},
		{methodProbe, "Seen"},
		{methodViews, "Views"},
		{methodInstructions, "Direct"},
		{methodGrants, "Grants"},
		{methodUser, "User"},
		{methodAttest, "Vouch"},
		{methodCancellations, "Cancels"},
		{methodDemand, "Demand"},
		{methodRemoved, "Gone"},
		{methodMachines, "Machines"},
		{methodSlurm, "Desk"},
		{methodFacts, "Facts"},
		{methodEarlier, "Earlier"},
		{rolloutapi.Method, "Rollouts"},
	} {
		if method.is != method.was {
			t.Errorf("the method %q is called %q", method.was, method.is)
		}
	}
}

// A controller with all that can be switched on serves every method by its recorded name:
// a message that can't be read is refused for that, not for want of the method.
func TestRecordedMethodsServed(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	here := freeAddress(t)
	o := options(t)
	o.Rollouts, o.Slurm = &rollout.Settings{}, &slurmapi.Settings{}
	c, err := assemble(ctx, o)
	if err != nil {
		t.Fatal(err)
	}
	defer c.mesh.Close()
	defer closeNow(t, c.listener)
	served := make(chan struct{})
	go func() { defer close(served); _ = c.mesh.Serve(ctx, here) }()
	defer func() { cancel(); <-served }()
	caller, err := mesh.New(map[string]string{"here": here})
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	if code := codeOf(ctx, caller, "NoSuch"); code != codes.Unimplemented {
		t.Fatalf("a method that is not served: %v", code)
	}
	for _, method := range []string{
		"Ping", "Forward", "Store", "Seen", "Views", "Direct", "Grants", "User", "Vouch", "Cancels",
		"Demand", "Gone", "Machines", "Desk", "Facts", "Earlier", "Rollouts",
	} {
		if code := codeOf(ctx, caller, method); code != codes.Internal {
			t.Errorf("%s: %v", method, code)
		}
	}
}

// freeAddress is one that nobody listens on just now.
func freeAddress(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closeNow(t, lis)
	return lis.Addr().String()
}

// codeOf is the status code of the response to an unreadable message.
func codeOf(ctx context.Context, caller *mesh.Mesh, method string) codes.Code {
	for {
		unreadable := 5 // no message is a number
		_, err := mesh.Call[int, json.RawMessage](ctx, caller, "here", method, &unreadable)
		if refused, _ := mesh.Unanswered(err); !refused || ctx.Err() != nil {
			return status.Code(err)
		}
		time.Sleep(10 * time.Millisecond) // it does not listen yet
	}
}

func fullCancellations() cancellation.Message {
	return cancellation.Message{
		Incarnation: 9001, Stamp: 65000123, EchoIncarnation: 9002, Echo: 64000123, MayConfirm: true, Ack: 7, First: 5, Updates: []string{"j-000400", "j-000401"}, More: true,
	}
}

func fullStatus() reachability.NodeStatus {
	return reachability.NodeStatus{
		Node: "c1", StartedMs: 1700000000123, Seq: 77, StoreReachable: true, LeaseHeld: true, OwnsJobs: true, PreferredLeader: "c2", CloudReachable: true,
		Heartbeats: 120, ExpectedHeartbeats: 130.5, UnreachedPeers: []string{"c3"}, ProbeSample: []string{"10.1.0.232:9000"}, Probed: true, ProbeSuccess: 0.75,
		Assignments: []reachability.Assignment{{Node: "c2", Share: 400.5}}, WorkerCapacity: 900, WorkerCount: 850, HeardWorkers: reachability.NewNameSet([]string{"n-000231", "n-000232"}, 64),
	}
}

// Messages between controllers about links, workers and cancels keep their form.
func TestRecordedLinkMessages(t *testing.T) {
	cancellations := fullCancellations()
	checkRecorded(t, "ping_full.json", pingMessage{Status: fullStatus(), Cancellations: &cancellations, Relayed: []reachability.RelayedStatus{{Status: fullStatus(), AgeS: 1.25}}})
	checkRecorded(t, "ping_empty.json", pingMessage{})
	checkRecorded(t, "seen_full.json", probeQuery{Worker: "n-000231", Endpoint: "10.1.0.232:9000", OutboundLost: true})
	checkRecorded(t, "seen_empty.json", probeQuery{})
	checkRecorded(t, "seen_reply_full.json", probeReply{Responsive: true})
	checkRecorded(t, "seen_reply_empty.json", probeReply{})
	checkRecorded(t, "vouch_full.json", attestationQuery{Workers: []string{"n-000231", "n-000232"}})
	checkRecorded(t, "vouch_empty.json", attestationQuery{})
	checkRecorded(t, "vouch_reply_full.json", attestationReply{UnansweredS: []float64{50.25, 61.5}})
	checkRecorded(t, "vouch_reply_empty.json", attestationReply{})
	checkRecorded(t, "gone_full.json", removedMessage{Workers: []string{"n-000231", "n-000232"}})
	checkRecorded(t, "gone_empty.json", removedMessage{})
	checkRecorded(t, "nothing.json", empty{})
	checkRecorded(t, "cancels_full.json", cancellationMessage{From: "c1", Message: cancellations})
	checkRecorded(t, "cancels_empty.json", cancellationMessage{})
	checkRecorded(t, "cancels_reply_full.json", cancellations)
	checkRecorded(t, "cancels_reply_empty.json", cancellation.Message{})
}

// Relayed requests to the state service, and their responses, keep their form.
func TestRecordedStoreMessages(t *testing.T) {
	checkRecorded(t, "store_full.json", statestore.RelayedRequest{Method: "POST", Path: "/store/txn", Body: []byte(`{"guards":[]}`), Writes: 3, Priority: statestore.Urgent})
	checkRecorded(t, "store_empty.json", statestore.RelayedRequest{})
	checkRecorded(t, "store_reply_full.json", statestore.RelayedResponse{Status: 200, Body: []byte(`{"ledger":99}`)})
	checkRecorded(t, "store_reply_empty.json", statestore.RelayedResponse{})
}

func fullJob() wire.Job {
	zone, due := "b", 3600.5
	return wire.Job{
		UID: "j-000400", Class: "batch", Team: "vision", Kind: wire.KindGang, Priority: "urgent", Tasks: 8,
		CPUs: 2.5, GPUs: 1, MemoryGB: 12.25, Image: "trainer:7", ImageGB: 4.5, Types: []string{"g8", "g16"}, Zone: &zone,
		OneZone: true, Spread: true, Spot: true, Estimate: 900.25, MarkS: 60, SaveS: 7.5, DueS: &due,
	}
}

// Messages about the waiting work, and about machines, keep their form.
func TestRecordedDemandMessages(t *testing.T) {
	job, shape := fullJob(), matching.Resources{CPUs: 2.5, GPUs: 1, MemoryGB: 12.25}
	checkRecorded(t, "demand_full.json", demandQuery{BootS: 90.5})
	checkRecorded(t, "demand_empty.json", demandQuery{})
	checkRecorded(t, "demand_reply_full.json", demandReply{
		Demand: []planner.Demand{{Shape: shape, Job: &job, Count: 5, Run: 900.25, Rank: 2, Slack: 30.5}},
		Loads: []planner.WorkerLoad{{
			Name: "n-000231", Type: "g8", Zone: "a", Spot: true, Notice: true, Faulty: true,
			Matrix: matching.WaitMatrix{{Wait: 20.5, Free: matching.Resources{CPUs: 4, GPUs: 2, MemoryGB: 8.25}}}, Used: shape,
			Heard: time.Date(2026, 3, 4, 5, 6, 7, 123456789, time.UTC), Existed: time.Date(2026, 3, 4, 5, 6, 8, 0, time.UTC), Places: 3,
		}},
		FailedWorkers: map[string]string{"n-000232": "silent"}, AdmittedWork: 12345.5,
	})
	checkRecorded(t, "demand_reply_empty.json", demandReply{})
	checkRecorded(t, "demand_reply_plain.json", demandReply{Demand: []planner.Demand{{}}, Loads: []planner.WorkerLoad{{}}, FailedWorkers: map[string]string{}})
	checkRecorded(t, "machines_full.json", []wire.MachineInfo{{Name: "n-000231", Type: "g8", Zone: "a", Spot: true, CPUs: 8, UsedCPUs: 6.5, Tasks: 3, HeardS: 1.25}})
	checkRecorded(t, "machines_empty.json", []wire.MachineInfo{})
}

func fullConstraints() *jobspec.Constraints {
	return &jobspec.Constraints{
		Number: 4001, Name: "train", User: "ada", Array: "0-15:2", MaxConcurrent: 4, Held: true, BeginMs: 1700000000123, DeadlineMs: 1700000600123,
		LimitS: 900.5, NoRetry: true, AnyDependency: true, Dependencies: []jobspec.Dependency{{Kind: "after", Job: "j-000399", Number: 3990, DelayS: 60}},
		CancelIfUnsatisfiable: true, CancelledTasks: "3,5", CancelReason: "TIMEOUT",
	}
}

// Messages for Slurm-style clients keep their form.
func TestRecordedSlurmMessages(t *testing.T) {
	checkRecorded(t, "facts_full.json", factsQuery{UID: "j-000400", Name: "train", User: "ada", Number: 4001})
	checkRecorded(t, "facts_empty.json", factsQuery{})
	checkRecorded(t, "facts_reply_full.json", factsReply{
		Known: true, Facts: jobspec.JobFacts{Started: true, StartedMs: 1700000000123, Over: true, OK: true}, HasEarlier: true,
	})
	checkRecorded(t, "facts_reply_empty.json", factsReply{})
	cursor := jobquery.Cursor{Number: 4001, On: 20, Task: 7}
	checkRecorded(t, "desk_full.json", slurmapi.Request{Verb: "drop", UID: "j-000400", From: cursor, Tasks: "3,5"})
	checkRecorded(t, "desk_empty.json", slurmapi.Request{})
	checkRecorded(t, "desk_reply_full.json", slurmapi.Reply{
		Status: 200, Why: "no such job is waiting or running", Next: &cursor,
		Jobs: []jobquery.Info{{
			Job: fullJob(), Constraints: fullConstraints(), AcceptedMs: 1700000000123, Stage: wire.StageRunning, Reason: "Resources", EligibleMs: 1700000001123,
			StartMs: 1700000002123, Waiting: "4-7", Queued: 4, Placements: []jobquery.Placement{{Task: 3, Attempt: 2, Machine: "n-000231", StartMs: 1700000003123, Ending: true}},
			Running: 1, Done: 2, Failed: 6, Ending: &jobspec.Ending{Number: 4001, State: "FAILED", Exit: 137, Failed: 6, StartMs: 1700000002123, EndMs: 1700000009123},
		}},
	})
	checkRecorded(t, "desk_reply_empty.json", slurmapi.Reply{})
}

// The statuses of roll-outs between controllers keep their form.
func TestRecordedRolloutMessages(t *testing.T) {
	version := rollout.Version{Name: "v7", Desc: taskspec.Spec{
		Argv: []string{"serve"}, Env: map[string]string{"MODE": "fast"}, Dir: "/srv", Script: "#!/bin/sh", Args: []string{"-v"},
		CPUs: 2.5, GPUs: 1, MemoryGB: 12.25,
		Slurm: &slurmtask.Context{Number: 4001, Tasks: 8, Array: "0-7", Name: "train", User: "ada", Output: "o-%j", Error: "e-%j", Step: true, Cluster: "north"},
	}}
	batches := func(uid string) []rollout.Batch { return []rollout.Batch{{UID: uid, Replicas: 3, Version: "v7"}} }
	checkRecorded(t, "rollouts_full.json", []rollout.Status{{
		Service: rollout.Service{Name: "front", Replicas: 6, Template: fullJob(), Version: version, Batches: batches("j-000500")},
		Run: &rollout.Run{
			ID: 2,
			Spec: rollout.Spec{
				Service: "front", To: version, Steps: []string{"1", "50%"},
				Check: rollout.Check{HTTP: "/up", TCP: true, EveryS: 2.5, TimeoutS: 1.5, Healthy: 2, Unhealthy: 3, Tries: 4},
				SoakS: 30.5, PlaceS: 120.5, OnFail: rollout.OnFailPause, Anytime: true, Template: fullJob(), Replicas: 7,
			},
			From: version, Targets: []int{1, 3}, Step: 1, Phase: rollout.Paused, Resume: rollout.Soaking, Why: "by an operator", Outcome: rollout.Restored,
			New: batches("j-000501"), Old: batches("j-000502"), Restore: batches("j-000503"), Drop: batches("j-000504"),
			Lost: 1, Seq: 9, Since: 1700000000123, Verdict: 1700000001123, Begun: 1700000002123, Ended: 1700000003123,
		},
		Jobs: map[string]rollout.JobSeen{"j-000501": {Gone: true, Running: 3, Healthy: 2, Unhealthy: "j-000501/1", Hung: "j-000501/2"}},
	}})
	checkRecorded(t, "rollouts_plain.json", []rollout.Status{{}})
	checkRecorded(t, "rollouts_empty.json", []rollout.Status{})
}

func closeNow(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}
