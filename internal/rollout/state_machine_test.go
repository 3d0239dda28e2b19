package rollout_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/taskspec"
)

func newSpec() rollout.Spec {
	s := rollout.Spec{Service: "tips", To: rollout.Version{Name: "v2", Desc: taskspec.Spec{Argv: []string{"x"}, CPUs: 1}}, Check: rollout.Check{HTTP: "/up"}}
	s.SetDefaults()
	return s
}

func newService(replicas int, batches ...int) *rollout.Service {
	s := &rollout.Service{Name: "tips", Replicas: replicas, Version: rollout.Version{Name: "v1"}}
	for i, n := range batches {
		s.Batches = append(s.Batches, rollout.Batch{UID: fmt.Sprintf("j-old-%d", i), Replicas: n, Version: "v1"})
	}
	return s
}

func TestSpecErrorsNameTheField(t *testing.T) {
	for field, f := range map[string]func(*rollout.Spec){
		"service":       func(s *rollout.Spec) { s.Service = "Tips!" },
		"to.name":       func(s *rollout.Spec) { s.To.Name = "" },
		"to.desc":       func(s *rollout.Spec) { s.To.Desc.Argv = nil },
		"check:":        func(s *rollout.Spec) { s.Check.TCP = true },
		"check.http":    func(s *rollout.Spec) { s.Check.HTTP = "http://elsewhere/" },
		"check.everyS":  func(s *rollout.Spec) { s.Check.EveryS = -1 },
		"check.healthy": func(s *rollout.Spec) { s.Check.HealthyThreshold = 1000 },
		"steps":         func(s *rollout.Spec) { s.Steps = []string{"1", "50%"} },
		"steps[1]":      func(s *rollout.Spec) { s.Steps = []string{"50%", "10%", "100%"} },
		"steps[0]":      func(s *rollout.Spec) { s.Steps = []string{"some", "100%"} },
		"onFail":        func(s *rollout.Spec) { s.OnFail = "hope" },
	} {
		s := newSpec()
		f(&s)
		if err := s.Validate(); err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
	s := newSpec()
	if err := s.Validate(); err != nil {
		t.Error(err)
	}
	s.To.Name = "v1"
	if _, err := rollout.Plan(newService(4, 4), s, 1, time.Now()); err == nil || !strings.HasPrefix(err.Error(), "to.name") {
		t.Errorf("a roll-out to the present version: %v", err)
	}
}

// model simulates a scheduler that runs the jobs, two controllers that both regard themselves as the
// leader and advance the roll-out, and their delayed messages.
type model struct {
	svc              rollout.Service
	run              rollout.Run
	version          int               // version of the recorded state
	jobs             map[string]int    // live replicas by job
	versionOf        map[string]string // version by job
	ended            map[string]bool
	lost             map[string]int // replicas lost with their machines, by job
	unhealthyVersion string         // "" if no version is unhealthy
	hung             bool
	blocked          bool
	now              time.Time
	delayedMessages  []func() // actions that take effect later
	replicas         int

	leaders        [2]snapshot
	beginCounts    map[int]int       // how often each step was begun
	firstVersionOf map[string]string // version by job, when the job was first checked
	final          rollout.Phase
}

// snapshot is the recorded state that a leader read, with its version.
type snapshot struct {
	run         rollout.Run
	svc         rollout.Service
	readVersion int
}

// newModel generates a service and plans a roll-out of it.
func newModel(t *rapid.T) *model {
	replicas := rapid.IntRange(1, 9).Draw(t, "replicas")
	w := &model{
		svc: *newService(replicas), jobs: map[string]int{}, versionOf: map[string]string{}, ended: map[string]bool{}, lost: map[string]int{},
		now: time.Unix(1e9, 0), replicas: replicas, beginCounts: map[int]int{}, firstVersionOf: map[string]string{},
	}
	for left, i := replicas, 0; left > 0; i++ {
		n := rapid.IntRange(1, left).Draw(t, "batch")
		uid := fmt.Sprintf("j-old-%d", i)
		w.svc.Batches = append(w.svc.Batches, rollout.Batch{UID: uid, Replicas: n, Version: "v1"})
		w.jobs[uid], w.versionOf[uid] = n, "v1"
		left -= n
	}
	s := newSpec()
	if rapid.Bool().Draw(t, "pause on failure") {
		s.OnFail = rollout.OnFailPause
	}
	r, err := rollout.Plan(&w.svc, s, 1, w.now)
	if err != nil {
		t.Fatal(err)
	}
	w.run = *r
	w.leaders = [2]snapshot{w.read(), w.read()}
	return w
}

// read returns a copy of the recorded state.
func (w *model) read() snapshot {
	c := w.run
	for _, batches := range []*[]rollout.Batch{&c.New, &c.Old, &c.ToCancel, &c.Restore} {
		*batches = append([]rollout.Batch(nil), *batches...)
	}
	return snapshot{c, w.svc, w.version}
}

func (w *model) observe() *rollout.Observation {
	s := &rollout.Observation{Jobs: map[string]rollout.JobStatus{}}
	if w.blocked {
		s.BlockedReason = "slot"
	}
	for uid, n := range w.jobs {
		j := rollout.JobStatus{Running: n - w.lost[uid]}
		switch {
		case w.versionOf[uid] == w.unhealthyVersion:
			j.UnhealthyTask = uid
		case w.versionOf[uid] == "v2" && w.hung:
			j.HungTask = uid
		default:
			j.Healthy = j.Running
		}
		s.Jobs[uid] = j
	}
	for uid := range w.ended {
		s.Jobs[uid] = rollout.JobStatus{Ended: true}
	}
	return s
}

// execute performs the actions that a recorded state, of version readVersion, requires. An action for
// which delayed returns true is performed later.
func (w *model) execute(r *rollout.Run, readVersion int, delayed func() bool) {
	do := func(f func()) {
		if delayed() {
			w.delayedMessages = append(w.delayedMessages, f)
		} else {
			f()
		}
	}
	submit, drop := rollout.RequiredActions(r)
	for _, b := range submit {
		do(func() {
			if w.version == readVersion && w.jobs[b.UID] == 0 && !w.ended[b.UID] { // the guard of the transaction
				w.jobs[b.UID], w.versionOf[b.UID] = b.Replicas, b.Version
			}
		})
	}
	for _, b := range drop {
		do(func() {
			delete(w.jobs, b.UID)
			w.ended[b.UID] = true
		})
	}
}

// checkInvariants checks the invariants that hold after every event.
func (w *model) checkInvariants(t *rapid.T) {
	healthy, live := 0, 0
	for uid, n := range w.jobs {
		live += n
		if w.versionOf[uid] != w.unhealthyVersion {
			healthy += n
		}
		if v, had := w.firstVersionOf[uid]; had && v != w.versionOf[uid] {
			t.Fatalf("job %s ran versions %s and %s", uid, v, w.versionOf[uid])
		}
		w.firstVersionOf[uid] = w.versionOf[uid]
	}
	// Too few replicas may be healthy, without a fault of the roll-out, if the new version turns
	// unhealthy after the old one has ended, or if new replicas were cancelled because the
	// restored ones lacked capacity.
	newVersionCancelled := w.run.Phase == rollout.RollingBack && len(w.run.New) == 0
	if w.unhealthyVersion == "" && !newVersionCancelled && healthy < w.replicas {
		t.Fatalf("%d of %d wanted replicas are healthy in %s: jobs %v of versions %v", healthy, w.replicas, w.run.Phase, w.jobs, w.versionOf)
	}
	if live > 3*w.replicas {
		t.Fatalf("%d replicas are live, but %d are wanted", live, w.replicas)
	}
	if !newVersionCancelled && live < w.replicas {
		t.Fatalf("%d replicas are live, but %d are wanted, in %s", live, w.replicas, w.run.Phase)
	}
	if w.final != "" && w.run.Phase != w.final {
		t.Fatalf("%s after %s", w.run.Phase, w.final)
	}
	if w.run.Phase.Final() {
		w.final = w.run.Phase
	}
}

// drive has a leader act on the state that it read, record the next state, and read again. The
// write fails if the recorded state changed meanwhile.
func (w *model) drive(t *rapid.T, leader int, delayed func() bool) {
	o := w.leaders[leader]
	w.execute(&o.run, o.readVersion, delayed)
	w.checkInvariants(t)
	next, svc := o.run, o.svc
	previousStep := next.Step
	if rollout.Advance(&svc, &next, w.observe(), w.now) && o.readVersion == w.version {
		w.version++
		w.run, w.svc = next, svc
		if next.Phase == rollout.Placing && previousStep == next.Step && len(next.New) != len(o.run.New) {
			if w.beginCounts[next.Step]++; w.beginCounts[next.Step] > 1 {
				t.Fatalf("step %d began twice", next.Step)
			}
		}
	}
	w.checkInvariants(t)
	w.leaders[leader] = w.read()
}

// applyVerb records the effect of an operator's verb, if the verb is allowed.
func (w *model) applyVerb(verb string) error {
	c := w.read()
	err := rollout.ApplyVerb(&c.run, verb, w.now)
	if err == nil {
		w.version++
		w.run = c.run
	}
	return err
}

// randomEvent generates one event and applies it.
func (w *model) randomEvent(t *rapid.T, delayed func() bool) {
	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0:
		w.blocked = !w.blocked
	case 1:
		w.hung = !w.hung
	case 2:
		if w.unhealthyVersion == "" && rapid.Bool().Draw(t, "goes bad") {
			w.unhealthyVersion = "v2"
		}
	case 3:
		_ = w.applyVerb(rapid.SampledFrom([]string{rollout.VerbPause, rollout.VerbResume, rollout.VerbResume, rollout.VerbAbort}).Draw(t, "verb")) // it may be refused
	case 4: // delayed messages arrive
		for _, f := range w.delayedMessages {
			f()
			w.checkInvariants(t)
		}
		w.delayedMessages = nil
	default:
		w.drive(t, rapid.IntRange(0, 1).Draw(t, "leader"), delayed)
	}
	w.checkInvariants(t)
}

