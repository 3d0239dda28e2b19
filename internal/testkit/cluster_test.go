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

// singleTypeCatalog is a catalog of one machine type with the given number of CPUs.
type singleTypeCatalog float64

func (t singleTypeCatalog) Type(string) (wire.MachineType, bool) {
	return wire.MachineType{Name: "m", CPUs: float64(t), MemoryGB: 4 * float64(t), CacheGB: 50, FetchGBPerS: 1, Price: 1, SpotPrice: 0.3, BootS: 10, Zones: []string{"z", "y"}}, true
}

func (t singleTypeCatalog) All() []wire.MachineType {
	m, _ := t.Type("m")
	return []wire.MachineType{m}
}

// cluster consists of controllers, by default three, their state service and some workers. Faults are
// drawn from a fixed seed.
type cluster struct {
	t                 testing.TB
	machineTypes      singleTypeCatalog
	messageRand       *rand.Rand // decides what happens to messages; used by many goroutines
	planMu            sync.Mutex
	planRand          *rand.Rand // draws the test's own steps, in their order: the same for the same seed
	cfg               *config.Platform
	store             *testkit.Store
	mu                sync.Mutex
	nodes             map[string]*node
	workers           []*testkit.Worker
	dispatcherOf      map[*testkit.Worker]int // index of the controller that a worker sends heartbeats to
	byName            map[string]*testkit.Worker
	heldCommands      []func()
	reportCopies      []*wire.Report                   // recent heartbeats, which may be delivered again late
	controllerNames   []string                         // in a fixed order
	brokenLinks       map[[2]string]bool               // broken links, from and to; see partitions_test.go
	lastStart         time.Time                        // time of the last task start
	startCount        int                              // task starts so far
	lastHeartbeats    map[string]heartbeatTime         // of each worker, at any controller
	deletedMachines   int                              // number of deleted machines
	skipInventoryPoll bool                             // leaders do not poll the workers that the cloud lists
	losslessReports   bool                             // no heartbeat and no response is lost at random
	reliableStore     bool                             // no transaction is lost or delayed at random
	promptCommands    bool                             // no direct command is lost or delayed at random
	keepBrokenLinks   bool                             // step does not heal links while no faults are drawn
	storeLatency      func() time.Duration             // response time of the state service; nil: 0
	transactionDelay  func() time.Duration             // delay until a transaction is applied; nil: 0
	losesResponse     func() bool                      // whether the response to an applied transaction is lost; nil: a few are lost at random
	holdsCommand      func() bool                      // whether a command is held back; nil: some are, at random
	watchLag          func() time.Duration             // delay of watch events; nil: 0
	transitTime       func() time.Duration             // one-way delay of messages except commands and views; nil: 0
	repeatDelay       func() time.Duration             // time after which a copy of an executed direct command arrives; nil: none arrives
	connectDelay      func() time.Duration             // time until a direct command has its connection; nil: 0
	outdatedCommands  int                              // direct commands that were no longer valid once they had a connection
	fail              func(format string, args ...any) // reports a violated invariant
	violation         string                           // first violated invariant of a drawn case

	stoppedAnswering int                  // times that a controller with a fencing token lost its right to answer workers
	forgottenTasks   map[string]string    // tasks that were done and then forgotten by their worker, by worker and attempt
	doneJobs         map[string]bool      // jobs whose user was told that they are done
	confirmedCancels map[string]time.Time // by job: when its user was first told that it is cancelled

	accountingEnabled bool                                         // whether accounting rows are written
	onInstructions    func(d dispatch.Instructions)                // called with instructions to dispatchers before they are sent; may be nil
	onCommands        func(endpoint string, o wire.PushedCommands) // called with a direct command before it is sent; may be nil

	extraLoops       func(n *node) []func(context.Context) error            // additional loops of a controller; may be nil
	leaderCount      int                                                    // number of controllers that lead shards; 0: the default setting
	loseAnswer       func(n *node, t wire.Txn, version uint64) bool         // whether the response to an applied transaction is lost; nil: none is lost on purpose
	onStoreRead      func(n *node, key string, version uint64)              // called when a controller reads a key from the store; may be nil
	delayTransaction func(n *node, t wire.Txn) (time.Duration, func(error)) // delay until a transaction is applied; nil: 0
	watchLagOf       func(n *node, prefix string) time.Duration             // delay of a controller's watch; nil: 0

	connectionLimits map[string]int            // connections to workers that a controller can hold; nil: unlimited
	loseViews        func(from, to *node) bool // whether a message with worker views, or its reply, is lost; nil: none

	onStart  func(k *testkit.Worker, task string, attempt uint64) // called when a task starts; may be nil
	onReport func(rep *wire.Report)                               // called with a heartbeat that arrives at a controller; may be nil

	submittedJobs map[string]*wire.Job     // by job uid
	startsByJob   map[string]int           // task starts so far, by job
	messageDelay  func() time.Duration     // one-way delay of messages to workers and peers; nil: 0
	reporting     map[*testkit.Worker]bool // workers with a heartbeat in flight over a slow link

	checks cancelledStartChecks
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
	reach              reachabilityState
	cancellations      *cancellation.Registry
	couldAnswerWorkers bool // result of the last check of MayAnswerWorkers
	knownCancels       knownCancels
	submission         *submission.Service
	mux                *http.ServeMux  // serves the HTTP API
	ctx                context.Context // cancelled when the controller is stopped
	backgroundRunning  map[string]bool // background operations in progress, by name; see runDuty
	backgroundGroup    sync.WaitGroup  // waits for the operations in backgroundRunning

	started   time.Time
	publisher *viewsync.Publisher
	receiver  *viewsync.Receiver

	publishTurns viewsync.SendSlots
}

