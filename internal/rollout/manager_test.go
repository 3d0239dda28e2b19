package rollout_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/description"
	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

const shardKey = "c/shard/000"

// core is a scheduler that runs whatever is accepted after some seconds.
type core struct {
	t     testing.TB
	store *testkit.Store

	mu      sync.Mutex
	leader  string
	version uint64 // of the shard's key
	jobs    map[string]*live
	descs   map[string]string
	health  func(version string, replica int, since time.Duration) rollout.Answer
	most    map[string]int // most live replicas of a version at once
	least   int            // fewest healthy replicas since the first version was whole
	whole   bool
	want    int
	classes map[string]bool

	outUntil time.Time // of the state service
}

type live struct {
	n       int
	since   time.Time
	stopped bool
	lost    int // replicas gone with their machines until back
	back    time.Time
}

const startsAfter = 3 * time.Second

// controllerView is the core as one controller's manager sees it.
type controllerView struct {
	*core
	name string
	view *testkit.View
}

func (s controllerView) Lead() (wire.Guard, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.Guard{Key: shardKey, Version: s.version}, s.leader == s.name
}

func (s controllerView) Submit(ctx context.Context, job *wire.Job, guards ...wire.Guard) error {
	_, err := s.view.Txn(ctx, append(guards, wire.Guard{Key: "live/" + job.UID}), wire.Op{Put: "live/" + job.UID, Value: job.Tasks})
	var conflict *statestore.Conflict
	if errors.As(err, &conflict) && conflict.Has("live/"+job.UID) {
		return nil
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[job.UID] = &live{n: job.Tasks, since: time.Now()}
	return nil
}

func (s controllerView) Cancel(_ context.Context, uid string) error {
	if s.view.Down != nil && s.view.Down() {
		return statestore.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.jobs[uid]; j != nil {
		j.stopped = true
	}
	return nil
}

func (c *core) Replicas(uid string) (out []rollout.Replica) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[uid]
	if j == nil || j.stopped || time.Since(j.since) < startsAfter {
		return nil
	}
	n := j.n
	if time.Now().Before(j.back) {
		n -= j.lost
	}
	for i := range n {
		out = append(out, rollout.Replica{Task: wire.TaskName(uid, i), Attempt: 1})
	}
	return out
}

func (c *core) Unfinished(class string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.classes[class]
}

// stateIsOut reports whether the managers can't reach the state service.
func (c *core) stateIsOut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.outUntil)
}

// setUnfinished says whether jobs of a class are unfinished from now on.
func (c *core) setUnfinished(class string, unfinished bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.classes[class] = unfinished
}

// setHealth has replicas answer checks otherwise from now on.
func (c *core) setHealth(health func(version string, replica int, since time.Duration) rollout.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.health = health
}

// Put implements rollout.Descriptions.
func (c *core) Put(_ context.Context, job string, d *description.Description) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.descs[job] = d.Argv[0]
	return nil
}

