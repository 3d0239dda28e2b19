package testkit_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/cancellation"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/submission"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/viewsync"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	workerLease = 10 * time.Second
	reportEvery = time.Second
)

// types is one machine type with so many CPUs.
type types float64

func (t types) Type(string) (wire.MachineType, bool) {
	return wire.MachineType{Name: "m", CPUs: float64(t), MemoryGB: 4 * float64(t), CacheGB: 50, FetchGBPerS: 1, Price: 1, SpotPrice: 0.3, BootS: 10, Zones: []string{"z", "y"}}, true
}

func (t types) All() []wire.MachineType {
	m, _ := t.Type("m")
	return []wire.MachineType{m}
}

// cluster is three controllers, their store and some workers, with faults
// drawn from a fixed seed.
type cluster struct {
	t                testing.TB
	size             types
	rnd              *rand.Rand // fates of messages, which are asked from many goroutines
	planMu           sync.Mutex
	plan             *rand.Rand // what the test itself draws, in the order of its own steps: the same for the same seed
	cfg              *config.Platform
	store            *testkit.Store
	mu               sync.Mutex
	nodes            map[string]*node
	workers          []*testkit.Worker
	dispatcherOf     map[*testkit.Worker]int // controller that a worker reports to
	byName           map[string]*testkit.Worker
	late             []func()
	copies           []*wire.Report                   // of reports, that may be delivered late
	names            []string                         // of the controllers, in their order
	brokenLinks      map[[2]string]bool               // links that do not work, from and to: see partitions_test.go
	started          time.Time                        // when a task last started
	starts           int                              // tasks started so far
	lastHeartbeats   map[string]heartbeatTime         // of each worker, by any controller
	returnedMachines int                              // machines deleted
	unlisted         bool                             // the cloud's list tells no leader whom to ask
	losslessReports  bool                             // no report and no answer is lost by chance
	reliableStore    bool                             // no transaction is lost or late by chance
	promptCommands   bool                             // no direct command is lost or late by chance
	keepCuts         bool                             // whether links stay cut when it is calm
	storeLatency     func() time.Duration             // how long the state service's answers take; nil: no time
	transactionDelay func() time.Duration             // how much later a transaction is carried out; nil: at once
	losesResponse    func() bool                      // whether a transaction that is carried out gets no answer; nil: few
	holdsCommand     func() bool                      // whether a command is held back; nil: some are
	watchLag         func() time.Duration             // how much later a watch tells of a change; nil: at once
	transit          func() time.Duration             // how long a message takes one way, commands and views aside; nil: no time
	connecting       func() time.Duration             // how long a direct command waits for its connection; nil: no time
	outdatedCommands int                              // direct commands that were not valid any more when their connection was there
	fail             func(format string, args ...any) // a rule is broken
	violation        string                           // the first broken rule of a drawn case

	lapses           int                  // controllers that stopped answering workers, although they have a fencing token
	cleared          map[string]string    // tasks that were done and cleared, where
	doneJobs         map[string]bool      // jobs whose user heard that they are done
	confirmedCancels map[string]time.Time // jobs, by when their user first heard that they are cancelled

	accounts       bool                                         // whether accounting rows are written
	onInstructions func(d dispatch.Instructions)                // sees the instructions to dispatchers before they are on their way; nil: nobody
	onCommands     func(endpoint string, o wire.PushedCommands) // sees a direct command before it is on its way; nil: nobody

	extraDuties func(n *node) []func(context.Context) error            // what else a controller runs; nil: nothing
	leaderCount int                                                    // controllers that shards are spread over; 0: as the settings have it
	loseAnswer  func(n *node, t wire.Txn, version uint64) bool         // of an applied transaction; nil: none by choice
	seen        func(n *node, key string, version uint64)              // what a controller reads in the store; nil: nobody looks
	delay       func(n *node, t wire.Txn) (time.Duration, func(error)) // until a transaction is applied; nil: no time
	behind      func(n *node, prefix string) time.Duration             // how far a controller's watch is behind; nil: not at all

	connectionLimits map[string]int            // workers that a controller has connections for; nil: all fit
	loseViews        func(from, to *node) bool // whether a message about machines, or its reply, is lost; nil: none

	onStart  func(k *testkit.Worker, task string, attempt uint64) // a task starts; nil: nobody looks
	onReport func(rep *wire.Report)                               // sees a report that arrives at a controller; nil: nobody

	specs        map[string]*wire.Job     // jobs that were submitted
	startsOf     map[string]int           // tasks started so far, by job
	messageDelay func() time.Duration     // how long a message to a worker or a peer takes; nil: no time
	reporting    map[*testkit.Worker]bool // workers with a report under way over a slow link

	checks startChecks
	waits  waitCheck
}