var errLinkDown = errors.New("link is down")

// reaches reports whether a message from one controller to another arrives, directly or through the
// relay that the sender currently uses.
func (w *cluster) reaches(from, to *node) bool {
	if from == nil || to == nil || from.down || to.down {
		return false
	}
	by := w.nodes[from.reach.nextHop(to.name)]
	return by != nil && !by.down && w.linkWorks(from.name, by.name) && (by == to || w.linkWorks(by.name, to.name))
}

func (w *cluster) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{cluster: w, name: name, ctx: ctx, stop: cancel, done: make(chan struct{}), backgroundRunning: map[string]bool{}}
	n.reach.init(n)
	n.view = &testkit.View{
		Store:       w.store,
		Unavailable: func() bool { w.mu.Lock(); defer w.mu.Unlock(); return n.down || !w.reachesStore(n) },
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
	w.connectStoreFaults(n)
	op := w.operatorSettings()
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	n.member = membership.New(n.view, name, config.Seconds(op.LeaseS), op.Shards, op.ShardControllers, log)
	cfg := *w.cfg
	cfg.Node = name
	n.cancellations = cancellation.New(cancellation.Options{
		Peers: n.reach.peers(), Limit: config.Seconds(cfg.Params.Workers.CancelS), LeaseRemaining: n.member.LeaseRemaining,
		OnCancelled: func(uids []string) { n.knownCancels.record(uids); go n.dispatcher.HaltCancelledTasks() },
	})
	n.scheduler = scheduler.New(scheduler.Options{
		Platform: &cfg, Operator: op, Store: n.view, Member: n.member, Dispatchers: n, MachineTypes: w.machineTypes, Log: log,
		Cancellations: n.cancellations, RemoteJobs: n, AccountingEnabled: w.accountingEnabled,
		LogSlots: 4, // few slots, so that log records are overwritten and chunks saved
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
	n.member.OnLinkAnnouncement(n.reach.handleAnnouncement)
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

// operatorSettings returns the operator settings of all controllers.
func (w *cluster) operatorSettings() *config.Operator {
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

// otherControllers returns the names of all controllers except one.
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

// registerWorker adds a worker that sends its heartbeats to the i-th controller first.
func (w *cluster) registerWorker(k *testkit.Worker, i int) {
	k.WrapHeld = w.checks.withCurrentSender
	k.OnStart = func(task string, attempt uint64) {
		w.lastStart, w.startCount = time.Now(), w.startCount+1
		uid, _, _ := strings.Cut(task, "/")
		w.startsByJob[uid]++
		if w.onStart != nil {
			w.onStart(k, task, attempt)
		}
		w.checkStartAfterCancel(task)
		if at := w.forgottenTasks[task]; at != "" {
			w.fail("%s is started again, as attempt %d on %s, after it was done and forgotten on %s", task, attempt, k.Name, at)
		}
	}
	k.OnForget = func(task string, attempt uint64) {
		w.forgottenTasks[task] = fmt.Sprintf("%s as attempt %d", k.Name, attempt)
	}
	k.OnUnfencedForget = func(task string, attempt, token uint64) {
		w.fail("%s forgets attempt %d of %s under token %d, that of its start", k.Name, attempt, task, token)
	}
	w.workers = append(w.workers, k)
	w.byName[k.Name] = k
	w.dispatcherOf[k] = i
}
