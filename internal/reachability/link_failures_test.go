package reachability_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/reachability"
)

// linkState tells which links of three controllers work: to the state service, to the workers, and
// between each pair in either direction.
type linkState struct {
	state, workers [3]bool
	mesh           [3][3]bool // mesh[i][j]: calls of i reach j and are answered
}

var names = [3]string{"a", "b", "c"}

func forEachLinkState(f func(w linkState)) {
	for bits := range 1 << 12 {
		var w linkState
		next := func() bool { bit := bits&1 == 1; bits >>= 1; return bit }
		for i := range 3 {
			w.state[i], w.workers[i] = next(), next()
			for j := range 3 {
				w.mesh[i][j] = i != j && next()
			}
		}
		f(w)
	}
}

// views lets the controllers exchange statuses over the working links for some seconds, with all
// shards led by one of them, and returns their views.
func (w *linkState) views(leader int) [3]reachability.View {
	var tables [3]*reachability.Table
	for i := range tables {
		tables[i] = reachability.NewTable(names[i], []string{names[(i+1)%3], names[(i+2)%3]})
	}
	now := noon
	status := func(i int, seq uint64) reachability.NodeStatus {
		own := reachability.NodeStatus{Node: names[i], StartedMs: 1, Seq: seq, StoreReachable: w.state[i], LeaseHeld: w.state[i], LeadsShards: i == leader, PreferredLeader: names[leader], UnreachedPeers: tables[i].UnreachedPeers(now)}
		if i == leader {
			own.ExpectedHeartbeats = 400
		}
		if w.workers[i] {
			own.Heartbeats = 400
			if w.workers[leader] && i != leader {
				own.Heartbeats = 0 // all workers report to the leader
			}
		}
		return own
	}
	for s := uint64(1); s <= 8; s++ {
		now = now.Add(time.Second)
		for i := range 3 {
			for j := range 3 {
				if i == j {
					continue
				}
				tables[i].RecordCall(names[j], w.mesh[i][j], true)
				if w.mesh[i][j] { // a ping and its reply
					tables[j].Update(status(i, s), reachability.Direct, 0, now)
					tables[j].UpdateRelayed(tables[i].RelayFor(names[j], now), now)
					tables[i].Update(status(j, s), reachability.Direct, 0, now)
					tables[i].UpdateRelayed(tables[j].RelayFor(names[i], now), now)
				}
			}
		}
		for i := range 3 {
			if v := tables[i].View(status(i, s), now); !w.state[i] || len(v.UnreachedPeers()) == 0 {
				continue
			}
			for j := range 3 {
				if j != i && w.state[j] {
					tables[j].Update(status(i, s), reachability.ViaStore, 0, now)
				}
			}
		}
	}
	var out [3]reachability.View
	for i := range out {
		out[i] = tables[i].View(status(i, 9), now)
	}
	return out
}

// reached reports whether controller i learns of j on any path.
func (w *linkState) reached(i, j int) bool {
	k := 3 - i - j
	direct := func(x, y int) bool { return w.mesh[x][y] || w.mesh[y][x] }
	return direct(i, j) || w.state[i] && w.state[j] || direct(i, k) && direct(k, j)
}

// failures counts wrong decisions and reports the first ones.
type failures struct {
	t     *testing.T
	count int
}

func (f *failures) add(w *linkState, format string, args ...any) {
	if f.count++; f.count < 20 {
		f.t.Errorf("%+v: %s", *w, fmt.Sprintf(format, args...))
	}
}

// All 4,096 combinations of working and failed links between three controllers, one of which leads
// all shards.
func TestDecisionsUnderEveryLinkFailure(t *testing.T) {
	failed := &failures{t: t}
	forEachLinkState(func(w linkState) {
		views := w.views(0)
		healthy := 0
		for i := range views {
			w.checkPeers(failed, i, &views[i])
			w.checkLeader(failed, i, &views[i])
			if views[i].Healthy() {
				healthy++
			}
		}
		if healthy == 0 {
			failed.add(&w, "nobody is healthy")
		}
		w.checkTransfer(failed, &views[0])
		w.checkNoWorkerFails(failed, &views[0])
	})
	if failed.count > 0 {
		t.Errorf("%d in all", failed.count)
	}
}

