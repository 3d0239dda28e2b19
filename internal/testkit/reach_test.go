package testkit_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/reachability"
	"github.com/wallrack/wallrack/internal/testkit"
)

// stateService names the state service in the matrix of links.
const stateService = "state"

// linkWorks reports whether the link from one party to another linkWorks: between
// controllers, to the state service, and between workers and controllers.
func (w *cluster) linkWorks(from, to string) bool { return !w.brokenLinks[[2]string{from, to}] }

// reachesStore reports whether a controller's requests reach the state service, straight
// or by a peer that passes them on.
func (w *cluster) reachesStore(n *node) bool {
	if w.linkWorks(n.name, stateService) {
		return true
	}
	storeRelay := n.reach.storeRelay
	return storeRelay != "" && !w.nodes[storeRelay].down && w.linkWorks(n.name, storeRelay) && w.linkWorks(storeRelay, stateService)
}

// reachabilityState is a controller's view of the links, and what it does by it, as cmd/wallrack
// does.
type reachabilityState struct {
	node      *node
	table     *reachability.Table
	startedMs      int64
	seq       uint64
	storeRelay        string // who passes requests to the state service on
	detectorMu sync.Mutex
	detector   reachability.FailureDetector
	transferMonitor     reachability.TransferMonitor
	planner      reachability.AssignmentPlanner
	assignments     []reachability.Assignment
	workerCapacity      int
	workerCount      int
	lastAnnouncement time.Time
	lastView      reachability.View // as of the last exchange
}

const (
	dispatchGrace = 27 * time.Second // for which a controller answers workers when it hears of nobody
)

// peers names the other controllers.
func (r *reachabilityState) peers() (peers []string) {
	for _, name := range r.node.cluster.names {
		if name != r.node.name {
			peers = append(peers, name)
		}
	}
	return peers
}

func (r *reachabilityState) init(n *node) {
	r.node = n
	r.table, r.startedMs = reachability.NewTable(n.name, r.peers()), time.Now().UnixMilli()
	r.detector = reachability.FailureDetector{Timeout: 5 * time.Second, Lease: workerLease, HeartbeatInterval: reportEvery, Grace: dispatchGrace}
	r.lastView = r.table.View(reachability.NodeStatus{Node: n.name}, time.Now())
}

func (r *reachabilityState) nextHop(to string) string { return r.lastView.NextHop(to) }

func (r *reachabilityState) status(state bool) reachability.NodeStatus {
	n, now := r.node, time.Now()
	r.seq++
	reports, machines := n.dispatcher.RecentHeartbeats()
	row := reachability.NodeStatus{
		Node: n.name, StartedMs: r.startedMs, Seq: r.seq, StoreReachable: state, LeaseHeld: n.member.LeaseRemaining() > 0, LeadsShards: len(n.member.LedShards()) > 0,
		Heartbeats: reports, ExpectedHeartbeats: float64(machines) / reportEvery.Seconds() * dispatch.HeartbeatWindow.Seconds(), UnreachedPeers: r.table.UnreachedPeers(now),
	}
	if o := n.member.ShardLeaders(); len(o) > 0 {
		row.PreferredLeader = o[0]
	}
	row.Assignments, row.WorkerCapacity, row.WorkerCount = r.assignments, r.workerCapacity, r.workerCount
	if len(row.UnreachedPeers) > 0 || r.table.UnreachedByPeers(now) {
		row.HeardWorkers = reachability.NewNameSet(n.dispatcher.WorkersHeardWithin(workerLease), 4096)
	}
	return row
}

func (r *reachabilityState) handleAnnouncement(value json.RawMessage) {
	var row reachability.NodeStatus
	if json.Unmarshal(value, &row) == nil {
		r.table.Update(row, reachability.ViaStore, 0, time.Now())
	}
}

// reachabilityView is the view of the links as of the last exchange.
func (n *node) reachabilityView() reachability.View {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.reach.lastView
}

func (n *node) LeaderFor(worker string) string {
	v := n.reachabilityView()
	v.Self.LeaseHeld = n.member.LeaseRemaining() > 0
	if o := n.member.ShardLeaders(); len(o) > 0 {
		v.Self.PreferredLeader = o[0]
	}
	return v.LeaderFor(worker)
}

func (n *node) MayAnswerWorkers() bool {
	return n.member.FencingToken() > 0 && time.Since(n.cancellations.KnownUntil()) < dispatchGrace
}

func (n *node) Isolated() bool {
	v := n.reachabilityView()
	v.Self.LeadsShards = len(n.member.LedShards()) > 0
	return v.Isolated()
}

