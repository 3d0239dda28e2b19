package scheduler

import (
	"context"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/quotalease"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
	"github.com/wallrack/wallrack/internal/wire"
)

// fullJob returns a job with a value in each field. The state service accepts such a record,
// although a valid job can't both be confined to one zone and be spread over zones.
func fullJob() wire.Job {
	zone, due := "eu-1", 900.5
	return wire.Job{
		UID: "j-000412", Class: "train", Team: "vision", Kind: wire.KindArray, Priority: "urgent", Tasks: 16,
		CPUs: 8, GPUs: 1, MemoryGB: 64.5, Image: "img-07", ImageGB: 6.2, Types: []string{"g8", "g16"}, Zone: &zone,
		OneZone: true, Spread: true, Spot: true, EstimateS: 240, CheckpointIntervalS: 30, CheckpointSaveS: 4, DueS: &due,
	}
}

// fullConstraints returns constraints with a value in each field.
func fullConstraints() *jobspec.Constraints {
	return &jobspec.Constraints{
		Number: 4100, Name: "tips <a&b>", User: "erin", Array: "0-30:2", MaxConcurrent: 4, Held: true,
		BeginMs: 1_796_000_000_000, DeadlineMs: 1_796_000_900_000, LimitS: 600.5, NoRetry: true, AnyDependency: true,
		Dependencies:          []jobspec.Dependency{{Kind: jobspec.After, Job: "j-7", Number: 70, DelayS: 60}},
		CancelIfUnsatisfiable: true, CancelledTasks: "3,7-9", CancelReason: jobspec.Deadline,
	}
}

// fullEnding returns an ending with a value in each field.
func fullEnding() *jobspec.Ending {
	return &jobspec.Ending{Number: 4100, State: jobspec.Failed, ExitCode: 7, Failed: 2, StartMs: 1_796_000_001_000, EndMs: 1_796_000_002_000}
}

// The format of the records that a leader stores is stable, so that a successor of any version
// can read them.
func TestRecordedJobRecords(t *testing.T) {
	recorded.CheckFull(t, "live-full", jobrecord.LiveRecord{Job: fullJob(), Shard: 5, AcceptedMs: 1_796_000_000_123, Cancelled: true, Constraints: fullConstraints()})
	recorded.Check(t, "live-none", jobrecord.LiveRecord{})
	recorded.CheckFull(t, "final-full", jobrecord.FinalRecord{Stage: wire.StageDone, Done: 14, Ending: fullEnding()})
	recorded.Check(t, "final-none", jobrecord.FinalRecord{})
	recorded.CheckFull(t, "chunk-full", jobrecord.ChunkRecord{
		Seq: 9, DoneBits: []byte{0x83, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0x80}, NextAttempt: 12,
		Workers: []string{"n-000001", "n-000002"}, Placements: []uint64{2, 10, 1, 3, 11, 0}, Failed: []uint64{1, 1, 7, 7, 2, 0},
	})
	recorded.Check(t, "chunk-none", jobrecord.ChunkRecord{})
	recorded.CheckFull(t, "log-full", jobrecord.LogRecord{
		Seq: 77, Workers: []string{"n-000001", "n-000002"},
		Jobs: []jobrecord.JobEntry{
			{UID: "j-000412", Placements: []uint64{0, 1, 0, 1, 2, 1}, Removed: []uint64{3, 4}, Done: []uint64{5, 6}, Failed: []uint64{7, 1, 255}},
			{UID: "j-2", Done: []uint64{0}},
		}, QuotaMark: jobrecord.QuotaMark{LeasesQuota: true, UnleasedVersion: 4321},
	})
	recorded.Check(t, "log-none", jobrecord.LogRecord{})
}

