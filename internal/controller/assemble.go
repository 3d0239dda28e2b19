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

// controller holds the components of this process. They live as long as the process. Only the
// assembly code accesses all of them.
type controller struct {
	cfg      *config.Platform
	operator *config.Operator
	log      *slog.Logger
	lifetime lifetime
	nodes    []string // names of the peers

	mesh       *mesh.Mesh
	store      *statestore.Client
	storeRelay storeRelay
	member     *membership.Member
	cloud      *autoscaler.Cloud
	catalog    *autoscaler.Catalog

	links       *peerlinks.Links
	linkChanges linkLog
	linkMonitor linkMonitor
	linkReport  linkReport
	pinger      pinger
	prober      prober

	scheduler          *scheduler.Scheduler
	gateway            schedulerGateway
	timeline           *failovertiming.Timeline
	startLog           startLog
	leadershipRecorder leadershipRecorder

	connections     *connlimit.Limit
	commands        *dispatch.HTTPCommandSender
	workerRouter    workerRouter
	instructions    instructionRouter
	localDispatcher localDispatcher
	dispatcher      *dispatch.Dispatcher
	viewPublisher   viewPublisher

	cancelUpdates        chan struct{} // signals that there are cancellation updates for the peers
	cancellations        *cancellation.Registry
	cancellationExchange cancellationExchange

	unresponsiveWorkers unresponsiveWorkers
	leaseAttestor       leaseAttestor
	expiringLeases      expiringLeases

	localDemand    localDemand
	clusterDemand  clusterDemand
	removedWorkers removedWorkers
	autoscaler     *autoscaler.Autoscaler

	numbers     *jobid.Allocator    // nil if jobs have no numbers
	rollouts    *rolloutapi.Service // nil if roll-outs are off
	machines    machineList
	submissions *submission.Service
	alerts      *slo.Monitor
	meter       *usage.Meter
	listener    *connlimit.Listener
	server      *http.Server
}

// assemble creates the components and connects them to each other; it starts none of them. ctx
// is the context of the process. assemble waits until a predecessor has closed the address for
// users and workers, and opens it.
func assemble(ctx context.Context, o Options) (*controller, error) {
	c := &controller{cfg: o.Platform, operator: o.Operator, log: o.Log, lifetime: lifetime{ctx}}
	if err := c.assembleClients(); err != nil {
		return nil, err
	}
	c.assembleScheduler(o.Slurm != nil && o.Slurm.AccountingEnabled)
	c.assembleDispatcher(ctx)
	c.alerts = slo.New(c.cfg.Params.Objectives, c.scheduler, c.log)
	lis, err := mesh.Listen(ctx, c.cfg.Listen)
	if err != nil {
		c.mesh.Close()
		return nil, fmt.Errorf("serve_on: %w", err)
	}
	c.listener = connlimit.NewListener(lis, c.connections)
	c.meter = usage.New(int64(c.cfg.Params.Limits.RAMMB*memoryPressureShare*bytesPerMB), c.queueDepths, c.log)
	c.timeline.ResetStart()
	c.assembleCancellationExchange()
	c.assembleLinkMonitor()
	c.assembleWorkerMonitors()
	c.assembleViewPublisher()
	c.subscribe()

	mux := http.NewServeMux()
	c.assembleUserServices(o, mux)
	c.assembleRollouts(o, mux)
	c.assembleAutoscaler()
	c.registerOperatorPaths(mux)
	mux.HandleFunc("POST "+reportPath, c.dispatcher.ServeReport)
	c.server = newServer(connlimit.CountRequests(reportPath, mux), c.log)
	return c, nil
}

// register registers a component's methods on the mesh.
func (c *controller) register(service peerService) { service.register(c.mesh) }