// exchangeReachability has the controllers tell each other, as far as links work, and act by
// what they then know.
func (w *cluster) exchangeReachability() {
	now := time.Now()
	var living []*node
	for _, name := range w.names {
		if n := w.nodes[name]; !n.down {
			living = append(living, n)
		}
	}
	straight := map[*node]bool{}
	w.mu.Lock()
	for _, n := range living {
		straight[n] = w.linkWorks(n.name, stateService)
	}
	w.mu.Unlock()
	for _, n := range living {
		for _, name := range w.names {
			to := w.nodes[name]
			if to == n {
				continue
			}
			w.mu.Lock()
			ok := !to.down && w.linkWorks(n.name, name)
			w.mu.Unlock()
			n.reach.table.RecordCall(name, ok, true)
			if ok {
				to.reach.table.Update(n.reach.status(straight[n]), reachability.Direct, 0, now)
				to.reach.table.UpdateRelayed(n.reach.table.RelayFor(name, now), now)
				n.reach.table.Update(to.reach.status(straight[to]), reachability.Direct, 0, now)
				n.reach.table.UpdateRelayed(to.reach.table.RelayFor(n.name, now), now)
				w.tellCancels(n, to)
			}
		}
	}
	w.watchCancels(context.Background(), living)
	for _, n := range living {
		r := &n.reach
		v := r.table.View(r.status(straight[n]), now)
		r.planAssignments(now, &v)
		w.mu.Lock()
		r.lastView, r.storeRelay = v, ""
		if served := v.ServingPeers(); !straight[n] && len(served) > 0 {
			r.storeRelay = served[0]
		}
		w.mu.Unlock()
		if v.Self.LeaseHeld && now.Sub(r.lastAnnouncement) >= reachability.AnnounceEvery && len(v.UnreachedPeers()) > 0 {
			r.lastAnnouncement = now
			_ = n.member.AnnounceLinks(context.Background(), v.Self) // a row that is lost is followed by the next
		}
		if to := r.transferMonitor.Check(now, &v, n.member.RecentTransfers(reachability.TransferWindow)); to != "" {
			_ = n.member.TransferShards(context.Background(), to) // tried again if it fails
		}
		if v.TakenForLeader() {
			n.member.ReadShards(context.Background())
		}
		if v.Self.LeadsShards && w.keepCuts {
			w.deleteFailedWorkers(n, &v)
		}
	}
}

// planAssignments shares out the workers as cmd/wallrack does, by the room that the test sets.
func (r *reachabilityState) planAssignments(now time.Time, v *reachability.View) {
	workerCapacity := r.node.cluster.connectionLimits[r.node.name]
	workerCount := r.node.dispatcher.CountReporting(5 * reportEvery / 2)
	r.assignments = r.planner.Plan(now, v, workerCount, workerCapacity, reportEvery)
	r.workerCapacity, r.workerCount = 0, 0
	if v.Self.Assignments = r.assignments; v.SharesWorkers() {
		r.workerCapacity, r.workerCount = workerCapacity, workerCount
	}
	v.Self.WorkerCapacity = r.workerCapacity
}

// deleteFailedWorkers returns the machines that a leader gives up. A machine whose worker a
// controller heard a moment ago must not be among them.
func (w *cluster) deleteFailedWorkers(n *node, v *reachability.View) {
	r := &n.reach
	known, silent := n.scheduler.UnresponsiveWorkers(r.detector.Threshold())
	r.detectorMu.Lock()
	verdict := r.detector.Evaluate(time.Now(), v, reachability.ReceiveHealth{}, known, silent)
	r.detectorMu.Unlock()
	for name, m := range verdict.Probe {
		n.onDuty("silence of "+name, func(ctx context.Context) {
			heard := n.probeWorker(ctx, m)
			if heard && m.OutboundLost {
				n.scheduler.WorkerResponded(name)
			}
			r.detectorMu.Lock()
			defer r.detectorMu.Unlock()
			r.detector.RecordProbe(name, heard, time.Now())
		})
	}
	for name, why := range verdict.Failed {
		w.mu.Lock()
		h, k := w.lastHeartbeats[name], w.byName[name]
		if at := h.last; k != nil && time.Since(at) < 3*reportEvery && time.Since(h.since) > minHeartbeatHistory {
			seen := ""
			for _, x := range w.names {
				seen += fmt.Sprintf(" %s %v", x, w.nodes[x].dispatcher.SinceHeartbeat(name))
			}
			w.fail("%s gives %s back (%s), which was heard %v ago (by%s), asked now: %v; %+v", n.name, name, why, time.Since(h.last), seen, verdict.Probe[name], v)
		}
		delete(w.byName, name)
		if i := slices.Index(w.workers, k); i >= 0 {
			w.workers = slices.Delete(w.workers, i, i+1)
		}
		if k != nil { // else another leader deleted it, and it was replaced
			w.returnedMachines++
			k.Started, k.OnForget = nil, nil // what is still sent to it does nothing
			fresh := testkit.NewWorker(fmt.Sprintf("r-%d", w.returnedMachines), workerLease, k.Run)
			fresh.Exit, fresh.Zone = k.Exit, k.Zone
			w.join(fresh, w.returnedMachines)
		}
		w.mu.Unlock()
		for _, x := range w.nodes {
			if !x.down {
				x.dispatcher.RemoveWorker(name)
				x.scheduler.WorkerDeleted(name)
			}
		}
	}
}

// probeWorker asks a worker, and has all peers ask it, whether it probeWorker.
func (n *node) probeWorker(ctx context.Context, m reachability.UnresponsiveWorker) bool {
	w := n.cluster
	heard := m.Endpoint != "" && n.dispatcher.PollWorker(ctx, m.Name, m.Endpoint)
	for _, p := range w.names { // and its peers are asked whether they hear it
		w.mu.Lock()
		to := w.nodes[p]
		ok := to != n && w.reach(n, to)
		w.mu.Unlock()
		heard = heard || ok && (!m.OutboundLost && to.dispatcher.SinceHeartbeat(m.Name) < n.reach.detector.Timeout || m.Endpoint != "" && to.dispatcher.PollWorker(ctx, m.Name, m.Endpoint))
	}
	return heard
}

// heartbeatTime is since when, without a longer gap, and when last a worker was heard.
type heartbeatTime struct{ since, last time.Time }

// minHeartbeatHistory is how long a worker's heartbeats must have come so that its deletion is wrong: one
// whose links have just healed may have been asked a moment before.
const minHeartbeatHistory = 5 * time.Second

func (w *cluster) recordHeartbeat(name string) {
	h := w.lastHeartbeats[name]
	if time.Since(h.last) > 3*reportEvery {
		h.since = time.Now()
	}
	h.last = time.Now()
	w.lastHeartbeats[name] = h
}
