package testkit_test

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/testkit"
)

// rounds is how often each pair of troubles is drawn anew: more outside CI.
var rounds = flag.Int("rounds", 2, "how often each pair of troubles is drawn")

// trouble is a kind of trouble, while it lasts. Each second it does something; it
// counts what it brought about.
type trouble struct {
	name  string
	least int // seconds that it lasts, at least
	most  int
	begin func(m *met)
	each  func(m *met, second int)
	end   func(m *met)
}

// met is a cluster in which two troubles meet.
type met struct {
	*cluster
	leader string // when the first trouble began
	did    *int   // what the trouble at hand brought about
	away   []*testkit.Worker
	jobs   []string // with long tasks
	users  sync.WaitGroup
}

// ask sends a user's request, and waits for no answer.
func (m *met) ask(method, uid string) {
	at := m.names[m.draw(len(m.names))]
	m.users.Add(1)
	go func() { defer m.users.Done(); m.user(at, method, uid) }()
}

func (m *met) machinesAway(cut func(k *testkit.Worker)) {
	from := m.draw(len(m.workers))
	for i := range 3 {
		k := m.workers[(from+i)%len(m.workers)]
		m.away = append(m.away, k)
		cut(k)
		*m.did++
	}
}

func (m *met) machinesBack() {
	for _, k := range m.away {
		m.meet(k.Name, m.names...)
		m.resume(k)
	}
	m.away = nil
}

func (m *met) ms(from, below int) time.Duration {
	return time.Duration(from+m.rnd.IntN(below-from)) * time.Millisecond
}

// troubles are the kinds which may meet, each with any.
var troubles = []trouble{
	{"old reports come again", 5, 25, nil, func(m *met, _ int) {
		for _, n := range m.names {
			if m.draw(3) == 0 {
				m.deliverCopies(m.nodes[n])
				*m.did++
			}
		}
	}, nil},
	{"machines are away", 3, 18, func(m *met) {
		m.machinesAway(func(k *testkit.Worker) { m.cutAll(k.Name, m.names...) })
	}, nil, (*met).machinesBack},
	{"machines hear nothing", 3, 18, func(m *met) {
		m.machinesAway(func(k *testkit.Worker) { m.unheard(k, m.names...) })
	}, nil, (*met).machinesBack},
	{"the state service is slow", 8, 30, func(m *met) {
		did := m.did
		m.cluster.slow = func() time.Duration { *did++; return m.ms(300, 4000) }
	}, nil, func(m *met) { m.cluster.slow = nil }},
	{"transactions are carried out late", 8, 30, func(m *met) {
		did := m.did
		m.lateBy = func() time.Duration {
			if m.rnd.IntN(5) > 0 {
				return 0
			}
			*did++
			return m.ms(2000, 12000)
		}
	}, nil, func(m *met) { m.lateBy = nil }},
	{"commands are held up", 5, 25, func(m *met) {
		did := m.did
		m.holding = func() bool {
			if m.rnd.IntN(3) == 0 {
				return false
			}
			*did++
			return true
		}
	}, func(m *met, _ int) {
		if m.draw(6) == 0 {
			m.release()
		}
	}, func(m *met) { m.holding = nil }},
	{"the leader hands over, and back", 4, 20, nil, func(m *met, _ int) {
		if l := m.cluster.leader(); l != "" {
			o := m.others(l)
			if m.nodes[l].member.HandOver(context.Background(), o[m.draw(len(o))]) == nil {
				*m.did++
			}
		}
	}, nil},
	{"all end, one returns at once", 2, 12, func(m *met) {
		m.stopAll()
		time.Sleep(time.Duration(m.draw(1500)) * time.Millisecond)
		m.start(m.names[m.draw(len(m.names))])
		*m.did++
	}, nil, func(m *met) { m.startAll() }},
	{"the leader is cut from state and peers", 5, 70, func(m *met) {
		m.cutAll(m.leader, append(m.others(m.leader), stateService)...)
		*m.did++
	}, nil, func(m *met) { m.meet(m.leader, append(m.others(m.leader), stateService)...) }},
	{"the leader ends", 2, 15, func(m *met) {
		if l := m.cluster.leader(); l != "" {
			m.crash(l)
			*m.did++
		}
	}, nil, func(m *met) { m.startAll() }},
	{"controllers are back within a second", 4, 15, nil, func(m *met, second int) {
		if second%3 == 1 {
			if m.restart(m.names[m.draw(len(m.names))], time.Duration(m.draw(1000))*time.Millisecond) {
				*m.did++
			}
		}
	}, nil},
	{"jobs are cancelled", 4, 20, nil, func(m *met, _ int) {
		// The last two are left alone.
		m.ask(http.MethodPost, m.jobs[m.draw(len(m.jobs)-2)])
		*m.did++
	}, nil},
	{"the state service is out", 3, 70, func(m *met) {
		m.refuse(m.names...)
		*m.did++
	}, nil, func(m *met) {
		for _, n := range m.names {
			m.meet(n, stateService)
		}
	}},
	{"leases end at machines that are back", 12, 16, func(m *met) {
		m.machinesAway(func(k *testkit.Worker) { m.cutAll(k.Name, m.names...) })
	}, func(m *met, _ int) { m.release() }, (*met).machinesBack},
	{"machines hang and go on", 2, 14, func(m *met) {
		m.machinesAway(func(k *testkit.Worker) { m.hang(k) })
	}, nil, (*met).machinesBack},
}