func (c *core) answer(task string) rollout.Answer {
	uid, n, _ := strings.Cut(task, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	j := c.jobs[uid]
	if j == nil || j.stopped {
		return rollout.Silent
	}
	replica := 0
	_, _ = fmt.Sscan(n, &replica) // tasks are numbered
	return c.health(c.descs[uid], replica, time.Since(j.since)-startsAfter)
}

// Probe implements rollout.Prober.
func (c *core) Probe(ctx context.Context, r rollout.Replica, check rollout.Check) rollout.Answer {
	a := c.answer(r.Task)
	if a == rollout.Hung {
		select {
		case <-ctx.Done():
			return rollout.Silent
		case <-time.After(time.Duration(check.TimeoutS * float64(time.Second))):
		}
	}
	return a
}

// count records the fewest healthy and the most live replicas of a version.
func (c *core) count() {
	c.mu.Lock()
	healthy, versions := 0, map[string]int{}
	for uid, j := range c.jobs {
		if j.stopped {
			continue
		}
		versions[c.descs[uid]] += j.n
		if time.Since(j.since) < startsAfter {
			continue
		}
		for i := range j.n {
			if c.health(c.descs[uid], i, time.Since(j.since)-startsAfter) == rollout.Healthy {
				healthy++
			}
		}
	}
	defer c.mu.Unlock()
	for v, n := range versions {
		c.most[v] = max(c.most[v], n)
	}
	if healthy >= c.want {
		c.whole = true
	}
	if c.whole {
		c.least = min(c.least, healthy)
	}
}

func healthyAlways(string, int, time.Duration) rollout.Answer { return rollout.Healthy }

// site is managers a and b over one store.
type site struct {
	*core
	managers map[string]*rollout.Manager
	stops    map[string]context.CancelFunc
	dones    map[string]chan struct{}
	settings *rollout.Settings
}

func newSite(t testing.TB, replicas int) *site {
	store := testkit.NewStore()
	c := &core{t: t, store: store, leader: "a", jobs: map[string]*live{}, descs: map[string]string{}, health: healthyAlways, most: map[string]int{}, least: replicas, want: replicas, classes: map[string]bool{}}
	v := &testkit.View{Store: store}
	rev, err := v.Txn(context.Background(), nil, wire.Op{Put: shardKey, Value: 1})
	if err != nil {
		t.Fatal(err)
	}
	c.version = rev
	s := &site{core: c, managers: map[string]*rollout.Manager{}, stops: map[string]context.CancelFunc{}, dones: map[string]chan struct{}{}, settings: &rollout.Settings{Descriptions: "x"}}
	s.start("a")
	s.start("b")
	return s
}

func (s *site) start(name string) {
	ctx, cancel := context.WithCancel(context.Background())
	view := &testkit.View{Store: s.store, Down: s.stateIsOut}
	m := rollout.NewManager(s.settings, view, controllerView{s.core, name, view}, s.core, s.core, 16<<10, slog.New(slog.NewTextHandler(io.Discard, nil)))
	done := make(chan struct{})
	go func() { defer close(done); _ = m.Run(ctx) }()
	s.managers[name], s.stops[name], s.dones[name] = m, cancel, done
}

func (s *site) stop(name string) {
	s.stops[name]()
	<-s.dones[name]
}

// lead moves the jobs to another controller.
func (s *site) lead(name string) {
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

func (s *site) run(name string) *rollout.Run {
	for _, st := range s.managers[name].Statuses() {
		if st.Service.Name == "tips" {
			return st.Run
		}
	}
	return nil
}

// until waits, at most a while, for the roll-out to be so; it returns how long
// that took.
func (s *site) until(what string, most time.Duration, so func(*rollout.Run) bool) time.Duration {
	began := time.Now()
	for {
		r := s.run("b")
		if r != nil && so(r) {
			return time.Since(began)
		}
		if time.Since(began) > most {
			s.t.Fatalf("not %s after %v: %s, step %d: %s; new %v, old %v, drop %v, restore %v", what, most, r.Phase, r.Step, r.Why, r.New, r.Old, r.Drop, r.Restore)
		}
		s.count()
		time.Sleep(100 * time.Millisecond)
	}
}

func final(id int) func(*rollout.Run) bool {
	return func(r *rollout.Run) bool { return r.ID == id && r.Phase.Final() }
}

func (s *site) begin(version string, change func(*rollout.Spec)) {
	spec := spec()
	spec.To = rollout.Version{Name: version, Desc: description.Description{Argv: []string{version}, CPUs: 1}}
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

// first brings version v1 of a new service up.
func first(t *testing.T, replicas int) *site {
	s := newSite(t, replicas)
	s.begin("v1", func(x *rollout.Spec) { x.Replicas, x.Steps = replicas, []string{"1", "50%", "100%"} })
	s.until("up", 5*time.Minute, final(1))
	return s
}

// A version turns unhealthy halfway; it is halted and
// the prior version is whole again within a minute.
func TestUnhealthyVersionIsRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := first(t, 8)
		s.setHealth(func(v string, replica int, since time.Duration) rollout.Answer {
			if v == "v2" && replica == 1 && since > 5*time.Second {
				return rollout.Unhealthy
			}
			return rollout.Healthy
		})
		s.begin("v2", func(x *rollout.Spec) { x.Steps = []string{"1", "50%", "100%"} })
		held := 0.0 // room for what was retired is kept until the roll-out is over
		s.until("unhealthy", 5*time.Minute, func(r *rollout.Run) bool {
			held = max(held, s.managers["a"].Held())
			return r.ID == 2 && r.Phase == rollout.RollingBack
		})
		if took := s.until("restored", time.Minute, final(2)); took > time.Minute {
			t.Errorf("restored after %v", took)
		}
		r := s.run("b")
		if r.Phase != rollout.Restored || !strings.Contains(r.Why, "/1") || s.most["v2"] == 8 {
			t.Errorf("%s: %s; %d of the new version", r.Phase, r.Why, s.most["v2"])
		}
		if s.least < 8 {
			t.Errorf("only %d healthy replicas of 8 on the way", s.least)
		}
		if held < 1 || s.managers["a"].Held() != 0 {
			t.Errorf("held %v CPUs, and %v in the end", held, s.managers["a"].Held())
		}
		past, err := s.managers["a"].History(context.Background(), "tips")
		if err != nil || len(past) != 2 || past[1].Phase != rollout.Restored {
			t.Errorf("history %+v, %v", past, err)
		}
		s.close()
	})
}

