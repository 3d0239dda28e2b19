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

// stateService is the state service's name in cluster.brokenLinks.
const stateService = "state"

// linkWorks reports whether messages from one party reach another. Parties are controllers,
// workers and the state service.
func (w *cluster) linkWorks(from, to string) bool { return !w.brokenLinks[[2]string{from, to}] }

// reachesStore reports whether a controller's requests reach the state service, directly or
// through a peer that relays them.
func (w *cluster) reachesStore(n *node) bool {
	if w.linkWorks(n.name, stateService) {
		return true
	}
	storeRelay := n.reach.storeRelay
	return storeRelay != "" && !w.nodes[storeRelay].down && w.linkWorks(n.name, storeRelay) && w.linkWorks(storeRelay, stateService)
}

// reachabilityState is a controller's view of which links work, with the components that act on
// it, as in package controller.
type reachabilityState struct {
	node             *node
	table            *reachability.Table
	startedMs        int64
	seq              uint64
	storeRelay       string // peer that relays requests to the state service; empty if none does
	detectorMu       sync.Mutex
	detector         reachability.FailureDetector
	transferMonitor  reachability.TransferMonitor
	planner          reachability.AssignmentPlanner
	assignments      []reachability.Assignment
	workerCapacity   int               // workers that this controller has connections for; 0 if not announced
	workerCount      int               // workers that report here; 0 if not announced
	lastAnnouncement time.Time         // when this controller last announced its links through the state service
	lastView         reachability.View // as of the last exchange
}

const (
	dispatchGrace = 27 * time.Second // how long a controller that hears from no other controller still answers workers
)

// peers returns the names of the other controllers.
func (r *reachabilityState) peers() (peers []string) {
	for _, name := range r.node.cluster.controllerNames {
		if name != r.node.name {
			peers = append(peers, name)
		}
	}
	return peers
}

func (r *reachabilityState) init(n *node) {
	r.node = n
	r.table, r.startedMs = reachability.NewTable(n.name, r.peers()), time.Now().UnixMilli()
	r.detector = reachability.FailureDetector{Timeout: 5 * time.Second, Lease: workerLease, HeartbeatInterval: reportEvery, IsolationGrace: dispatchGrace}
	r.lastView = r.table.View(reachability.NodeStatus{Node: n.name}, time.Now())
}

func (r *reachabilityState) nextHop(to string) string { return r.lastView.NextHop(to) }

func (r *reachabilityState) status(storeReachable bool) reachability.NodeStatus {
	n, now := r.node, time.Now()
	r.seq++
	reports, machines := n.dispatcher.RecentHeartbeats()
	status := reachability.NodeStatus{
		Node: n.name, StartedMs: r.startedMs, Seq: r.seq, StoreReachable: storeReachable, LeaseHeld: n.member.LeaseRemaining() > 0, LeadsShards: len(n.member.LedShards()) > 0,
		Heartbeats: reports, ExpectedHeartbeats: float64(machines) / reportEvery.Seconds() * dispatch.HeartbeatWindow.Seconds(), UnreachedPeers: r.table.UnreachedPeers(now),
	}
	if o := n.member.ShardLeaders(); len(o) > 0 {
		status.PreferredLeader = o[0]
	}
	status.Assignments, status.WorkerCapacity, status.WorkerCount = r.assignments, r.workerCapacity, r.workerCount
	if len(status.UnreachedPeers) > 0 || r.table.UnreachedByAnyPeer(now) {
		status.HeardWorkers = reachability.NewNameSet(n.dispatcher.WorkersSeenWithin(workerLease), 4096)
	}
	return status
}

func (r *reachabilityState) handleAnnouncement(value json.RawMessage) {
	var status reachability.NodeStatus
	if json.Unmarshal(value, &status) == nil {
		r.table.Update(status, reachability.ViaStore, 0, time.Now())
	}
}

// reachabilityView returns this controller's view of the links as of the last exchange.
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

// exchangeReachability has the controllers exchange their status over the links that work, and
// then act on their updated views: announce broken links, transfer shards, delete failed workers.
func (w *cluster) exchangeReachability() {
	now := time.Now()
	var running []*node
	for _, name := range w.controllerNames {
		if n := w.nodes[name]; !n.down {
			running = append(running, n)
		}
	}
	storeReachable := map[*node]bool{}
	w.mu.Lock()
	for _, n := range running {
		storeReachable[n] = w.linkWorks(n.name, stateService)
	}
	w.mu.Unlock()
	for _, n := range running {
		for _, name := range w.controllerNames {
			to := w.nodes[name]
			if to == n {
				continue
			}
			w.mu.Lock()
			ok := !to.down && w.linkWorks(n.name, name)
			w.mu.Unlock()
			n.reach.table.RecordCall(name, ok, true)
			if ok {
				to.reach.table.Update(n.reach.status(storeReachable[n]), reachability.Direct, 0, now)
				to.reach.table.UpdateRelayed(n.reach.table.RelayFor(name, now), now)
				n.reach.table.Update(to.reach.status(storeReachable[to]), reachability.Direct, 0, now)
				n.reach.table.UpdateRelayed(to.reach.table.RelayFor(n.name, now), now)
				w.exchangeCancels(n, to)
			}
		}
	}
	w.maintainCancels(context.Background(), running)
	for _, n := range running {
		r := &n.reach
		v := r.table.View(r.status(storeReachable[n]), now)
		r.planAssignments(now, &v)
		w.mu.Lock()
		r.lastView, r.storeRelay = v, ""
		if served := v.StoreReachablePeers(); !storeReachable[n] && len(served) > 0 {
			r.storeRelay = served[0]
		}
		w.mu.Unlock()
		if v.Self.LeaseHeld && now.Sub(r.lastAnnouncement) >= reachability.MinAnnounceInterval && len(v.UnreachedPeers()) > 0 {
			r.lastAnnouncement = now
			_ = n.member.AnnounceLinks(context.Background(), v.Self) // a lost announcement is followed by the next one
		}
		if to := r.transferMonitor.Check(now, &v, n.member.RecentTransfers(reachability.TransferWindow)); to != "" {
			_ = n.member.TransferShards(context.Background(), to) // retried at a later exchange if it fails
		}
		if v.SeenAsLeaderByPeer() {
			n.member.ReadShards(context.Background())
		}
		if v.Self.LeadsShards && w.keepBrokenLinks {
			w.deleteFailedWorkers(n, &v)
		}
	}
}

