package reachability_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/reachability"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// unresponsiveWorkers returns n workers with tasks, all unheard for the given time.
func unresponsiveWorkers(n int, unheardFor time.Duration) (workers []reachability.UnresponsiveWorker) {
	for i := range n {
		workers = append(workers, reachability.UnresponsiveWorker{Name: fmt.Sprintf("n-%d", i), Endpoint: "e", UnheardFor: unheardFor, Busy: true})
	}
	return workers
}

func newDetector() *reachability.FailureDetector {
	return &reachability.FailureDetector{Timeout: 14 * time.Second, Lease: 44 * time.Second, HeartbeatInterval: 8 * time.Second, IsolationGrace: 17 * time.Second}
}

// healthyPeer returns a peer that exchanges messages with this controller and holds its lease.
func healthyPeer(name string, reports int) reachability.Peer {
	return reachability.Peer{Name: name, Known: true, OutboundReachable: true, Status: reachability.NodeStatus{Node: name, StoreReachable: true, LeaseHeld: true, Heartbeats: reports}}
}

// notHeardSinceFailover marks workers as not heard since the failover.
func notHeardSinceFailover(workers []reachability.UnresponsiveWorker) []reachability.UnresponsiveWorker {
	for i := range workers {
		workers[i].NotHeardSinceFailover = true
	}
	return workers
}

// evaluationCase is a leader's knowledge of unresponsive workers and how many of them should fail.
type evaluationCase struct {
	name         string
	self         reachability.NodeStatus
	peers        []reachability.Peer
	known        int
	unresponsive []reachability.UnresponsiveWorker
	health       reachability.ReceiveHealth
	respond      bool // the workers respond to probes
	want         int  // number of failed workers in the second evaluation
}

