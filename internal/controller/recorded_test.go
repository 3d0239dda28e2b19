package controller

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/goccy/go-json"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/jobstate"
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
	"github.com/wallrack/wallrack/internal/testkit/recorded"
	"github.com/wallrack/wallrack/internal/wire"
)

// The mesh's methods keep the names by which other controllers call them.
func TestRecordedMethods(t *testing.T) {
	for _, method := range []struct{ got, want string }{
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
		{rolloutapi.MethodStatuses, "Rollouts"},
	} {
		if method.got != method.want {
			t.Errorf("method %q is called %q", method.want, method.got)
		}
	}
}

// A controller with all optional services on serves every method under its recorded name: a
// malformed message is rejected as such, not because the method is unknown.
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
	defer mustClose(t, c.listener)
	served := make(chan struct{})
	go func() { defer close(served); _ = c.mesh.Serve(ctx, here) }()
	defer func() { cancel(); <-served }()
	caller, err := mesh.New(map[string]string{"here": here})
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	if code := codeOf(ctx, caller, "NoSuch"); code != codes.Unimplemented {
		t.Fatalf("unknown method: code %v", code)
	}
	for _, method := range []string{
		"Ping", "Forward", "Store", "Seen", "Views", "Direct", "Grants", "User", "Vouch", "Cancels",
		"Demand", "Gone", "Machines", "Desk", "Facts", "Earlier", "Rollouts",
	} {
		if code := codeOf(ctx, caller, method); code != codes.Internal {
			t.Errorf("%s: code %v, want Internal", method, code)
		}
	}
}

// freeAddress returns an address on which no process listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mustClose(t, lis)
	return lis.Addr().String()
}

// codeOf returns the status code of the response to a malformed message.
func codeOf(ctx context.Context, caller *mesh.Mesh, method string) codes.Code {
	for {
		unreadable := 5 // no method takes a number
		_, err := mesh.Call[int, json.RawMessage](ctx, caller, "here", method, &unreadable)
		if refused, _ := mesh.ClassifyError(err); !refused || ctx.Err() != nil {
			return status.Code(err)
		}
		time.Sleep(10 * time.Millisecond) // the server does not listen yet
	}
}

func fullCancellations() cancellation.Message {
	return cancellation.Message{
		Incarnation: 9001, Stamp: 65000123, EchoIncarnation: 9002, Echo: 64000123, MayConfirm: true, Ack: 7, First: 5, Updates: []string{"j-000400", "j-000401"}, More: true,
	}
}

func fullStatus() reachability.NodeStatus {
	return reachability.NodeStatus{
		Node: "c1", StartedMs: 1700000000123, Seq: 77, StoreReachable: true, LeaseHeld: true, LeadsShards: true, PreferredLeader: "c2", CloudReachable: true,
		Heartbeats: 120, ExpectedHeartbeats: 130.5, UnreachedPeers: []string{"c3"}, ProbeSample: []string{"10.1.0.232:9000"}, Probed: true, ProbeSuccess: 0.75,
		Assignments: []reachability.Assignment{{Node: "c2", Share: 400.5}}, WorkerCapacity: 900, WorkerCount: 850, HeardWorkers: reachability.NewNameSet([]string{"n-000231", "n-000232"}, 64),
	}
}

// Messages between controllers about links, workers and cancels keep their encoding.
func TestRecordedLinkMessages(t *testing.T) {
	cancellations := fullCancellations()
	recorded.Check(t, "ping_full", pingMessage{Status: fullStatus(), Cancellations: &cancellations, Relayed: []reachability.RelayedStatus{{Status: fullStatus(), AgeS: 1.25}}})
	recorded.Check(t, "ping_empty", pingMessage{})
	recorded.Check(t, "seen_full", probeQuery{Worker: "n-000231", Endpoint: "10.1.0.232:9000", OutboundLost: true})
	recorded.Check(t, "seen_empty", probeQuery{})
	recorded.Check(t, "seen_reply_full", probeReply{Responsive: true})
	recorded.Check(t, "seen_reply_empty", probeReply{})
	recorded.Check(t, "vouch_full", attestationQuery{Workers: []string{"n-000231", "n-000232"}})
	recorded.Check(t, "vouch_empty", attestationQuery{})
	recorded.Check(t, "vouch_reply_full", attestationReply{UnansweredS: []float64{50.25, 61.5}})
	recorded.Check(t, "vouch_reply_empty", attestationReply{})
	recorded.Check(t, "gone_full", removedMessage{Workers: []string{"n-000231", "n-000232"}})
	recorded.Check(t, "gone_empty", removedMessage{})
	recorded.Check(t, "nothing", empty{})
	recorded.Check(t, "cancels_full", cancellationMessage{From: "c1", Message: cancellations})
	recorded.Check(t, "cancels_empty", cancellationMessage{})
	recorded.Check(t, "cancels_reply_full", cancellations)
	recorded.Check(t, "cancels_reply_empty", cancellation.Message{})
}