// planAssignments plans the assignment of workers to dispatchers as package controller does, within the
// connection limits that the test sets.
func (r *reachabilityState) planAssignments(now time.Time, v *reachability.View) {
	workerCapacity := r.node.cluster.connectionLimits[r.node.name]
	workerCount := r.node.dispatcher.CountReporting(5 * reportEvery / 2)
	r.assignments = r.planner.Plan(now, v, workerCount, workerCapacity, reportEvery)
	r.workerCapacity, r.workerCount = 0, 0
	if v.Self.Assignments = r.assignments; v.HasAssignments() {
		r.workerCapacity, r.workerCount = workerCapacity, workerCount
	}
	v.Self.WorkerCapacity = r.workerCapacity
}

// deleteFailedWorkers probes the unresponsive workers of a leader, deletes those that its failure
// detector reports as failed, with their machines, and starts a replacement for each. It fails
// the test if a controller recently received heartbeats of such a worker.
func (w *cluster) deleteFailedWorkers(n *node, v *reachability.View) {
	r := &n.reach
	known, silent := n.scheduler.UnresponsiveWorkers(r.detector.Threshold())
	r.detectorMu.Lock()
	verdict := r.detector.Evaluate(time.Now(), v, reachability.ReceiveHealth{}, known, silent)
	r.detectorMu.Unlock()
	for name, m := range verdict.Probe {
		n.runDuty("probe of "+name, func(ctx context.Context) {
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
			for _, x := range w.controllerNames {
				seen += fmt.Sprintf(" %s %v", x, w.nodes[x].dispatcher.SinceWorkerHeartbeat(name))
			}
			w.fail("%s deletes %s (%s), whose last heartbeat was %v ago (age by controller:%s), probe: %v; view %+v", n.name, name, why, time.Since(h.last), seen, verdict.Probe[name], v)
		}
		delete(w.byName, name)
		if i := slices.Index(w.workers, k); i >= 0 {
			w.workers = slices.Delete(w.workers, i, i+1)
		}
		if k != nil { // else another leader deleted and replaced it
			w.deletedMachines++
			k.OnStart, k.OnForget = nil, nil // messages still on their way to it have no effect
			fresh := testkit.NewWorker(fmt.Sprintf("r-%d", w.deletedMachines), workerLease, k.RunTime)
			fresh.ExitCode, fresh.Zone = k.ExitCode, k.Zone
			w.registerWorker(fresh, w.deletedMachines)
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

// probeWorker polls a worker and asks all reachable peers whether they hear from it or can poll
// it. It reports whether the worker responded or a peer hears it.
func (n *node) probeWorker(ctx context.Context, m reachability.UnresponsiveWorker) bool {
	w := n.cluster
	heard := m.Endpoint != "" && n.dispatcher.PollWorker(ctx, m.Name, m.Endpoint)
	for _, p := range w.controllerNames {
		w.mu.Lock()
		to := w.nodes[p]
		ok := to != n && w.reaches(n, to)
		w.mu.Unlock()
		heard = heard || ok && (!m.OutboundLost && to.dispatcher.SinceWorkerHeartbeat(m.Name) < n.reach.detector.Timeout || m.Endpoint != "" && to.dispatcher.PollWorker(ctx, m.Name, m.Endpoint))
	}
	return heard
}

// heartbeatTime is when a worker's current series of heartbeats began, with no gap of more than
// three report intervals, and when its last heartbeat arrived.
type heartbeatTime struct{ since, last time.Time }

// minHeartbeatHistory is how long a worker must have sent heartbeats for its deletion to be an
// error: a worker whose links have just healed may still be deleted because of an earlier probe.
const minHeartbeatHistory = 5 * time.Second

func (w *cluster) recordHeartbeat(name string) {
	h := w.lastHeartbeats[name]
	if time.Since(h.last) > 3*reportEvery {
		h.since = time.Now()
	}
	h.last = time.Now()
	w.lastHeartbeats[name] = h
}