// checkPeers checks controller i's knowledge of the others, the path of its messages to them, and
// whether it serves clients.
func (w *linkState) checkPeers(failed *failures, i int, v *reachability.View) {
	better := false // another known controller reaches the state service
	for j := range names {
		if i == j {
			continue
		}
		better = better || w.state[j] && w.reached(i, j)
		for p := range v.Peers {
			if v.Peers[p].Name == names[j] && v.Peers[p].IsFresh() != w.reached(i, j) {
				failed.add(w, "%s knows of %s: %v", names[i], names[j], v.Peers[p].IsFresh())
			}
		}
		w.checkNextHop(failed, i, j, v)
	}
	if v.Healthy() != (w.state[i] || !better) {
		failed.add(w, "%s is healthy: %v", names[i], v.Healthy())
	}
	for _, p := range v.StoreReachablePeers() {
		if j := int(p[0] - 'a'); !w.state[j] || !w.mesh[i][j] {
			failed.add(w, "%s calls %s to relay requests", names[i], p)
		}
	}
}

// checkNextHop checks that a message is sent directly or through a third controller that reaches
// the receiver.
func (w *linkState) checkNextHop(failed *failures, i, j int, v *reachability.View) {
	hop, third := v.NextHop(names[j]), 3-i-j
	relays := w.mesh[i][third] && w.mesh[third][j]
	switch {
	case w.mesh[i][j] && hop != names[j]:
		failed.add(w, "%s relays to %s without need", names[i], names[j])
	case !w.mesh[i][j] && hop == names[third] && !relays:
		failed.add(w, "%s goes to %s by %s, which does not reach it", names[i], names[j], hop)
	case !w.mesh[i][j] && hop == names[j] && relays && (w.mesh[j][third] || w.mesh[third][j]):
		failed.add(w, "%s has no relay to %s", names[i], names[j])
	}
}

// checkLeader checks to which controller controller i sends workers.
func (w *linkState) checkLeader(failed *failures, i int, v *reachability.View) {
	if leader := v.Leader(); leader != names[i] && leader != names[0] {
		failed.add(w, "%s sends workers to %s, which leads nothing", names[i], leader)
	} else if i > 0 && leader == names[0] && !w.workers[0] {
		failed.add(w, "%s sends workers to a leader that does not hear them", names[i])
	} else if i > 0 && leader != names[0] && w.workers[0] && w.reached(i, 0) && (w.state[i] || w.state[0]) {
		failed.add(w, "%s keeps workers from the leader that hears them", names[i])
	}
}

// checkTransfer checks that the leader transfers its shards if and only if it receives no
// heartbeats and knows of a controller that receives them and reaches the state service.
func (w *linkState) checkTransfer(failed *failures, v *reachability.View) {
	var monitor reachability.TransferMonitor
	monitor.Check(noon, &reachability.View{Self: reachability.NodeStatus{LeadsShards: true}}, 0)
	to := ""
	for i := range 2 {
		to = monitor.Check(noon.Add(time.Minute+time.Duration(i)*time.Second), v, 0)
	}
	possible := false
	for j := 1; j < 3; j++ {
		fit := w.state[j] && w.workers[j] && w.reached(0, j)
		possible = possible || fit
		if to == names[j] && !fit {
			failed.add(w, "transferred to %s", to)
		}
	}
	if (to != "") != (possible && !w.workers[0]) {
		failed.add(w, "transferred to %q", to)
	}
}

// checkNoWorkerFails checks that a leader that receives no heartbeats lets no worker fail, however
// long that lasts.
func (w *linkState) checkNoWorkerFails(failed *failures, v *reachability.View) {
	if w.workers[0] {
		return
	}
	detector := newDetector()
	for i := 0; i < 120; i += 12 {
		elapsed := time.Duration(i) * time.Second
		verdict := detector.Evaluate(noon.Add(elapsed), v, reachability.ReceiveHealth{}, 20, unresponsiveWorkers(20, elapsed))
		for name := range verdict.Probe {
			detector.RecordProbe(name, false, noon.Add(elapsed))
		}
		if len(verdict.Failed) > 0 {
			failed.add(w, "%d workers failed after %d s", len(verdict.Failed), i)
			break
		}
	}
}
