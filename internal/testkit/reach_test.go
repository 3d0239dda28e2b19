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

// works reports whether the link from one party to another works: between
// controllers, to the state service, and between workers and controllers.
func (w *cluster) works(from, to string) bool { return !w.brokenLinks[[2]string{from, to}] }

// stored reports whether a controller's requests reach the state service, straight
// or by a peer that passes them on.
func (w *cluster) stored(n *node) bool {
	if w.works(n.name, stateService) {
		return true
	}
	by := n.reach.by
	return by != "" && !w.nodes[by].down && w.works(n.name, by) && w.works(by, stateService)
}

// reach is a controller's view of the links, and what it does by it, as cmd/wallrack
// does.
type reach struct {
	node      *node
	table     *reachability.Table
	born      int64
	seq       uint64
	by        string // who passes requests to the state service on
	silenceMu sync.Mutex
	silence   reachability.FailureDetector
	watch     reachability.TransferMonitor
	plan      reachability.AssignmentPlanner
	seats     []reachability.Assignment
	room      int
	here      int
	announced time.Time
	last      reachability.View // as of the last exchange
}

const (
	testGrace = 27 * time.Second // for which a controller answers workers when it hears of nobody
)

// peers names the other controllers.
func (r *reach) peers() (peers []string) {
	for _, name := range r.node.cluster.controllerNames {
		if name != r.node.name {
			peers = append(peers, name)
		}
	}
	return peers
}

func (r *reach) init(n *node) {
	r.node = n
	r.table, r.born = reachability.NewTable(n.name, r.peers()), time.Now().UnixMilli()
	r.silence = reachability.FailureDetector{Timeout: 5 * time.Second, Lease: workerLease, HeartbeatInterval: reportEvery, IsolationGrace: testGrace}
	r.last = r.table.View(reachability.NodeStatus{Node: n.name}, time.Now())
}

func (r *reach) way(to string) string { return r.last.NextHop(to) }

func (r *reach) row(state bool) reachability.NodeStatus {
	n, now := r.node, time.Now()
	r.seq++
	reports, machines := n.dispatcher.RecentHeartbeats()
	row := reachability.NodeStatus{
		Node: n.name, StartedMs: r.born, Seq: r.seq, StoreReachable: state, LeaseHeld: n.member.LeaseRemaining() > 0, LeadsShards: len(n.member.LedShards()) > 0,
		Heartbeats: reports, ExpectedHeartbeats: float64(machines) / reportEvery.Seconds() * dispatch.HeartbeatWindow.Seconds(), UnreachedPeers: r.table.UnreachedPeers(now),
	}
	if o := n.member.ShardLeaders(); len(o) > 0 {
		row.PreferredLeader = o[0]
	}
	row.Assignments, row.WorkerCapacity, row.WorkerCount = r.seats, r.room, r.here
	if len(row.UnreachedPeers) > 0 || r.table.UnreachedByAnyPeer(now) {
		row.HeardWorkers = reachability.NewNameSet(n.dispatcher.WorkersSeenWithin(workerLease), 4096)
	}
	return row
}

func (r *reach) stored(value json.RawMessage) {
	var row reachability.NodeStatus
	if json.Unmarshal(value, &row) == nil {
		r.table.Update(row, reachability.ViaStore, 0, time.Now())
	}
}

// linksSeen is the view of the links as of the last exchange.
func (n *node) linksSeen() reachability.View {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.reach.last
}

func (n *node) LeaderFor(worker string) string {
	v := n.linksSeen()
	v.Self.LeaseHeld = n.member.LeaseRemaining() > 0
	if o := n.member.ShardLeaders(); len(o) > 0 {
		v.Self.PreferredLeader = o[0]
	}
	return v.LeaderFor(worker)
}

func (n *node) MayAnswerWorkers() bool {
	return n.member.FencingToken() > 0 && time.Since(n.cancellations.KnownUntil()) < testGrace
}

func (n *node) Isolated() bool {
	v := n.linksSeen()
	v.Self.LeadsShards = len(n.member.LedShards()) > 0
	return v.Isolated()
}

