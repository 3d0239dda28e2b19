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

func at(s int) int64 { return noon.Add(time.Duration(s) * time.Second).UnixMilli() }

func records() []*slurm.Record {
	c := slurm.NewCollector()
	for _, r := range []accounting.Row{
		{Kind: accounting.RowJob, UID: "j-a", Number: 7, State: "COMPLETED", Submit: at(0), Eligible: at(0), Name: "a \"b\", c", Team: "t", Class: "c", Tasks: 1, Done: 1, Start: at(60), End: at(3660), CPUs: 2},
		{Kind: accounting.RowAttempt, UID: "j-a", Number: 7, Attempt: 1, State: "COMPLETED", Start: at(60), End: at(3660), Machine: "n-1", CPUs: 2, MemoryGB: 4, Useful: true, Price: 6},
		{Kind: accounting.RowJob, UID: "j-b", Number: 8, State: "CANCELLED", Submit: at(0), Eligible: at(1800), Team: "t", Class: "c", Tasks: 1, End: at(1900)},
	} {
		c.Add(&r)
	}
	return c.Records()
}

// Each format holds the same rows.
func TestCSVJSONAndParquetHoldTheSameRows(t *testing.T) {
	want := export.Lines(records())
	if len(want) != 3 || want[1].CPUSec != 7200 || want[1].GBSec != 14400 || want[1].Cost != 6 || want[1].Name != want[0].Name {
		t.Fatalf("%+v", want)
	}
	var js, pq, cs bytes.Buffer
	for form, to := range map[string]*bytes.Buffer{"json": &js, "parquet": &pq, "csv": &cs} {
		if err := export.Write(to, form, want); err != nil {
			t.Fatal(err)
		}
	}
	var got []export.Line
	if err := json.Unmarshal(js.Bytes(), &got); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("json: %+v, %v", got, err)
	}
	if got, err := parquet.Read[export.Line](bytes.NewReader(pq.Bytes()), int64(pq.Len())); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("parquet: %+v, %v", got, err)
	}
	rows, err := csv.NewReader(&cs).ReadAll()
	if err != nil || len(rows) != 4 {
		t.Fatalf("csv: %v, %v", rows, err)
	}
	head := strings.Join(rows[0], ",")
	if !strings.HasPrefix(head, "kind,uid,number,task,attempt,state,exit_code,name") || rows[1][7] != "a \"b\", c" || rows[2][len(rows[2])-1] != "6" {
		t.Errorf("csv: %q", rows)
	}
	if err := export.Write(&cs, "xls", want); err == nil {
		t.Error("an unknown format is written")
	}
}

// A series has the waiting jobs, the running tasks and the cost so far at each point.
func TestSeriesCountsWaitingRunningAndCost(t *testing.T) {
	points := export.Series(records(), noon, noon.Add(2*time.Hour), 5) // every half hour
	var got [][2]int
	for _, p := range points {
		got = append(got, [2]int{p.Waiting, p.Running})
	}
	if want := [][2]int{{1, 0}, {1, 1}, {0, 1}, {0, 0}, {0, 0}}; !reflect.DeepEqual(got, want) {
		t.Errorf("%v, not %v", got, want)
	}
	if c := points[1].Cost; c < 2.89 || c > 2.91 {
		t.Errorf("after half an hour it cost %v", c)
	}
	if c := points[4].Cost; c < 5.99 || c > 6.01 {
		t.Errorf("in all it cost %v", c)
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
