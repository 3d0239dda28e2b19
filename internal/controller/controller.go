// Package controller assembles a controller of the parts in the other packages, joins them
// with those of its peers over the mesh, and runs them.
package controller

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net/http"
	"runtime"
	"runtime/debug"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/wallrack/wallrack/internal/autoscaler"
	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/failovertiming"
	"github.com/wallrack/wallrack/internal/httpjson"
	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/reachability"
	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/slo"
	"github.com/wallrack/wallrack/internal/slurmapi"
	"github.com/wallrack/wallrack/internal/sockets"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/submission"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/viewsync"
)

// memoryShare is the part of the memory limit that the runtime aims to stay
// below; the rest is the program itself and what the runtime does not count.
const memoryShare = 0.7

// crowdedShare is the part of the memory limit from which on no new jobs are
// taken: the collector has not been able to stay within memoryShare.
const crowdedShare = 0.85

// garbagePercent trades memory, of which there is enough below the limit, for
// processor time, of which there is not.
const garbagePercent = 500

// Options are a controller's settings.
type Options struct {
	Platform *config.Platform
	Operator *config.Operator
	Rollouts *rollout.Settings  // nil: there are no roll-outs
	Slurm    *slurmapi.Settings // nil: Slurm-style clients and accounting are off
	Version  string             // for the log
	Log      *slog.Logger
}

