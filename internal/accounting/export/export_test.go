package export_test

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/parquet-go/parquet-go"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/accounting/export"
	"github.com/wallrack/wallrack/internal/slurm"
)

var noon = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// at returns the Unix time in milliseconds s seconds after noon.
func at(s int) int64 { return noon.Add(time.Duration(s) * time.Second).UnixMilli() }

// records returns a job that ran for an hour from 12:01, and a job that was cancelled while it
// was pending.
func records() []*slurm.Record {
	collector := slurm.NewCollector()
	for _, r := range []accounting.Row{
		{Kind: accounting.RowJob, UID: "j-a", Number: 7, State: "COMPLETED", Submit: at(0), Eligible: at(0), Name: "a \"b\", c", Team: "t", Class: "c", Tasks: 1, Done: 1, Start: at(60), End: at(3660), CPUs: 2},
		{Kind: accounting.RowAttempt, UID: "j-a", Number: 7, Attempt: 1, State: "COMPLETED", Start: at(60), End: at(3660), Worker: "n-1", CPUs: 2, MemoryGB: 4, Useful: true, Price: 6},
		{Kind: accounting.RowJob, UID: "j-b", Number: 8, State: "CANCELLED", Submit: at(0), Eligible: at(1800), Team: "t", Class: "c", Tasks: 1, End: at(1900)},
	} {
		collector.Add(&r)
	}
	return collector.Records()
}

func TestCSVJSONAndParquetHoldTheSameRows(t *testing.T) {
	want := export.Lines(records())
	if len(want) != 3 || want[1].CPUSeconds != 7200 || want[1].MemoryGBSeconds != 14400 || want[1].Cost != 6 || want[1].Name != want[0].Name {
		t.Fatalf("%+v", want)
	}
	var asJSON, asParquet, asCSV bytes.Buffer
	for format, buffer := range map[string]*bytes.Buffer{"json": &asJSON, "parquet": &asParquet, "csv": &asCSV} {
		if err := export.Write(buffer, format, want); err != nil {
			t.Fatal(err)
		}
	}
	var got []export.Line
	if err := json.Unmarshal(asJSON.Bytes(), &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("json: %+v, %v", got, err)
	}
	if got, err := parquet.Read[export.Line](bytes.NewReader(asParquet.Bytes()), int64(asParquet.Len())); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("parquet: %+v, %v", got, err)
	}
	rows, err := csv.NewReader(&asCSV).ReadAll()
	if err != nil || len(rows) != 4 {
		t.Fatalf("csv: %v, %v", rows, err)
	}
	header := strings.Join(rows[0], ",")
	if !strings.HasPrefix(header, "kind,uid,number,task,attempt,state,exit_code,name") || rows[1][7] != "a \"b\", c" || rows[2][len(rows[2])-1] != "6" {
		t.Errorf("csv: %q", rows)
	}
	if err := export.Write(&asCSV, "xls", want); err == nil {
		t.Error("an unknown format is accepted")
	}
}

// The five points are half an hour apart.
func TestSeriesCountsWaitingRunningAndCost(t *testing.T) {
	points := export.Series(records(), noon, noon.Add(2*time.Hour), 5)
	got := make([][2]int, len(points))
	for i, p := range points {
		got[i] = [2]int{p.Waiting, p.Running}
	}
	if want := [][2]int{{1, 0}, {1, 1}, {0, 1}, {0, 0}, {0, 0}}; !reflect.DeepEqual(got, want) {
		t.Errorf("%v, not %v", got, want)
	}
	if cost := points[1].Cost; cost < 2.89 || cost > 2.91 {
		t.Errorf("cost of %v after half an hour", cost)
	}
	if cost := points[4].Cost; cost < 5.99 || cost > 6.01 {
		t.Errorf("total cost of %v", cost)
	}
	var page bytes.Buffer
	if err := export.Plot(&page, "a day", records(), noon, noon.Add(time.Hour), time.UTC); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"jobs waiting", "tasks running", "cost so far", "12:30"} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the page has no %q", want)
		}
	}
}
