package testkit_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/config"
)

var (
	rounds      = flag.Int("rounds", 2, "how often each pair of faults is drawn")
	tripleDraws = flag.Int("triples", 40, "how many draws of three faults are played")
)

// TestFaultPairsKeepInvariants runs every pair of fault kinds at drawn times, while users submit, poll
// and cancel at all controllers. No invariant is violated, and after the faults every job that was not
// cancelled runs or has ended, and every controller knows it. A seed reproduces the steps of the test,
// but not what happens to single messages nor the order of goroutines.
func TestFaultPairsKeepInvariants(t *testing.T) {
	t.Parallel()
	var effects effectCounter
	t.Run("pairs", func(t *testing.T) {
		for a := range faultKinds {
			for b := a; b < len(faultKinds); b++ {
				for round := range *rounds {
					effects.play(t, uint64(10000*(a*len(faultKinds)+b)+round), a, b)
				}
			}
		}
	})
	effects.check(t)
}

// TestFaultTriplesKeepInvariants runs three fault kinds at a time, drawn from a fixed seed.
func TestFaultTriplesKeepInvariants(t *testing.T) {
	t.Parallel()
	var effects effectCounter
	t.Run("triples", func(t *testing.T) {
		for i := range *tripleDraws {
			kinds := rand.New(rand.NewPCG(uint64(i), 3)).Perm(len(faultKinds))
			effects.play(t, uint64(50_000_000+i), kinds[:3]...)
		}
	})
	effects.check(t)
}

// effectCounter counts, for each kind of fault, the runs with it and the runs in which it had an
// effect.
type effectCounter struct {
	mu                sync.Mutex
	played, effective map[int]int
}

// play runs the given kinds of faults as one subtest.
func (e *effectCounter) play(t *testing.T, seed uint64, kinds ...int) {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = faultKinds[k].name
	}
	t.Run(fmt.Sprintf("%s; %d", strings.Join(names, "; "), seed), func(t *testing.T) {
		t.Parallel()
		effects := make([]int, len(kinds))
		synctest.Test(t, func(t *testing.T) { playFaults(t, seed, kinds, effects) })
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.played == nil {
			e.played, e.effective = map[int]int{}, map[int]int{}
		}
		for i, k := range kinds {
			e.played[k]++
			e.effective[k] += min(effects[i], 1)
		}
	})
}

// check fails if a kind of fault had an effect in less than three quarters of its runs, because runs
// without an effect do not test that fault.
func (e *effectCounter) check(t *testing.T) {
	for k, played := range e.played {
		if e.effective[k] < played*3/4 {
			t.Errorf("%s: had an effect in %d of %d draws only", faultKinds[k].name, e.effective[k], played)
		}
	}
}

// playFaults runs kinds of faults on a new cluster, each at a drawn time, and counts the effects of
// each in effects.
func playFaults(t *testing.T, seed uint64, kinds, effects []int) {
	m := newFaultRun(t, seed)
	from, until := make([]int, len(kinds)), make([]int, len(kinds))
	for i, k := range kinds {
		kind := faultKinds[k]
		from[i] = m.planIntN(10)
		until[i] = from[i] + kind.minSeconds + m.planIntN(kind.maxSeconds-kind.minSeconds+1)
	}
	for second := 0; second <= slices.Max(until); second++ {
		for i, k := range kinds {
			m.effects = &effects[i]
			faultKinds[k].advance(m, second, from[i], until[i])
		}
		m.drawUserRequests(second)
		m.runFor(1)
		m.checkDoneJobs()
	}
	m.endFaultsAndCheck()
}

// advance begins, continues or ends a fault in the given second.
func (k *faultKind) advance(m *faultRun, second, from, until int) {
	switch {
	case second == from && k.begin != nil:
		k.begin(m)
	case second == until && k.end != nil:
		k.end(m)
	}
	if second >= from && second < until && k.everySecond != nil {
		k.everySecond(m, second-from)
	}
}

