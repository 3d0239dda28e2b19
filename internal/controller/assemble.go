package controller

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"

	"github.com/wallrack/wallrack/internal/autoscaler"
	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/connlimit"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/failovertiming"
	"github.com/wallrack/wallrack/internal/jobid"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/mesh"
	"github.com/wallrack/wallrack/internal/peerlinks"
	"github.com/wallrack/wallrack/internal/reachability"
	"github.com/wallrack/wallrack/internal/rolloutapi"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/slo"
	"github.com/wallrack/wallrack/internal/slurmapi"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/submission"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/viewsync"
)

// controller is the parts of this process, which live as long as it. Only their assembly sees
// all of them.
type controller struct {
	cfg      *config.Platform
	operator *config.Operator
	log      *slog.Logger
	lifetime lifetime
	nodes    []string // the names of the peers

	mesh    *mesh.Mesh
	store   *statestore.Client
	relay   storeRelay
	member  *membership.Member
	cloud   *autoscaler.Cloud
	catalog *autoscaler.Catalog

	links       *peerlinks.Links
	linkChanges linkLog
	linkMonitor linkMonitor
	linkReport  linkReport
	pinger      pinger
	prober      prober

	scheduler *scheduler.Scheduler
	gateway   schedulerGateway
	times     *failovertiming.Timeline
	starts    startLog
	ownership ownershipTiming

	connections  *connlimit.Limit
	commands     *dispatch.HTTPCommandSender
	router       workerRouter
	instructions instructionRouter
	local        localDispatcher
	dispatcher   *dispatch.Dispatcher
	views        viewPublisher

	cancelUpdates chan struct{} // there are updates of cancels for the peers
	cancellations *cancellation.Registry
	exchange      cancellationExchange

	unresponsive unresponsiveWorkers
	attestor     leaseAttestor
	expiring     expiringLeases

	demand        localDemand
	clusterDemand clusterDemand
	removed       removedWorkers
	autoscaler    *autoscaler.Autoscaler

	numbers  *jobid.Allocator    // nil: jobs have none
	rollouts *rolloutapi.Service // nil: there are none
	machines machineList
	alerts   *slo.Monitor
	meter    *usage.Meter
	listener *connlimit.Listener
	server   *http.Server
}

// assemble makes the parts and joins them; nothing runs yet. ctx is the process's. It opens the
// address for users and workers, waiting for a predecessor to let go of it.
func assemble(ctx context.Context, o Options) (*controller, error) {
	c := &controller{cfg: o.Platform, operator: o.Operator, log: o.Log, lifetime: lifetime{ctx}}
	if err := c.connect(); err != nil {
		return nil, err
	}
	c.schedule(o.Slurm != nil && o.Slurm.Accounts)
	c.dispatch(ctx)
	c.alerts = slo.New(c.cfg.Params.Objectives, c.scheduler, c.log)
	lis, err := mesh.Listen(ctx, c.cfg.Listen)
	if err != nil {
		c.mesh.Close()
		return nil, fmt.Errorf("serve_on: %w", err)
	}
	c.listener = connlimit.NewListener(lis, c.connections)
	c.meter = usage.New(int64(c.cfg.Params.Limits.RAMMB*pressureShare*bytesPerMB), c.queues, c.log)
	c.times.ResetStart()
	c.exchangeCancellations()
	c.watchLinks()
	c.watchWorkers()
	c.publishViews()
	c.observe()

	mux := http.NewServeMux()
	c.serveUsers(o, mux)
	c.rollOut(o, mux)
	c.autoscale()
	c.serveOperators(mux)
	mux.HandleFunc("POST /v1/report", c.dispatcher.ServeReport)
	c.server = newServer(mux, c.log)
	return c, nil
}

// register has a part serve its methods of the mesh.
func (c *controller) register(service peerService) { service.register(c.mesh) }

// connect makes the clients of what is outside of this process, and the links to the peers.
func (c *controller) connect() error {
	addrs := map[string]string{}
	for _, peer := range c.cfg.Peers {
		addrs[peer.Node] = peer.Addr
		c.nodes = append(c.nodes, peer.Node)
	}
	var err error
	if c.mesh, err = mesh.New(addrs); err != nil {
		return err
	}
	limits := c.cfg.Params.State
	c.store = statestore.New(c.cfg.Endpoints.State, limits.RPS, limits.WriteRPS, limits.TxnOps)
	c.member = membership.New(statestore.UrgentClient{Client: c.store}, c.cfg.Node, config.Seconds(c.operator.LeaseS), c.operator.Shards, c.operator.ShardControllers, c.log)
	c.cloud = autoscaler.NewCloud(c.cfg.Endpoints.Cloud, c.cfg.Params.Cloud.RPS)
	c.catalog = autoscaler.NewCatalog(c.cloud, c.store, c.log)
	c.links = peerlinks.New(peerlinks.Options{Node: c.cfg.Node, Peers: c.nodes, Mesh: c.mesh, Store: c.store, Member: c.member, Cloud: c.cloud})
	c.links.Caller.Register(c.mesh)
	return nil
}

