package reachability_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/reachability"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

func fullStatus() reachability.NodeStatus {
	return reachability.NodeStatus{
		Node: "c1", StartedMs: 1700000000123, Seq: 77, StoreReachable: true, LeaseHeld: true, LeadsShards: true, PreferredLeader: "c2", CloudReachable: true,
		Heartbeats: 120, ExpectedHeartbeats: 130.5, UnreachedPeers: []string{"c3"}, ProbeSample: []string{"10.1.0.232:9000"}, Probed: true, ProbeSuccess: 0.75,
		Assignments: []reachability.Assignment{{Node: "c2", Share: 400.5}}, WorkerCapacity: 900, WorkerCount: 850, HeardWorkers: reachability.NewNameSet([]string{"n-000231", "n-000232"}, 64),
	}
}

// The JSON encoding of a status, which controllers exchange and store, is stable.
func TestRecordedNodeStatus(t *testing.T) {
	recorded.Check(t, "row_full", fullStatus())
	recorded.Check(t, "row_empty", reachability.NodeStatus{})
	recorded.Check(t, "seat_empty", reachability.Assignment{})
	recorded.Check(t, "relayed_full", reachability.RelayedStatus{Status: fullStatus(), AgeS: 1.25})
	recorded.Check(t, "relayed_empty", reachability.RelayedStatus{})
	recorded.Check(t, "names_full", reachability.NewNameSet([]string{"n-000231", "n-000232"}, 64))
}

// A recorded set contains the names that were added to it.
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

// The JSON encoding shown to operators is stable.
func TestRecordedOpsStatus(t *testing.T) {
	recorded.Check(t, "shown_full", reachability.OpsStatus{
		Node: "c1", State: "straight", Kept: 2, CancelsAgeS: 0.25, Cancelled: 3, Answers: true,
		Links: []reachability.OpsLink{{To: "c2", Is: "up", SinceS: 61.5}},
		Controllers: []reachability.OpsNode{{
			Node: "c2", Reached: "known by third", AgeS: 1.25, State: true, Held: true, Owns: true, Cloud: true,
			Reports: 120, Expected: 130.5, Lacks: []string{"c3"},
		}},
	})
	recorded.Check(t, "shown_empty", reachability.OpsStatus{})
	recorded.Check(t, "shown_link_empty", reachability.OpsLink{})
	recorded.Check(t, "shown_node_empty", reachability.OpsNode{})
}
