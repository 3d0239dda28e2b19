package wire_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/goccy/go-json"

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

func fullTask() wire.Task {
	exit := 137
	return wire.Task{Task: "j-000400/7", Attempt: 3, State: wire.TaskExited, Cause: wire.CauseError, Saved: true, Exit: &exit}
}

func fullJob() wire.Job {
	zone, due := "b", 3600.5
	return wire.Job{
		UID: "j-000400", Class: "batch", Team: "vision", Kind: wire.KindGang, Priority: "urgent", Tasks: 8,
		CPUs: 2.5, GPUs: 1, MemoryGB: 12.25, Image: "trainer:7", ImageGB: 4.5, Types: []string{"g8", "g16"}, Zone: &zone,
		OneZone: true, Spread: true, Spot: true, Estimate: 900.25, MarkS: 60, SaveS: 7.5, DueS: &due,
	}
}

// Users' messages keep their form.
func TestRecordedUsers(t *testing.T) {
	checkRecorded(t, "job_full.json", fullJob())
	checkRecorded(t, "job_empty.json", wire.Job{})
	checkRecorded(t, "job_state_full.json", wire.JobState{UID: "j-000400", Stage: wire.StageRunning, Done: 3, Running: 5})
	checkRecorded(t, "job_state_empty.json", wire.JobState{})
	checkRecorded(t, "machine_info_full.json", wire.MachineInfo{Name: "n-000231", Type: "g8", Zone: "a", Spot: true, CPUs: 8, UsedCPUs: 6.5, Tasks: 3, HeardS: 1.25})
	checkRecorded(t, "machine_info_empty.json", wire.MachineInfo{})
	checkRecorded(t, "problem_full.json", wire.Problem{Error: "uid: missing"})
	checkRecorded(t, "problem_empty.json", wire.Problem{})
}

// A submission is read field by field, not as a whole: each field keeps its name there too.
func TestRecordedSubmission(t *testing.T) {
	body, err := os.ReadFile(filepath.Join("testdata", "recorded", "job_full.json"))
	if err != nil {
		t.Fatal(err)
	}
	if job, err := wire.ParseJob(body); err != nil || !reflect.DeepEqual(*job, fullJob()) {
		t.Errorf("the recorded submission reads as %+v, %v", job, err)
	}
}

// Workers' messages keep their form.
func TestRecordedWorkers(t *testing.T) {
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
	checkRecorded(t, "report_full.json", report)
	checkRecorded(t, "report_empty.json", wire.Report{Tasks: []wire.Task{}})
	checkRecorded(t, "task_full.json", fullTask())
	checkRecorded(t, "task_empty.json", wire.Task{})
	checkRecorded(t, "command_full.json", commands[0])
	checkRecorded(t, "command_empty.json", wire.Command{})
	checkRecorded(t, "report_answer_full.json", wire.ReportAnswer{Token: 41, Commands: commands})
	checkRecorded(t, "report_answer_empty.json", wire.ReportAnswer{Commands: []wire.Command{}})
	orders := wire.Orders{Token: 41, Session: 2, Commands: commands}
	checkRecorded(t, "orders_full.json", orders)
	checkRecorded(t, "orders_empty.json", wire.Orders{Commands: []wire.Command{}})
	checkRecorded(t, "redirect_full.json", wire.Redirect{ReportTo: "c2"})
	checkRecorded(t, "redirect_empty.json", wire.Redirect{})

	body, err := os.ReadFile(filepath.Join("testdata", "recorded", "report_full.json"))
	if err != nil {
		t.Fatal(err)
	}
	if r, err := wire.ParseReport(body); err != nil || !reflect.DeepEqual(*r, report) {
		t.Errorf("the recorded report reads as %+v, %v", r, err)
	}
	if body, err = os.ReadFile(filepath.Join("testdata", "recorded", "orders_full.json")); err != nil {
		t.Fatal(err)
	}
	if o, err := wire.ParseOrders(body); err != nil || !reflect.DeepEqual(*o, orders) {
		t.Errorf("the recorded orders read as %+v, %v", o, err)
	}
}

