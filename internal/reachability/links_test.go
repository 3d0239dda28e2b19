package reachability_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/reachability"
)

var noon = time.Date(2026, 1, 1, 12, 0, 0, 0, time.UTC)

// silences makes n silent machines.
func silences(n int, silent time.Duration) (ms []reachability.UnresponsiveWorker) {
	for i := range n {
		ms = append(ms, reachability.UnresponsiveWorker{Name: fmt.Sprintf("n-%d", i), Endpoint: "e", SilentFor: silent, Busy: true})
	}
	return ms
}

func judge() *reachability.FailureDetector {
	return &reachability.FailureDetector{Base: 14 * time.Second, Lease: 44 * time.Second, Report: 8 * time.Second, Grace: 17 * time.Second}
}

// near is a peer with which all is well.
func near(name string, reports int) reachability.Peer {
	return reachability.Peer{Name: name, Known: true, OutboundReachable: true, Status: reachability.NodeStatus{Node: name, StoreReachable: true, LeaseHeld: true, Heartbeats: reports}}
}

// An owner that heard nobody gave 1,300 living machines back in a minute; another,
// whose sockets were full, 1,000 in every 50 s. Silence is weighed against how well
// one hears, what others hear, and what no accident does.
// unheard makes machines ones that a new owner has not heard.
func unheard(silent []reachability.UnresponsiveWorker) []reachability.UnresponsiveWorker {
	for i := range silent {
		silent[i].UnheardSinceFailover = true
	}
	return silent
}

