package controller

import (
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/reachability"
)

const (
	pingEvery = time.Second
	storeLost = 3 * time.Second        // the state service unheard for so long counts as lost
	viewFor   = 100 * time.Millisecond // how long a view is used before it is made anew
	namesPart = 0.5                    // of a value's limit in the state service, for the names of machines
	lookEvery = 250 * time.Millisecond
	tryWithin = 500 * time.Millisecond // for machines that are tried
	askWithin = 2 * time.Second        // for a peer that asks a silent machine
	triedFor  = 3 * time.Second        // how long the outcome counts
	atOnce    = 500 * time.Millisecond // between rows that are announced for a reason
)

// linkState is this controller's view of the links, and what it does about it.
type linkState struct {
	node  *node
	table *reachability.Table
	born  int64
	ears  func() reachability.ReceiveHealth
	view  atomic.Pointer[madeView]

	connections func() (open, most int) // this process's, of those who come to it
	spreading   atomic.Bool             // some controller shares out workers

	mu      sync.Mutex
	seq     uint64
	reports int     // see links.Row
	expects float64 // see links.Row
	names   *reachability.NameSet
	plan    reachability.AssignmentPlanner
	seats   []reachability.Assignment // see links.Row
	room    int                       // see links.Row
	here    int                       // see links.Row
	sample  []string                  // see links.Row
	tried   time.Time                 // when a sample was last tried here
	reaches float64
	urgent  bool // others wait for this row
	silence reachability.FailureDetector
	told    map[string]toldLink
	kept    int // machines kept although silent, as last logged
}

type madeView struct {
	reachability.View
	at time.Time
}

func (s *linkState) init(n *node) {
	w := n.cfg.Params.Workers
	var peers []string
	for _, p := range n.cfg.Peers {
		peers = append(peers, p.Node)
	}
	s.node, s.table, s.born = n, reachability.NewTable(n.cfg.Node, peers), time.Now().UnixMilli()
	s.told = map[string]toldLink{}
	s.silence = reachability.FailureDetector{Base: config.Seconds(n.op.SilentS), Lease: config.Seconds(w.LeaseS), Report: config.Seconds(w.ReportS), Grace: n.grace()}
}

// grace is how long after the last time up to which it knows of all cancels this
// controller may answer workers: a worker's lease counts from the send of the report
// that was answered last, and what it runs may have been cancelled just after that
// time.
func (n *node) grace() time.Duration {
	w := n.cfg.Params.Workers
	return config.Seconds(max(2, w.CancelS-w.LeaseS*1.002-cancelSlack))
}

// changed makes the next view afresh.
func (s *linkState) changed() { s.view.Store(nil) }

// self is this controller's row.
func (s *linkState) self(now time.Time) reachability.NodeStatus {
	n := s.node
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seq++
	r := reachability.NodeStatus{Node: n.cfg.Node, StartedMs: s.born, Seq: s.seq, StoreReachable: n.store.SinceLastSuccess() < storeLost && !n.store.UsesRelay(),
		LeaseHeld: n.member.LeaseRemaining() > 0, OwnsJobs: len(n.member.OwnedShards()) > 0, PreferredLeader: n.chief(), CloudReachable: n.cloud.Reached(),
		Heartbeats: s.reports, ExpectedHeartbeats: s.expects, UnreachedPeers: s.table.UnreachedPeers(now),
		ProbeSample: s.sample, Probed: now.Sub(s.tried) < triedFor}
	if r.Probed {
		r.ProbeSuccess = s.reaches
	}
	r.HeardWorkers, r.Assignments, r.WorkerCapacity, r.WorkerCount = s.names, s.seats, s.room, s.here
	return r
}

// now returns the links as they are seen here now.
func (s *linkState) now() *reachability.View {
	now := time.Now()
	if v := s.view.Load(); v != nil && now.Sub(v.at) < viewFor {
		return &v.View
	}
	v := &madeView{s.table.View(s.self(now), now), now}
	s.view.Store(v)
	return &v.View
}

// watchLinks looks at the links once a second: it announces this controller's row to
// those that the mesh does not reach, and hands the jobs over to a controller that
// hears the workers when this one does not any more.
func (n *node) watchLinks(ctx context.Context) error {
	tick := time.NewTicker(lookEvery)
	defer tick.Stop()
	var w reachability.TransferMonitor
	var announced, listened time.Time
	pause := reachability.AnnouncePause(len(n.cfg.Peers) + 1)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
		now := time.Now()
		n.doubt(ctx)
		if time.Since(listened) >= time.Second {
			listened = now
			n.listen()
			n.seat(now)
			n.tellLinks(n.links.now())
		}
		v := n.links.now()
		if n.links.due(now, announced, pause) && v.Self.LeaseHeld && slices.ContainsFunc(v.UnreachedPeers(), n.member.Alive) {
			announced = now
			actx, cancel := context.WithTimeout(ctx, time.Second)
			if err := n.member.AnnounceLinks(actx, n.links.self(now)); err != nil {
				n.log.Debug("row not announced", "err", err)
			}
			cancel()
		}
		to := w.Check(now, v, n.member.RecentTransfers(reachability.TransferWindow))
		if to == "" {
			continue
		}
		n.log.Info("workers are not heard here: handing over", "to", to, "heard", v.Self.Heartbeats, "expected", v.Self.ExpectedHeartbeats,
			"tried", v.Self.Probed, "reached", v.Self.ProbeSuccess)
		if err := n.member.TransferShards(ctx, to); err != nil {
			n.log.Info("handing over failed", "err", err)
		}
	}
}

// seat looks whether this controller has connections for all workers, and tells others
// that share them out how many it has room for.
func (n *node) seat(now time.Time) {
	s := &n.links
	open, most := s.connections()
	v := s.now()
	reportS := n.cfg.Params.Workers.ReportS
	here := n.holder.CountReporting(config.Seconds(reportsMissed * reportS))
	room := 0 // without a limit, or a share, all fit
	if most < math.MaxInt32 {
		room = int(n.op.WorkerShare * float64(most))
	}
	s.mu.Lock()
	before := len(s.seats)
	s.seats = s.plan.Plan(now, v, here, room, config.Seconds(reportS))
	s.room, s.here = 0, 0
	if v.SharesWorkers() {
		s.here = here
		s.room = max(0, min(room, most-max(0, open-here)-most/10))
	}
	if len(s.seats) != before {
		n.log.Info("workers are shared out", "seats", s.seats, "here", here, "room", room)
	}
	s.mu.Unlock()
	s.spreading.Store(v.SharesWorkers())
	s.changed()
}

// reportsMissed is how many times the pause between reports a worker may be silent and
// still counts as here.
const reportsMissed = 2.5

// due reports whether this controller's row is to be announced: now and then, or at
// once if others wait for it.
func (s *linkState) due(now, last time.Time, pause time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.urgent && now.Sub(last) >= atOnce {
		s.urgent = false
		return true
	}
	return now.Sub(last) >= pause
}