// schedule makes the scheduler, and the registry of cancellations that it fills.
func (c *controller) schedule(accounting bool) {
	halter := &taskHalter{local: &c.local, log: c.log}
	c.cancelUpdates = make(chan struct{}, 1)
	c.cancellations = cancellation.New(cancellation.Options{
		Peers: c.nodes, Limit: config.Seconds(c.cfg.Params.Workers.CancelS), LeaseRemaining: c.member.LeaseRemaining,
		OnCancelled: halter.halt, OnUpdates: c.notifyCancelUpdates,
	})
	c.instructions = instructionRouter{node: c.cfg.Node, local: &c.local, peers: &c.links.Caller}
	c.register(&c.instructions)
	c.scheduler = scheduler.New(scheduler.Options{
		Platform: c.cfg, Operator: c.operator, Store: c.store, Member: c.member, Dispatchers: &c.instructions, MachineTypes: c.catalog, Log: c.log,
		Cancellations: c.cancellations, RemoteJobs: &remoteJobs{store: c.store, mesh: c.mesh, leaders: &c.links.Leaders}, AccountingEnabled: accounting,
	})
	c.register(&jobFacts{scheduler: c.scheduler})
}

// notifyCancelUpdates has the exchange send updates to the peers.
func (c *controller) notifyCancelUpdates() {
	select {
	case c.cancelUpdates <- struct{}{}:
	default:
	}
}

// dispatch makes the dispatcher, which ends the cycle of those that act through it.
func (c *controller) dispatch(ctx context.Context) {
	c.connections, c.commands = connlimit.New(c.cfg.Params.Limits.Sockets, len(c.cfg.Peers))
	c.times = failovertiming.New(c.scheduler, config.Seconds(c.cfg.Params.Workers.LeaseS), c.log)
	c.starts = startLog{log: c.log}
	c.router = workerRouter{member: c.member, links: &c.links.View, cancellations: c.cancellations, grace: responseGrace(c.cfg.Params.Workers)}
	c.gateway = schedulerGateway{scheduler: c.scheduler, router: &c.router, peers: &c.links.Caller, times: c.times, starts: &c.starts}
	c.register(&c.gateway)
	c.dispatcher = dispatch.New(ctx, dispatch.Options{
		Node: c.cfg.Node, WorkerLease: config.Seconds(c.cfg.Params.Workers.LeaseS),
		Schedulers: &c.gateway, Tokens: c.member, MachineTypes: c.catalog, Routing: &c.router, Commands: c.commands, Log: c.log,
		Cancellations: c.cancellations,
	})
	c.local.commandTarget = c.dispatcher
}

// queues are the depths that the meter shows.
func (c *controller) queues() map[string]int {
	depths := c.scheduler.QueueDepths()
	depths["machines"], depths["queued"], depths["orders"] = c.dispatcher.Depths()
	depths["connections"], depths["order_connections"] = c.connections.Open(), c.commands.Connections()
	return depths
}

// receiveHealth says how well this process receives just now.
func (c *controller) receiveHealth() reachability.ReceiveHealth {
	return reachability.ReceiveHealth{RefusedConnections: usage.EventCount(usage.RefusedConnections), TimerDelay: c.meter.TimerDelay()}
}

func (c *controller) exchangeCancellations() {
	c.exchange = cancellationExchange{
		cfg: c.cfg, registry: c.cancellations, updates: c.cancelUpdates, scheduler: c.scheduler, dispatcher: c.dispatcher, router: &c.router, peers: &c.links.Caller,
		reader: cancellationReader{registry: c.cancellations, store: c.store, log: c.log}, log: c.log,
	}
	c.register(&c.exchange)
}

func (c *controller) watchLinks() {
	c.prober = prober{
		node: c.cfg.Node, member: c.member, table: c.links.Table, status: &c.links.Status, links: &c.links.View, dispatcher: c.dispatcher, lifetime: c.lifetime, log: c.log,
	}
	c.pinger = pinger{
		cfg: c.cfg, mesh: c.mesh, table: c.links.Table, status: &c.links.Status, peers: &c.links.Caller, cancellations: &c.exchange, prober: &c.prober,
	}
	c.register(&c.pinger)
	c.linkChanges = linkLog{store: c.store, log: c.log, links: map[string]linkState{}}
	c.linkMonitor = linkMonitor{
		cfg: c.cfg, operator: c.operator, member: c.member, dispatcher: c.dispatcher, table: c.links.Table, status: &c.links.Status, links: &c.links.View,
		router: &c.router, prober: &c.prober, pinger: &c.pinger, connections: c.connections, health: c.receiveHealth, changes: &c.linkChanges, log: c.log,
	}
}