func TestSilence(t *testing.T) {
	apart := func(names ...string) reachability.Peer {
		p := near("b", 0)
		p.Path, p.Age, p.SinceHeard = reachability.ViaStore, 2*time.Second, time.Minute
		p.Status.UnreachedPeers, p.Status.HeardWorkers = []string{"a"}, reachability.NewNameSet(names, 1000)
		return p
	}
	dark := func(age time.Duration) reachability.Peer {
		p := near("b", 0)
		p.Age, p.SinceHeard = age, age
		return p
	}
	deaf := reachability.NodeStatus{Node: "a", Heartbeats: 2, ExpectedHeartbeats: 400}
	fine := reachability.NodeStatus{Node: "a", Heartbeats: 380, ExpectedHeartbeats: 400}
	oneWay := near("b", 0)
	oneWay.Status.UnreachedPeers, oneWay.Status.HeardWorkers = []string{"a"}, reachability.NewNameSet([]string{"n-0", "n-1", "n-2"}, 1000)
	unasked := near("b", 0)
	unasked.Status.HeardWorkers = reachability.NewNameSet([]string{"n-0", "n-1", "n-2"}, 1000)
	for _, c := range []struct {
		name   string
		self   reachability.NodeStatus
		peers  []reachability.Peer
		known  int
		silent []reachability.UnresponsiveWorker
		ears   reachability.ReceiveHealth
		answer bool // whether they answer when asked
		want   int  // returned at the second look
	}{
		{"a few died", fine, []reachability.Peer{near("b", 0)}, 1000, silences(70, 14*time.Second), reachability.ReceiveHealth{}, false, 70},
		{"they answer when asked", fine, []reachability.Peer{near("b", 0)}, 1000, silences(70, 40*time.Second), reachability.ReceiveHealth{}, true, 0},
		{"not for long enough", fine, nil, 1000, silences(70, 9*time.Second), reachability.ReceiveHealth{}, false, 0},
		{"the owner hears nobody", deaf, nil, 1000, silences(30, 14*time.Second), reachability.ReceiveHealth{}, false, 0},
		{"it hears nobody for a lease and more", reachability.NodeStatus{Node: "a"}, nil, 1000, silences(1000, 65*time.Second), reachability.ReceiveHealth{}, false, 0},
		{"nor any of three", fine, nil, 3, silences(3, 20*time.Second), reachability.ReceiveHealth{}, false, 0},
		{"one of three died", fine, nil, 3, silences(1, 14*time.Second), reachability.ReceiveHealth{}, false, 1},
		{"most at once", fine, []reachability.Peer{near("b", 0)}, 1000, silences(600, 20*time.Second), reachability.ReceiveHealth{}, false, 0},
		{"most, for a lease: no more than an accident takes", fine, nil, 250, silences(150, 50*time.Second), reachability.ReceiveHealth{}, false, 100},
		{"sockets were full a moment ago", fine, nil, 1000, silences(70, 14*time.Second), reachability.ReceiveHealth{RefusedConnections: 5}, false, 0},
		{"this process stood still", fine, nil, 1000, silences(70, 14*time.Second), reachability.ReceiveHealth{TimerDelay: 5 * time.Second}, false, 0},
		{"sockets are full, and they were silent twice as long", fine, nil, 1000, silences(70, 28*time.Second), reachability.ReceiveHealth{RefusedConnections: 5}, false, 70},
		{"a peer hears three, and only the state service tells", fine, []reachability.Peer{apart("n-0", "n-1", "n-2")}, 1000, silences(70, 14*time.Second), reachability.ReceiveHealth{}, false, 67},
		{"a peer hears three, and its calls don't come through", fine, []reachability.Peer{oneWay}, 1000, silences(70, 14*time.Second), reachability.ReceiveHealth{}, false, 67},
		{"a peer hears three, and can't be asked", reachability.NodeStatus{Node: "a", UnreachedPeers: []string{"b"}}, []reachability.Peer{unasked}, 1000, silences(70, 14*time.Second), reachability.ReceiveHealth{}, false, 67},
		{"a peer went dark with them", fine, []reachability.Peer{dark(14 * time.Second)}, 1000, silences(70, 15*time.Second), reachability.ReceiveHealth{}, false, 0},
		{"a peer went dark before the take-over, and they were heard since", fine, []reachability.Peer{dark(36 * time.Second)}, 1000, silences(70, 14*time.Second), reachability.ReceiveHealth{}, false, 70},
		{"the owner before went dark, and they were not heard since", fine, []reachability.Peer{dark(36 * time.Second)}, 1000, unheard(silences(70, 14*time.Second)), reachability.ReceiveHealth{}, false, 0},
		{"a peer went dark long before the take-over", fine, []reachability.Peer{dark(50 * time.Second)}, 1000, unheard(silences(70, 15*time.Second)), reachability.ReceiveHealth{}, false, 0},
		{"a peer went dark so long before the take-over that it answers nobody", fine, []reachability.Peer{dark(62 * time.Second)}, 1000, unheard(silences(70, 15*time.Second)), reachability.ReceiveHealth{}, false, 70},
		{"a peer went dark long after the take-over", fine, []reachability.Peer{dark(3 * time.Second)}, 1000, unheard(silences(70, 40*time.Second)), reachability.ReceiveHealth{}, false, 70},
		{"a peer was never heard, nor were they", fine, []reachability.Peer{{Name: "b", Age: 59 * time.Second, SinceHeard: time.Hour}}, 1000, unheard(silences(70, 15*time.Second)), reachability.ReceiveHealth{}, false, 0},
		{"a peer was never heard for longer than it may answer", fine, []reachability.Peer{{Name: "b", Age: 62 * time.Second, SinceHeard: time.Hour}}, 1000, unheard(silences(70, 15*time.Second)), reachability.ReceiveHealth{}, false, 70},
		{"a peer was never heard, and they were", fine, []reachability.Peer{{Name: "b", Age: 15 * time.Second, SinceHeard: time.Hour}}, 1000, silences(70, 15*time.Second), reachability.ReceiveHealth{}, false, 70},
		{"a peer went dark long before", fine, []reachability.Peer{dark(50 * time.Second)}, 1000, silences(70, 15*time.Second), reachability.ReceiveHealth{}, false, 70},
		{"a peer has been dark for longer than it may answer", fine, []reachability.Peer{dark(62 * time.Second)}, 1000, silences(70, 62*time.Second), reachability.ReceiveHealth{}, false, 70},
	} {
		s, v := judge(), reachability.View{Self: c.self, Peers: c.peers}
		var got reachability.Verdict
		for i := range 2 {
			got = s.Evaluate(noon.Add(time.Duration(i)*time.Second), &v, c.ears, c.known, c.silent)
			for name := range got.Probe {
				s.RecordProbe(name, c.answer, noon.Add(time.Duration(i)*time.Second))
			}
		}
		// A Bloom filter may take one in a thousand others for a member.
		if n := len(got.Return); n > c.want || n < c.want-1 {
			t.Errorf("%s: %d machines are returned, not %d (kept: %d, %s)", c.name, n, c.want, got.Kept, got.KeptReason)
		}
	}
}