// Each record of a recorded shard is decoded and encoded again without a change.
func TestRecordedShardIsReencodedUnchanged(t *testing.T) {
	data, err := os.ReadFile("testdata/recorded/shard.json")
	if err != nil {
		t.Fatal(err)
	}
	var shard wire.Items
	if err := json.Unmarshal(data, &shard); err != nil {
		t.Fatal(err)
	}
	written := map[string]int{}
	for _, item := range shard.Items {
		prefix, _, _ := strings.Cut(item.Key, "/")
		record := map[string]any{"live": &jobrecord.LiveRecord{}, "final": &jobrecord.FinalRecord{}, "task": &jobrecord.ChunkRecord{}, "log": &jobrecord.LogRecord{}, "number": &jobid.Job{}}[prefix]
		if record == nil {
			continue // accounting pages, whose values are not JSON records
		}
		if err := json.Unmarshal(item.Value, record); err != nil {
			t.Errorf("%s: %v", item.Key, err)
		}
		if again, err := json.Marshal(record); err != nil || string(again) != string(item.Value) {
			t.Errorf("%s: written as %s, %v; want %s", item.Key, again, err, item.Value)
		}
		written[prefix]++
	}
	if written["live"] != 1 || written["final"] != 1 || written["task"] != 1 || written["log"] != 3 || written["number"] != 2 {
		t.Errorf("records %v", written)
	}
}

// fixedLister is a state service in which every listing returns the same items.
type fixedLister []wire.Item

func (l fixedLister) List(context.Context, string) ([]wire.Item, uint64, error) { return l, 0, nil }

