package rollout_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/rollout"
)

// A version turns unhealthy halfway; it is halted and
// the prior version is whole again within a minute.
func TestUnhealthyVersionIsRolledBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteWithV1(t, 8)
		s.setHealth(func(v string, replica int, since time.Duration) rollout.Health {
			if v == "v2" && replica == 1 && since > 5*time.Second {
				return rollout.Unhealthy
			}
			return rollout.Healthy
		})
		s.startRollout("v2", func(x *rollout.Spec) { x.Steps = []string{"1", "50%", "100%"} })
		held := 0.0 // room for what was retired is kept until the roll-out is over
		s.waitFor("unhealthy", 5*time.Minute, func(r *rollout.Run) bool {
			held = max(held, s.managers["a"].ReservedCPUs())
			return r.ID == 2 && r.Phase == rollout.RollingBack
		})
		if took := s.waitFor("restored", time.Minute, final(2)); took > time.Minute {
			t.Errorf("restored after %v", took)
		}
		r := s.run()
		if r.Phase != rollout.Restored || !strings.Contains(r.Reason, "/1") || s.maxReplicas["v2"] == 8 {
			t.Errorf("%s: %s; %d of the new version", r.Phase, r.Reason, s.maxReplicas["v2"])
		}
		if s.minHealthy < 8 {
			t.Errorf("only %d healthy replicas of 8 on the way", s.minHealthy)
		}
		if held < 1 || s.managers["a"].ReservedCPUs() != 0 {
			t.Errorf("held %v CPUs, and %v in the end", held, s.managers["a"].ReservedCPUs())
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
		s := newSiteWithV1(t, 4)
		var hang atomic.Bool
		hang.Store(true)
		s.setHealth(func(v string, replica int, since time.Duration) rollout.Health {
			switch {
			case v == "v2" && replica == 0 && hang.Load():
				return rollout.Hung
			case v == "v2" && int(since.Seconds())%8 < 4: // two checks of four
				return rollout.Unhealthy
			}
			return rollout.Healthy
		})
		s.startRollout("v2", nil)
		s.waitFor("paused", time.Minute, func(r *rollout.Run) bool { return r.Phase == rollout.Paused })
		time.Sleep(10 * time.Minute)
		if r := s.run(); r.Phase != rollout.Paused || !strings.Contains(r.Reason, "hangs") || !strings.Contains(r.Reason, "/0") || s.maxReplicas["v2"] != 1 {
			t.Errorf("%s: %s", r.Phase, r.Reason)
		}
		hang.Store(false)
		if _, err := s.managers["a"].ApplyVerb(context.Background(), "tips", rollout.VerbResume); err != nil {
			t.Fatal(err)
		}
		s.waitFor("done", 10*time.Minute, func(r *rollout.Run) bool { return r.Phase == rollout.Done })
		s.close()
	})
}

// A slot that begins in the middle of a step lets the step's soak end and then
// holds; in a slot nothing starts.
func TestStepsWaitForTheEndOfASlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteWithV1(t, 4)
		s.settings.Classes = []string{slotClass}
		s.setUnfinished(true)
		s.startRollout("v2", nil)
		s.waitFor("waiting", time.Minute, func(r *rollout.Run) bool { return r.Phase == rollout.WaitingSlot })
		time.Sleep(5 * time.Minute)
		if s.maxReplicas["v2"] != 0 {
			t.Error("began in a slot")
		}
		s.setUnfinished(false)
		s.waitFor("placing", time.Minute, func(r *rollout.Run) bool { return r.Phase == rollout.Placing })
		s.setUnfinished(true)
		s.waitFor("waiting after its first step", 2*time.Minute, func(r *rollout.Run) bool { return r.Phase == rollout.WaitingSlot && r.Step == 1 })
		time.Sleep(5 * time.Minute)
		if s.maxReplicas["v2"] != 1 {
			t.Errorf("%d replicas of the new version after a step of 1", s.maxReplicas["v2"])
		}
		s.setUnfinished(false)
		s.waitFor("done", 10*time.Minute, final(2))
		s.close()
	})
}

