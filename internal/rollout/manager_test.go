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

// A version that turns unhealthy halfway through its roll-out is rolled back, and all replicas of the
// prior version are healthy again within a minute.
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
		reserved := 0.0 // largest reserved capacity seen until the roll-back; the capacity must be released when the roll-out ends
		s.waitFor("unhealthy", 5*time.Minute, func(r *rollout.Run) bool {
			reserved = max(reserved, s.managers["a"].ReservedCPUs())
			return r.ID == 2 && r.Phase == rollout.RollingBack
		})
		if took := s.waitFor("restored", time.Minute, hasEnded(2)); took > time.Minute {
			t.Errorf("restored after %v", took)
		}
		r := s.run()
		if r.Phase != rollout.Restored || !strings.Contains(r.Reason, "/1") || s.maxReplicas["v2"] == 8 {
			t.Errorf("%s: %s; %d of the new version", r.Phase, r.Reason, s.maxReplicas["v2"])
		}
		if s.minHealthy < 8 {
			t.Errorf("only %d of 8 replicas were healthy during the roll-out", s.minHealthy)
		}
		if reserved < 1 || s.managers["a"].ReservedCPUs() != 0 {
			t.Errorf("%v CPUs were reserved, and %v after the end", reserved, s.managers["a"].ReservedCPUs())
		}
		past, err := s.managers["a"].History(context.Background(), "tips")
		if err != nil || len(past) != 2 || past[1].Phase != rollout.Restored {
			t.Errorf("history %+v, %v", past, err)
		}
		s.close()
	})
}

// Checks that time out pause the roll-out, with the replica's name as the reason, until an operator
// resumes it. A version whose health flaps below the thresholds is rolled out.
func TestHangingCheckPausesAndFlappingVersionPasses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteWithV1(t, 4)
		var hang atomic.Bool
		hang.Store(true)
		s.setHealth(func(v string, replica int, since time.Duration) rollout.Health {
			switch {
			case v == "v2" && replica == 0 && hang.Load():
				return rollout.Hung
			case v == "v2" && int(since.Seconds())%8 < 4: // two of every four checks
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

// No step begins in a slot. A step that is in progress when a slot begins is completed, and the next
// one waits for the end of the slot.
func TestStepsWaitForEndOfSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSiteWithV1(t, 4)
		s.settings.Classes = []string{slotClass}
		s.setUnfinished(true)
		s.startRollout("v2", nil)
		s.waitFor("waiting", time.Minute, func(r *rollout.Run) bool { return r.Phase == rollout.WaitingSlot })
		time.Sleep(5 * time.Minute)
		if s.maxReplicas["v2"] != 0 {
			t.Error("a step began in a slot")
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
		s.waitFor("done", 10*time.Minute, hasEnded(2))
		s.close()
	})
}

// inject injects a fault, and undoes it or sets the time at which it ends.
func (s *site) inject(fault string) {
	switch fault {
	case "killed":
		s.stop("a")
		s.setLeader("b")
		time.Sleep(4 * time.Second)
		s.start("a")
		time.Sleep(2 * time.Second)
		s.setLeader("a")
	case "deposed": // controller a still regards itself as the leader for 3 s
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

// running returns the number of live replicas, and the jobs of live replicas whose version is unwanted.
func (s *site) running(unwanted func(version string) bool) (replicas int, unwantedJobs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for uid, j := range s.jobs {
		if j.stopped {
			continue
		}
		replicas += j.replicas
		if unwanted(s.versionOf[uid]) {
			unwantedJobs = append(unwantedJobs, uid+" of "+s.versionOf[uid])
		}
	}
	return replicas, unwantedJobs
}

// At every transition of a roll-out the leader is killed or deposed, the state service is unavailable
// for 30 s, or machines are lost. The roll-out ends in the same phase as without faults.
func TestFaultsAtEveryTransition(t *testing.T) {
	for _, bad := range []bool{false, true} {
		for _, fault := range []string{"killed", "deposed", "state out", "machines lost"} {
			synctest.Test(t, func(t *testing.T) { rollOutWithFaults(t, fault, bad) })
		}
	}
}

// rollOutWithFaults rolls out a version, which turns unhealthy if bad is set, and injects a fault at
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
		t.Errorf("%s, bad %v: %v still run", fault, bad, left)
	}
	if r.Phase != want || running != 4 {
		t.Errorf("%s, bad %v: %s (%s) with %d replicas", fault, bad, r.Phase, r.Reason, running)
	}
	s.close()
}

// An invalid roll-out is refused with the name of the invalid field, and no record is written.
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
			x := newSpec()
			change(&x)
			if _, err := s.managers["a"].Start(t.Context(), x); !errors.Is(err, rollout.ErrInput) || !strings.Contains(err.Error(), want) {
				t.Errorf("%v instead of %q", err, want)
			}
		}
		if after := len(s.store.Keys("rollout/")); after != before {
			t.Errorf("%d records instead of %d", after, before)
		}
		s.startRollout("v2", nil)
		if _, err := s.managers["b"].Start(t.Context(), newSpec()); !errors.Is(err, rollout.ErrInput) || !strings.Contains(err.Error(), "roll-out already") {
			t.Errorf("a second roll-out of the service: %v", err)
		}
		s.waitFor("done", 10*time.Minute, hasEnded(2))
		s.close()
	})
}

// BenchmarkTick measures a tick with the maximum of 50 roll-outs of 40 replicas each, none of which
// changes its phase.
func BenchmarkTick(b *testing.B) {
	s := newSite(b, 1)
	for i := range rollout.MaxRuns {
		x := newSpec()
		x.Service, x.Replicas, x.Steps, x.Check.EveryS = fmt.Sprintf("s-%d", i), rollout.MaxReplicas/rollout.MaxRuns, []string{"100%"}, 300
		for n := 0; ; n++ {
			if _, err := s.managers["a"].Start(b.Context(), x); err == nil {
				break
			} else if n > 40 {
				b.Fatal(err)
			}
			time.Sleep(50 * time.Millisecond) // the manager has not read the records yet
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