type node struct {
	cluster       *cluster
	name          string
	view          *testkit.View
	member        *membership.Member
	scheduler     *scheduler.Scheduler
	dispatcher    *dispatch.Dispatcher
	stop          context.CancelFunc
	done          chan struct{}
	down          bool // crashed
	reach         reach
	cancellations *cancellation.Registry
	entitled      bool // when last looked at
	knownCancels  knownCancels
	submission    *submission.Service
	mux           *http.ServeMux  // the users' interface
	ctx           context.Context // until it ends
	duties        map[string]bool // under way beside the rest: see onDuty
	underWay      sync.WaitGroup  // of those

	started   time.Time
	published *viewsync.Publisher
	pictures  *viewsync.Receiver

	publishing viewsync.Turns
}

var errCut = errors.New("cut off")

// reach reports whether a message from a controller comes through to another, by
// the way that it takes.
func (w *cluster) reach(from, to *node) bool {
	if from == nil || to == nil || from.down || to.down {
		return false
	}
	by := w.nodes[from.reach.way(to.name)]
	return by != nil && !by.down && w.works(from.name, by.name) && (by == to || w.works(by.name, to.name))
}

func (w *cluster) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{cluster: w, name: name, ctx: ctx, stop: cancel, done: make(chan struct{}), duties: map[string]bool{}}
	n.reach.init(n)
	n.view = &testkit.View{
		Store: w.store,
		Down:  func() bool { w.mu.Lock(); defer w.mu.Unlock(); return n.down || !w.stored(n) },
		Lose: func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.losesResponse != nil && w.losesResponse() || !w.reliableStore && w.rnd.IntN(25) == 0
		},
		Late: func() bool { w.mu.Lock(); defer w.mu.Unlock(); return !w.reliableStore && w.rnd.IntN(25) == 0 },

		Slow:   func() time.Duration { return w.drawn(&w.storeLatency) },
		LateBy: func() time.Duration { return w.drawn(&w.transactionDelay) },
		Lag:    func() time.Duration { return w.drawn(&w.watchLag) },

		Transit: func() time.Duration { return w.drawn(&w.transit) },
	}
	w.watched(n)
	op := w.operator()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	n.member = membership.New(n.view, name, config.Seconds(op.LeaseS), op.Shards, op.ShardControllers, log)
	cfg := *w.cfg
	cfg.Node = name
	n.cancellations = cancellation.New(cancellation.Options{
		Peers: n.reach.peers(), Limit: config.Seconds(cfg.Params.Workers.CancelS), LeaseRemaining: n.member.LeaseRemaining,
		OnCancelled: func(uids []string) { n.knownCancels.learn(uids); go n.dispatcher.HaltCancelledTasks() },
	})
	n.scheduler = scheduler.New(scheduler.Options{
		Platform: &cfg, Operator: op, Store: n.view, Member: n.member, Dispatchers: n, MachineTypes: w.size, Log: log,
		Cancellations: n.cancellations, RemoteJobs: n, AccountingEnabled: w.accounts,
		LogSlots: 4, // so that records are written over, and chunks saved
	})
	n.dispatcher = dispatch.New(ctx, dispatch.Options{
		Node: name, WorkerLease: workerLease, Schedulers: n, Tokens: n.member, MachineTypes: w.size, Routing: n, Commands: n, Log: log,
		Cancellations: n.cancellations,
	})
	n.started, n.published, n.pictures = time.Now(), viewsync.NewPublisher(name, n.dispatcher), viewsync.NewReceiver(n.scheduler, w.others(name))
	n.submission = submission.New(submission.Options{
		Platform: &cfg, Operator: op, Store: n.view, Jobs: n.scheduler, Catalog: w.size, Peers: n, Log: log,
		Cancellations: n.cancellations,
	})
	n.mux = http.NewServeMux()
	n.submission.Register(n.mux)
	n.member.OnLeadershipChange(n.scheduler.LeadershipChanged)
	n.member.OnLinkAnnouncement(n.reach.stored)
	var wg sync.WaitGroup
	runs := []func(context.Context) error{n.member.Run, n.scheduler.Run}
	if w.extraDuties != nil {
		runs = append(runs, w.extraDuties(n)...)
	}
	for _, f := range runs {
		wg.Add(1)
		go func() { defer wg.Done(); _ = f(ctx) }()
	}
	go func() { wg.Wait(); n.underWay.Wait(); n.dispatcher.Wait(); close(n.done) }()
	w.mu.Lock()
	w.nodes[name] = n
	w.mu.Unlock()
}

