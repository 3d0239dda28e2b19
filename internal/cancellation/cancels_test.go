package cancellation_test

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/cancellation"
)

// The generated inputs are the same at every run.
func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "20000"} { // these take some seconds
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

const limit = 40 * time.Second

// life is a controller's process.
type life struct {
	*cancellation.Registry
	held bool
}

// letter is a message under way.
type letter struct {
	from, to int
	m        cancellation.Message
	answer   bool
}

// site is some controllers, what they confirmed, and messages that may come late, in
// any order, more than once or never.
type site struct {
	lives     []*life
	state     []string             // recorded cancels
	confirmed map[string]time.Time // by whomever, first
	post      []letter
	reads     []read
	next      int
}

// read is a read of the state service whose answer is under way.
type read struct {
	by   *life
	sent time.Time
	uids []string
}

func name(i int) string { return string(rune('a' + i)) }

func (s *site) begin(i int) {
	l := &life{}
	var peers []string
	for j := range s.lives {
		if j != i {
			peers = append(peers, name(j))
		}
	}
	l.Registry = cancellation.New(cancellation.Options{Peers: peers, Limit: limit, LeaseRemaining: func() time.Duration {
		if l.held {
			return time.Second
		}
		return 0
	}})
	s.lives[i] = l
}

func (s *site) send(from, to int, answer bool) {
	s.post = append(s.post, letter{from, to, s.lives[from].MessageFor(name(to)), answer})
}

// deliver hands over the k-th message; the post may keep it.
func (s *site) deliver(k int, keep bool) {
	l := s.post[k]
	if !keep {
		s.post = append(s.post[:k], s.post[k+1:]...)
	}
	if err := s.lives[l.to].HandleMessage(name(l.from), &l.m); err != nil {
		panic(err)
	}
	if !l.answer {
		s.send(l.to, l.from, true)
	}
}

// check is what everything rests on: who says that it knows all up to a time does.
func (s *site) check(fail func(string, ...any)) {
	for i, l := range s.lives {
		known := l.KnownUntil()
		for uid, at := range s.confirmed {
			if at.Before(known) && !l.IsCancelled(uid) {
				fail("%s claims to know all that was confirmed until %v ago, and does not know of %s, confirmed %v ago",
					name(i), time.Since(known), uid, time.Since(at))
			}
		}
	}
}

// TestKnownIsKnown draws messages that are lost, late, reordered and doubled, leases
// that end and are had again, processes that end and are back, reads of the state
// service and cancels: no controller ever claims to know of all cancels up to a time
// if one was confirmed before that it has not heard of.
func TestKnownIsKnown(t *testing.T) {
	type step struct {
		What, Who, Other, Letter, Ms int
		Again                        bool
	}
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(2, 4).Draw(rt, "controllers")
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{rapid.SampledFrom([]int{0, 1, 3, 3, 4, 4, 5, 6, 7, 9, 10, 11, 12}).Draw(rt, "what"), rapid.IntRange(0, 3).Draw(rt, "who"), rapid.IntRange(0, 2).Draw(rt, "other"),
				rapid.IntRange(0, 30).Draw(rt, "letter"), rapid.IntRange(1, 4000).Draw(rt, "ms"), rapid.Bool().Draw(rt, "again")}
		}), 10, 150).Draw(rt, "steps")
		wrong := ""
		fail := func(format string, args ...any) {
			if wrong == "" {
				wrong = fmt.Sprintf(format, args...)
			}
		}
		synctest.Test(t, func(t *testing.T) {
			s := &site{lives: make([]*life, n), confirmed: map[string]time.Time{}}
			for i := range n {
				s.begin(i)
			}
			for i := range n {
				s.lives[i].held = true
				s.lives[i].RecordStoreRead(time.Now(), s.state)
			}
			for _, st := range steps {
				i := st.Who % n
				l := s.lives[i]
				switch st.What {
				case 0, 1, 2: // a ping and its answer
					s.send(i, (i+1+st.Other%(n-1))%n, false)
					s.deliver(len(s.post)-1, false)
					s.deliver(len(s.post)-1, false)
				case 3: // one that is under way for a while
					s.send(i, (i+1+st.Other%(n-1))%n, false)
				case 4:
					if len(s.post) > 0 {
						s.deliver(st.Letter%len(s.post), st.Again)
					}
				case 5:
					l.held = !l.held
				case 6, 7, 8: // recorded in the state service, and confirmed if it may be
					uid := fmt.Sprintf("j-%06d", s.next)
					s.next++
					s.state = append(s.state, uid)
					if l.Confirm(uid) == nil {
						s.confirmed[uid] = time.Now()
					}
				case 9:
					if st.Letter%3 == 0 {
						s.begin(i)
					}
				case 10:
					s.reads = append(s.reads, read{l, time.Now(), slices.Clone(s.state)})
					if k := st.Letter % len(s.reads); st.Again {
						r := s.reads[k]
						s.reads = slices.Delete(s.reads, k, k+1)
						r.by.RecordStoreRead(r.sent, r.uids)
					}
				default:
					time.Sleep(time.Duration(st.Ms) * time.Millisecond)
				}
				s.check(fail)
			}
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// A process said that it confirms nothing, its message is held up, and its successor
// confirms: the late word must not count for the successor.
func TestLateWordOfAnEarlierLife(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{lives: make([]*life, 2), confirmed: map[string]time.Time{}}
		for i := range s.lives {
			s.begin(i)
		}
		s.lives[0].held = true
		ping := func() {
			time.Sleep(100 * time.Millisecond)
			s.send(0, 1, false)
			s.deliver(len(s.post)-1, false)
			s.deliver(len(s.post)-1, false)
			s.lives[0].RecordStoreRead(time.Now(), s.state)
		}
		ping()
		ping()
		s.send(1, 0, true) // held up
		s.begin(1)
		s.lives[1].held = true
		for range 4 {
			ping()
		}
		if err := s.lives[1].Confirm("j-000001"); err != nil {
			t.Fatal(err)
		}
		s.confirmed["j-000001"] = time.Now()
		time.Sleep(100 * time.Millisecond)
		s.deliver(0, false)
		s.check(t.Errorf)
	})
}