func evaluationCases() []evaluationCase {
	viaStore := func(names ...string) reachability.Peer {
		p := healthyPeer("b", 0)
		p.Path, p.Age, p.SinceHeard = reachability.ViaStore, 2*time.Second, time.Minute
		p.Status.UnreachedPeers, p.Status.HeardWorkers = []string{"a"}, reachability.NewNameSet(names, 1000)
		return p
	}
	unheardPeer := func(age time.Duration) reachability.Peer {
		p := healthyPeer("b", 0)
		p.Age, p.SinceHeard = age, age
		return p
	}
	inboundLost := reachability.NodeStatus{Node: "a", Heartbeats: 2, ExpectedHeartbeats: 400}
	healthy := reachability.NodeStatus{Node: "a", Heartbeats: 380, ExpectedHeartbeats: 400}
	oneWay := healthyPeer("b", 0)
	oneWay.Status.UnreachedPeers, oneWay.Status.HeardWorkers = []string{"a"}, reachability.NewNameSet([]string{"n-0", "n-1", "n-2"}, 1000)
	unreached := healthyPeer("b", 0)
	unreached.Status.HeardWorkers = reachability.NewNameSet([]string{"n-0", "n-1", "n-2"}, 1000)
	return []evaluationCase{
		{"a few failed", healthy, []reachability.Peer{healthyPeer("b", 0)}, 1000, unresponsiveWorkers(70, 14*time.Second), reachability.ReceiveHealth{}, false, 70},
		{"they respond to probes", healthy, []reachability.Peer{healthyPeer("b", 0)}, 1000, unresponsiveWorkers(70, 40*time.Second), reachability.ReceiveHealth{}, true, 0},
		{"not for long enough", healthy, nil, 1000, unresponsiveWorkers(70, 9*time.Second), reachability.ReceiveHealth{}, false, 0},
		{"inbound lost", inboundLost, nil, 1000, unresponsiveWorkers(30, 14*time.Second), reachability.ReceiveHealth{}, false, 0},
		{"no heartbeats for a lease and more", reachability.NodeStatus{Node: "a"}, nil, 1000, unresponsiveWorkers(1000, 65*time.Second), reachability.ReceiveHealth{}, false, 0},
		{"none of three workers is heard", healthy, nil, 3, unresponsiveWorkers(3, 20*time.Second), reachability.ReceiveHealth{}, false, 0},
		{"one of three failed", healthy, nil, 3, unresponsiveWorkers(1, 14*time.Second), reachability.ReceiveHealth{}, false, 1},
		{"most at once", healthy, []reachability.Peer{healthyPeer("b", 0)}, 1000, unresponsiveWorkers(600, 20*time.Second), reachability.ReceiveHealth{}, false, 0},
		{"most, for a lease: no more than an accident takes", healthy, nil, 250, unresponsiveWorkers(150, 50*time.Second), reachability.ReceiveHealth{}, false, 100},
		{"sockets were full a moment ago", healthy, nil, 1000, unresponsiveWorkers(70, 14*time.Second), reachability.ReceiveHealth{RefusedConnections: 5}, false, 0},
		{"timers fired late", healthy, nil, 1000, unresponsiveWorkers(70, 14*time.Second), reachability.ReceiveHealth{TimerDelay: 5 * time.Second}, false, 0},
		{"sockets are full, and they were unheard twice as long", healthy, nil, 1000, unresponsiveWorkers(70, 28*time.Second), reachability.ReceiveHealth{RefusedConnections: 5}, false, 70},
		{"a peer hears three, and only the state service tells", healthy, []reachability.Peer{viaStore("n-0", "n-1", "n-2")}, 1000, unresponsiveWorkers(70, 14*time.Second), reachability.ReceiveHealth{}, false, 67},
		{"a peer hears three, and its calls don't come through", healthy, []reachability.Peer{oneWay}, 1000, unresponsiveWorkers(70, 14*time.Second), reachability.ReceiveHealth{}, false, 67},
		{"a peer hears three, and can't be queried", reachability.NodeStatus{Node: "a", UnreachedPeers: []string{"b"}}, []reachability.Peer{unreached}, 1000, unresponsiveWorkers(70, 14*time.Second), reachability.ReceiveHealth{}, false, 67},
		{"a peer was lost with them", healthy, []reachability.Peer{unheardPeer(14 * time.Second)}, 1000, unresponsiveWorkers(70, 15*time.Second), reachability.ReceiveHealth{}, false, 0},
		{"a peer was lost before the failover, and they were heard since", healthy, []reachability.Peer{unheardPeer(36 * time.Second)}, 1000, unresponsiveWorkers(70, 14*time.Second), reachability.ReceiveHealth{}, false, 70},
		{"the leader before was lost, and they were not heard since", healthy, []reachability.Peer{unheardPeer(36 * time.Second)}, 1000, notHeardSinceFailover(unresponsiveWorkers(70, 14*time.Second)), reachability.ReceiveHealth{}, false, 0},
		{"a peer was lost long before the failover", healthy, []reachability.Peer{unheardPeer(50 * time.Second)}, 1000, notHeardSinceFailover(unresponsiveWorkers(70, 15*time.Second)), reachability.ReceiveHealth{}, false, 0},
		{"a peer was lost so long before the failover that it answers nobody", healthy, []reachability.Peer{unheardPeer(62 * time.Second)}, 1000, notHeardSinceFailover(unresponsiveWorkers(70, 15*time.Second)), reachability.ReceiveHealth{}, false, 70},
		{"a peer was lost long after the failover", healthy, []reachability.Peer{unheardPeer(3 * time.Second)}, 1000, notHeardSinceFailover(unresponsiveWorkers(70, 40*time.Second)), reachability.ReceiveHealth{}, false, 70},
		{"a peer was never heard, nor were they", healthy, []reachability.Peer{{Name: "b", Age: 59 * time.Second, SinceHeard: time.Hour}}, 1000, notHeardSinceFailover(unresponsiveWorkers(70, 15*time.Second)), reachability.ReceiveHealth{}, false, 0},
		{"a peer was never heard for longer than it may answer", healthy, []reachability.Peer{{Name: "b", Age: 62 * time.Second, SinceHeard: time.Hour}}, 1000, notHeardSinceFailover(unresponsiveWorkers(70, 15*time.Second)), reachability.ReceiveHealth{}, false, 70},
		{"a peer was never heard, and they were", healthy, []reachability.Peer{{Name: "b", Age: 15 * time.Second, SinceHeard: time.Hour}}, 1000, unresponsiveWorkers(70, 15*time.Second), reachability.ReceiveHealth{}, false, 70},
		{"a peer was lost long before", healthy, []reachability.Peer{unheardPeer(50 * time.Second)}, 1000, unresponsiveWorkers(70, 15*time.Second), reachability.ReceiveHealth{}, false, 70},
		{"a peer has been lost for longer than it may answer", healthy, []reachability.Peer{unheardPeer(62 * time.Second)}, 1000, unresponsiveWorkers(70, 62*time.Second), reachability.ReceiveHealth{}, false, 70},
	}
}

