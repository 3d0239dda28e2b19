package jobid

import (
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
	"github.com/wallrack/wallrack/internal/wire"
)

// Controllers of different versions share the records, so their encoding must not change.
func TestRecordedForms(t *testing.T) {
	recorded.Check(t, "counter", counter{Next: 9007199254740993})
	recorded.Check(t, "counter_least", counter{})
	recorded.Check(t, "job", Job{UID: "j-1", First: 1001, Tasks: 40})
	recorded.Check(t, "job_least", Job{})
}

func TestRecordedKeys(t *testing.T) {
	for got, want := range map[string]string{
		counterKey: "numbers", jobPrefix: "number/", keyOfLast(0): "number/00000000000000",
		Key(1001, 40): "number/00000000001040", Key(1001, 0): "number/00000000001001",
		Key(99999999999998, 1): "number/99999999999998",
	} {
		if got != want {
			t.Errorf("key %q, want %q", got, want)
		}
	}
}

// The records that an allocator writes to the state service, and those it reads there, must not
// change.
func TestRecordedByAllocator(t *testing.T) {
	store := testkit.NewStore()
	view := &testkit.View{Store: store}
	allocator := New(view)
	if first, err := allocator.Take(t.Context(), 3); err != nil || first != 1 || store.RawValue("numbers") != `{"next":10001}` {
		t.Errorf("took %d, %v; stored %s", first, err, store.RawValue("numbers"))
	}
	if first, err := allocator.Next(t.Context(), 2); err != nil || first != 10001 || store.RawValue("numbers") != `{"next":10003}` {
		t.Errorf("next %d, %v; stored %s", first, err, store.RawValue("numbers"))
	}
	stored := json.RawMessage(`{"uid":"j-1","first":1001,"tasks":40}`)
	if _, err := view.Txn(t.Context(), nil, wire.Op{Put: "number/00000000001040", Value: stored}); err != nil {
		t.Fatal(err)
	}
	if job, err := allocator.Find(t.Context(), 1030); err != nil || job != (Job{UID: "j-1", First: 1001, Tasks: 40}) {
		t.Errorf("found %+v, %v", job, err)
	}
}
