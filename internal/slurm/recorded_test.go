package slurm_test

import (
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/slurm"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
	"github.com/wallrack/wallrack/internal/wire"
)

func unmarshal(data []byte, value any) error { return json.Unmarshal(data, value) }

// The JSON rows printed by squeue --json and wallctl accounting report --json.
func TestRecordedJSON(t *testing.T) {
	recorded.CompareJSON[slurm.QueueJSON](t, "queue.json", json.Marshal, unmarshal)
	recorded.CompareJSON[slurm.Sum](t, "sum.json", json.Marshal, unmarshal)
}

// The totals of usage for each grouping of wallctl accounting report.
func TestRecordedSums(t *testing.T) {
	const hourMs = 3_600_000
	records := []*slurm.Record{
		{Job: accounting.Row{Team: "brew", Class: "quick", User: "mo", Eligible: 1000, Start: 6000, End: 2 * hourMs, Done: 2}, Attempts: []accounting.Row{
			{Start: 0 * hourMs, End: hourMs, CPUs: 2, MemoryGB: 4, Useful: true},
			{Start: 1, End: 1 + hourMs, CPUs: 2, MemoryGB: 4, Useful: true, Price: 3},
			{Start: 1, End: 1 + hourMs/2, CPUs: 2, MemoryGB: 4, Price: 3},
		}},
		{Job: accounting.Row{Team: "tarts", Class: "quick", End: 26 * hourMs, Done: 1}, Attempts: []accounting.Row{{Start: 1, End: 1 + hourMs, CPUs: 1, MemoryGB: 1, Useful: true, Price: 2}}},
		{Job: accounting.Row{Team: "tarts", Class: "nightly", User: "jo"}},
	}
	for _, by := range []string{"account", "class", "user", "day"} {
		sums, err := slurm.Summarize(records, by, time.UTC)
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.MarshalIndent(sums, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		recorded.Compare(t, "sums-by-"+by+".json", append(data, '\n'))
	}
	_, err := slurm.Summarize(records, "team", time.UTC)
	if want := `--by: "team": account, class, user or day is needed`; err == nil || err.Error() != want {
		t.Errorf("%v, not %s", err, want)
	}
}

// squeue's output for tasks in each state: in the default layout, with all columns, and as JSON.
func TestRecordedQueue(t *testing.T) {
	i := &jobquery.Info{
		Job: wire.Job{UID: "j-1", Class: "quick", Team: "brew", Priority: "urgent", Tasks: 5, CPUs: 2, GPUs: 1, MemoryGB: 4},
		Constraints: &jobspec.Constraints{
			Number: 40, Name: "night", User: "mo", Array: "1-9:2", MaxConcurrent: 2, LimitS: 7200, BeginMs: 1_000_000,
			Dependencies: []jobspec.Dependency{{Kind: "afterok", Number: 7}, {Kind: "after", Number: 8, DelayS: 120}},
		},
		AcceptedMs: 500_000, Stage: wire.StageQueued, Reason: "Dependency", EligibleMs: 1_000_000, PendingTasks: "3-4", PendingCount: 2, Running: 3,
		Placements: []jobquery.Placement{{Task: 0, Worker: "m-1", StartMs: 1_100_000}, {Task: 1, Worker: "m-2"}, {Task: 2, Worker: "m-3", StartMs: 1_200_000, Halted: true}},
	}
	names := slurm.QueueFieldNames()
	var text strings.Builder
	text.WriteString(names + "\n" + slurm.AcctFieldNames() + "\n")
	for _, each := range []bool{false, true} {
		for _, long := range []string{"", strings.Join(strings.Fields(names), ",")} {
			table, err := slurm.QueueTable("", long, false)
			if err != nil {
				t.Fatal(err)
			}
			text.WriteString(table.Header())
			for _, row := range slurm.QueueRows(i, each, 1_260_000, time.UTC) {
				text.WriteString(table.Row(&row))
			}
		}
	}
	for _, row := range slurm.QueueRows(i, false, 1_260_000, time.UTC) {
		data, err := json.Marshal(row.JSON())
		if err != nil {
			t.Fatal(err)
		}
		text.WriteString(string(data) + "\n")
	}
	recorded.Compare(t, "queue.txt", []byte(text.String()))
}
