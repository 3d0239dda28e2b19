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
	watchLinksEvery = 250 * time.Millisecond
	countEvery      = time.Second // between counts of heartbeats and connections
	readShardsEvery = time.Second // between reads of who leads, while peers take this controller for the leader
	announceTimeout = time.Second
	nameShare       = 0.5 // of a value's limit in the state service, for the names of workers
	missedReports   = 2.5 // pauses between reports without one after which a worker does not count as reporting here
)

// linkMonitor measures this controller's links to the workers, announces its status to those
// that the mesh does not reach, and transfers its shards to a controller that gets the workers'
// heartbeats when this one does not any more.
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

	// Of run alone.
	assignments reachability.AssignmentPlanner
	planned     int // assignments, as last planned
	transfers   reachability.TransferMonitor
	announced   time.Time
	counted     time.Time
	shardsRead  time.Time
}

func (l *linkMonitor) run(ctx context.Context) error {
	return periodic.Run(ctx, watchLinksEvery, func() { l.look(ctx) })
}

// look takes one look at the links, and acts by them.
func (l *linkMonitor) look(ctx context.Context) {
	now := time.Now()
	if l.prober.suspicionChanged(l.health().TimerDelay) {
		l.pinger.pingAll(ctx)
	}
	if time.Since(l.counted) >= countEvery {
		l.counted = now
		l.countHeartbeats()
		l.assignWorkers(now)
		l.changes.update(l.links.Now())
	}
	view := l.links.Now()
	l.announce(ctx, now, view)
	l.transfer(ctx, now, view)
	l.readShards(ctx, now, view)
}

// readShards reads who leads the shards if peers take this controller for the leader and it does
// not know that it is.
func (l *linkMonitor) readShards(ctx context.Context, now time.Time, view *reachability.View) {
	if !view.TakenForLeader() || now.Sub(l.shardsRead) < readShardsEvery {
		return
	}
	l.shardsRead = now
	l.log.Info("taken for the leader by a peer, reading shards")
	l.member.ReadShards(ctx)
}

// announce writes this controller's status to the state service when that is due and a living
// peer is not reached.
func (l *linkMonitor) announce(ctx context.Context, now time.Time, view *reachability.View) {
	pause := reachability.AnnouncePause(len(l.cfg.Peers) + 1)
	if !l.status.AnnouncementDue(now, l.announced, pause) || !view.Self.LeaseHeld || !slices.ContainsFunc(view.UnreachedPeers(), l.member.Alive) {
		return
	}
	l.announced = now
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	if err := l.member.AnnounceLinks(ctx, l.status.Current(now)); err != nil {
		l.log.Debug("announcing node status failed", "err", err)
	}
}

// transfer transfers the shards when a peer gets the workers' heartbeats and this controller
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
	l.pinger.pingAll(ctx) // the peer learns at once that it leads: its watch may be behind
}

// countHeartbeats counts what came from workers. The status names them while a peer is not
// reached.
func (l *linkMonitor) countHeartbeats() {
	received, workers := l.dispatcher.RecentHeartbeats()
	var names *reachability.NameSet
	if now := time.Now(); len(l.table.UnreachedPeers(now)) > 0 || l.table.UnreachedByPeers(now) {
		heard := l.dispatcher.WorkersHeardWithin(config.Seconds(l.cfg.Params.Workers.LeaseS))
		names = reachability.NewNameSet(heard, int(l.cfg.Params.State.ValueKB*nameShare*1024))
	}
	l.status.SetHeartbeats(peerlinks.HeartbeatCount{
		Received: received, Workers: names,
		Expected: float64(workers) / l.cfg.Params.Workers.ReportS * dispatch.HeartbeatWindow.Seconds(),
	})
}

// assignWorkers looks whether this controller has connections for all workers. While they are
// assigned to several controllers, the status says how many it has room for.
func (l *linkMonitor) assignWorkers(now time.Time) {
	open, most := l.connections.Open(), l.connections.Max()
	view := l.links.Now()
	reportS := l.cfg.Params.Workers.ReportS
	workers := l.dispatcher.CountReporting(config.Seconds(missedReports * reportS))
	capacity := 0 // without a limit, or a share, all fit
	if most < math.MaxInt32 {
		capacity = int(l.operator.WorkerConnectionShare * float64(most))
	}
	next := peerlinks.WorkerAssignments{Plan: l.assignments.Plan(now, view, workers, capacity, config.Seconds(reportS))}
	if view.SharesWorkers() {
		next.Workers = workers
		next.Capacity = max(0, min(capacity, most-max(0, open-workers)-most/10))
	}
	if len(next.Plan) != l.planned {
		l.log.Info("workers assigned to several controllers", "assignments", next.Plan, "workers", workers, "capacity", capacity)
	}
	l.planned = len(next.Plan)
	l.status.SetAssignments(next)
	l.router.assigned.Store(view.SharesWorkers())
	l.links.Invalidate()
}