// operator is the operators' settings of all controllers.
func (w *cluster) operator() *config.Operator {
	op, err := config.LoadOperator("")
	if err != nil {
		w.t.Fatal(err)
	}
	op.Shards = 4
	if w.leaderCount > 0 {
		op.ShardControllers = w.leaderCount
	}
	return op
}

// others names the controllers but one.
func (w *cluster) others(name string) []string {
	return slices.DeleteFunc(slices.Clone(w.names), func(x string) bool { return x == name })
}

func newCluster(t testing.TB, seed uint64) *cluster {
	w := &cluster{
		t: t, fail: t.Errorf, size: 4, rnd: rand.New(rand.NewPCG(seed, 7)), plan: rand.New(rand.NewPCG(seed, 11)), store: testkit.NewStore(), nodes: map[string]*node{},
		dispatcherOf: map[*testkit.Worker]int{}, byName: map[string]*testkit.Worker{},
		names: []string{"a", "b", "c"}, brokenLinks: map[[2]string]bool{}, lastHeartbeats: map[string]heartbeatTime{}, confirmedCancels: map[string]time.Time{}, doneJobs: map[string]bool{}, cleared: map[string]string{},
		specs: map[string]*wire.Job{}, startsOf: map[string]int{}, reporting: map[*testkit.Worker]bool{}, waits: newWaitCheck(),
	}
	w.cfg = &config.Platform{Params: config.Params{
		Teams:   []config.Team{{Name: "t"}},
		Workers: config.Workers{ReportS: 1, LeaseS: workerLease.Seconds(), CancelS: 40},
		State:   config.State{RPS: 100, WriteRPS: 100, ValueKB: 8, TxnOps: 24},
	}}
	for i := range 4 {
		k := testkit.NewWorker(fmt.Sprintf("n-%d", i), workerLease, taskTime)
		w.join(k, i)
	}
	return w
}

// join adds a worker that reports to the i-th controller first.
func (w *cluster) join(k *testkit.Worker, i int) {
	k.Held = w.checks.keepSender
	k.Started = func(task string, attempt uint64) {
		w.started, w.starts = time.Now(), w.starts+1
		uid, _, _ := strings.Cut(task, "/")
		w.startsOf[uid]++
		if w.onStart != nil {
			w.onStart(k, task, attempt)
		}
		w.checkStart(task)
		if at := w.cleared[task]; at != "" {
			w.fail("%s is started again, as attempt %d on %s, when it was done and cleared on %s", task, attempt, k.Name, at)
		}
	}
	k.OnForget = func(task string, attempt uint64) { w.cleared[task] = fmt.Sprintf("%s as attempt %d", k.Name, attempt) }
	w.workers = append(w.workers, k)
	w.byName[k.Name] = k
	w.dispatcherOf[k] = i
}
