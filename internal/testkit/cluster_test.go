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

// singleTypeCatalog is one machine type with so many CPUs.
type singleTypeCatalog float64

func (t singleTypeCatalog) Type(string) (wire.MachineType, bool) {
	return wire.MachineType{Name: "m", CPUs: float64(t), MemoryGB: 4 * float64(t), CacheGB: 50, FetchGBPerS: 1, Price: 1, SpotPrice: 0.3, BootS: 10, Zones: []string{"z", "y"}}, true
}

func (t singleTypeCatalog) All() []wire.MachineType {
	m, _ := t.Type("m")
	return []wire.MachineType{m}
}

// cluster is three controllers, their store and some workers, with faults
// drawn from a fixed seed.
type cluster struct {
	t                 testing.TB
	machineTypes      singleTypeCatalog
	messageRand       *rand.Rand // fates of messages, which are asked from many goroutines
	planMu            sync.Mutex
	planRand          *rand.Rand // what the test itself draws, in the order of its own steps: the same for the same seed
	cfg               *config.Platform
	store             *testkit.Store
	mu                sync.Mutex
	nodes             map[string]*node
	workers           []*testkit.Worker
	dispatcherOf      map[*testkit.Worker]int // controller that a worker reports to
	byName            map[string]*testkit.Worker
	heldCommands      []func()
	reportCopies      []*wire.Report                   // of reports, that may be delivered late
	controllerNames   []string                         // of the controllers, in their order
	brokenLinks       map[[2]string]bool               // links that do not work, from and to: see partitions_test.go
	lastStart         time.Time                        // when a task last started
	startCount        int                              // tasks started so far
	lastHeartbeats    map[string]heartbeatTime         // of each worker, by any controller
	deletedMachines   int                              // machines deleted
	skipInventoryPoll bool                             // the cloud's list tells no leader whom to ask
	losslessReports   bool                             // no report and no answer is lost by chance
	reliableStore     bool                             // no transaction is lost or late by chance
	promptCommands    bool                             // no direct command is lost or late by chance
	keepBrokenLinks   bool                             // whether links stay cut when it is calm
	storeLatency      func() time.Duration             // how long the state service's answers take; nil: no time
	transactionDelay  func() time.Duration             // how much later a transaction is carried out; nil: at once
	losesResponse     func() bool                      // whether a transaction that is carried out gets no answer; nil: few
	holdsCommand      func() bool                      // whether a command is held back; nil: some are
	watchLag          func() time.Duration             // how much later a watch tells of a change; nil: at once
	transitTime       func() time.Duration             // how long a message takes one way, commands and views aside; nil: no time
	connectDelay      func() time.Duration             // how long a direct command waits for its connection; nil: no time
	outdatedCommands  int                              // direct commands that were not valid any more when their connection was there
	fail              func(format string, args ...any) // a rule is broken
	violation         string                           // the first broken rule of a drawn case

	stoppedAnswering int                  // controllers that stopped answering workers, although they have a fencing token
	forgottenTasks   map[string]string    // tasks that were done and cleared, where
	doneJobs         map[string]bool      // jobs whose user heard that they are done
	confirmedCancels map[string]time.Time // jobs, by when their user first heard that they are cancelled

	accountingEnabled bool                                 // whether accounting rows are written
	onInstructions    func(d dispatch.Instructions)        // sees the instructions to dispatchers before they are on their way; nil: nobody
	onCommands        func(endpoint string, o wire.Orders) // sees a direct command before it is on its way; nil: nobody

	extraLoops       func(n *node) []func(context.Context) error            // what else a controller runs; nil: nothing
	leaderCount      int                                                    // controllers that shards are spread over; 0: as the settings have it
	loseAnswer       func(n *node, t wire.Txn, version uint64) bool         // of an applied transaction; nil: none by choice
	onStoreRead      func(n *node, key string, version uint64)              // what a controller reads in the store; nil: nobody looks
	delayTransaction func(n *node, t wire.Txn) (time.Duration, func(error)) // until a transaction is applied; nil: no time
	watchLagOf       func(n *node, prefix string) time.Duration             // how far a controller's watch is behind; nil: not at all

	connectionLimits map[string]int            // workers that a controller has connections for; nil: all fit
	loseViews        func(from, to *node) bool // whether a message about machines, or its reply, is lost; nil: none

	onStart  func(k *testkit.Worker, task string, attempt uint64) // a task starts; nil: nobody looks
	onReport func(rep *wire.Report)                               // sees a report that arrives at a controller; nil: nobody

	submittedJobs map[string]*wire.Job     // jobs that were submitted
	startsByJob   map[string]int           // tasks started so far, by job
	messageDelay  func() time.Duration     // how long a message to a worker or a peer takes; nil: no time
	reporting     map[*testkit.Worker]bool // workers with a report under way over a slow link

	checks startChecks
	waits  waitCheck
}