// A check that hangs pauses the roll-out, names the replica, and holds; it goes on
// when an operator says so. A version that flaps below the thresholds passes.
func TestHangingCheckPausesAndFlappingVersionPasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := first(t, 4)
		var hang atomic.Bool
		hang.Store(true)
		s.setHealth(func(v string, replica int, since time.Duration) rollout.Answer {
			switch {
			case v == "v2" && replica == 0 && hang.Load():
				return rollout.Hung
			case v == "v2" && int(since.Seconds())%8 < 4: // two checks of four
				return rollout.Unhealthy
			}
			return rollout.Healthy
		})
		s.begin("v2", nil)
		s.until("paused", time.Minute, func(r *rollout.Run) bool { return r.Phase == rollout.Paused })
		time.Sleep(10 * time.Minute)
		if r := s.run("b"); r.Phase != rollout.Paused || !strings.Contains(r.Why, "hangs") || !strings.Contains(r.Why, "/0") || s.most["v2"] != 1 {
			t.Errorf("%s: %s", r.Phase, r.Why)
		}
		hang.Store(false)
		if _, err := s.managers["a"].Order(context.Background(), "tips", rollout.VerbResume); err != nil {
			t.Fatal(err)
		}
		s.until("done", 10*time.Minute, func(r *rollout.Run) bool { return r.Phase == rollout.Done })
		s.close()
	})
}

// A slot that begins in the middle of a step lets the step's soak end and then
// holds; in a slot nothing starts.
func TestStepsWaitForTheEndOfASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := first(t, 4)
		s.settings.Classes = []string{"tip-split"}
		s.setUnfinished("tip-split", true)
		s.begin("v2", nil)
		s.until("waiting", time.Minute, func(r *rollout.Run) bool { return r.Phase == rollout.WaitingSlot })
		time.Sleep(5 * time.Minute)
		if s.most["v2"] != 0 {
			t.Error("began in a slot")
		}
		s.setUnfinished("tip-split", false)
		s.until("placing", time.Minute, func(r *rollout.Run) bool { return r.Phase == rollout.Placing })
		s.setUnfinished("tip-split", true)
		s.until("waiting after its first step", 2*time.Minute, func(r *rollout.Run) bool { return r.Phase == rollout.WaitingSlot && r.Step == 1 })
		time.Sleep(5 * time.Minute)
		if s.most["v2"] != 1 {
			t.Errorf("%d replicas of the new version after a step of 1", s.most["v2"])
		}
		s.setUnfinished("tip-split", false)
		s.until("done", 10*time.Minute, final(2))
		s.close()
	})
}

