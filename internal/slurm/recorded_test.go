package slurm_test

import (
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/slurm"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

func unmarshal(data []byte, value any) error { return json.Unmarshal(data, value) }

// What squeue --json and wallctl accounting report --json print.
func TestRecordedJSON(t *testing.T) {
	recorded.CompareJSON[slurm.QueueJSON](t, "queue.json", json.Marshal, unmarshal)
	recorded.CompareJSON[slurm.Sum](t, "sum.json", json.Marshal, unmarshal)
}

// The groups of account sums, with what each adds up.
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
		sums, err := slurm.Sums(records, by, time.UTC)
		if err != nil {
			t.Fatal(err)
		}
		data, err := json.MarshalIndent(sums, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		recorded.Compare(t, "sums-by-"+by+".json", append(data, '\n'))
	}
	_, err := slurm.Sums(records, "team", time.UTC)
	if want := `--by: "team": account, class, user or day is needed`; err == nil || err.Error() != want {
		t.Errorf("%v, not %s", err, want)
	}
}