// Relayed requests to the state service, and their responses, keep their encoding.
func TestRecordedStoreMessages(t *testing.T) {
	recorded.Check(t, "store_full", statestore.RelayedRequest{Method: "POST", Path: "/store/txn", Body: []byte(`{"guards":[]}`), Writes: 3, Priority: statestore.Urgent})
	recorded.Check(t, "store_empty", statestore.RelayedRequest{})
	recorded.Check(t, "store_reply_full", statestore.RelayedResponse{Status: 200, Body: []byte(`{"ledger":99}`)})
	recorded.Check(t, "store_reply_empty", statestore.RelayedResponse{})
}

func fullJob() wire.Job {
	zone, due := "b", 3600.5
	return wire.Job{
		UID: "j-000400", Class: "batch", Team: "vision", Kind: wire.KindGang, Priority: "urgent", Tasks: 8,
		CPUs: 2.5, GPUs: 1, MemoryGB: 12.25, Image: "trainer:7", ImageGB: 4.5, Types: []string{"g8", "g16"}, Zone: &zone,
		OneZone: true, Spread: true, Spot: true, EstimateS: 900.25, CheckpointIntervalS: 60, CheckpointSaveS: 7.5, DueS: &due,
	}
}

// Messages about pending work and machines keep their encoding.
func TestRecordedDemandMessages(t *testing.T) {
	job, shape := fullJob(), matching.Resources{CPUs: 2.5, GPUs: 1, MemoryGB: 12.25}
	recorded.Check(t, "demand_full", demandQuery{BootS: 90.5})
	recorded.Check(t, "demand_empty", demandQuery{})
	recorded.Check(t, "demand_reply_full", demandReply{
		Demand: []planner.Demand{{Resources: shape, Job: &job, Count: 5, RunS: 900.25, Rank: 2, SlackS: 30.5}},
		Loads: []planner.WorkerLoad{{
			Name: "n-000231", Type: "g8", Zone: "a", Spot: true, Notice: true, Faulty: true,
			Matrix: matching.WaitMatrix{{WaitS: 20.5, Free: matching.Resources{CPUs: 4, GPUs: 2, MemoryGB: 8.25}}}, Used: shape,
			LastHeartbeat: time.Date(2026, 3, 4, 5, 6, 7, 123456789, time.UTC), LastKnown: time.Date(2026, 3, 4, 5, 6, 8, 0, time.UTC), Placements: 3,
		}},
		FailedWorkers: map[string]string{"n-000232": "silent"}, AdmittedWork: 12345.5,
	})
	recorded.Check(t, "demand_reply_zones", demandReply{Demand: []planner.Demand{{ZoneUse: &jobstate.ZoneUse{Zones: map[string]int{"a": 2, "b": 1}, Unzoned: 3}}, {ZoneUse: &jobstate.ZoneUse{}}}})
	recorded.Check(t, "demand_reply_draining", demandReply{Loads: []planner.WorkerLoad{{Draining: true}}})
	recorded.Check(t, "demand_reply_empty", demandReply{})
	recorded.Check(t, "demand_reply_plain", demandReply{Demand: []planner.Demand{{}}, Loads: []planner.WorkerLoad{{}}, FailedWorkers: map[string]string{}})
	recorded.Check(t, "machines_full", []wire.MachineInfo{{Name: "n-000231", Type: "g8", Zone: "a", Spot: true, CPUs: 8, UsedCPUs: 6.5, Tasks: 3, SinceHeartbeatS: 1.25}})
	recorded.Check(t, "machines_empty", []wire.MachineInfo{})
}

func fullConstraints() *jobspec.Constraints {
	return &jobspec.Constraints{
		Number: 4001, Name: "train", User: "ada", Array: "0-15:2", MaxConcurrent: 4, Held: true, BeginMs: 1700000000123, DeadlineMs: 1700000600123,
		LimitS: 900.5, NoRetry: true, AnyDependency: true, Dependencies: []jobspec.Dependency{{Kind: "after", Job: "j-000399", Number: 3990, DelayS: 60}},
		CancelIfUnsatisfiable: true, CancelledTasks: "3,5", CancelReason: "TIMEOUT",
	}
}