func (c *controller) watchWorkers() {
	c.unresponsive = unresponsiveWorkers{
		cfg: c.cfg, operator: c.operator, scheduler: c.scheduler, dispatcher: c.dispatcher, links: &c.links.View, peers: &c.links.Caller,
		health: c.receiveHealth, lifetime: c.lifetime, log: c.log, detector: newFailureDetector(c.cfg.Params.Workers, c.operator),
	}
	c.register(&c.unresponsive)
	c.attestor = leaseAttestor{cfg: c.cfg, scheduler: c.scheduler, dispatcher: c.dispatcher, peers: &c.links.Caller, log: c.log}
	c.register(&c.attestor)
	c.expiring = expiringLeases{scheduler: c.scheduler, dispatcher: c.dispatcher, router: &c.router}
}

func (c *controller) publishViews() {
	c.views = viewPublisher{
		cfg: c.cfg, interval: config.Seconds(c.operator.PublishIntervalS), scheduler: c.scheduler, dispatcher: c.dispatcher, leaders: &c.links.Leaders, peers: &c.links.Caller, table: c.links.Table,
		publisher: viewsync.NewPublisher(c.cfg.Node, c.dispatcher), receiver: viewsync.NewReceiver(c.scheduler, c.nodes), log: c.log,
	}
	c.register(&c.views)
}

// observe has the parts hear of changes in the state service, and its client of the way round
// by a peer.
func (c *controller) observe() {
	c.ownership = ownershipTiming{member: c.member, times: c.times, starts: &c.starts}
	c.member.OnLeadershipChange(c.scheduler.LeadershipChanged)
	c.member.OnLeadershipChange(c.ownership.changed)
	c.member.OnLeadershipChange(c.links.View.Invalidate)
	c.member.OnLinkAnnouncement(c.prober.announced)
	c.relay = storeRelay{store: c.store, links: &c.links.View, peers: &c.links.Caller, mesh: c.mesh}
	c.register(&c.relay)
	c.store.SetRelay(&c.relay, c.log)
}

func (c *controller) serveUsers(o Options, mux *http.ServeMux) {
	options := submission.Options{
		Platform: c.cfg, Operator: c.operator, Store: c.store, Jobs: c.scheduler, Catalog: c.catalog,
		Peers: &userPeers{Leaders: &c.links.Leaders, member: c.member, links: &c.links.View, peers: &c.links.Caller, times: c.times}, Log: c.log,
		Cancellations: c.cancellations, MemoryPressure: c.meter.MemoryPressure,
	}
	if o.Slurm != nil {
		c.numbers = jobid.New(c.store)
		options.Numbers = c.numbers
	}
	submissions := submission.New(options)
	c.register(&userService{submissions: submissions})
	submissions.Register(mux)
	if o.Slurm == nil {
		return
	}
	server := slurmapi.New(o.Slurm, c.cfg, c.store, c.scheduler, c.numbers, &slurmPeers{Leaders: &c.links.Leaders, mesh: c.mesh}, submissions, c.catalog, c.log)
	c.register(&slurmService{server: server})
	server.Register(mux)
}

func (c *controller) rollOut(o Options, mux *http.ServeMux) {
	if o.Rollouts == nil {
		return
	}
	c.rollouts = rolloutapi.New(rolloutapi.Options{
		Settings: o.Rollouts, Platform: c.cfg, Operator: c.operator, Store: c.store, Member: c.member, Scheduler: c.scheduler, Dispatcher: c.dispatcher,
		Numbers: c.numbers, Leaders: &c.links.Leaders, Mesh: c.mesh, Log: c.log,
	})
	c.rollouts.RegisterMethods(c.mesh)
	c.rollouts.Register(mux)
}

func (c *controller) autoscale() {
	c.demand = localDemand{scheduler: c.scheduler, unresponsive: &c.unresponsive}
	c.register(&c.demand)
	c.removed = removedWorkers{cfg: c.cfg, scheduler: c.scheduler, dispatcher: c.dispatcher, peers: &c.links.Caller, lifetime: c.lifetime, log: c.log}
	c.register(&c.removed)
	c.clusterDemand = clusterDemand{
		scheduler: c.scheduler, local: &c.demand, unresponsive: &c.unresponsive, leaders: &c.links.Leaders, peers: &c.links.Caller, removed: &c.removed, lifetime: c.lifetime, log: c.log,
	}
	options := autoscaler.Options{
		Platform: c.cfg, Operator: c.operator, Cloud: c.cloud, Catalog: c.catalog, Store: c.store, Member: c.member, Dispatcher: c.dispatcher, Log: c.log,
		Scheduler: &c.clusterDemand,
	}
	if c.rollouts != nil {
		options.ReservedCPUs = c.rollouts.ReservedCPUs
	}
	c.autoscaler = autoscaler.New(options)
}