// A controller that was apart heard a machine all the while. When the link heals, it no
// longer says so in its row, and what came of asking before is of a time when it could
// not be asked: living machines were returned in that second.
func TestAskedAgainWhenAPeerIsBack(t *testing.T) {
	s := judge()
	gone, back := near("b", 0), near("b", 0)
	gone.Age, gone.SinceHeard = 8*time.Second, 8*time.Second
	silent := silences(3, 5*time.Second) // asked, and not to be returned yet
	look := func(sec int, p reachability.Peer, lives bool) int {
		now := noon.Add(time.Duration(sec) * time.Second)
		v := reachability.View{Self: reachability.NodeStatus{Node: "a", Heartbeats: 380, ExpectedHeartbeats: 400}, Peers: []reachability.Peer{p}}
		got := s.Evaluate(now, &v, reachability.ReceiveHealth{}, 1000, silent)
		for name := range got.Probe {
			s.RecordProbe(name, lives, now)
		}
		return len(got.Return)
	}
	s.Evaluate(noon.Add(-time.Minute), &reachability.View{Peers: []reachability.Peer{back}}, reachability.ReceiveHealth{}, 1000, nil)
	look(0, gone, false)
	silent = silences(3, 30*time.Second)
	if n := look(1, back, true); n > 0 {
		t.Errorf("%d machines are returned in the second in which the peer is back", n)
	}
	if n := look(3, back, true); n > 0 {
		t.Errorf("%d machines that the peer hears are returned", n)
	}
}

// Reports come at random: what raises a doubt must not happen by chance.
func TestDoubts(t *testing.T) {
	for _, c := range []struct {
		perSecond float64
		quiet     time.Duration
		want      bool
	}{{170, 700 * time.Millisecond, false}, {170, 800 * time.Millisecond, true}, {3, 5 * time.Second, false}, {3, 7 * time.Second, true}, {0, time.Hour, false}} {
		if reachability.ShouldProbe(c.perSecond, c.quiet) != c.want {
			t.Errorf("%+v", c)
		}
	}
}

// A machine is not returned before it was asked and did not answer.
func TestAskedBeforeReturned(t *testing.T) {
	s, v := judge(), reachability.View{Self: reachability.NodeStatus{Node: "a"}}
	ms := silences(1, 14*time.Second)
	if got := s.Evaluate(noon, &v, reachability.ReceiveHealth{}, 100, ms); len(got.Return) != 0 || len(got.Probe) != 1 {
		t.Errorf("at once: %+v", got)
	}
	if got := s.Evaluate(noon.Add(time.Second), &v, reachability.ReceiveHealth{}, 100, ms); len(got.Return) != 0 || len(got.Probe) != 0 {
		t.Errorf("while it is asked: %+v", got)
	}
	s.RecordProbe("n-0", false, noon.Add(time.Second))
	if got := s.Evaluate(noon.Add(2*time.Second), &v, reachability.ReceiveHealth{}, 100, ms); len(got.Return) != 1 {
		t.Errorf("after it did not answer: %+v", got)
	}
	// That it did not answer a while ago says nothing of now: links heal.
	if got := s.Evaluate(noon.Add(5*time.Second), &v, reachability.ReceiveHealth{}, 100, ms); len(got.Return) != 0 || len(got.Probe) != 1 {
		t.Errorf("later: %+v", got)
	}
}

