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
	rounds = flag.Int("rounds", 2, "how often each pair of faults is drawn")
	triple = flag.Int("triples", 40, "how many draws of three faults are played")
)

// TestPairsOfFaultsBreakNoRule plays any two kinds of faults at drawn times, with users that
// submit, ask and cancel at all controllers: no rule is broken, and when they are over all
// that was not cancelled runs or has ended, which every controller knows. What the test does
// repeats with a seed; the fates of single messages and the order of goroutines do not.
func TestPairsOfFaultsBreakNoRule(t *testing.T) {
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

// TestTriplesOfFaultsBreakNoRule plays three kinds of faults, drawn by a fixed seed, as pairs are.
func TestTriplesOfFaultsBreakNoRule(t *testing.T) {
	t.Parallel()
	var effects effectCounter
	t.Run("triples", func(t *testing.T) {
		for i := range *triple {
			kinds := rand.New(rand.NewPCG(uint64(i), 3)).Perm(len(faultKinds))
			effects.play(t, uint64(50_000_000+i), kinds[:3]...)
		}
	})
	effects.check(t)
}

// effectCounter counts in how many draws each kind of fault was played, and brought
// something about.
type effectCounter struct {
	mu            sync.Mutex
	played, acted map[int]int
}

// play plays one draw of some kinds as a subtest.
func (e *effectCounter) play(t *testing.T, seed uint64, kinds ...int) {
	names := make([]string, len(kinds))
	for i, k := range kinds {
		names[i] = faultKinds[k].name
	}
	t.Run(fmt.Sprintf("%s; %d", strings.Join(names, "; "), seed), func(t *testing.T) {
		t.Parallel()
		did := make([]int, len(kinds))
		synctest.Test(t, func(t *testing.T) { playFaults(t, seed, kinds, did) })
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.played == nil {
			e.played, e.acted = map[int]int{}, map[int]int{}
		}
		for i, k := range kinds {
			e.played[k]++
			e.acted[k] += min(did[i], 1)
		}
	})
}

// check fails if a kind of fault had no effect in more than a quarter of its draws: it
// would test nothing.
func (e *effectCounter) check(t *testing.T) {
	for k, played := range e.played {
		if e.acted[k] < played*3/4 {
			t.Errorf("%s: had an effect in %d of %d draws only", faultKinds[k].name, e.acted[k], played)
		}
	}
}

// playFaults plays kinds of faults on a new cluster, each at a drawn time, and counts in did
// what each brought about.
func playFaults(t *testing.T, seed uint64, kinds, did []int) {
	m := newFaultRun(t, seed)
	from, until := make([]int, len(kinds)), make([]int, len(kinds))
	for i, k := range kinds {
		kind := faultKinds[k]
		from[i] = m.draw(10)
		until[i] = from[i] + kind.least + m.draw(kind.most-kind.least+1)
	}
	for second := 0; second <= slices.Max(until); second++ {
		for i, k := range kinds {
			m.did = &did[i]
			faultKinds[k].act(m, second, from[i], until[i])
		}
		m.userActs(second)
		m.live(1)
		m.checkDone()
	}
	m.settle()
}

// act begins, goes on with or ends a fault in the given second.
func (k *faultKind) act(m *faultRun, second, from, until int) {
	switch {
	case second == from && k.begin != nil:
		k.begin(m)
	case second == until && k.end != nil:
		k.end(m)
	}
	if second >= from && second < until && k.each != nil {
		k.each(m, second-from)
	}
}

// newFaultRun starts a cluster with some jobs, six of them with long tasks.
func newFaultRun(t *testing.T, seed uint64) *faultRun {
	w := newCluster(t, seed)
	w.cfg.Params.Teams = []config.Team{{Name: "t"}, {Name: "capped", CPUsMax: 14}}
	m := &faultRun{cluster: w, sizes: map[string]int{}, ended: map[string]bool{}}
	w.resize(3, 6)
	w.long()
	for _, k := range w.workers {
		k.Exit = func(task string) int {
			m.ended[task] = true
			if uid, _, _ := strings.Cut(task, "/"); m.onExit != nil {
				m.onExit(uid)
			}
			return 0
		}
	}
	w.startNodes()
	time.Sleep(2 * time.Second)
	w.keepCuts = true
	for i := range 6 {
		m.jobs = append(m.jobs, fmt.Sprintf("j-%d", 80+i))
		m.accept(m.jobs[i], 2)
	}
	m.accept("j-1", 60)
	w.live(12)
	m.leader = w.names[0]
	if l := w.leader(); l != "" {
		m.leader = l
	}
	return m
}

// accept records a job.
func (m *faultRun) accept(uid string, tasks int) {
	m.sizes[uid] = tasks
	m.accepted = append(m.accepted, uid)
	team := "t"
	if strings.HasPrefix(uid, "j-8") || len(uid)%2 == 1 && uid[len(uid)-1]%2 == 0 {
		team = "capped" // at its limit with these
	}
	m.job(uid, team, "normal", tasks, 1)
}

// userActs has a user cancel, submit or ask.
func (m *faultRun) userActs(second int) {
	switch m.draw(6) {
	case 0:
		m.ask(http.MethodPost, m.jobs[m.draw(4)])
	case 1, 2:
		m.accept(fmt.Sprintf("j-%d", 100+second), 1+m.draw(6))
	default:
		for range 1 + m.draw(4) {
			m.ask(http.MethodGet, m.accepted[m.draw(len(m.accepted))])
		}
	}
}

// checkDone fails if a user heard that a job is done before all its tasks were.
func (m *faultRun) checkDone() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for uid := range m.doneJobs {
		done := 0
		for task := range m.ended {
			if strings.HasPrefix(task, uid+"/") {
				done++
			}
		}
		if done < m.sizes[uid] {
			m.fail("%s is called done when %d of %d tasks ended", uid, done, m.sizes[uid])
		}
	}
}

// unknown lists the controllers and jobs of which nothing is said.
func (m *faultRun) unknown() (out []string) {
	for _, n := range m.names {
		for uid := range m.sizes {
			if _, ok := m.user(n, http.MethodGet, uid); !ok {
				out = append(out, n+":"+uid)
			}
		}
	}
	return out
}

// settle ends all faults, and checks that every job is known, and runs or ends.
func (m *faultRun) settle() {
	w := m.cluster
	w.startAll()
	w.healed()
	w.live(30)
	m.users.Wait()
	if !w.within(15, func() bool { return len(m.unknown()) == 0 }) {
		w.t.Errorf("45 s after the last fault nothing is said of %v", m.unknown())
	}
	var left []string
	for uid := range m.sizes {
		if w.confirmedCancels[uid].IsZero() && !slices.Contains(m.jobs, uid) {
			left = append(left, uid)
		}
	}
	if !w.within(300, w.ended(left...)) {
		w.t.Errorf("of %v only %v ended", left, w.store.Keys("final/"))
	}
	for _, uid := range m.jobs {
		if !w.confirmedCancels[uid].IsZero() || w.ended(uid)() {
			continue
		}
		if !w.within(60, func() bool { return w.onMachines(uid) == 2 }) {
			stage, ok := w.user(w.names[0], http.MethodGet, uid)
			w.t.Errorf("%d of 2 long tasks of %s are on; it is %s, %v", w.onMachines(uid), uid, stage, ok)
		}
	}
	w.stopAll()
	time.Sleep(15 * time.Second) // what is still on its way in the store
}