// Cancelled jobs are found among recorded jobs without decoding every job in full.
func TestRecordedCancelsAreFound(t *testing.T) {
	names := []string{"live-full", "live-none"}
	items := make(fixedLister, 0, len(names))
	for _, name := range names {
		data, err := os.ReadFile("testdata/recorded/" + name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		items = append(items, wire.Item{Key: "live/" + name, Value: data})
	}
	if uids, err := ReadCancelledJobs(t.Context(), items); err != nil || !slices.Equal(uids, []string{"j-000412"}) {
		t.Errorf("cancelled are %q, %v", uids, err)
	}
}

// A submitted job is stored as the job part of its live record.
func TestRecordedSubmission(t *testing.T) {
	recorded.CheckFull(t, "job-full", fullJob())
	recorded.Check(t, "job-none", wire.Job{})
}

// The format of quota lease records, as a leader writes them.
func TestRecordedQuotaLeases(t *testing.T) {
	recorded.CheckFull(t, "lent-full", quotalease.Record{Rows: []quotalease.Row{{
		Shard: 3, LeaderVersion: 99,
		Teams: map[string]quotalease.Entry{"vision": {Part: quotalease.Amount{8000, 1000}, Want: quotalease.Amount{16000, 2000}, Unit: quotalease.Amount{500, 250}}},
	}}})
	recorded.Check(t, "lent-none", quotalease.Record{Rows: []quotalease.Row{{Shard: 0, LeaderVersion: 1}}})
	if first, last := quotalease.Key(0), quotalease.Key(quotalease.RecordCount-1); quotalease.Prefix != "lent/" || first != "lent/00" || last != "lent/15" {
		t.Errorf("keys %s to %s", first, last)
	}
	if mark := quotaMarkBytes(t, jobrecord.QuotaMark{}); mark != `{}` {
		t.Errorf("a log record of a leader that leases no quota has the quota mark %s", mark)
	}
}

// quotaMarkBytes returns the encoded quota mark of a log record.
func quotaMarkBytes(t *testing.T, mark jobrecord.QuotaMark) string {
	t.Helper()
	data, err := json.Marshal(mark)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// acceptance is the transaction that accepts a job, in its encoded form.
type acceptance struct {
	Guards []wire.Guard `json:"guards"`
	Apply  []struct {
		Put   string          `json:"set"`
		Value json.RawMessage `json:"data"`
	} `json:"apply"`
}

// The transaction that accepts a job is encoded as recorded.
func TestRecordedAcceptance(t *testing.T) {
	job := fullJob()
	for name, constraints := range map[string]*jobspec.Constraints{"accept-full": fullConstraints(), "accept-none": nil} {
		guards, ops := jobrecord.AcceptanceTxn(&job, constraints, 5, 1_796_000_000_123)
		data, err := json.Marshal(wire.Txn{If: guards, Then: ops})
		if err != nil {
			t.Fatal(err)
		}
		var want acceptance
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatal(err)
		}
		recorded.Check(t, name, want)
	}
	recorded.CheckFull(t, "number-full", jobid.Job{UID: "j-000412", First: 4100, Tasks: 16})
	recorded.Check(t, "number-none", jobid.Job{})
}

// The names of the counters that operators read are stable.
func TestRecordedCounters(t *testing.T) {
	recorded.CheckFull(t, "counters-full", jobstate.Stats{
		Placed: 1, Duplicates: 2, Granted: 3, Refused: 4, Lost: 5, Done: 6, Errors: 7, Preempted: 8,
		Evicted: 9, LeaseExpiring: 10, Failovers: 11, QuotaRecordsRefused: 12,
	})
	recorded.Check(t, "counters-none", jobstate.Stats{})
	recorded.CheckFull(t, "served-full", jobstate.JobCounts{Offered: 5, Started: 4, OnTime: 3, Ended: 2, Waiting: 1})
	recorded.Check(t, "served-none", jobstate.JobCounts{})
}

// The keys that a leader uses, in full.
func TestRecordedKeys(t *testing.T) {
	job := &wire.Job{UID: "j-1", Tasks: 3}
	guards, ops := jobrecord.AcceptanceTxn(job, &jobspec.Constraints{Number: 40}, 0, 0)
	fixed := []string{
		jobrecord.LivePrefix, jobrecord.FinalPrefix, jobrecord.ChunkPrefix, jobrecord.LogPrefix, jobrecord.LogKey(7, 12),
		jobrecord.LogKey(1000, 100_000), jobrecord.ChunkKey("j-1", 0), jobrecord.ChunkKey("j-1", 1041),
	}
	got := append(make([]string, 0, len(fixed)+len(guards)+len(ops)), fixed...)
	for _, g := range guards {
		got = append(got, g.Key)
	}
	for _, op := range ops {
		got = append(got, op.Put)
	}
	want := []string{
		"live/", "final/", "task/", "log/", "log/007/00012", "log/1000/100000", "task/j-1/00000", "task/j-1/01041",
		"live/j-1", "final/j-1", "number/00000000000042", "live/j-1", "number/00000000000042",
	}
	if !slices.Equal(got, want) {
		t.Errorf("keys %q, want %q", got, want)
	}
	if shard, n, err := jobrecord.ParseLogKey("log/007/00012"); shard != 7 || n != 12 || err != nil {
		t.Errorf("the log key is parsed as %d, %d, %v", shard, n, err)
	}
}

// Records encode as numbers which tasks belong to a chunk and how a task ended, and a job's
// shard is computed from a hash. These numbers are part of the stored format.
func TestRecordedNumbers(t *testing.T) {
	if jobrecord.ChunkSize != 96 || jobstate.OutcomeFailed != 1 || jobstate.OutcomeTimedOut != 2 || jobstate.OutcomeCancelled != 3 {
		t.Errorf("chunks of %d tasks; ends %d, %d, %d", jobrecord.ChunkSize, jobstate.OutcomeFailed, jobstate.OutcomeTimedOut, jobstate.OutcomeCancelled)
	}
	for code, state := range []string{"COMPLETED", "FAILED", "TIMEOUT", "CANCELLED"} {
		if got := jobstate.TaskOutcome(code).AccountingState(); got != state {
			t.Errorf("end %d is %s, want %s", code, got, state)
		}
	}
	if got := (jobstate.TaskFailure{Outcome: jobstate.OutcomeTimedOut, ExitCode: 9}).Triple(4); !slices.Equal(got, []uint64{4, 2, 9}) {
		t.Errorf("a failed task is recorded as %v", got)
	}
	teams := []config.Team{{Name: "vision", CPUsMax: 8}, {Name: "free"}}
	for _, c := range []struct {
		uid, team string
		shard     int
	}{{"j-1", "free", 19}, {"j-000412", "free", 31}, {"j-000412", "vision", 41}, {"j-1", "vision", 41}} {
		if got := jobrecord.HashShard(&wire.Job{UID: c.uid, Team: c.team}, teams, 64); got != c.shard {
			t.Errorf("%s of team %s belongs to shard %d, want %d", c.uid, c.team, got, c.shard)
		}
	}
}
