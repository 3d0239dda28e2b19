package rollout_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

const shardKey = "c/shard/000"

// fakeCore is a scheduler whose accepted jobs run after startDelay.
type fakeCore struct {
	t     testing.TB
	store *testkit.Store

	mu          sync.Mutex
	leader      string
	version     uint64 // version of shardKey
	jobs        map[string]*liveJob
	versionOf   map[string]string
	health      func(version string, replica int, since time.Duration) rollout.Health
	maxReplicas map[string]int // most concurrent live replicas, by version
	minHealthy  int            // fewest healthy replicas since v1Up
	v1Up        bool           // whether wantHealthy replicas were healthy once
	wantHealthy int
	classes     map[string]bool

	unavailableUntil time.Time // end of an outage of the state service
}

type liveJob struct {
	replicas  int
	since     time.Time
	stopped   bool
	lost      int // replicas lost with their machines, until lostUntil
	lostUntil time.Time
}

const startDelay = 3 * time.Second

// controllerView implements rollout.Core for one controller's manager.
type controllerView struct {
	*fakeCore
	name string
	view *testkit.View
}

func (s controllerView) LeaderGuard() (wire.Guard, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.Guard{Key: shardKey, Version: s.version}, s.leader == s.name
}

func (s controllerView) Submit(ctx context.Context, job *wire.Job, guards ...wire.Guard) error {
	_, err := s.view.Txn(ctx, append(guards, wire.Guard{Key: "live/" + job.UID}), wire.Op{Put: "live/" + job.UID, Value: job.Tasks})
	var conflict *statestore.ConflictError
	if errors.As(err, &conflict) && conflict.Has("live/"+job.UID) {
		return nil
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[job.UID] = &liveJob{replicas: job.Tasks, since: time.Now()}
	return nil
}

func (s controllerView) Cancel(_ context.Context, uid string) error {
	if s.view.Unavailable != nil && s.view.Unavailable() {
		return statestore.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[uid]; j != nil {
		j.stopped = true
	}
	return nil
}

func (c *fakeCore) Replicas(uid string) (out []rollout.Replica) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[uid]
	if j == nil || j.stopped || time.Since(j.since) < startDelay {
		return nil
	}
	n := j.replicas
	if time.Now().Before(j.lostUntil) {
		n -= j.lost
	}
	for i := range n {
		out = append(out, rollout.Replica{Task: wire.TaskName(uid, i), Attempt: 1})
	}
	return out
}

func (c *fakeCore) Unfinished(class string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.classes[class]
}

// stateUnavailable reports whether an outage of the state service is in progress.
func (c *fakeCore) stateUnavailable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.unavailableUntil)
}

// slotClass is a class whose unfinished jobs prevent steps from beginning.
const slotClass = "tip-split"

// setUnfinished sets whether jobs of slotClass are unfinished from now on.
func (c *fakeCore) setUnfinished(unfinished bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.classes[slotClass] = unfinished
}

// setHealth sets the results of checks from now on.
func (c *fakeCore) setHealth(health func(version string, replica int, since time.Duration) rollout.Health) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.health = health
}

// Put implements rollout.DescriptionStore.
func (c *fakeCore) Put(_ context.Context, job string, d *taskspec.Spec) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versionOf[job] = d.Argv[0]
	return nil
}

