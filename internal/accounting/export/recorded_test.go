package export_test

import (
	"bytes"
	"os"
	"testing"

	"github.com/parquet-go/parquet-go"

	"github.com/wallrack/wallrack/internal/accounting/export"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

func fullLine() export.Line {
	return export.Line{
		Kind: "attempt", UID: "j-000412", Number: 4100, Task: 3, Attempt: 2, State: "COMPLETED", Exit: 7, Name: "tips", User: "erin",
		Account: "vision", Class: "train", Priority: "urgent", Tasks: 16, Done: 14, Submit: 1_796_000_000_000, Eligible: 1_796_000_000_500,
		Start: 1_796_000_001_000, End: 1_796_000_002_000, Machine: "n-000001", CPUs: 2.5, GPUs: 1, MemoryGB: 4.25, CPUSeconds: 2500.5, MemoryGBSeconds: 4250.25,
		Useful: true, Cost: 0.37,
	}
}

func TestRecordedLines(t *testing.T) {
	recorded.CheckFull(t, "line-full", fullLine())
	recorded.Check(t, "line-none", export.Line{})
}

// The exact CSV output, and the names and types of the Parquet columns. The schema has the name of
// the Go type.
func TestRecordedTables(t *testing.T) {
	var table bytes.Buffer
	if err := export.Write(&table, "csv", []export.Line{fullLine(), {}}); err != nil {
		t.Fatal(err)
	}
	for name, got := range map[string]string{"lines.csv": table.String(), "lines.parquet-schema": parquet.SchemaOf(export.Line{}).String() + "\n"} {
		want, err := os.ReadFile("testdata/recorded/" + name)
		if err != nil {
			t.Fatal(err)
		}
		if got != string(want) {
			t.Errorf("%s: written as\n%swant\n%s", name, got, want)
		}
	}
}