// Messages for Slurm-style clients keep their encoding.
func TestRecordedSlurmMessages(t *testing.T) {
	recorded.Check(t, "facts_full", factsQuery{UID: "j-000400", Name: "train", User: "ada", Number: 4001})
	recorded.Check(t, "facts_empty", factsQuery{})
	recorded.Check(t, "facts_reply_full", factsReply{
		Known: true, Facts: jobspec.JobFacts{Started: true, StartedMs: 1700000000123, Over: true, OK: true}, HasEarlier: true,
	})
	recorded.Check(t, "facts_reply_empty", factsReply{})
	cursor := jobquery.Cursor{Number: 4001, SkipPlacements: 20, Task: 7}
	recorded.Check(t, "desk_full", slurmapi.Request{Verb: "drop", UID: "j-000400", From: cursor, Tasks: "3,5"})
	recorded.Check(t, "desk_empty", slurmapi.Request{})
	recorded.Check(t, "desk_reply_full", slurmapi.Reply{
		Status: 200, Reason: "no such job is waiting or running", Next: &cursor,
		Jobs: []jobquery.Info{{
			Job: fullJob(), Constraints: fullConstraints(), AcceptedMs: 1700000000123, Stage: wire.StageRunning, Reason: "Resources", EligibleMs: 1700000001123,
			StartMs: 1700000002123, PendingTasks: "4-7", PendingCount: 4, Placements: []jobquery.Placement{{Task: 3, Attempt: 2, Worker: "n-000231", StartMs: 1700000003123, Halted: true}},
			Running: 1, Done: 2, Failed: 6, Ending: &jobspec.Ending{Number: 4001, State: "FAILED", ExitCode: 137, Failed: 6, StartMs: 1700000002123, EndMs: 1700000009123},
		}},
	})
	recorded.Check(t, "desk_reply_empty", slurmapi.Reply{})
}

// The statuses of roll-outs between controllers keep their encoding.
func TestRecordedRolloutMessages(t *testing.T) {
	version := rollout.Version{Name: "v7", Desc: taskspec.Spec{
		Argv: []string{"serve"}, Env: map[string]string{"MODE": "fast"}, Dir: "/srv", Script: "#!/bin/sh", Args: []string{"-v"},
		CPUs: 2.5, GPUs: 1, MemoryGB: 12.25,
		Slurm: &slurmtask.Context{Number: 4001, Tasks: 8, Array: "0-7", Name: "train", User: "ada", Output: "o-%j", Error: "e-%j", Step: true, Cluster: "north"},
	}}
	batches := func(uid string) []rollout.Batch { return []rollout.Batch{{UID: uid, Replicas: 3, Version: "v7"}} }
	recorded.Check(t, "rollouts_full", []rollout.Status{{
		Service: rollout.Service{Name: "front", Replicas: 6, Template: fullJob(), Version: version, Batches: batches("j-000500")},
		Run: &rollout.Run{
			ID: 2,
			Spec: rollout.Spec{
				Service: "front", To: version, Steps: []string{"1", "50%"},
				Check: rollout.Check{HTTP: "/up", TCP: true, EveryS: 2.5, TimeoutS: 1.5, HealthyThreshold: 2, UnhealthyThreshold: 3, TimeoutThreshold: 4},
				SoakS: 30.5, PlaceS: 120.5, OnFail: rollout.OnFailPause, IgnoreSlots: true, Template: fullJob(), Replicas: 7,
			},
			From: version, Targets: []int{1, 3}, Step: 1, Phase: rollout.Paused, ResumePhase: rollout.Soaking, Reason: "by an operator", Outcome: rollout.Restored,
			New: batches("j-000501"), Old: batches("j-000502"), Restore: batches("j-000503"), ToCancel: batches("j-000504"),
			Losses: 1, Seq: 9, PhaseSince: 1700000000123, RollbackSince: 1700000001123, Begun: 1700000002123, Ended: 1700000003123,
		},
		Jobs: map[string]rollout.JobStatus{"j-000501": {Ended: true, Running: 3, Healthy: 2, UnhealthyTask: "j-000501/1", HungTask: "j-000501/2"}},
	}})
	recorded.Check(t, "rollouts_plain", []rollout.Status{{}})
	recorded.Check(t, "rollouts_empty", []rollout.Status{})
}

func mustClose(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Error(err)
	}
}