func (c *fakeCore) healthOf(task string) rollout.Health {
	uid, n, _ := strings.Cut(task, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[uid]
	if j == nil || j.stopped {
		return rollout.Unknown
	}
	replica := 0
	_, _ = fmt.Sscan(n, &replica) // tasks are numbered
	return c.health(c.versionOf[uid], replica, time.Since(j.since)-startDelay)
}

// Probe implements rollout.Prober.
func (c *fakeCore) Probe(ctx context.Context, r rollout.Replica, check rollout.Check) rollout.Health {
	health := c.healthOf(r.Task)
	if health == rollout.Hung {
		select {
		case <-ctx.Done():
			return rollout.Unknown
		case <-time.After(time.Duration(check.TimeoutS * float64(time.Second))):
		}
	}
	return health
}

// updateCounts updates maxReplicas and minHealthy.
func (c *fakeCore) updateCounts() {
	c.mu.Lock()
	healthy, versions := 0, map[string]int{}
	for uid, j := range c.jobs {
		if j.stopped {
			continue
		}
		versions[c.versionOf[uid]] += j.replicas
		if time.Since(j.since) < startDelay {
			continue
		}
		for i := range j.replicas {
			if c.health(c.versionOf[uid], i, time.Since(j.since)-startDelay) == rollout.Healthy {
				healthy++
			}
		}
	}
	defer c.mu.Unlock()
	for v, n := range versions {
		c.maxReplicas[v] = max(c.maxReplicas[v], n)
	}
	if healthy >= c.wantHealthy {
		c.v1Up = true
	}
	if c.v1Up {
		c.minHealthy = min(c.minHealthy, healthy)
	}
}

func alwaysHealthy(string, int, time.Duration) rollout.Health { return rollout.Healthy }

// site runs the managers of two controllers, a and b, on one store. Controller a is the first leader.
type site struct {
	*fakeCore
	managers map[string]*rollout.Manager
	stops    map[string]context.CancelFunc
	done     map[string]chan struct{}
	settings *rollout.Settings
}

func newSite(t testing.TB, replicas int) *site {
	store := testkit.NewStore()
	c := &fakeCore{t: t, store: store, leader: "a", jobs: map[string]*liveJob{}, versionOf: map[string]string{}, health: alwaysHealthy, maxReplicas: map[string]int{}, minHealthy: replicas, wantHealthy: replicas, classes: map[string]bool{}}
	v := &testkit.View{Store: store}
	rev, err := v.Txn(context.Background(), nil, wire.Op{Put: shardKey, Value: 1})
	if err != nil {
		t.Fatal(err)
	}
	c.version = rev
	s := &site{fakeCore: c, managers: map[string]*rollout.Manager{}, stops: map[string]context.CancelFunc{}, done: map[string]chan struct{}{}, settings: &rollout.Settings{Descriptions: "x"}}
	s.start("a")
	s.start("b")
	return s
}

func (s *site) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	view := &testkit.View{Store: s.store, Unavailable: s.stateUnavailable}
	m := rollout.NewManager(s.settings, view, controllerView{s.fakeCore, name, view}, s.fakeCore, s.fakeCore, 16<<10, slog.New(slog.NewTextHandler(io.Discard, nil)))
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	s.managers[name], s.stops[name], s.done[name] = m, cancel, done
}

func (s *site) stop(name string) {
	s.stops[name]()
	<-s.done[name]
}

// setLeader makes a controller the leader.
func (s *site) setLeader(name string) {
	rev, err := (&testkit.View{Store: s.store}).Txn(context.Background(), nil, wire.Op{Put: shardKey, Value: 1})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.t.Fatal(err)
	}
	s.leader, s.version = name, rev
}

func (s *site) close() {
	s.stop("a")
	s.stop("b")
}

// run returns the latest roll-out as known to manager b, which is not the leader at first.
func (s *site) run() *rollout.Run {
	for _, st := range s.managers["b"].Statuses() {
		if st.Service.Name == "tips" {
			return st.Run
		}
	}
	return nil
}

// waitFor waits until the roll-out meets a condition, and returns the time that this took. It fails
// the test after the timeout.
func (s *site) waitFor(wantState string, timeout time.Duration, condition func(*rollout.Run) bool) time.Duration {
	began := time.Now()
	for {
		r := s.run()
		if r != nil && condition(r) {
			return time.Since(began)
		}
		if time.Since(began) > timeout {
			s.t.Fatalf("not %s after %v: %s, step %d: %s; new %v, old %v, drop %v, restore %v", wantState, timeout, r.Phase, r.Step, r.Reason, r.New, r.Old, r.ToCancel, r.Restore)
		}
		s.updateCounts()
		time.Sleep(100 * time.Millisecond)
	}
}

func hasEnded(id int) func(*rollout.Run) bool {
	return func(r *rollout.Run) bool { return r.ID == id && r.Phase.Final() }
}

func (s *site) startRollout(version string, change func(*rollout.Spec)) {
	spec := newSpec()
	spec.To = rollout.Version{Name: version, Desc: taskspec.Spec{Argv: []string{version}, CPUs: 1}}
	if change != nil {
		change(&spec)
	}
	for n := 0; ; n++ {
		_, err := s.managers["b"].Start(context.Background(), spec)
		if err == nil {
			return
		}
		if n > 20 {
			s.t.Fatal(err)
		}
		time.Sleep(time.Second)
	}
}

// newSiteWithV1 returns a site on which version v1 of a new service is rolled out.
func newSiteWithV1(t *testing.T, replicas int) *site {
	s := newSite(t, replicas)
	s.startRollout("v1", func(x *rollout.Spec) { x.Replicas, x.Steps = replicas, []string{"1", "50%", "100%"} })
	s.waitFor("up", 5*time.Minute, hasEnded(1))
	return s
}