// exchange has the controllers tell each other, as far as links work, and act by
// what they then know.
func (w *cluster) exchange() {
	now := time.Now()
	var living []*node
	for _, name := range w.controllerNames {
		if n := w.nodes[name]; !n.down {
			living = append(living, n)
		}
	}
	straight := map[*node]bool{}
	w.mu.Lock()
	for _, n := range living {
		straight[n] = w.works(n.name, stateService)
	}
	w.mu.Unlock()
	for _, n := range living {
		for _, name := range w.controllerNames {
			to := w.nodes[name]
			if to == n {
				continue
			}
			w.mu.Lock()
			ok := !to.down && w.works(n.name, name)
			w.mu.Unlock()
			n.reach.table.RecordCall(name, ok, true)
			if ok {
				to.reach.table.Update(n.reach.row(straight[n]), reachability.Direct, 0, now)
				to.reach.table.UpdateRelayed(n.reach.table.RelayFor(name, now), now)
				n.reach.table.Update(to.reach.row(straight[to]), reachability.Direct, 0, now)
				n.reach.table.UpdateRelayed(to.reach.table.RelayFor(n.name, now), now)
				w.exchangeCancels(n, to)
			}
		}
	}
	w.maintainCancels(context.Background(), living)
	for _, n := range living {
		r := &n.reach
		v := r.table.View(r.row(straight[n]), now)
		r.seat(now, &v)
		w.mu.Lock()
		r.last, r.by = v, ""
		if served := v.StoreReachablePeers(); !straight[n] && len(served) > 0 {
			r.by = served[0]
		}
		w.mu.Unlock()
		if v.Self.LeaseHeld && now.Sub(r.announced) >= reachability.MinAnnounceInterval && len(v.UnreachedPeers()) > 0 {
			r.announced = now
			_ = n.member.AnnounceLinks(context.Background(), v.Self) // a row that is lost is followed by the next
		}
		if to := r.watch.Check(now, &v, n.member.RecentTransfers(reachability.TransferWindow)); to != "" {
			_ = n.member.TransferShards(context.Background(), to) // tried again if it fails
		}
		if v.SeenAsLeaderByPeer() {
			n.member.ReadShards(context.Background())
		}
		if v.Self.LeadsShards && w.keepBrokenLinks {
			w.judge(n, &v)
		}
	}
}

// seat shares out the workers as cmd/wallrack does, by the room that the test sets.
func (r *reach) seat(now time.Time, v *reachability.View) {
	room := r.node.cluster.connectionLimits[r.node.name]
	here := r.node.dispatcher.CountReporting(5 * reportEvery / 2)
	r.seats = r.plan.Plan(now, v, here, room, reportEvery)
	r.room, r.here = 0, 0
	if v.Self.Assignments = r.seats; v.HasAssignments() {
		r.room, r.here = room, here
	}
	v.Self.WorkerCapacity = r.room
}

// judge returns the machines that a leader gives up. A machine whose worker a
// controller heard a moment ago must not be among them.
func (w *cluster) judge(n *node, v *reachability.View) {
	r := &n.reach
	known, silent := n.scheduler.UnresponsiveWorkers(r.silence.Threshold())
	r.silenceMu.Lock()
	verdict := r.silence.Evaluate(time.Now(), v, reachability.ReceiveHealth{}, known, silent)
	r.silenceMu.Unlock()
	for name, m := range verdict.Probe {
		n.runDuty("silence of "+name, func(ctx context.Context) {
			heard := n.lives(ctx, m)
			if heard && m.OutboundLost {
				n.scheduler.WorkerResponded(name)
			}
			r.silenceMu.Lock()
			defer r.silenceMu.Unlock()
			r.silence.RecordProbe(name, heard, time.Now())
		})
	}
	for name, why := range verdict.Failed {
		w.mu.Lock()
		h, k := w.lastHeartbeats[name], w.byName[name]
		if at := h.last; k != nil && time.Since(at) < 3*reportEvery && time.Since(h.since) > surely {
			seen := ""
			for _, x := range w.controllerNames {
				seen += fmt.Sprintf(" %s %v", x, w.nodes[x].dispatcher.SinceWorkerHeartbeat(name))
			}
			w.fail("%s gives %s back (%s), which was heard %v ago (by%s), asked now: %v; %+v", n.name, name, why, time.Since(h.last), seen, verdict.Probe[name], v)
		}
		delete(w.byName, name)
		if i := slices.Index(w.workers, k); i >= 0 {
			w.workers = slices.Delete(w.workers, i, i+1)
		}
		if k != nil { // else another leader deleted it, and it was replaced
			w.deletedMachines++
			k.OnStart, k.OnForget = nil, nil // what is still sent to it does nothing
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

// lives asks a worker, and has all peers ask it, whether it lives.
func (n *node) lives(ctx context.Context, m reachability.UnresponsiveWorker) bool {
	w := n.cluster
	heard := m.Endpoint != "" && n.dispatcher.PollWorker(ctx, m.Name, m.Endpoint)
	for _, p := range w.controllerNames { // and its peers are asked whether they hear it
		w.mu.Lock()
		to := w.nodes[p]
		ok := to != n && w.reaches(n, to)
		w.mu.Unlock()
		heard = heard || ok && (!m.OutboundLost && to.dispatcher.SinceWorkerHeartbeat(m.Name) < n.reach.silence.Timeout || m.Endpoint != "" && to.dispatcher.PollWorker(ctx, m.Name, m.Endpoint))
	}
	return heard
}

// heartbeatTime is since when, without a longer gap, and when last a worker was heard.
type heartbeatTime struct{ since, last time.Time }

// surely is how long a worker's heartbeats must have come so that its deletion is wrong: one
// whose links have just healed may have been asked a moment before.
const surely = 5 * time.Second

func (w *cluster) hear(name string) {
	h := w.lastHeartbeats[name]
	if time.Since(h.last) > 3*reportEvery {
		h.since = time.Now()
	}
	h.last = time.Now()
	w.lastHeartbeats[name] = h
}
