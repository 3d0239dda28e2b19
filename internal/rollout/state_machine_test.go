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

func spec() rollout.Spec {
	s := rollout.Spec{Service: "tips", To: rollout.Version{Name: "v2", Desc: taskspec.Spec{Argv: []string{"x"}, CPUs: 1}}, Check: rollout.Check{HTTP: "/up"}}
	s.Fill()
	return s
}

func service(replicas int, batches ...int) *rollout.Service {
	s := &rollout.Service{Name: "tips", Replicas: replicas, Version: rollout.Version{Name: "v1"}}
	for i, n := range batches {
		s.Batches = append(s.Batches, rollout.Batch{UID: fmt.Sprintf("j-old-%d", i), Replicas: n, Version: "v1"})
	}
	return s
}

func TestBadInputNamesTheField(t *testing.T) {
	for field, f := range map[string]func(*rollout.Spec){
		"service":       func(s *rollout.Spec) { s.Service = "Tips!" },
		"to.name":       func(s *rollout.Spec) { s.To.Name = "" },
		"to.desc":       func(s *rollout.Spec) { s.To.Desc.Argv = nil },
		"check:":        func(s *rollout.Spec) { s.Check.TCP = true },
		"check.http":    func(s *rollout.Spec) { s.Check.HTTP = "http://elsewhere/" },
		"check.everyS":  func(s *rollout.Spec) { s.Check.EveryS = -1 },
		"check.healthy": func(s *rollout.Spec) { s.Check.Healthy = 1000 },
		"steps":         func(s *rollout.Spec) { s.Steps = []string{"1", "50%"} },
		"steps[1]":      func(s *rollout.Spec) { s.Steps = []string{"50%", "10%", "100%"} },
		"steps[0]":      func(s *rollout.Spec) { s.Steps = []string{"some", "100%"} },
		"onFail":        func(s *rollout.Spec) { s.OnFail = "hope" },
	} {
		s := spec()
		f(&s)
		if err := s.Validate(); err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%s: %v", field, err)
		}
	}
	s := spec()
	if err := s.Validate(); err != nil {
		t.Error(err)
	}
	s.To.Name = "v1"
	if _, err := rollout.Plan(service(4, 4), s, 1, time.Now()); err == nil || !strings.HasPrefix(err.Error(), "to.name") {
		t.Errorf("the version that runs: %v", err)
	}
}

// world is a core that runs the jobs, two owners that drive the roll-out, of whom
// one may be deposed without knowing it, and their messages.
type world struct {
	svc      rollout.Service
	run      rollout.Run
	version  int            // of the recorded state
	jobs     map[string]int // live replicas by job
	of       map[string]string
	gone     map[string]bool
	lost     map[string]int // replicas that were lost with their machines
	bad      string         // the version that is unhealthy
	hung     bool
	blocked  bool
	now      time.Time
	late     []func()
	replicas int
}

func (w *world) seen() *rollout.Seen {
	s := &rollout.Seen{Jobs: map[string]rollout.JobSeen{}}
	if w.blocked {
		s.Blocked = "slot"
	}
	for uid, n := range w.jobs {
		j := rollout.JobSeen{Running: n - w.lost[uid]}
		switch {
		case w.of[uid] == w.bad:
			j.Unhealthy = uid
		case w.of[uid] == "v2" && w.hung:
			j.Hung = uid
		default:
			j.Healthy = j.Running
		}
		s.Jobs[uid] = j
	}
	for uid := range w.gone {
		s.Jobs[uid] = rollout.JobSeen{Gone: true}
	}
	return s
}

// act does what a recorded state asks for; at is the version that was read. Some
// of it is held back and done later.
func (w *world) act(r *rollout.Run, at int, hold func() bool) {
	submit, drop := rollout.Wanted(r)
	for _, b := range submit {
		do := func() {
			if w.version == at && w.jobs[b.UID] == 0 && !w.gone[b.UID] { // guarded by the state's version
				w.jobs[b.UID], w.of[b.UID] = b.Replicas, b.Version
			}
		}
		if hold() {
			w.late = append(w.late, do)
		} else {
			do()
		}
	}
	for _, b := range drop {
		do := func() {
			delete(w.jobs, b.UID)
			w.gone[b.UID] = true
		}
		if hold() {
			w.late = append(w.late, do)
		} else {
			do()
		}
	}
}