// finish ends all faults but an unhealthy version, delivers the delayed messages, and has one leader
// advance the roll-out to its end.
func (w *model) finish(t *rapid.T) {
	w.blocked, w.hung = false, false
	never := func() bool { return false }
	for range 80 {
		w.now = w.now.Add(20 * time.Second)
		for _, f := range w.delayedMessages {
			f()
		}
		w.delayedMessages = nil
		if w.run.Phase == rollout.Paused {
			verb := rollout.VerbResume
			if w.unhealthyVersion == "v2" {
				verb = rollout.VerbAbort
			}
			if err := w.applyVerb(verb); err != nil {
				t.Fatal(err)
			}
		}
		w.drive(t, 0, never)
	}
}

// checkEnd checks that the roll-out has ended and that exactly the recorded jobs run.
func (w *model) checkEnd(t *rapid.T) {
	if !w.run.Phase.Final() {
		t.Fatalf("the roll-out did not end; phase %s: %s", w.run.Phase, w.run.Reason)
	}
	all := 0
	for _, b := range w.svc.Batches {
		if w.jobs[b.UID] != b.Replicas || w.versionOf[b.UID] != w.svc.Version.Name {
			t.Fatalf("recorded batch %+v, running jobs %v of versions %v", b, w.jobs, w.versionOf)
		}
		all += b.Replicas
	}
	if all != w.replicas || len(w.jobs) != len(w.svc.Batches) {
		t.Fatalf("%d replicas recorded of %d, jobs %v", all, w.replicas, w.jobs)
	}
	if want := "v2"; w.run.Phase == rollout.Done && w.svc.Version.Name != want || w.run.Phase != rollout.Done && w.svc.Version.Name == want {
		t.Fatalf("phase %s with version %s", w.run.Phase, w.svc.Version.Name)
	}
}

// The test generates random sequences of crashes between a write and its actions, delayed messages,
// two concurrent leaders, changes of health, slots and operators' verbs. In each, the wanted
// replicas stay healthy, the surge is bounded, each step begins once, and there is exactly one
// outcome.
func TestRolloutModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newModel(t)
		delayed := func() bool { return rapid.IntRange(0, 3).Draw(t, "delayed") == 0 }
		for range rapid.IntRange(1, 60).Draw(t, "turns") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second)
			w.randomEvent(t, delayed)
		}
		w.finish(t)
		w.checkEnd(t)
	})
}