// An owner that lost its workers for a minute, and nothing else, returned 700 of
// 1,300 machines as silent, with their tasks, and rented others. Flapping links
// move the jobs less and less.
func TestLook(t *testing.T) {
	peers := func(a, b int) []reachability.Peer {
		cut := near("c", 900)
		cut.Status.StoreReachable = false
		return []reachability.Peer{near("a", a), near("b", b), cut}
	}
	tries := func(reaches float64) []reachability.Peer {
		p := near("b", 0)
		p.Status.Probed, p.Status.ProbeSuccess = true, reaches
		return []reachability.Peer{near("a", 0), p}
	}
	stored := near("a", 200)
	stored.Path, stored.Age, stored.SinceHeard = reachability.ViaStore, 4*time.Second, time.Hour
	old := near("a", 200)
	old.Age, old.SinceHeard = 4*time.Second, 4*time.Second
	for _, c := range []struct {
		name     string
		after    time.Duration
		owns     bool
		heard    int
		expected float64
		peers    []reachability.Peer
		moves    int
		want     string
	}{
		{"hears its workers", time.Minute, true, 400, 480, peers(100, 0), 0, ""},
		{"lost its workers, and a peer hears them", time.Minute, true, 0, 480, peers(90, 200), 0, "b"},
		{"the mesh is down, and the state service tells", time.Minute, true, 0, 480, []reachability.Peer{stored}, 0, "a"},
		{"does not reach those it tried, a peer does", time.Minute, true, 400, 480, tries(1), 0, "b"},
		{"nobody reaches those that were tried", time.Minute, true, 400, 480, tries(0.1), 0, ""},
		{"who heard them is not heard any more", time.Minute, true, 0, 480, []reachability.Peer{old}, 0, ""},
		{"nobody hears them", time.Minute, true, 0, 480, peers(0, 9), 0, ""},
		{"only one without the state service does", time.Minute, true, 0, 480, peers(0, 0), 0, ""},
		{"has only just begun", 5 * time.Second, true, 0, 480, peers(90, 200), 0, ""},
		{"has only just been given them", 20 * time.Second, true, 0, 480, peers(90, 200), 1, "b"},
		{"after three hand-overs", 30 * time.Second, true, 0, 480, peers(90, 200), 3, ""},
		{"long after three hand-overs", 2 * time.Minute, true, 0, 480, peers(90, 200), 3, "b"},
		{"owns nothing", time.Minute, false, 0, 480, peers(90, 200), 0, ""},
		{"too few machines to tell", time.Minute, true, 0, 6, peers(5, 0), 0, ""},
		{"a third of the machines is cut off", time.Minute, true, 300, 480, peers(160, 0), 0, ""},
	} {
		var w reachability.TransferMonitor
		v := reachability.View{Self: reachability.NodeStatus{Node: "o", OwnsJobs: c.owns, Heartbeats: c.heard, ExpectedHeartbeats: c.expected, Probed: true, ProbeSuccess: 0}, Peers: c.peers}
		w.Check(noon, &reachability.View{Self: reachability.NodeStatus{OwnsJobs: c.owns}}, 0)
		now := noon.Add(c.after)
		if got := w.Check(now, &v, c.moves); got != "" {
			t.Errorf("%s: one look was enough for %q", c.name, got)
		}
		if got := w.Check(now.Add(time.Second), &v, c.moves); got != c.want {
			t.Errorf("%s: to %q, not %q", c.name, got, c.want)
		}
	}
}

// world is which links of three controllers work: to the state service, to the
// workers, and between each two, one way and the other.
type world struct {
	state, workers [3]bool
	mesh           [3][3]bool // calls of the one reach the other, and bring an answer
}

var names = [3]string{"a", "b", "c"}

func worlds(f func(w world)) {
	for bits := range 1 << 12 {
		var w world
		next := func() bool { bit := bits&1 == 1; bits >>= 1; return bit }
		for i := range 3 {
			w.state[i], w.workers[i] = next(), next()
			for j := range 3 {
				w.mesh[i][j] = i != j && next()
			}
		}
		f(w)
	}
}

// views has the controllers of a world exchange what they know for some seconds,
// as they do, with owner the owner of all jobs, and returns their views.
func (w *world) views(owner int) [3]reachability.View {
	var tables [3]*reachability.Table
	for i := range tables {
		tables[i] = reachability.NewTable(names[i], []string{names[(i+1)%3], names[(i+2)%3]})
	}
	now := noon
	row := func(i int, seq uint64) reachability.NodeStatus {
		r := reachability.NodeStatus{Node: names[i], StartedMs: 1, Seq: seq, StoreReachable: w.state[i], LeaseHeld: w.state[i], OwnsJobs: i == owner, PreferredLeader: names[owner], UnreachedPeers: tables[i].UnreachedPeers(now)}
		if i == owner {
			r.ExpectedHeartbeats = 400
		}
		if w.workers[i] {
			r.Heartbeats = 400
			if w.workers[owner] && i != owner {
				r.Heartbeats = 0 // all are at the owner
			}
		}
		return r
	}
	for s := uint64(1); s <= 8; s++ {
		now = now.Add(time.Second)
		for i := range 3 {
			for j := range 3 {
				if i == j {
					continue
				}
				tables[i].RecordCall(names[j], w.mesh[i][j], true)
				if w.mesh[i][j] { // a ping and its answer
					tables[j].Update(row(i, s), reachability.Direct, 0, now)
					tables[j].UpdateRelayed(tables[i].RelayFor(names[j], now), now)
					tables[i].Update(row(j, s), reachability.Direct, 0, now)
					tables[i].UpdateRelayed(tables[j].RelayFor(names[i], now), now)
				}
			}
		}
		for i := range 3 {
			if v := tables[i].View(row(i, s), now); !w.state[i] || len(v.UnreachedPeers()) == 0 {
				continue
			}
			for j := range 3 {
				if j != i && w.state[j] {
					tables[j].Update(row(i, s), reachability.ViaStore, 0, now)
				}
			}
		}
	}
	var out [3]reachability.View
	for i := range out {
		out[i] = tables[i].View(row(i, 9), now)
	}
	return out
}