// Any two troubles meet, at drawn times, with users that submit, ask and cancel at all
// controllers: no rule is broken, and when they are over all that was not cancelled
// runs or has ended, which every controller knows.
func TestAnyTwoTroublesMeet(t *testing.T) {
	t.Parallel()
	var mu sync.Mutex
	did := make([]int, len(troubles)) // pairs in which a trouble brought something about
	t.Run("pairs", func(t *testing.T) {
		for a := range troubles {
			for b := a; b < len(troubles); b++ {
				for round := range *rounds {
					seed := uint64(10000*(a*len(troubles)+b) + round)
					t.Run(fmt.Sprintf("%s; %s; %d", troubles[a].name, troubles[b].name, seed), func(t *testing.T) {
						t.Parallel()
						n, m := 0, 0
						synctest.Test(t, func(t *testing.T) { playPair(t, seed, [2]*trouble{&troubles[a], &troubles[b]}, [2]*int{&n, &m}) })
						mu.Lock()
						defer mu.Unlock()
						did[a] += min(n, 1)
						did[b] += min(m, 1)
					})
				}
			}
		}
	})
	for i, n := range did {
		if most := (len(troubles) + 1) * *rounds; n < most*3/4 {
			t.Errorf("%s: in %d of %d pairs only", troubles[i].name, n, most)
		}
	}
}

func playPair(t *testing.T, seed uint64, pair [2]*trouble, did [2]*int) {
	w := newCluster(t, seed)
	m := &met{cluster: w}
	w.cfg.Params.Teams = []config.Team{{Name: "t"}, {Name: "capped", CPUsMax: 14}}
	w.bigger(3, 6)
	w.long()
	ended := map[string]bool{} // tasks that ended by themselves
	for _, k := range w.workers {
		k.Exit = func(task string) int { ended[task] = true; return 0 }
	}
	for _, n := range w.names {
		w.start(n)
	}
	time.Sleep(2 * time.Second)
	w.keepCuts = true
	sizes := map[string]int{}
	submit := func(uid string, tasks int) {
		sizes[uid] = tasks
		team := "t"
		if strings.HasPrefix(uid, "j-8") || len(uid)%2 == 1 && uid[len(uid)-1]%2 == 0 {
			team = "capped" // at its limit with these
		}
		w.job(uid, team, "normal", tasks, 1)
	}
	for i := range 6 {
		m.jobs = append(m.jobs, fmt.Sprintf("j-%d", 80+i))
		submit(m.jobs[i], 2)
	}
	submit("j-1", 60)
	w.live(12)
	m.leader = w.names[0]
	if l := w.leader(); l != "" {
		m.leader = l
	}
	var from, until [2]int
	for i, x := range pair {
		from[i] = w.draw(10)
		until[i] = from[i] + x.least + w.draw(x.most-x.least+1)
	}
	for second := 0; second <= max(until[0], until[1]); second++ {
		for i, x := range pair {
			m.did = did[i]
			switch {
			case second == from[i] && x.begin != nil:
				x.begin(m)
			case second == until[i] && x.end != nil:
				x.end(m)
			}
			if second >= from[i] && second < until[i] && x.each != nil {
				x.each(m, second-from[i])
			}
		}
		switch w.draw(6) {
		case 0:
			m.ask(http.MethodPost, m.jobs[w.draw(4)])
		case 1, 2:
			submit(fmt.Sprintf("j-%d", 100+second), 1+w.draw(6))
		default:
			for uid := range sizes {
				m.ask(http.MethodGet, uid) // a few, in any order
				if w.draw(4) == 0 {
					break
				}
			}
		}
		w.live(1)
		w.mu.Lock()
		for uid := range w.over {
			done := 0
			for task := range ended {
				if strings.HasPrefix(task, uid+"/") {
					done++
				}
			}
			if done < sizes[uid] {
				w.fail("%s is called done when %d of %d tasks ended", uid, done, sizes[uid])
			}
		}
		w.mu.Unlock()
	}
	w.startAll()
	w.healed()
	w.live(30)
	m.users.Wait()
	unknown := ""
	if !w.within(15, func() bool {
		unknown = ""
		for _, n := range w.names {
			for uid := range sizes {
				if _, ok := w.user(n, http.MethodGet, uid); !ok {
					unknown += " " + n + ":" + uid
				}
			}
		}
		return unknown == ""
	}) {
		t.Errorf("45 s after the last trouble nothing is said of%s", unknown)
	}
	var left []string
	for uid := range sizes {
		if w.cancels[uid].IsZero() && !slices.Contains(m.jobs, uid) {
			left = append(left, uid)
		}
	}
	if !w.within(300, w.ended(left...)) {
		t.Errorf("of %v only %v ended", left, w.store.Keys("final/"))
	}
	for _, uid := range m.jobs {
		if !w.cancels[uid].IsZero() || w.ended(uid)() {
			continue
		}
		if !w.within(60, func() bool { return w.onMachines(uid) == 2 }) {
			stage, ok := w.user(w.names[0], http.MethodGet, uid)
			t.Errorf("%d of 2 long tasks of %s are on; it is %s, %v", w.onMachines(uid), uid, stage, ok)
		}
	}
	w.stopAll()
	time.Sleep(15 * time.Second) // what is still on its way in the store
}
