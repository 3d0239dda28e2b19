package controller

import (
	"context"
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/connlimit"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/peerlinks"
	"github.com/wallrack/wallrack/internal/periodic"
	"github.com/wallrack/wallrack/internal/reachability"
)

const (
	linkCheckInterval      = 250 * time.Millisecond
	heartbeatCountInterval = time.Second // between counts of heartbeats and connections
	readShardsInterval     = time.Second // between reads of the shards' leaders, while a peer sees this controller as the leader
	announceTimeout        = time.Second
	workerNamesShare       = 0.5 // share of the maximum size of a value in the state service that the names of workers may use
	missedReportIntervals  = 2.5 // report intervals without a report after which a worker no longer counts as reporting here
)

// linkMonitor measures this controller's links to the workers, announces its status via the
// state service to peers that the mesh does not reach, and transfers its shards to a peer when
// the peer receives the workers' heartbeats and this controller does not.
type linkMonitor struct {
	cfg         *config.Platform
	operator    *config.Operator
	member      *membership.Member
	dispatcher  *dispatch.Dispatcher
	table       *reachability.Table
	status      *peerlinks.Status
	links       *peerlinks.View
	router      *workerRouter
	prober      *prober
	pinger      *pinger
	connections *connlimit.Limit
	health      receiveHealth
	changes     *linkLog
	log         *slog.Logger

	// Accessed by run only.
	assignments        reachability.AssignmentPlanner
	plannedAssignments int // number of assignments in the last plan
	transfers          reachability.TransferMonitor
	announcedAt        time.Time
	countedAt          time.Time
	shardsReadAt       time.Time
}

func (l *linkMonitor) run(ctx context.Context) error {
	return periodic.Run(ctx, linkCheckInterval, func() { l.check(ctx) })
}

// check evaluates the links once, and announces, transfers or reads shards if needed.
func (l *linkMonitor) check(ctx context.Context) {
	now := time.Now()
	if l.prober.updateSuspicion(l.health().TimerDelay) {
		l.pinger.pingAll(ctx)
	}
	if time.Since(l.countedAt) >= heartbeatCountInterval {
		l.countedAt = now
		l.countHeartbeats()
		l.assignWorkers(now)
		l.changes.update(l.links.Now())
	}
	view := l.links.Now()
	l.announce(ctx, now, view)
	l.transfer(ctx, now, view)
	l.readShards(ctx, now, view)
}

// readShards reads the shards' leaders if a peer sees this controller as the leader, but this
// controller does not know that it leads.
func (l *linkMonitor) readShards(ctx context.Context, now time.Time, view *reachability.View) {
	if !view.SeenAsLeaderByPeer() || now.Sub(l.shardsReadAt) < readShardsInterval {
		return
	}
	l.shardsReadAt = now
	l.log.Info("taken for the leader by a peer, reading shards")
	l.member.ReadShards(ctx)
}

// announce writes this controller's status to the state service when that is due and a live
// peer can't be reached.
func (l *linkMonitor) announce(ctx context.Context, now time.Time, view *reachability.View) {
	pause := reachability.AnnounceInterval(len(l.cfg.Peers) + 1)
	if !l.status.AnnouncementDue(now, l.announcedAt, pause) || !view.Self.LeaseHeld || !slices.ContainsFunc(view.UnreachedPeers(), l.member.Alive) {
		return
	}
	l.announcedAt = now
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := l.member.AnnounceLinks(ctx, l.status.Current(now)); err != nil {
		l.log.Debug("announcing node status failed", "err", err)
	}
}

// transfer transfers the shards when a peer receives the workers' heartbeats and this controller
// does not.
func (l *linkMonitor) transfer(ctx context.Context, now time.Time, view *reachability.View) {
	to := l.transfers.Check(now, view, l.member.RecentTransfers(reachability.TransferWindow))
	if to == "" {
		return
	}
	l.log.Info("no worker heartbeats, transferring shards", "peer", to, "heartbeats", view.Self.Heartbeats, "expected", view.Self.ExpectedHeartbeats,
		"probed", view.Self.Probed, "probe_success", view.Self.ProbeSuccess)
	if err := l.member.TransferShards(ctx, to); err != nil {
		l.log.Info("shard transfer failed", "err", err)
	}
	l.pinger.pingAll(ctx) // notifies the peer at once that it leads, since its watch may lag
}

// countHeartbeats updates the heartbeat count in the status. The status names the workers only
// while a peer can't be reached.
func (l *linkMonitor) countHeartbeats() {
	received, workers := l.dispatcher.RecentHeartbeats()
	var names *reachability.NameSet
	if now := time.Now(); len(l.table.UnreachedPeers(now)) > 0 || l.table.UnreachedByAnyPeer(now) {
		heard := l.dispatcher.WorkersSeenWithin(config.Seconds(l.cfg.Params.Workers.LeaseS))
		names = reachability.NewNameSet(heard, int(l.cfg.Params.State.ValueKB*workerNamesShare*1024))
	}
	l.status.SetHeartbeats(peerlinks.HeartbeatCount{
		Received: received, Workers: names,
		Expected: float64(workers) / l.cfg.Params.Workers.ReportS * dispatch.HeartbeatWindow.Seconds(),
	})
}

// assignWorkers checks whether this controller has connections for all workers. While workers
// are assigned to several controllers, the status includes this one's remaining capacity.
func (l *linkMonitor) assignWorkers(now time.Time) {
	open, most := l.connections.Open(), l.connections.Max()
	view := l.links.Now()
	reportS := l.cfg.Params.Workers.ReportS
	workers := l.dispatcher.CountReporting(config.Seconds(missedReportIntervals * reportS))
	capacity := 0 // 0: no limit or no share is set, all workers fit
	if most < math.MaxInt32 {
		capacity = int(l.operator.WorkerConnectionShare * float64(most))
	}
	next := peerlinks.WorkerAssignments{Plan: l.assignments.Plan(now, view, workers, capacity, config.Seconds(reportS))}
	if view.HasAssignments() {
		next.Workers = workers
		next.Capacity = max(0, min(capacity, most-max(0, open-workers)-most/10))
	}
	if len(next.Plan) != l.plannedAssignments {
		l.log.Info("workers assigned to several controllers", "assignments", next.Plan, "workers", workers, "capacity", capacity)
	}
	l.plannedAssignments = len(next.Plan)
	l.status.SetAssignments(next)
	l.router.assigned.Store(view.HasAssignments())
	l.links.Invalidate()
}
