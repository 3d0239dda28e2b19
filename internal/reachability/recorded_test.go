package reachability_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/reachability"
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

func fullRow() reachability.Row {
	return reachability.Row{
		Node: "c1", Born: 1700000000123, Seq: 77, State: true, Held: true, Owns: true, Chief: "c2", Cloud: true,
		Reports: 120, Expected: 130.5, Lacks: []string{"c3"}, Sample: []string{"10.1.0.232:9000"}, Tried: true, Reaches: 0.75,
		Seats: []reachability.Seat{{Node: "c2", Share: 400.5}}, Room: 900, Here: 850, Heard: reachability.NewNames([]string{"n-000231", "n-000232"}, 64),
	}
}

// A controller's row, which it sends and stores, keeps its form.
func TestRecordedRow(t *testing.T) {
	checkRecorded(t, "row_full.json", fullRow())
	checkRecorded(t, "row_empty.json", reachability.Row{})
	checkRecorded(t, "seat_empty.json", reachability.Seat{})
	checkRecorded(t, "relayed_full.json", reachability.Relayed{Row: fullRow(), AgeS: 1.25})
	checkRecorded(t, "relayed_empty.json", reachability.Relayed{})
	checkRecorded(t, "names_full.json", reachability.NewNames([]string{"n-000231", "n-000232"}, 64))
}

// The names in a recorded set are found in it.
func TestRecordedNames(t *testing.T) {
	recorded, err := os.ReadFile(filepath.Join("testdata", "recorded", "names_full.json"))
	if err != nil {
		t.Fatal(err)
	}
	var names reachability.Names
	if err := json.Unmarshal(recorded, &names); err != nil || !names.Has("n-000231") || !names.Has("n-000232") || names.Has("n-000233") {
		t.Errorf("the recorded set reads as %+v, %v", names, err)
	}
}

// What operators see of the links keeps its form.
func TestRecordedShown(t *testing.T) {
	checkRecorded(t, "shown_full.json", reachability.Shown{
		Node: "c1", State: "straight", Kept: 2, CancelsAgeS: 0.25, Cancelled: 3, Answers: true,
		Links: []reachability.ShownLink{{To: "c2", Is: "up", SinceS: 61.5}},
		Controllers: []reachability.ShownNode{{
			Node: "c2", Reached: "known by third", AgeS: 1.25, State: true, Held: true, Owns: true, Cloud: true,
			Reports: 120, Expected: 130.5, Lacks: []string{"c3"},
		}},
	})
	checkRecorded(t, "shown_empty.json", reachability.Shown{})
	checkRecorded(t, "shown_link_empty.json", reachability.ShownLink{})
	checkRecorded(t, "shown_node_empty.json", reachability.ShownNode{})
}