// inject lets a fault happen, and what it needs to pass begin.
func (s *site) inject(fault string) {
	switch fault {
	case "killed":
		s.stop("a")
		s.setLeader("b")
		time.Sleep(4 * time.Second)
		s.start("a")
		time.Sleep(2 * time.Second)
		s.setLeader("a")
	case "deposed": // and does not know it for a while
		s.mu.Lock()
		leader, version := s.leader, s.version
		s.mu.Unlock()
		s.setLeader("b")
		s.mu.Lock()
		s.leader, s.version = leader, version
		s.mu.Unlock()
		time.Sleep(3 * time.Second)
		s.setLeader("b")
		time.Sleep(time.Second)
		s.setLeader("a")
	case "state out":
		s.mu.Lock()
		s.unavailableUntil = time.Now().Add(30 * time.Second)
		s.mu.Unlock()
	case "machines lost":
		s.mu.Lock()
		for _, j := range s.jobs {
			j.lost, j.lostUntil = 1, time.Now().Add(8*time.Second)
		}
		s.mu.Unlock()
	}
}

// running counts the live replicas, and names the jobs among them whose version is unwanted.
func (s *site) running(unwanted func(version string) bool) (replicas int, left []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for uid, j := range s.jobs {
		if j.stopped {
			continue
		}
		replicas += j.replicas
		if unwanted(s.descs[uid]) {
			left = append(left, uid+" of "+s.descs[uid])
		}
	}
	return replicas, left
}

// The controller that drives a roll-out is killed, or the state service goes out
// for half a minute, at every transition in turn; machines are lost while
// soaking. Each time the roll-out ends as it would have, with one outcome.
func TestControllerLossOrStateOutageAtEveryTransition(t *testing.T) {
	for _, bad := range []bool{false, true} {
		for _, fault := range []string{"killed", "deposed", "state out", "machines lost"} {
			synctest.Test(t, func(t *testing.T) { rollOutWithFaults(t, fault, bad) })
		}
	}
}

// rollOutWithFaults rolls a version out that turns unhealthy if it is bad, with a fault at
// every transition.
func rollOutWithFaults(t *testing.T, fault string, bad bool) {
	s := newSiteWithV1(t, 4)
	s.setHealth(func(v string, _ int, since time.Duration) rollout.Health {
		if bad && v == "v2" && since > 20*time.Second {
			return rollout.Unhealthy
		}
		return rollout.Healthy
	})
	s.startRollout("v2", func(x *rollout.Spec) { x.Steps = []string{"2", "100%"} })
	faulted := map[string]bool{}
	s.waitFor(fmt.Sprintf("over (%s, bad %v)", fault, bad), 20*time.Minute, func(r *rollout.Run) bool {
		at := fmt.Sprint(r.Step, r.Phase, len(r.New))
		if faulted[at] || r.Phase.Final() {
			return r.ID == 2 && r.Phase.Final()
		}
		faulted[at] = true
		s.inject(fault)
		return false
	})
	want := rollout.Done
	if bad {
		want = rollout.Restored
	}
	r := s.run()
	running, left := s.running(func(version string) bool { return (version == "v2") == bad })
	if len(left) > 0 {
		t.Errorf("%s, bad %v: %v are left", fault, bad, left)
	}
	if r.Phase != want || running != 4 {
		t.Errorf("%s, bad %v: %s (%s) with %d replicas", fault, bad, r.Phase, r.Reason, running)
	}
	s.close()
}

// A roll-out that can't be is refused with the field's name, and nothing is changed.
func TestInvalidStartIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteWithV1(t, 4)
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
		s.startRollout("v2", nil)
		if _, err := s.managers["b"].Start(t.Context(), spec()); !errors.Is(err, rollout.ErrInput) || !strings.Contains(err.Error(), "roll-out already") {
			t.Errorf("a second one: %v", err)
		}
		s.waitFor("done", 10*time.Minute, final(2))
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
