package wire_test

import (
	"reflect"
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/testkit/recorded"
	"github.com/wallrack/wallrack/internal/wire"
)

func fullTask() wire.Task {
	exit := 137
	return wire.Task{Task: "j-000400/7", Attempt: 3, State: wire.TaskExited, Cause: wire.CauseError, Saved: true, Exit: &exit}
}

func fullJob() wire.Job {
	zone, due := "b", 3600.5
	return wire.Job{
		UID: "j-000400", Class: "batch", Team: "vision", Kind: wire.KindGang, Priority: "urgent", Tasks: 8,
		CPUs: 2.5, GPUs: 1, MemoryGB: 12.25, Image: "trainer:7", ImageGB: 4.5, Types: []string{"g8", "g16"}, Zone: &zone,
		OneZone: true, Spread: true, Spot: true, EstimateS: 900.25, CheckpointIntervalS: 60, CheckpointSaveS: 7.5, DueS: &due,
	}
}

// The encoding of users' messages does not change.
func TestRecordedUserMessages(t *testing.T) {
	recorded.Check(t, "job_full", fullJob())
	recorded.Check(t, "job_empty", wire.Job{})
	recorded.Check(t, "job_state_full", wire.JobState{UID: "j-000400", Stage: wire.StageRunning, Done: 3, Running: 5})
	recorded.Check(t, "job_state_empty", wire.JobState{})
	recorded.Check(t, "machine_info_full", wire.MachineInfo{Name: "n-000231", Type: "g8", Zone: "a", Spot: true, CPUs: 8, UsedCPUs: 6.5, Tasks: 3, SinceHeartbeatS: 1.25})
	recorded.Check(t, "machine_info_empty", wire.MachineInfo{})
	recorded.Check(t, "problem_full", wire.Problem{Error: "uid: missing"})
	recorded.Check(t, "problem_empty", wire.Problem{})
}

// ParseJob has its own list of the field names, in addition to the struct tags. Both must contain
// the same names.
func TestRecordedSubmission(t *testing.T) {
	body := recorded.Read(t, "job_full.json")
	if job, err := wire.ParseJob(body); err != nil || !reflect.DeepEqual(*job, fullJob()) {
		t.Errorf("the recorded submission was parsed as %+v, %v", job, err)
	}
}

// The encoding of workers' messages does not change.
func TestRecordedWorkerMessages(t *testing.T) {
	notice, grace := 30.5, 12.5
	report := wire.Report{
		Machine: "n-000231", Endpoint: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Session: 2, Seq: 1088, Token: 41,
		NoticeS: &notice, Tasks: []wire.Task{fullTask(), {Task: "j-000401/0", Attempt: 1, State: wire.TaskRunning}},
	}
	commands := []wire.Command{
		{Verb: wire.VerbStop, Task: "j-000400/7", Attempt: 3, GraceS: &grace},
		{Verb: wire.VerbStart, Task: "j-000401/0", Attempt: 1},
		{Verb: wire.VerbForget, Task: "j-000402/1", Attempt: 2},
	}
	recorded.Check(t, "report_full", report)
	recorded.Check(t, "report_empty", wire.Report{Tasks: []wire.Task{}})
	recorded.Check(t, "task_full", fullTask())
	recorded.Check(t, "task_empty", wire.Task{})
	recorded.Check(t, "command_full", commands[0])
	recorded.Check(t, "command_empty", wire.Command{})
	recorded.Check(t, "report_answer_full", wire.ReportResponse{Token: 41, Commands: commands})
	recorded.Check(t, "report_answer_empty", wire.ReportResponse{Commands: []wire.Command{}})
	orders := wire.PushedCommands{Token: 41, Session: 2, Commands: commands}
	recorded.Check(t, "orders_full", orders)
	recorded.Check(t, "orders_empty", wire.PushedCommands{Commands: []wire.Command{}})
	recorded.Check(t, "redirect_full", wire.Redirect{ReportTo: "c2"})
	recorded.Check(t, "redirect_empty", wire.Redirect{})

	body := recorded.Read(t, "report_full.json")
	if r, err := wire.ParseReport(body); err != nil || !reflect.DeepEqual(*r, report) {
		t.Errorf("the recorded report was parsed as %+v, %v", r, err)
	}
	body = recorded.Read(t, "orders_full.json")
	if o, err := wire.ParsePushedCommands(body); err != nil || !reflect.DeepEqual(*o, orders) {
		t.Errorf("the recorded pushed commands were parsed as %+v, %v", o, err)
	}
}