// Run assembles the parts and runs them until ctx ends.
func Run(ctx context.Context, o Options) error {
	p, op, log := o.Platform, o.Operator, o.Log
	runtime.GOMAXPROCS(1) // a controller has a share of one core
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(int64(p.Params.Limits.RAMMB * memoryShare * (1 << 20)))

	addrs := map[string]string{}
	for _, s := range p.Peers {
		addrs[s.Node] = s.Addr
	}
	peers, err := mesh.New(addrs)
	if err != nil {
		return err
	}
	defer peers.Close()

	st := p.Params.State
	store := statestore.New(p.Endpoints.State, st.RPS, st.WriteRPS, st.TxnOps)
	member := membership.New(statestore.UrgentClient{Client: store}, p.Node, config.Seconds(op.LeaseS), op.Shards, op.Spread, log)
	cloud := autoscaler.NewCloud(p.Endpoints.Cloud, p.Params.Cloud.RPS)
	catalog := autoscaler.NewCatalog(cloud, store, log)

	g, ctx := errgroup.WithContext(ctx)
	n := &node{ctx: ctx, cfg: p, op: op, store: store, member: member, cloud: cloud, mesh: peers, log: log}
	n.links.init(n)
	n.tellCancels = make(chan struct{}, 1)
	n.cancels = cancellation.New(cancellation.Options{
		Peers: slices.Collect(maps.Keys(addrs)), Limit: config.Seconds(p.Params.Workers.CancelS), LeaseRemaining: member.LeaseRemaining,
		OnCancelled: n.recall, OnUpdates: n.cancelNews,
	})
	n.owner = scheduler.New(scheduler.Options{
		Platform: p, Operator: op, Store: store, Member: member, Dispatchers: n, MachineTypes: catalog, Log: log,
		Cancellations: n.cancels, RemoteJobs: n, AccountingEnabled: o.Slurm != nil && o.Slurm.Accounts,
	})
	inbound := &door{}
	budget := sockets.Budget{Limit: p.Params.Limits.Sockets, Peers: len(p.Peers), Accepted: inbound.count}
	orders := dispatch.NewHTTPCommandSender(budget)
	inbound.share(budget, orders)
	n.holder = dispatch.New(ctx, dispatch.Options{
		Node: p.Node, WorkerLease: config.Seconds(p.Params.Workers.LeaseS), Schedulers: n, Tokens: member, MachineTypes: catalog, Routing: n, Commands: orders, Log: log,
		Cancellations: n.cancels,
	})
	n.published, n.pictures = viewsync.NewPublisher(p.Node, n.holder), viewsync.NewReceiver(n.owner, slices.Collect(maps.Keys(addrs)))
	alerts := slo.New(p.Params.Objectives, n.owner, log)
	lis, err := mesh.Listen(ctx, p.Listen)
	if err != nil {
		return fmt.Errorf("serve_on: %w", err)
	}
	inbound.Listener = lis
	meter := usage.New(int64(p.Params.Limits.RAMMB*crowdedShare*(1<<20)), func() map[string]int {
		q := n.owner.QueueDepths()
		q["machines"], q["queued"], q["orders"] = n.holder.Depths()
		q["connections"], q["order_connections"] = inbound.count(), orders.Connections()
		return q
	}, log)
	n.links.connections = func() (open, most int) { return inbound.count(), int(inbound.most) }
	n.links.ears = func() reachability.ReceiveHealth {
		return reachability.ReceiveHealth{RefusedConnections: usage.Noted(usage.RefusedConnections), TimerDelay: meter.Late()}
	}
	n.times = failovertiming.New(n.owner, config.Seconds(p.Params.Workers.LeaseS), log)
	member.OnOwnershipChange(n.owner.OwnershipChanged)
	member.OnOwnershipChange(n.standing)
	member.OnOwnershipChange(n.links.changed)
	member.OnLinkAnnouncement(n.stored)
	store.SetRelay(n, log)
	n.handle()
	n.handleDemand()

	mux := http.NewServeMux()
	if o.Slurm != nil {
		n.numbers = jobid.New(store)
	}
	users := submission.Options{
		Platform: p, Operator: op, Store: store, Jobs: n.owner, Catalog: catalog, Peers: n, Log: log,
		Cancellations: n.cancels, MemoryPressure: meter.Crowded,
	}
	if n.numbers != nil { // an interface that holds a nil pointer is not nil
		users.Numbers = n.numbers
	}
	n.intake = submission.New(users)
	n.intake.Register(mux)
	alerts.Register(mux)
	mux.HandleFunc("GET /ops/stats", func(w http.ResponseWriter, _ *http.Request) {
		stats := alerts.Stats()
		stats["counters"], stats["usage"], stats["recovery"], stats["served"] = n.owner.Counters(), meter.Read(), n.times.Last(), n.owner.Served()
		httpjson.Write(w, http.StatusOK, stats)
	})
	mux.HandleFunc("GET /ops/machines", n.serveMachines)
	mux.HandleFunc("GET /ops/links", n.serveLinks)
	n.slurm(o.Slurm, catalog, mux)
	var reservedCPUs func() float64
	if o.Rollouts != nil {
		m := n.newRollouts(o.Rollouts)
		reservedCPUs = m.Held
		n.serveRollouts(mux, m)
		g.Go(func() error { return m.Run(ctx) })
	}
	boxes := autoscaler.New(autoscaler.Options{
		Platform: p, Operator: op, Cloud: cloud, Catalog: catalog, Store: store, Member: member, Scheduler: &allOwners{n: n, ctx: ctx}, Dispatcher: n.holder, Log: log,
		ReservedCPUs: reservedCPUs,
	})
	mux.HandleFunc("POST /v1/report", n.holder.ServeReport)
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 15 * time.Second,
		WriteTimeout: 15 * time.Second, IdleTimeout: 90 * time.Second, MaxHeaderBytes: 16 << 10,
		ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug)}

	g.Go(func() error {
		if err := srv.Serve(inbound); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve: %w", err)
		}
		return nil
	})
	g.Go(func() error {
		<-ctx.Done()
		sctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		return srv.Shutdown(sctx)
	})
	g.Go(func() error { return peers.Serve(ctx, p.Mesh) })
	g.Go(func() error { return member.Run(ctx) })
	g.Go(func() error { return n.owner.Run(ctx) })
	g.Go(func() error { return catalog.Run(ctx, n.owner.LeadsAutoscaling) })
	g.Go(func() error { return boxes.Run(ctx) })
	g.Go(func() error { return alerts.Run(ctx) })
	g.Go(func() error { return meter.Run(ctx) })
	g.Go(func() error { return n.times.Run(ctx) })
	g.Go(func() error { return n.ping(ctx) })
	g.Go(func() error { return n.watchLinks(ctx) })
	g.Go(func() error { return n.watchCancels(ctx) })
	g.Go(func() error { return store.Run(ctx) })
	g.Go(func() error { return n.publish(ctx) })
	g.Go(func() error { return n.vouch(ctx) })
	g.Go(func() error { return n.watchLeases(ctx) })
	log.Info("started", "version", o.Version)
	err = g.Wait()
	n.holder.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