type node struct {
	cluster            *cluster
	name               string
	view               *testkit.View
	member             *membership.Member
	scheduler          *scheduler.Scheduler
	dispatcher         *dispatch.Dispatcher
	stop               context.CancelFunc
	done               chan struct{}
	down               bool // crashed
	reach              reach
	cancellations      *cancellation.Registry
	couldAnswerWorkers bool // when last looked at
	knownCancels       knownCancels
	submission         *submission.Service
	mux                *http.ServeMux  // the users' interface
	ctx                context.Context // until it ends
	backgroundRunning  map[string]bool // under way beside the rest: see onDuty
	backgroundGroup    sync.WaitGroup  // of those

	started   time.Time
	publisher *viewsync.Publisher
	receiver  *viewsync.Receiver

	publishTurns viewsync.Turns
}

var errLinkDown = errors.New("cut off")

// reaches reports whether a message from a controller comes through to another, by
// the way that it takes.
func (w *cluster) reaches(from, to *node) bool {
	if from == nil || to == nil || from.down || to.down {
		return false
	}
	by := w.nodes[from.reach.way(to.name)]
	return by != nil && !by.down && w.works(from.name, by.name) && (by == to || w.works(by.name, to.name))
}

func (w *cluster) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{cluster: w, name: name, ctx: ctx, stop: cancel, done: make(chan struct{}), backgroundRunning: map[string]bool{}}
	n.reach.init(n)
	n.view = &testkit.View{
		Store:       w.store,
		Unavailable: func() bool { w.mu.Lock(); defer w.mu.Unlock(); return n.down || !w.stored(n) },
		LoseResponse: func() bool {
			w.mu.Lock()
			defer w.mu.Unlock()
			return w.losesResponse != nil && w.losesResponse() || !w.reliableStore && w.messageRand.IntN(25) == 0
		},
		Hold: func() bool { w.mu.Lock(); defer w.mu.Unlock(); return !w.reliableStore && w.messageRand.IntN(25) == 0 },

		ResponseDelay: func() time.Duration { return w.drawDelay(&w.storeLatency) },
		ApplyAfter:    func() time.Duration { return w.drawDelay(&w.transactionDelay) },
		WatchLag:      func() time.Duration { return w.drawDelay(&w.watchLag) },

		TransitDelay: func() time.Duration { return w.drawDelay(&w.transitTime) },
	}
	w.watched(n)
	op := w.operatorSettings()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	n.member = membership.New(n.view, name, config.Seconds(op.LeaseS), op.Shards, op.Spread, log)
	cfg := *w.cfg
	cfg.Node = name
	n.cancellations = cancellation.New(cancellation.Options{
		Peers: n.reach.peers(), Limit: config.Seconds(cfg.Params.Workers.CancelS), LeaseRemaining: n.member.LeaseRemaining,
		OnCancelled: func(uids []string) { n.knownCancels.learn(uids); go n.dispatcher.HaltCancelledTasks() },
	})
	n.scheduler = scheduler.New(scheduler.Options{
		Platform: &cfg, Operator: op, Store: n.view, Member: n.member, Dispatchers: n, MachineTypes: w.machineTypes, Log: log,
		Cancellations: n.cancellations, RemoteJobs: n, AccountingEnabled: w.accountingEnabled,
		LogSlots: 4, // so that records are written over, and chunks saved
	})
	n.dispatcher = dispatch.New(ctx, dispatch.Options{
		Node: name, WorkerLease: workerLease, Schedulers: n, Tokens: n.member, MachineTypes: w.machineTypes, Routing: n, Commands: n, Log: log,
		Cancellations: n.cancellations,
	})
	n.started, n.publisher, n.receiver = time.Now(), viewsync.NewPublisher(name, n.dispatcher), viewsync.NewReceiver(n.scheduler, w.otherControllers(name))
	n.submission = submission.New(submission.Options{
		Platform: &cfg, Operator: op, Store: n.view, Jobs: n.scheduler, Catalog: w.machineTypes, Peers: n, Log: log,
		Cancellations: n.cancellations,
	})
	n.mux = http.NewServeMux()
	n.submission.Register(n.mux)
	n.member.OnLeadershipChange(n.scheduler.LeadershipChanged)
	n.member.OnLinkAnnouncement(n.reach.stored)
	var wg sync.WaitGroup
	runs := []func(context.Context) error{n.member.Run, n.scheduler.Run}
	if w.extraLoops != nil {
		runs = append(runs, w.extraLoops(n)...)
	}
	for _, f := range runs {
		wg.Add(1)
		go func() { defer wg.Done(); _ = f(ctx) }()
	}
	go func() { wg.Wait(); n.backgroundGroup.Wait(); n.dispatcher.Wait(); close(n.done) }()
	w.mu.Lock()
	w.nodes[name] = n
	w.mu.Unlock()
}