// Without the rules tested here, a leader that receives no heartbeats deletes 1,300 working machines within
// a minute, and one whose sockets are exhausted deletes 1,000 every 50 s. Late heartbeats are
// weighed against this controller's reception, the heartbeats that peers receive, and the number
// of failures that an accident can cause.
func TestOnlyFailedWorkersAreDeleted(t *testing.T) {
	for _, c := range evaluationCases() {
		detector, v := newDetector(), reachability.View{Self: c.self, Peers: c.peers}
		var verdict reachability.Verdict
		for i := range 2 {
			now := noon.Add(time.Duration(i) * time.Second)
			verdict = detector.Evaluate(now, &v, c.health, c.known, c.unresponsive)
			for name := range verdict.Probe {
				detector.RecordProbe(name, c.respond, now)
			}
		}
		// The Bloom filter has a false positive rate of one in a thousand.
		if n := len(verdict.Failed); n > c.want || n < c.want-1 {
			t.Errorf("%s: %d workers failed, not %d (kept: %d, %s)", c.name, n, c.want, verdict.Kept, verdict.KeptReason)
		}
	}
}

// A peer that was cut off heard a worker all the time. When the link heals, the peer's status no
// longer lists the worker, and earlier probes could not query the peer: unless workers are probed
// again, working machines are deleted at that moment.
func TestProbedAgainAfterPeerRejoins(t *testing.T) {
	detector := newDetector()
	lost, back := healthyPeer("b", 0), healthyPeer("b", 0)
	lost.Age, lost.SinceHeard = 8*time.Second, 8*time.Second
	unresponsive := unresponsiveWorkers(3, 5*time.Second) // probed, but not past the timeout
	evaluate := func(sec int, p reachability.Peer, responds bool) int {
		now := noon.Add(time.Duration(sec) * time.Second)
		v := reachability.View{Self: reachability.NodeStatus{Node: "a", Heartbeats: 380, ExpectedHeartbeats: 400}, Peers: []reachability.Peer{p}}
		got := detector.Evaluate(now, &v, reachability.ReceiveHealth{}, 1000, unresponsive)
		for name := range got.Probe {
			detector.RecordProbe(name, responds, now)
		}
		return len(got.Failed)
	}
	detector.Evaluate(noon.Add(-time.Minute), &reachability.View{Peers: []reachability.Peer{back}}, reachability.ReceiveHealth{}, 1000, nil)
	evaluate(0, lost, false)
	unresponsive = unresponsiveWorkers(3, 30*time.Second)
	if n := evaluate(1, back, true); n > 0 {
		t.Errorf("%d workers failed when the peer rejoined", n)
	}
	if n := evaluate(3, back, true); n > 0 {
		t.Errorf("%d workers that the peer hears failed", n)
	}
}

// A worker fails only after it was probed and did not respond.
func TestProbedBeforeFailed(t *testing.T) {
	detector, v := newDetector(), reachability.View{Self: reachability.NodeStatus{Node: "a"}}
	workers := unresponsiveWorkers(1, 14*time.Second)
	if got := detector.Evaluate(noon, &v, reachability.ReceiveHealth{}, 100, workers); len(got.Failed) != 0 || len(got.Probe) != 1 {
		t.Errorf("at once: %+v", got)
	}
	if got := detector.Evaluate(noon.Add(time.Second), &v, reachability.ReceiveHealth{}, 100, workers); len(got.Failed) != 0 || len(got.Probe) != 0 {
		t.Errorf("while it is probed: %+v", got)
	}
	detector.RecordProbe("n-0", false, noon.Add(time.Second))
	if got := detector.Evaluate(noon.Add(2*time.Second), &v, reachability.ReceiveHealth{}, 100, workers); len(got.Failed) != 1 {
		t.Errorf("after it did not respond: %+v", got)
	}
	// An earlier failed probe says nothing about the present: links heal.
	if got := detector.Evaluate(noon.Add(5*time.Second), &v, reachability.ReceiveHealth{}, 100, workers); len(got.Failed) != 0 || len(got.Probe) != 1 {
		t.Errorf("later: %+v", got)
	}
}