// Whatever crashes between a write and what follows it, whatever comes late, two
// owners at a time, health in any order, slots and operators: what is promised
// stays healthy, the surge is bounded, a step is done once, and there is one
// outcome.
func TestRollOutModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.IntRange(1, 9).Draw(t, "replicas")
		w := &world{svc: *service(replicas), jobs: map[string]int{}, of: map[string]string{}, gone: map[string]bool{}, lost: map[string]int{}, now: time.Unix(1e9, 0), replicas: replicas}
		for left, i := replicas, 0; left > 0; i++ {
			n := rapid.IntRange(1, left).Draw(t, "batch")
			uid := fmt.Sprintf("j-old-%d", i)
			w.svc.Batches = append(w.svc.Batches, rollout.Batch{UID: uid, Replicas: n, Version: "v1"})
			w.jobs[uid], w.of[uid] = n, "v1"
			left -= n
		}
		s := spec()
		if rapid.Bool().Draw(t, "pause on failure") {
			s.OnFail = rollout.OnFailPause
		}
		r, err := rollout.Plan(&w.svc, s, 1, w.now)
		if err != nil {
			t.Fatal(err)
		}
		w.run = *r
		hold := func() bool { return rapid.IntRange(0, 3).Draw(t, "hold") == 0 }
		type reader struct {
			run rollout.Run
			svc rollout.Service
			at  int
		}
		copyOf := func() reader {
			c := w.run
			c.New, c.Old, c.Drop, c.Restore = append([]rollout.Batch(nil), c.New...), append([]rollout.Batch(nil), c.Old...), append([]rollout.Batch(nil), c.Drop...), append([]rollout.Batch(nil), c.Restore...)
			return reader{c, w.svc, w.version}
		}
		owners := [2]reader{copyOf(), copyOf()}
		steps := map[int]int{}
		ever := map[string]string{}
		var final rollout.Phase
		check := func() {
			healthy, all := 0, 0
			for uid, n := range w.jobs {
				all += n
				if w.of[uid] != w.bad {
					healthy += n
				}
				if v, had := ever[uid]; had && v != w.of[uid] {
					t.Fatalf("%s ran %s and %s", uid, v, w.of[uid])
				}
				ever[uid] = w.of[uid]
			}
			// A version that goes bad when the old one is gone, and replicas
			// that made way for a restore that finds no room, are what
			// happens, not what was decided.
			crowded := w.run.Phase == rollout.RollingBack && len(w.run.New) == 0
			if w.bad == "" && !crowded && healthy < replicas {
				t.Fatalf("%d of %d promised replicas in %s: jobs %v of %v", healthy, replicas, w.run.Phase, w.jobs, w.of)
			}
			if all > 3*replicas {
				t.Fatalf("%d replicas live of %d promised", all, replicas)
			}
			if !crowded && all < replicas {
				t.Fatalf("%d replicas live of %d promised in %s", all, replicas, w.run.Phase)
			}
			if final != "" && w.run.Phase != final {
				t.Fatalf("%s after %s", w.run.Phase, final)
			}
			if w.run.Phase.Final() {
				final = w.run.Phase
			}
		}
		turn := func(i int) {
			o := owners[i]
			// A stale owner acts on what it read, and its write fails.
			w.act(&o.run, o.at, hold)
			check()
			next, svc := o.run, o.svc
			was := next.Step
			if rollout.Next(&svc, &next, w.seen(), w.now) && o.at == w.version {
				w.version++
				w.run, w.svc = next, svc
				if next.Phase == rollout.Placing && was == next.Step && len(next.New) != len(o.run.New) {
					if steps[next.Step]++; steps[next.Step] > 1 {
						t.Fatalf("step %d was begun twice", next.Step)
					}
				}
			}
			check()
			owners[i] = copyOf()
		}
		for range rapid.IntRange(1, 60).Draw(t, "turns") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "s")) * time.Second)
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				w.blocked = !w.blocked
			case 1:
				w.hung = !w.hung
			case 2:
				if w.bad == "" && rapid.Bool().Draw(t, "goes bad") {
					w.bad = "v2"
				}
			case 3:
				verb := rapid.SampledFrom([]string{rollout.VerbPause, rollout.VerbResume, rollout.VerbResume, rollout.VerbAbort}).Draw(t, "verb")
				c := copyOf()
				if rollout.Order(&c.run, verb, w.now) == nil {
					w.version++
					w.run = c.run
				}
			case 4: // what was held back comes
				for _, f := range w.late {
					f()
					check()
				}
				w.late = nil
			default:
				turn(rapid.IntRange(0, 1).Draw(t, "owner"))
			}
			check()
		}
		// With nothing wrong any more, the roll-out ends, and so do its leftovers.
		w.blocked, w.hung = false, false
		never := func() bool { return false }
		for range 80 {
			w.now = w.now.Add(20 * time.Second)
			for _, f := range w.late {
				f()
			}
			w.late = nil
			if w.run.Phase == rollout.Paused {
				c := copyOf()
				if w.bad == "v2" {
					_ = rollout.Order(&c.run, rollout.VerbAbort, w.now)
				} else if err := rollout.Order(&c.run, rollout.VerbResume, w.now); err != nil {
					t.Fatal(err)
				}
				w.version++
				w.run = c.run
			}
			hold = never
			turn(0)
		}
		if !w.run.Phase.Final() {
			t.Fatalf("ends in %s: %s", w.run.Phase, w.run.Why)
		}
		all := 0
		for _, b := range w.svc.Batches {
			if w.jobs[b.UID] != b.Replicas || w.of[b.UID] != w.svc.Version.Name {
				t.Fatalf("recorded %+v, runs %v of %v", b, w.jobs, w.of)
			}
			all += b.Replicas
		}
		if all != replicas || len(w.jobs) != len(w.svc.Batches) {
			t.Fatalf("%d replicas recorded of %d, jobs %v", all, replicas, w.jobs)
		}
		if want := "v2"; w.run.Phase == rollout.Done && w.svc.Version.Name != want || w.run.Phase != rollout.Done && w.svc.Version.Name == want {
			t.Fatalf("%s with %s", w.run.Phase, w.svc.Version.Name)
		}
	})
}