// The encoding of the cloud's messages does not change.
func TestRecordedCloudMessages(t *testing.T) {
	machineType := wire.MachineType{Name: "g8", CPUs: 8, GPUs: 1, MemoryGB: 32.5, CacheGB: 100, FetchGBPerS: 0.25, Price: 1.5, SpotPrice: 0.45, BootS: 90, Zones: []string{"a", "b"}}
	recorded.Check(t, "machine_types_full", wire.MachineTypes{Types: []wire.MachineType{machineType}})
	recorded.Check(t, "machine_types_empty", wire.MachineTypes{})
	recorded.Check(t, "machine_type_full", machineType)
	recorded.Check(t, "machine_type_empty", wire.MachineType{})
	recorded.Check(t, "hire_request_full", wire.ProvisionRequest{Name: "h-17", Type: "g8", Zone: "a", Spot: true, Number: 4})
	recorded.Check(t, "hire_request_empty", wire.ProvisionRequest{})
	recorded.Check(t, "machine_names_full", wire.MachineNames{Machines: []string{"n-000231", "n-000232"}})
	recorded.Check(t, "machine_names_empty", wire.MachineNames{})
	listed := wire.ListedMachine{Name: "n-000231", Endpoint: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Stage: wire.MachineBooting, AgeS: 61.5}
	recorded.Check(t, "listed_machine_full", listed)
	recorded.Check(t, "listed_machine_empty", wire.ListedMachine{})
	recorded.Check(t, "machine_list_full", wire.MachineList{Machines: []wire.ListedMachine{listed}, More: true})
	recorded.Check(t, "machine_list_empty", wire.MachineList{})
}

// The encoding of the state service's messages does not change.
func TestRecordedStateMessages(t *testing.T) {
	value, none := json.RawMessage(`{"stage":"done"}`), json.RawMessage("null")
	item := wire.Item{Key: "/store/c/term", Value: value, Version: 12, Lease: 5}
	recorded.Check(t, "item_full", item)
	recorded.Check(t, "item_empty", wire.Item{Value: none})
	recorded.Check(t, "items_full", wire.Items{Items: []wire.Item{item}, More: true, Revision: 99})
	recorded.Check(t, "items_empty", wire.Items{})
	guard := wire.Guard{Key: "/store/c/term", Version: 12}
	recorded.Check(t, "guard_full", guard)
	recorded.Check(t, "guard_empty", wire.Guard{})
	op := wire.Op{Put: "/store/c/term", Value: map[string]any{"stage": "done"}, Lease: 5, Delete: "/store/c/old"}
	recorded.Check(t, "op_full", op)
	recorded.Check(t, "op_empty", wire.Op{})
	recorded.Check(t, "txn_full", wire.Txn{If: []wire.Guard{guard}, Then: []wire.Op{op}})
	recorded.Check(t, "txn_empty", wire.Txn{})
	recorded.Check(t, "txn_answer_full", wire.TxnResponse{Revision: 99, Failed: []string{"/store/c/term"}})
	recorded.Check(t, "txn_answer_empty", wire.TxnResponse{})
	recorded.Check(t, "lease_request_full", wire.LeaseRequest{TTLMs: 8000})
	recorded.Check(t, "lease_request_empty", wire.LeaseRequest{})
	recorded.Check(t, "lease_answer_full", wire.LeaseResponse{Lease: 5})
	recorded.Check(t, "lease_answer_empty", wire.LeaseResponse{})
	event := wire.Event{Put: "/store/c/term", Delete: "/store/c/old", Value: value, Version: 12}
	recorded.Check(t, "event_full", event)
	recorded.Check(t, "event_empty", wire.Event{Value: none})
	recorded.Check(t, "events_full", wire.Events{Revision: 99, Events: []wire.Event{event}})
	recorded.Check(t, "events_empty", wire.Events{})
}

// The values of enumerations in messages, task names and priority ranks do not change.
func TestRecordedConstants(t *testing.T) {
	for _, constant := range []struct{ is, was string }{
		{wire.KindArray, "sweep"},
		{wire.KindService, "daemon"},
		{wire.KindGang, "gang"},
		{wire.StageQueued, "queued"},
		{wire.StageRunning, "running"},
		{wire.StageDone, "done"},
		{wire.StageCancelled, "cancelled"},
		{wire.TaskFetching, "fetching"},
		{wire.TaskRunning, "running"},
		{wire.TaskSaving, "saving"},
		{wire.TaskExited, "exited"},
		{wire.CauseDone, "done"},
		{wire.CauseStopped, "halted"},
		{wire.CauseError, "error"},
		{wire.CauseNoRoom, "no_room"},
		{wire.CauseBusy, "in_use"},
		{wire.CauseUnknown, "no_such"},
		{wire.VerbStart, "launch"},
		{wire.VerbStop, "halt"},
		{wire.VerbForget, "clear"},
		{wire.MachineBooting, "booting"},
		{wire.MachineRunning, "running"},
		{wire.MachineFailed, "failed"},
		{wire.TaskName("j-000400", 7), "j-000400/7"},
	} {
		if constant.is != constant.was {
			t.Errorf("%q is sent as %q", constant.was, constant.is)
		}
	}
	for rank, priority := range []string{"low", "normal", "urgent", "production"} {
		if job := (&wire.Job{Priority: priority}); job.Rank() != rank {
			t.Errorf("priority %q ranks %d, was %d", priority, job.Rank(), rank)
		}
	}
}
