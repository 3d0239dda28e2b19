package accounting

import (
	"encoding/hex"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

func fullRow() Row {
	return Row{
		Kind: RowAttempt, UID: "j-000412", Number: 4100, Task: 3, Attempt: 2, State: "COMPLETED", Exit: 7, Submit: 1_796_000_000_000,
		Eligible: 1_796_000_000_500, Name: "tips", User: "erin", Team: "vision", Class: "train", Priority: "urgent", Tasks: 16, Array: "0-30:2",
		Done: 14, Start: 1_796_000_001_000, End: 1_796_000_002_000, Worker: "n-000001", CPUs: 2.5, GPUs: 1, MemoryGB: 4.25, Useful: true, Price: 0.37,
	}
}

// recordedRow is a row's CBOR encoding, in hexadecimal, before compression.
type recordedRow struct {
	CBOR string `json:"cbor"`
}

// A row is encoded as an array without names, so the order and types of its fields must not
// change.
func TestRecordedRows(t *testing.T) {
	for name, row := range map[string]Row{"row-full": fullRow(), "row-none": {}} {
		data, err := appendRows(nil, []Row{row})
		if err != nil {
			t.Fatal(err)
		}
		recorded.Check(t, name, recordedRow{CBOR: hex.EncodeToString(data)})
		var got Row
		if err := cbor.Unmarshal(data, &got); err != nil || got != row {
			t.Errorf("%s: read as %+v, %v", name, got, err)
		}
		var fields []any
		if err := cbor.Unmarshal(data, &fields); err != nil || len(fields) != 25 {
			t.Errorf("%s: %d fields, %v", name, len(fields), err)
		}
	}
}

// recordedPage is a page as stored in the state service.
type recordedPage struct {
	Key   string `json:"path"`
	Value string `json:"data"`
}

// The recorded page can be unpacked, and its rows result in the same key and text. If a new release
// of the compression library produces another text, the new page is recorded in addition. The old
// page must still be readable.
func TestRecordedPages(t *testing.T) {
	rows := []Row{fullRow(), {}, {Kind: RowJob, UID: "j-2", State: "CANCELLED", Tasks: 1}}
	write, err := NewPageBuilder(0xab7, 7<<10).Add(rows, time.Date(2026, 11, 30, 23, 59, 0, 0, time.UTC))
	if err != nil {
		t.Fatal(err)
	}
	recorded.Check(t, "page", recordedPage{Key: write.Key, Value: write.Value})
	if write.Key != "acct/20261130/0000000000000ab7-000001" || KeyPrefix != "acct/" || !strings.HasPrefix(write.Value, "1:") {
		t.Errorf("%s: %q", write.Key, write.Value)
	}
	if prefix, err := DayPrefix("20261130"); prefix != "acct/20261130/" || err != nil {
		t.Errorf("the day's keys begin with %q, %v", prefix, err)
	}
	if RowJob != 1 || RowAttempt != 2 {
		t.Errorf("kinds %d and %d", RowJob, RowAttempt)
	}
	data, err := os.ReadFile("testdata/recorded/page.json")
	if err != nil {
		t.Fatal(err)
	}
	var page recordedPage
	if err := json.Unmarshal(data, &page); err != nil {
		t.Fatal(err)
	}
	reader, err := NewReader()
	if err != nil {
		t.Fatal(err)
	}
	defer reader.Close()
	var got []Row
	if err := reader.Unpack(page.Value, func(r *Row) { got = append(got, *r) }); err != nil || !slices.Equal(got, rows) {
		t.Errorf("read as %+v, %v", got, err)
	}
}