// newFaultRun starts a cluster with some jobs, six of them with long tasks.
func newFaultRun(t *testing.T, seed uint64) *faultRun {
	w := newCluster(t, seed)
	w.cfg.Params.Teams = []config.Team{{Name: "t"}, {Name: "capped", CPUsMax: 14}}
	m := &faultRun{cluster: w, taskCounts: map[string]int{}, endedTasks: map[string]bool{}}
	w.resize(3, 6)
	w.setLongTasks()
	for _, k := range w.workers {
		k.ExitCode = func(task string) int {
			m.endedTasks[task] = true
			if uid, _, _ := strings.Cut(task, "/"); m.onExit != nil {
				m.onExit(uid)
			}
			return 0
		}
	}
	w.startControllers()
	time.Sleep(2 * time.Second)
	w.keepBrokenLinks = true
	for i := range 6 {
		m.longJobs = append(m.longJobs, fmt.Sprintf("j-%d", 80+i))
		m.submitTracked(m.longJobs[i], 2)
	}
	m.submitTracked("j-1", 60)
	w.runFor(12)
	m.firstLeader = w.controllerNames[0]
	if l := w.leader(); l != "" {
		m.firstLeader = l
	}
	return m
}

// submitTracked submits a job and notes its number of tasks.
func (m *faultRun) submitTracked(uid string, tasks int) {
	m.taskCounts[uid] = tasks
	m.accepted = append(m.accepted, uid)
	team := "t"
	if strings.HasPrefix(uid, "j-8") || len(uid)%2 == 1 && uid[len(uid)-1]%2 == 0 {
		team = "capped" // these jobs bring the team to its limit
	}
	m.submitArray(uid, team, "normal", tasks, 1)
}

// drawUserRequests sends drawn requests of users: a cancel, a submission or polls.
func (m *faultRun) drawUserRequests(second int) {
	switch m.planIntN(6) {
	case 0:
		m.sendUserRequest(http.MethodPost, m.longJobs[m.planIntN(4)])
	case 1, 2:
		m.submitTracked(fmt.Sprintf("j-%d", 100+second), 1+m.planIntN(6))
	default:
		for range 1 + m.planIntN(4) {
			m.sendUserRequest(http.MethodGet, m.accepted[m.planIntN(len(m.accepted))])
		}
	}
}

// checkDoneJobs fails if a user was told that a job is done before all its tasks had ended.
func (m *faultRun) checkDoneJobs() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for uid := range m.doneJobs {
		done := 0
		for task := range m.endedTasks {
			if strings.HasPrefix(task, uid+"/") {
				done++
			}
		}
		if done < m.taskCounts[uid] {
			m.fail("%s is reported done when %d of %d tasks have ended", uid, done, m.taskCounts[uid])
		}
	}
}

// unansweredJobs returns the controllers and jobs for which a poll is not answered.
func (m *faultRun) unansweredJobs() (out []string) {
	for _, n := range m.controllerNames {
		for uid := range m.taskCounts {
			if _, ok := m.userRequest(n, http.MethodGet, uid); !ok {
				out = append(out, n+":"+uid)
			}
		}
	}
	return out
}

// endFaultsAndCheck ends all faults, and checks that every job is known, and runs or has ended.
func (m *faultRun) endFaultsAndCheck() {
	w := m.cluster
	w.startStopped()
	w.healAllLinks()
	w.runFor(30)
	m.pendingRequests.Wait()
	if !w.runUntil(15, func() bool { return len(m.unansweredJobs()) == 0 }) {
		w.t.Errorf("45 s after the last fault these polls are not answered: %v", m.unansweredJobs())
	}
	var remaining []string
	for uid := range m.taskCounts {
		if w.confirmedCancels[uid].IsZero() && !slices.Contains(m.longJobs, uid) {
			remaining = append(remaining, uid)
		}
	}
	if !w.runUntil(300, w.jobsEnded(remaining...)) {
		w.t.Errorf("of jobs %v only these ended: %v", remaining, w.store.Keys("final/"))
	}
	for _, uid := range m.longJobs {
		if !w.confirmedCancels[uid].IsZero() || w.jobsEnded(uid)() {
			continue
		}
		if !w.runUntil(60, func() bool { return w.unfinishedTasks(uid) == 2 }) {
			stage, ok := w.userRequest(w.controllerNames[0], http.MethodGet, uid)
			w.t.Errorf("%d of 2 long tasks of %s are running; its stage is %s, answered %v", w.unfinishedTasks(uid), uid, stage, ok)
		}
	}
	w.stopAll()
	time.Sleep(15 * time.Second) // for transactions still in flight
}
