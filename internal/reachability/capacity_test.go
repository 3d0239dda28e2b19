package reachability_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/capacity"
	"github.com/wallrack/wallrack/internal/reachability"
)

// newStatus returns the status of a controller that receives heartbeats from a number of workers,
// given by heard.
func newStatus(heard int, unreached ...string) reachability.NodeStatus {
	status := reachability.NodeStatus{
		Node: "racker-1", StartedMs: 1_764_652_567_000, Seq: 100_000, StoreReachable: true, LeaseHeld: true, LeadsShards: true, PreferredLeader: "racker-1", CloudReachable: true,
		Heartbeats: 1000, ExpectedHeartbeats: 1000.5, UnreachedPeers: unreached,
	}
	if heard > 0 {
		names := make([]string, 0, heard)
		for i := range heard {
			names = append(names, fmt.Sprintf("n-%06d", i))
		}
		status.HeardWorkers = reachability.NewNameSet(names, 8<<10)
	}
	return status
}

func jsonBytes(tb testing.TB, message any) float64 {
	data, err := json.Marshal(message)
	if err != nil {
		tb.Fatal(err)
	}
	return float64(len(data))
}

// newTableWithUnreachedPeer returns a table in which only this controller hears the last peer, so
// that it relays that peer's status to all others.
func newTableWithUnreachedPeer(controllers int) (*reachability.Table, []string) {
	now := time.Now()
	var peers []string
	for i := 1; i < controllers; i++ {
		peers = append(peers, fmt.Sprintf("racker-%d", i+1))
	}
	unreached := peers[len(peers)-1]
	t := reachability.NewTable("racker-1", peers)
	for _, p := range peers {
		status := newStatus(0, unreached)
		if p == unreached {
			status = newStatus(0, peers[:len(peers)-1]...)
		}
		status.Node = p
		t.Update(status, reachability.Direct, 0, now)
	}
	return t, peers
}

var capacitySeries = []capacity.Series{
	{Name: "reachability.row", Sizes: []int{400, 800, 1600, 3200}, Measure: func(tb testing.TB, heard int) float64 {
		return jsonBytes(tb, newStatus(heard))
	}},
	{Name: "reachability.passed", Sizes: []int{3, 4, 6, 12}, FixedSlack: 20, Measure: func(tb testing.TB, controllers int) float64 {
		t, peers := newTableWithUnreachedPeer(controllers)
		total := 0.0
		for _, p := range peers {
			total += jsonBytes(tb, t.RelayFor(p, time.Now()))
		}
		return total
	}},
}

func TestCapacity(t *testing.T)      { capacity.Check(t, capacitySeries...) }
func BenchmarkCapacity(b *testing.B) { capacity.Bench(b, capacitySeries...) }