// reached reports whether i is told of j by any way.
func (w *world) reached(i, j int) bool {
	k := 3 - i - j
	direct := func(x, y int) bool { return w.mesh[x][y] || w.mesh[y][x] }
	return direct(i, j) || w.state[i] && w.state[j] || direct(i, k) && direct(k, j)
}

// Every combination of links of three controllers that work or don't, with the
// owner at one of them: 4,096 worlds.
func TestDecisionsInEveryWorld(t *testing.T) {
	bad := 0
	worlds(func(w world) {
		fail := func(format string, args ...any) {
			if bad++; bad < 20 {
				t.Errorf("%+v: %s", w, fmt.Sprintf(format, args...))
			}
		}
		vs := w.views(0)
		up := 0
		for i := range vs {
			v := &vs[i]
			better := false
			for j := range vs {
				if i == j {
					continue
				}
				better = better || w.state[j] && w.reached(i, j)
				for p := range v.Peers {
					if v.Peers[p].Name == names[j] && v.Peers[p].IsFresh() != w.reached(i, j) {
						fail("%s knows of %s: %v", names[i], names[j], v.Peers[p].IsFresh())
					}
				}
				// A message goes straight, or by a third that reaches the other.
				way, third := v.NextHop(names[j]), 3-i-j
				switch {
				case w.mesh[i][j] && way != names[j]:
					fail("%s takes a way round to %s", names[i], names[j])
				case !w.mesh[i][j] && way == names[third] && !(w.mesh[i][third] && w.mesh[third][j]):
					fail("%s goes to %s by %s, which does not reach it", names[i], names[j], way)
				case !w.mesh[i][j] && way == names[j] && w.mesh[i][third] && w.mesh[third][j] && (w.mesh[j][third] || w.mesh[third][j]):
					fail("%s has no way round to %s", names[i], names[j])
				}
			}
			if v.Healthy() != (w.state[i] || !better) {
				fail("%s is up: %v", names[i], v.Healthy())
			}
			if v.Healthy() {
				up++
			}
			if f := v.Leader(); f != names[i] && f != names[0] {
				fail("%s sends workers to %s, which owns nothing", names[i], f)
			} else if i > 0 && f == names[0] && !w.workers[0] {
				fail("%s sends workers to an owner that does not hear them", names[i])
			} else if i > 0 && f != names[0] && w.workers[0] && w.reached(i, 0) && (w.state[i] || w.state[0]) {
				fail("%s keeps workers from the owner that hears them", names[i])
			}
			for _, p := range v.ServingPeers() {
				if j := int(p[0] - 'a'); !w.state[j] || !w.mesh[i][j] {
					fail("%s asks %s to pass requests on", names[i], p)
				}
			}
		}
		if up == 0 {
			fail("nobody is up")
		}
		// The owner: it hands over if, and only if, it hears nobody and one that does
		// reaches the state service, and that is known.
		var watch reachability.TransferMonitor
		watch.Check(noon, &reachability.View{Self: reachability.NodeStatus{OwnsJobs: true}}, 0)
		to := ""
		for i := range 2 {
			to = watch.Check(noon.Add(time.Minute+time.Duration(i)*time.Second), &vs[0], 0)
		}
		could := false
		for j := 1; j < 3; j++ {
			fit := w.state[j] && w.workers[j] && w.reached(0, j)
			could = could || fit
			if to == names[j] && !fit {
				fail("handed over to %s", to)
			}
		}
		if (to != "") != (could && !w.workers[0]) {
			fail("handed over to %q", to)
		}
		// Whoever hears nobody gives nothing back, however long that lasts.
		if !w.workers[0] {
			s := judge()
			for i := 0; i < 120; i += 12 {
				got := s.Evaluate(noon.Add(time.Duration(i)*time.Second), &vs[0], reachability.ReceiveHealth{}, 20, silences(20, time.Duration(i)*time.Second))
				for name := range got.Probe {
					s.RecordProbe(name, false, noon.Add(time.Duration(i)*time.Second))
				}
				if len(got.Return) > 0 {
					fail("%d machines are returned after %d s", len(got.Return), i)
					break
				}
			}
		}
	})
	if bad > 0 {
		t.Errorf("%d in all", bad)
	}
}

