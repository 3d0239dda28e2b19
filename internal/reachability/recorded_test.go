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

func fullStatus() reachability.NodeStatus {
	return reachability.NodeStatus{
		Node: "c1", StartedMs: 1700000000123, Seq: 77, StoreReachable: true, LeaseHeld: true, OwnsJobs: true, PreferredLeader: "c2", CloudReachable: true,
		Heartbeats: 120, ExpectedHeartbeats: 130.5, UnreachedPeers: []string{"c3"}, ProbeSample: []string{"10.1.0.232:9000"}, Probed: true, ProbeSuccess: 0.75,
		Assignments: []reachability.Assignment{{Node: "c2", Share: 400.5}}, WorkerCapacity: 900, WorkerCount: 850, HeardWorkers: reachability.NewNameSet([]string{"n-000231", "n-000232"}, 64),
	}
}

// A controller's status, which it sends and stores, keeps its form.
func TestRecordedNodeStatus(t *testing.T) {
	checkRecorded(t, "row_full.json", fullStatus())
	checkRecorded(t, "row_empty.json", reachability.NodeStatus{})
	checkRecorded(t, "seat_empty.json", reachability.Assignment{})
	checkRecorded(t, "relayed_full.json", reachability.RelayedStatus{Status: fullStatus(), AgeS: 1.25})
	checkRecorded(t, "relayed_empty.json", reachability.RelayedStatus{})
	checkRecorded(t, "names_full.json", reachability.NewNameSet([]string{"n-000231", "n-000232"}, 64))
}

// The names in a recorded set are found in it.
func TestRecordedNames(t *testing.T) {
	recorded, err := os.ReadFile(filepath.Join("testdata", "recorded", "names_full.json"))
	if err != nil {
		t.Fatal(err)
	}
	var names reachability.NameSet
	if err := json.Unmarshal(recorded, &names); err != nil || !names.Has("n-000231") || !names.Has("n-000232") || names.Has("n-000233") {
		t.Errorf("the recorded set reads as %+v, %v", names, err)
	}
}

// What operators see of the links keeps its form.
func TestRecordedOpsStatus(t *testing.T) {
	checkRecorded(t, "shown_full.json", reachability.OpsStatus{
		Node: "c1", State: "straight", Kept: 2, CancelsAgeS: 0.25, Cancelled: 3, Answers: true,
		Links: []reachability.OpsLink{{To: "c2", Is: "up", SinceS: 61.5}},
		Controllers: []reachability.OpsNode{{
			Node: "c2", Reached: "known by third", AgeS: 1.25, State: true, Held: true, Owns: true, Cloud: true,
			Reports: 120, Expected: 130.5, Lacks: []string{"c3"},
		}},
	})
	checkRecorded(t, "shown_empty.json", reachability.OpsStatus{})
	checkRecorded(t, "shown_link_empty.json", reachability.OpsLink{})
	checkRecorded(t, "shown_node_empty.json", reachability.OpsNode{})
}
