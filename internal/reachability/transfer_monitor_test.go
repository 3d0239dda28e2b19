package reachability_test

import (
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/reachability"
)

// Heartbeats arrive at random times. A pause that occurs by chance must not cause probes.
func TestShouldProbeOnlyAfterUnlikelyPause(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		sinceLast time.Duration
		want      bool
	}{{170, 700 * time.Millisecond, false}, {170, 800 * time.Millisecond, true}, {3, 5 * time.Second, false}, {3, 7 * time.Second, true}, {0, time.Hour, false}} {
		if reachability.ShouldProbe(c.perSecond, c.sinceLast) != c.want {
			t.Errorf("%+v", c)
		}
	}
}

// A leader that receives no heartbeats for a minute while a peer does transfers its shards.
// Otherwise it would delete working machines as failed, such as 700 of 1,300, with their tasks.
// Repeated transfers over flapping links are delayed more and more.
func TestTransferWhenInboundLost(t *testing.T) {
	peers := func(a, b int) []reachability.Peer {
		noStore := healthyPeer("c", 900)
		noStore.Status.StoreReachable = false
		return []reachability.Peer{healthyPeer("a", a), healthyPeer("b", b), noStore}
	}
	probes := func(success float64) []reachability.Peer {
		p := healthyPeer("b", 0)
		p.Status.Probed, p.Status.ProbeSuccess = true, success
		return []reachability.Peer{healthyPeer("a", 0), p}
	}
	stored := healthyPeer("a", 200)
	stored.Path, stored.Age, stored.SinceHeard = reachability.ViaStore, 4*time.Second, time.Hour
	old := healthyPeer("a", 200)
	old.Age, old.SinceHeard = 4*time.Second, 4*time.Second
	for _, c := range []struct {
		name      string
		after     time.Duration
		leads     bool
		heard     int
		expected  float64
		peers     []reachability.Peer
		transfers int
		want      string
	}{
		{"hears its workers", time.Minute, true, 400, 480, peers(100, 0), 0, ""},
		{"lost its workers, and a peer hears them", time.Minute, true, 0, 480, peers(90, 200), 0, "b"},
		{"the mesh is down, and the state service tells", time.Minute, true, 0, 480, []reachability.Peer{stored}, 0, "a"},
		{"does not reach those it probed, a peer does", time.Minute, true, 400, 480, probes(1), 0, "b"},
		{"nobody reaches those that were probed", time.Minute, true, 400, 480, probes(0.1), 0, ""},
		{"who heard them is not heard any more", time.Minute, true, 0, 480, []reachability.Peer{old}, 0, ""},
		{"nobody hears them", time.Minute, true, 0, 480, peers(0, 9), 0, ""},
		{"only one without the state service does", time.Minute, true, 0, 480, peers(0, 0), 0, ""},
		{"has only just begun", 5 * time.Second, true, 0, 480, peers(90, 200), 0, ""},
		{"has only just been given them", 20 * time.Second, true, 0, 480, peers(90, 200), 1, "b"},
		{"after three transfers", 30 * time.Second, true, 0, 480, peers(90, 200), 3, ""},
		{"long after three transfers", 2 * time.Minute, true, 0, 480, peers(90, 200), 3, "b"},
		{"leads nothing", time.Minute, false, 0, 480, peers(90, 200), 0, ""},
		{"too few workers to tell", time.Minute, true, 0, 6, peers(5, 0), 0, ""},
		{"a third of the workers is cut off", time.Minute, true, 300, 480, peers(160, 0), 0, ""},
	} {
		var monitor reachability.TransferMonitor
		v := reachability.View{Self: reachability.NodeStatus{Node: "o", LeadsShards: c.leads, Heartbeats: c.heard, ExpectedHeartbeats: c.expected, Probed: true, ProbeSuccess: 0}, Peers: c.peers}
		monitor.Check(noon, &reachability.View{Self: reachability.NodeStatus{LeadsShards: c.leads}}, 0)
		now := noon.Add(c.after)
		if got := monitor.Check(now, &v, c.transfers); got != "" {
			t.Errorf("%s: one check was enough for %q", c.name, got)
		}
		if got := monitor.Check(now.Add(time.Second), &v, c.transfers); got != c.want {
			t.Errorf("%s: to %q, not %q", c.name, got, c.want)
		}
	}
}