// The cloud's messages keep their form.
func TestRecordedCloud(t *testing.T) {
	machineType := wire.MachineType{Name: "g8", CPUs: 8, GPUs: 1, MemoryGB: 32.5, CacheGB: 100, FetchGBPerS: 0.25, Price: 1.5, SpotPrice: 0.45, BootS: 90, Zones: []string{"a", "b"}}
	checkRecorded(t, "machine_types_full.json", wire.MachineTypes{Types: []wire.MachineType{machineType}})
	checkRecorded(t, "machine_types_empty.json", wire.MachineTypes{})
	checkRecorded(t, "machine_type_full.json", machineType)
	checkRecorded(t, "machine_type_empty.json", wire.MachineType{})
	checkRecorded(t, "hire_request_full.json", wire.HireRequest{Name: "h-17", Type: "g8", Zone: "a", Spot: true, Number: 4})
	checkRecorded(t, "hire_request_empty.json", wire.HireRequest{})
	checkRecorded(t, "machine_names_full.json", wire.MachineNames{Machines: []string{"n-000231", "n-000232"}})
	checkRecorded(t, "machine_names_empty.json", wire.MachineNames{})
	listed := wire.ListedMachine{Name: "n-000231", Endpoint: "10.1.0.232:9000", Type: "g8", Zone: "a", Spot: true, Stage: wire.MachineBooting, AgeS: 61.5}
	checkRecorded(t, "listed_machine_full.json", listed)
	checkRecorded(t, "listed_machine_empty.json", wire.ListedMachine{})
	checkRecorded(t, "machine_list_full.json", wire.MachineList{Machines: []wire.ListedMachine{listed}, More: true})
	checkRecorded(t, "machine_list_empty.json", wire.MachineList{})
}

// The state service's messages keep their form.
func TestRecordedState(t *testing.T) {
	value, none := json.RawMessage(`{"stage":"done"}`), json.RawMessage("null")
	item := wire.Item{Key: "/store/c/term", Value: value, Version: 12, Lease: 5}
	checkRecorded(t, "item_full.json", item)
	checkRecorded(t, "item_empty.json", wire.Item{Value: none})
	checkRecorded(t, "items_full.json", wire.Items{Items: []wire.Item{item}, More: true, Revision: 99})
	checkRecorded(t, "items_empty.json", wire.Items{})
	guard := wire.Guard{Key: "/store/c/term", Version: 12}
	checkRecorded(t, "guard_full.json", guard)
	checkRecorded(t, "guard_empty.json", wire.Guard{})
	op := wire.Op{Put: "/store/c/term", Value: map[string]any{"stage": "done"}, Lease: 5, Delete: "/store/c/old"}
	checkRecorded(t, "op_full.json", op)
	checkRecorded(t, "op_empty.json", wire.Op{})
	checkRecorded(t, "txn_full.json", wire.Txn{If: []wire.Guard{guard}, Then: []wire.Op{op}})
	checkRecorded(t, "txn_empty.json", wire.Txn{})
	checkRecorded(t, "txn_answer_full.json", wire.TxnAnswer{Revision: 99, Failed: []string{"/store/c/term"}})
	checkRecorded(t, "txn_answer_empty.json", wire.TxnAnswer{})
	checkRecorded(t, "lease_request_full.json", wire.LeaseRequest{TTLMs: 8000})
	checkRecorded(t, "lease_request_empty.json", wire.LeaseRequest{})
	checkRecorded(t, "lease_answer_full.json", wire.LeaseAnswer{Lease: 5})
	checkRecorded(t, "lease_answer_empty.json", wire.LeaseAnswer{})
	event := wire.Event{Put: "/store/c/term", Delete: "/store/c/old", Value: value, Version: 12}
	checkRecorded(t, "event_full.json", event)
	checkRecorded(t, "event_empty.json", wire.Event{Value: none})
	checkRecorded(t, "events_full.json", wire.Events{Revision: 99, Events: []wire.Event{event}})
	checkRecorded(t, "events_empty.json", wire.Events{})
}

// The words that messages carry are part of their form.
func TestRecordedWords(t *testing.T) {
	for _, words := range []struct{ is, was string }{
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
		if words.is != words.was {
			t.Errorf("%q is sent as %q", words.was, words.is)
		}
	}
	for rank, priority := range []string{"low", "normal", "urgent", "production"} {
		if job := (&wire.Job{Priority: priority}); job.Rank() != rank {
			t.Errorf("priority %q ranks %d, was %d", priority, job.Rank(), rank)
		}
	}
}