// assembleClients creates the clients of the external services and the links to the peers.
func (c *controller) assembleClients() error {
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

// assembleScheduler creates the scheduler and the cancellation registry, which the scheduler
// fills.
func (c *controller) assembleScheduler(accounting bool) {
	halter := &taskHalter{local: &c.localDispatcher, log: c.log}
	c.cancelUpdates = make(chan struct{}, 1)
	c.cancellations = cancellation.New(cancellation.Options{
		Peers: c.nodes, Limit: config.Seconds(c.cfg.Params.Workers.CancelS), LeaseRemaining: c.member.LeaseRemaining,
		OnCancelled: halter.halt, OnUpdates: c.notifyCancelUpdates,
	})
	c.instructions = instructionRouter{node: c.cfg.Node, local: &c.localDispatcher, peers: &c.links.Caller}
	c.register(&c.instructions)
	c.scheduler = scheduler.New(scheduler.Options{
		Platform: c.cfg, Operator: c.operator, Store: c.store, Member: c.member, Dispatchers: &c.instructions, MachineTypes: c.catalog, Log: c.log,
		Cancellations: c.cancellations, RemoteJobs: &remoteJobs{store: c.store, mesh: c.mesh, leaders: &c.links.Leaders}, AccountingEnabled: accounting,
	})
	c.register(&jobFactsService{scheduler: c.scheduler})
}

// notifyCancelUpdates makes the cancellation exchange send updates to the peers.
func (c *controller) notifyCancelUpdates() {
	select {
	case c.cancelUpdates <- struct{}{}:
	default:
	}
}

// assembleDispatcher creates the dispatcher and sets it in localDispatcher, for the components
// that were created before it.
func (c *controller) assembleDispatcher(ctx context.Context) {
	c.connections, c.commands = connlimit.New(c.cfg.Params.Limits.Sockets, len(c.cfg.Peers))
	c.timeline = failovertiming.New(c.scheduler, config.Seconds(c.cfg.Params.Workers.LeaseS), c.log)
	c.startLog = startLog{log: c.log}
	c.workerRouter = workerRouter{member: c.member, links: &c.links.View, cancellations: c.cancellations, grace: responseGrace(c.cfg.Params.Workers)}
	c.gateway = schedulerGateway{scheduler: c.scheduler, router: &c.workerRouter, peers: &c.links.Caller, timeline: c.timeline, startLog: &c.startLog}
	c.register(&c.gateway)
	c.dispatcher = dispatch.New(ctx, dispatch.Options{
		Node: c.cfg.Node, WorkerLease: config.Seconds(c.cfg.Params.Workers.LeaseS),
		Schedulers: &c.gateway, Tokens: c.member, MachineTypes: c.catalog, Routing: &c.workerRouter, Commands: c.commands, Log: c.log,
		Cancellations: c.cancellations,
	})
	c.localDispatcher.commandTarget = c.dispatcher
}

// queueDepths returns the queue depths that the usage meter reports.
func (c *controller) queueDepths() map[string]int {
	depths := c.scheduler.QueueDepths()
	depths["machines"], depths["queued"], depths["orders"] = c.dispatcher.Counts()
	depths["connections"], depths["order_connections"] = c.connections.Open(), c.commands.Connections()
	open := c.connections.Count(config.Seconds(missedReportIntervals * c.cfg.Params.Workers.ReportS))
	depths["worker_connections"], depths["user_connections"], depths["unused_connections"], depths["stale_connections"] = open.Workers, open.Users, open.Unused, open.Stale
	return depths
}

// receiveHealth returns how well this process can receive messages at present.
func (c *controller) receiveHealth() reachability.ReceiveHealth {
	return reachability.ReceiveHealth{RefusedConnections: usage.EventCount(usage.RefusedConnections), TimerDelay: c.meter.TimerDelay()}
}

func (c *controller) assembleCancellationExchange() {
	c.cancellationExchange = cancellationExchange{
		cfg: c.cfg, registry: c.cancellations, updates: c.cancelUpdates, scheduler: c.scheduler, dispatcher: c.dispatcher, router: &c.workerRouter, peers: &c.links.Caller,
		reader: cancellationReader{registry: c.cancellations, store: c.store, grace: c.workerRouter.grace, log: c.log}, log: c.log,
	}
	c.register(&c.cancellationExchange)
}

func (c *controller) assembleLinkMonitor() {
	c.prober = prober{
		node: c.cfg.Node, member: c.member, table: c.links.Table, status: &c.links.Status, links: &c.links.View, dispatcher: c.dispatcher, lifetime: c.lifetime, log: c.log,
	}
	c.pinger = pinger{
		cfg: c.cfg, mesh: c.mesh, table: c.links.Table, status: &c.links.Status, peers: &c.links.Caller, cancellations: &c.cancellationExchange, prober: &c.prober,
	}
	c.register(&c.pinger)
	c.linkChanges = linkLog{store: c.store, log: c.log, links: map[string]linkState{}}
	c.linkMonitor = linkMonitor{
		cfg: c.cfg, operator: c.operator, member: c.member, dispatcher: c.dispatcher, table: c.links.Table, status: &c.links.Status, links: &c.links.View,
		router: &c.workerRouter, prober: &c.prober, pinger: &c.pinger, connections: c.connections, health: c.receiveHealth, changes: &c.linkChanges, log: c.log,
	}
}

func (c *controller) assembleWorkerMonitors() {
	c.unresponsiveWorkers = unresponsiveWorkers{
		cfg: c.cfg, operator: c.operator, scheduler: c.scheduler, dispatcher: c.dispatcher, links: &c.links.View, peers: &c.links.Caller,
		health: c.receiveHealth, lifetime: c.lifetime, log: c.log, detector: newFailureDetector(c.cfg.Params.Workers, c.operator),
	}
	c.register(&c.unresponsiveWorkers)
	c.leaseAttestor = leaseAttestor{cfg: c.cfg, scheduler: c.scheduler, dispatcher: c.dispatcher, peers: &c.links.Caller, log: c.log}
	c.register(&c.leaseAttestor)
	c.expiringLeases = expiringLeases{scheduler: c.scheduler, dispatcher: c.dispatcher, router: &c.workerRouter}
}

func (c *controller) assembleViewPublisher() {
	c.viewPublisher = viewPublisher{
		cfg: c.cfg, interval: config.Seconds(c.operator.PublishIntervalS), scheduler: c.scheduler, dispatcher: c.dispatcher, leaders: &c.links.Leaders, peers: &c.links.Caller, table: c.links.Table,
		publisher: viewsync.NewPublisher(c.cfg.Node, c.dispatcher), receiver: viewsync.NewReceiver(c.scheduler, c.nodes), log: c.log,
	}
	c.register(&c.viewPublisher)
}

// subscribe registers the callbacks for changes in the state service, and sets the relay that
// the state service's client uses when it can't reach the service.
func (c *controller) subscribe() {
	c.leadershipRecorder = leadershipRecorder{member: c.member, timeline: c.timeline, startLog: &c.startLog}
	c.member.OnLeadershipChange(c.scheduler.LeadershipChanged)
	c.member.OnLeadershipChange(c.leadershipRecorder.leadershipChanged)
	c.member.OnLeadershipChange(c.links.View.Invalidate)
	c.member.OnLinkAnnouncement(c.prober.handleAnnouncement)
	c.storeRelay = storeRelay{store: c.store, links: &c.links.View, peers: &c.links.Caller, mesh: c.mesh}
	c.register(&c.storeRelay)
	c.store.SetRelay(&c.storeRelay, c.log)
	c.store.SetLeads(c.links.Leaders.Leads)
}

func (c *controller) assembleUserServices(o Options, mux *http.ServeMux) {
	options := submission.Options{
		Platform: c.cfg, Operator: c.operator, Store: c.store, Jobs: c.scheduler, Catalog: c.catalog,
		Peers: &userPeers{Leaders: &c.links.Leaders, member: c.member, links: &c.links.View, peers: &c.links.Caller, timeline: c.timeline, log: c.log}, Log: c.log,
		Cancellations: c.cancellations, MemoryPressure: c.meter.MemoryPressure, EndsWatcher: c.store,
	}
	if o.Slurm != nil {
		c.numbers = jobid.New(c.store)
		options.Numbers = c.numbers
	}
	submissions := submission.New(options)
	c.submissions = submissions
	c.register(&userService{submissions: submissions})
	submissions.Register(mux)
	if o.Slurm == nil {
		return
	}
	server := slurmapi.New(o.Slurm, c.cfg, c.store, c.scheduler, c.numbers, &slurmPeers{Leaders: &c.links.Leaders, mesh: c.mesh}, submissions, c.catalog, c.log)
	c.register(&slurmService{server: server})
	server.Register(mux)
}

func (c *controller) assembleRollouts(o Options, mux *http.ServeMux) {
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

func (c *controller) assembleAutoscaler() {
	c.localDemand = localDemand{scheduler: c.scheduler, unresponsive: &c.unresponsiveWorkers}
	c.register(&c.localDemand)
	c.removedWorkers = removedWorkers{cfg: c.cfg, scheduler: c.scheduler, dispatcher: c.dispatcher, peers: &c.links.Caller, lifetime: c.lifetime, log: c.log}
	c.register(&c.removedWorkers)
	c.clusterDemand = clusterDemand{
		scheduler: c.scheduler, local: &c.localDemand, unresponsive: &c.unresponsiveWorkers, leaders: &c.links.Leaders, peers: &c.links.Caller, removed: &c.removedWorkers, lifetime: c.lifetime, log: c.log,
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