// What a controller said before it was restarted, or earlier, changes nothing; nor
// does what others say of it once it spoke itself.
func TestOldRowsAreDropped(t *testing.T) {
	table := reachability.NewTable("a", []string{"b"})
	take := func(born int64, seq uint64, reports int, path reachability.Path) {
		table.Update(reachability.NodeStatus{Node: "b", StartedMs: born, Seq: seq, Heartbeats: reports}, path, 0, noon)
	}
	for i, step := range []struct {
		born    int64
		seq     uint64
		reports int
		want    int
	}{{1, 5, 10, 10}, {1, 4, 20, 10}, {2, 1, 30, 30}, {1, 9, 40, 30}, {2, 2, 50, 50}} {
		take(step.born, step.seq, step.reports, reachability.Path(i%3))
		if got := table.View(reachability.NodeStatus{}, noon).Peers[0].Status.Heartbeats; got != step.want {
			t.Errorf("step %d: %d, not %d", i, got, step.want)
		}
	}
	take(9, 9, 9, reachability.Direct)
	table.Update(reachability.NodeStatus{Node: "x", StartedMs: 1, Seq: 1}, reachability.Direct, 0, noon)
	if n := len(table.View(reachability.NodeStatus{}, noon).Peers); n != 1 {
		t.Errorf("%d peers", n)
	}
}

// A controller begins anew while another is cut off, or has ended: a third tells it when that
// one was last heard, and it weighs the silence of machines by that. Without a third it has
// to take the other for cut off since its own beginning. It is told so only at its beginning.
func TestNewProcessIsToldOfDarkPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		third := reachability.NewTable("c", []string{"a", "b"})
		row := func(node string, born int64, lacks ...string) reachability.NodeStatus {
			return reachability.NodeStatus{Node: node, StartedMs: born, Seq: 1, UnreachedPeers: lacks}
		}
		third.Update(row("a", 1), reachability.Direct, 0, time.Now())
		third.Update(row("b", 1), reachability.Direct, 0, time.Now())
		for _, dark := range []time.Duration{20 * time.Second, 50 * time.Second} { // since the row of b, after which it may answer for 61 s
			time.Sleep(dark)
			if passed := third.RelayFor("a", time.Now()); len(passed) > 0 {
				t.Errorf("an old process is told %+v", passed)
			}
			life := int64(dark)
			third.Update(row("a", life, "b"), reachability.Direct, 0, time.Now())
			for _, told := range []bool{true, false} {
				fresh := reachability.NewTable("a", []string{"b", "c"})
				if told {
					passed := third.RelayFor("a", time.Now())
					if len(passed) != 1 || passed[0].Status.Node != "b" {
						t.Fatalf("a new process is told %+v", passed)
					}
					fresh.UpdateRelayed(passed, time.Now())
				}
				fresh.Update(row("c", 1), reachability.Direct, 0, time.Now())
				time.Sleep(time.Second)
				v := fresh.View(reachability.NodeStatus{Node: "a", Heartbeats: 380, ExpectedHeartbeats: 400}, time.Now())
				s, back := judge(), 0
				for i := range 2 {
					got := s.Evaluate(time.Now().Add(time.Duration(i)*time.Second), &v, reachability.ReceiveHealth{}, 1000, unheard(silences(70, 15*time.Second)))
					for name := range got.Probe {
						s.RecordProbe(name, false, time.Now().Add(time.Duration(i)*time.Second))
					}
					back = len(got.Return)
				}
				if late := told && dark > 44*time.Second; (back > 0) != late {
					t.Errorf("told %v, dark for %v: %d machines are returned", told, dark, back)
				}
			}
			time.Sleep(10 * time.Second)
			if passed := third.RelayFor("a", time.Now()); len(passed) > 0 {
				t.Errorf("told for ever: %+v", passed)
			}
		}
	})
}