// operatorSettings is the operators' settings of all controllers.
func (w *cluster) operatorSettings() *config.Operator {
	op, err := config.LoadOperator("")
	if err != nil {
		w.t.Fatal(err)
	}
	op.Shards = 4
	if w.leaderCount > 0 {
		op.Spread = w.leaderCount
	}
	return op
}

// otherControllers names the controllers but one.
func (w *cluster) otherControllers(name string) []string {
	return slices.DeleteFunc(slices.Clone(w.controllerNames), func(x string) bool { return x == name })
}

func newCluster(t testing.TB, seed uint64) *cluster {
	w := &cluster{
		t: t, fail: t.Errorf, machineTypes: 4, messageRand: rand.New(rand.NewPCG(seed, 7)), planRand: rand.New(rand.NewPCG(seed, 11)), store: testkit.NewStore(), nodes: map[string]*node{},
		dispatcherOf: map[*testkit.Worker]int{}, byName: map[string]*testkit.Worker{},
		controllerNames: []string{"a", "b", "c"}, brokenLinks: map[[2]string]bool{}, lastHeartbeats: map[string]heartbeatTime{}, confirmedCancels: map[string]time.Time{}, doneJobs: map[string]bool{}, forgottenTasks: map[string]string{},
		submittedJobs: map[string]*wire.Job{}, startsByJob: map[string]int{}, reporting: map[*testkit.Worker]bool{}, waits: newWaitCheck(),
	}
	w.cfg = &config.Platform{Params: config.Params{
		Teams:   []config.Team{{Name: "t"}},
		Workers: config.Workers{ReportS: 1, LeaseS: workerLease.Seconds(), CancelS: 40},
		State:   config.State{RPS: 100, WriteRPS: 100, ValueKB: 8, TxnOps: 24},
	}}
	for i := range 4 {
		k := testkit.NewWorker(fmt.Sprintf("n-%d", i), workerLease, taskDuration)
		w.registerWorker(k, i)
	}
	return w
}

// registerWorker adds a worker that reports to the i-th controller first.
func (w *cluster) registerWorker(k *testkit.Worker, i int) {
	k.WrapHeld = w.checks.keepSender
	k.OnStart = func(task string, attempt uint64) {
		w.lastStart, w.startCount = time.Now(), w.startCount+1
		uid, _, _ := strings.Cut(task, "/")
		w.startsByJob[uid]++
		if w.onStart != nil {
			w.onStart(k, task, attempt)
		}
		w.checkStart(task)
		if at := w.forgottenTasks[task]; at != "" {
			w.fail("%s is started again, as attempt %d on %s, when it was done and cleared on %s", task, attempt, k.Name, at)
		}
	}
	k.OnForget = func(task string, attempt uint64) {
		w.forgottenTasks[task] = fmt.Sprintf("%s as attempt %d", k.Name, attempt)
	}
	w.workers = append(w.workers, k)
	w.byName[k.Name] = k
	w.dispatcherOf[k] = i
}
