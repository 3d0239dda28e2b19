package matching_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/matching"
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

// Resources and matrices keep the form in which controllers send them to one another.
func TestRecorded(t *testing.T) {
	checkRecorded(t, "shape_full.json", matching.Resources{CPUs: 2.5, GPUs: 1, MemoryGB: 12.25})
	checkRecorded(t, "shape_empty.json", matching.Resources{})
	checkRecorded(t, "matrix_full.json", matching.WaitMatrix{
		{Wait: 0, Free: matching.Resources{CPUs: 1.5, MemoryGB: 3}},
		{Wait: 20.5, Free: matching.Resources{CPUs: 4, GPUs: 1, MemoryGB: 8.25}},
	})
	checkRecorded(t, "matrix_empty.json", matching.WaitMatrix{})
	checkRecorded(t, "matrix_none.json", matching.WaitMatrix(nil))
}