// While all talk to each other, what each knows is never older than two rounds, and a
// process that is back within seconds, when nobody could confirm anything, costs nobody
// anything: in an outage of the state service no worker need be left.
func TestAnOutageCostsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{lives: make([]*life, 5), confirmed: map[string]time.Time{}}
		for i := range s.lives {
			s.begin(i)
		}
		time.Sleep(time.Millisecond)
		for i := range s.lives {
			s.lives[i].held = true
			s.lives[i].RecordStoreRead(time.Now(), nil)
		}
		round := func() {
			for i := range s.lives {
				for j := range i {
					s.send(i, j, false)
					s.deliver(0, false)
					s.deliver(0, false)
				}
			}
			time.Sleep(time.Second)
		}
		for sec := range 200 {
			round()
			for _, l := range s.lives {
				if l.held && l.NeedsStoreRead(3*time.Second) {
					l.RecordStoreRead(time.Now(), nil)
				}
			}
			switch {
			case sec == 10: // the outage
				for _, l := range s.lives {
					l.held = false
				}
			case sec == 30:
				s.begin(3)
			case sec > 3:
				for i, l := range s.lives {
					if old := time.Since(l.KnownUntil()); old > 2100*time.Millisecond && (i != 3 || sec < 30) {
						t.Fatalf("after %d s %s knows of all only up to %v ago", sec, name(i), old)
					}
				}
			}
			if err := s.lives[0].Confirm(fmt.Sprintf("j-%06d", sec)); (err == nil) != (sec >= 1 && sec < 10) {
				t.Fatalf("after %d s a cancel is confirmed: %v", sec, err)
			}
		}
	})
}

// More news than fit a message: nothing is claimed before all of it has come.
func TestAllNewsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &site{lives: make([]*life, 2), confirmed: map[string]time.Time{}}
		for i := range s.lives {
			s.begin(i)
			s.lives[i].held = true
		}
		ping := func() {
			time.Sleep(time.Second)
			s.send(1, 0, false)
			s.deliver(0, false)
			s.deliver(0, false)
		}
		for range 3 {
			ping()
			for _, l := range s.lives {
				l.RecordStoreRead(time.Now(), nil)
			}
		}
		for i := range 5000 {
			uid := fmt.Sprintf("j-%06d", i)
			if err := s.lives[0].Confirm(uid); err != nil {
				t.Fatal(err)
			}
			s.confirmed[uid] = time.Now()
		}
		for range 4 {
			ping()
			s.check(t.Errorf)
		}
		if !s.lives[1].IsCancelled("j-004999") || time.Since(s.lives[1].KnownUntil()) > time.Second {
			t.Errorf("all is known up to %v ago", time.Since(s.lives[1].KnownUntil()))
		}
	})
}

// A storm of cancels, news from nobody and names that are none stay in bounds.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := cancellation.New(cancellation.Options{Peers: []string{"b"}, Limit: limit, LeaseRemaining: func() time.Duration { return time.Second }})
		r.RecordStoreRead(time.Now(), nil)
		r.MessageFor("b")
		time.Sleep(11 * time.Second)
		refused := 0
		for i := range 3 * cancellation.MaxJobs {
			if r.Confirm(fmt.Sprintf("j-%06d", i)) != nil {
				refused++
			}
		}
		if refused < cancellation.MaxJobs/2 {
			t.Errorf("%d cancels refused", refused)
		}
		m := r.MessageFor("b")
		if !m.More || len(m.Updates) > 4000 {
			t.Errorf("%d news in a message, more: %v", len(m.Updates), m.More)
		}
		for _, bad := range []struct {
			from string
			m    cancellation.Message
		}{
			{"x", cancellation.Message{Incarnation: 1, Stamp: 1, Updates: []string{"j-7000000"}}},
			{"b", cancellation.Message{Stamp: 1, Updates: []string{"j-7000000"}}},
			{"b", cancellation.Message{Incarnation: 1, Stamp: -1, Updates: []string{"j-7000000"}}},
			{"b", cancellation.Message{Incarnation: 1, Stamp: 1 << 62, Updates: []string{"j-7000000"}}},
			{"b", cancellation.Message{Incarnation: 1, Stamp: 1, Echo: 1 << 60, Updates: []string{"j-7000000"}}},
			{"b", cancellation.Message{Incarnation: 1, Stamp: 1, Updates: []string{"j-7000000", "j-1/0"}}},
			{"b", cancellation.Message{Incarnation: 1, Stamp: 1, Updates: []string{""}}},
			{"b", cancellation.Message{Incarnation: 1, Stamp: 1, Updates: slices.Repeat([]string{"j-7000000"}, 3000)}},
		} {
			if err := r.HandleMessage(bad.from, &bad.m); err == nil {
				t.Errorf("taken: %.200v", bad)
			}
		}
		for _, uid := range []string{"j-7000000", "", "j-", "../x", "j-1/0"} {
			if r.IsCancelled(uid) {
				t.Errorf("%q counts as cancelled", uid)
			}
		}
		time.Sleep(15 * time.Minute)
		if err := r.Confirm("j-900000"); err != nil || r.IsCancelled("j-000001") {
			t.Errorf("after a quarter of an hour: %v, still known: %v", err, r.IsCancelled("j-000001"))
		}
	})
}