// The controller that drives a roll-out is killed, or the state service goes out
// for half a minute, at every transition in turn; machines are lost while
// soaking. Each time the roll-out ends as it would have, with one outcome.
func TestControllerLossOrStateOutageAtEveryTransition(t *testing.T) {
	for _, bad := range []bool{false, true} {
		for _, trouble := range []string{"killed", "deposed", "state out", "machines lost"} {
			synctest.Test(t, func(t *testing.T) {
				s := first(t, 4)
				s.setHealth(func(v string, _ int, since time.Duration) rollout.Answer {
					if bad && v == "v2" && since > 20*time.Second {
						return rollout.Unhealthy
					}
					return rollout.Healthy
				})
				s.begin("v2", func(x *rollout.Spec) { x.Steps = []string{"2", "100%"} })
				troubled := map[string]bool{}
				s.until(fmt.Sprintf("over (%s, bad %v)", trouble, bad), 20*time.Minute, func(r *rollout.Run) bool {
					at := fmt.Sprint(r.Step, r.Phase, len(r.New))
					if troubled[at] || r.Phase.Final() {
						return r.ID == 2 && r.Phase.Final()
					}
					troubled[at] = true
					switch trouble {
					case "killed":
						s.stop("a")
						s.lead("b")
						time.Sleep(4 * time.Second)
						s.start("a")
						time.Sleep(2 * time.Second)
						s.lead("a")
					case "deposed": // and does not know it for a while
						s.mu.Lock()
						leader, version := s.leader, s.version
						s.mu.Unlock()
						s.lead("b")
						s.mu.Lock()
						s.leader, s.version = leader, version
						s.mu.Unlock()
						time.Sleep(3 * time.Second)
						s.lead("b")
						time.Sleep(time.Second)
						s.lead("a")
					case "state out":
						s.mu.Lock()
						s.outUntil = time.Now().Add(30 * time.Second)
						s.mu.Unlock()
					case "machines lost":
						s.mu.Lock()
						for _, j := range s.jobs {
							j.lost, j.back = 1, time.Now().Add(8*time.Second)
						}
						s.mu.Unlock()
					}
					return false
				})
				want := rollout.Done
				if bad {
					want = rollout.Restored
				}
				r := s.run("b")
				running := 0
				s.mu.Lock()
				for uid, j := range s.jobs {
					if !j.stopped {
						running += j.n
						if (s.descs[uid] == "v2") == bad {
							t.Errorf("%s, bad %v: %s of %s is left", trouble, bad, uid, s.descs[uid])
						}
					}
				}
				s.mu.Unlock()
				if r.Phase != want || running != 4 {
					t.Errorf("%s, bad %v: %s (%s) with %d replicas", trouble, bad, r.Phase, r.Why, running)
				}
				s.close()
			})
		}
	}
}

// A roll-out that can't be is refused with the field's name, and nothing is changed.
func TestInvalidStartIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := first(t, 4)
		before := len(s.store.Keys("rollout/"))
		for want, change := range map[string]func(*rollout.Spec){
			"service: other is unknown": func(x *rollout.Spec) { x.Service = "other" },
			"to.name: tips runs v1":     func(x *rollout.Spec) { x.To.Name = "v1" },
			"replicas: tips has 4":      func(x *rollout.Spec) { x.Replicas = 5 },
			"to.desc: too large":        func(x *rollout.Spec) { x.To.Desc.Script = strings.Repeat("x", 16<<10) },
			"replicas: 3000":            func(x *rollout.Spec) { x.Service, x.Replicas = "other", 3000 },
		} {
			x := spec()
			change(&x)
			if _, err := s.managers["a"].Start(t.Context(), x); !errors.Is(err, rollout.ErrInput) || !strings.Contains(err.Error(), want) {
				t.Errorf("%v instead of %q", err, want)
			}
		}
		if after := len(s.store.Keys("rollout/")); after != before {
			t.Errorf("%d records instead of %d", after, before)
		}
		s.begin("v2", nil)
		if _, err := s.managers["b"].Start(t.Context(), spec()); !errors.Is(err, rollout.ErrInput) || !strings.Contains(err.Error(), "roll-out already") {
			t.Errorf("a second one: %v", err)
		}
		s.until("done", 10*time.Minute, final(2))
		s.close()
	})
}

// BenchmarkTick is a look at 50 roll-outs of 40 replicas each, the most there may
// be, with nothing to be written.
func BenchmarkTick(b *testing.B) {
	s := newSite(b, 1)
	for i := range rollout.MaxRuns {
		x := spec()
		x.Service, x.Replicas, x.Steps, x.Check.EveryS = fmt.Sprintf("s-%d", i), rollout.MaxReplicas/rollout.MaxRuns, []string{"100%"}, 300
		for n := 0; ; n++ {
			if _, err := s.managers["a"].Start(b.Context(), x); err == nil {
				break
			} else if n > 40 {
				b.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // it has not read the records yet
		}
	}
	s.close()
	m := s.managers["a"]
	for range 3 {
		m.Tick(b.Context())
	}
	s.mu.Lock()
	jobs := len(s.jobs)
	for _, j := range s.jobs {
		j.since = time.Now().Add(-time.Hour)
	}
	s.mu.Unlock()
	if jobs != rollout.MaxRuns {
		b.Fatalf("%d jobs", jobs)
	}
	for b.Loop() {
		m.Tick(b.Context())
	}
}
