package membership_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/membership"
	"github.com/wallrack/wallrack/internal/testkit"
)

// Controllers draw terms, reserve them and use reserved ones in outages of the state service;
// processes end and start, leases end, answers are lost. No two use the same term, a
// controller's terms only grow, those drawn by a new owner are above all that were given out
// before, and a reserved term is above those that others raised since, up to a take-over.
func TestReservedTermsAreNobodyElses(t *testing.T) {
	const controllers = 3
	spares, beyond := 0, 0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 3))
			var down, lossy atomic.Bool
			var lost atomic.Int32
			view := &testkit.View{
				Store: testkit.NewStore(), Down: down.Load,
				Lose: func() bool { return lossy.Load() && lost.Add(1)%7 == 0 },
			}
			var members [controllers]*membership.Member
			var stop [controllers]func()
			lives, last := [controllers]int{}, [controllers]uint64{}
			start := func(i int) {
				ctx, cancel := context.WithCancel(context.Background())
				members[i] = member(view, string(rune('a'+i)))
				done := run(ctx, members[i])
				stop[i] = func() { cancel(); <-done }
				lives[i], last[i] = lives[i]+1, 0
			}
			type user struct{ controller, life int }
			users := map[uint64]user{}
			highest := uint64(0)
			note := func(i int) uint64 {
				term := members[i].FencingToken()
				if term == 0 {
					return 0
				}
				me := user{i, lives[i]}
				if was, used := users[term]; used && was != me {
					t.Errorf("term %d is used by %v and %v", term, was, me)
				}
				if term < last[i] {
					t.Errorf("a controller's term falls from %d to %d", last[i], term)
				}
				users[term], last[i], highest = me, term, max(highest, term)
				return term
			}
			for i := range members {
				start(i)
			}
			for range 200 {
				i := rnd.IntN(controllers)
				switch rnd.IntN(8) {
				case 0, 1:
					_, _ = members[i].RaiseTokenAbove(context.Background(), members[i].FencingToken())
				case 2:
					before := highest
					if term, err := members[i].NextToken(context.Background()); err == nil && term <= before {
						t.Errorf("a new owner's term is %d, when %d was given out", term, before)
					}
				case 3:
					down.Store(!down.Load())
				case 4:
					if !down.Load() {
						break
					}
					others := uint64(0)
					for k := range members {
						others = max(others, members[k].FencingToken())
					}
					if term := members[i].ReservedTokenAbove(others); term > 0 {
						spares++
						if term > others && note(i) == term {
							beyond++
						}
					}
				case 5:
					stop[i]()
					start(i)
				case 6:
					lossy.Store(!lossy.Load())
				}
				time.Sleep(time.Duration(rnd.IntN(4000)) * time.Millisecond)
				for k := range members {
					note(k)
				}
			}
			for i := range stop {
				stop[i]()
			}
		})
	}
	if beyond < 50 {
		t.Errorf("only %d of %d reserved terms were used above all others", beyond, spares)
	}
}

// In an outage any controller takes over from a leader, ends, and any other takes over from
// it: both have reserved terms above those of whoever was there before. Once they have them
// nobody draws more.
func TestAnyTwoTakeOverInAnOutage(t *testing.T) {
	const controllers = 4
	for leader := range controllers {
		for first := range controllers {
			for second := range controllers {
				if leader == first || first == second || leader == second {
					continue
				}
				synctest.Test(t, func(t *testing.T) {
					var down atomic.Bool
					view := &testkit.View{Store: testkit.NewStore(), Down: down.Load}
					ctx, cancel := context.WithCancel(t.Context())
					var members []*membership.Member
					var done []<-chan struct{}
					for i := range controllers {
						m := member(view, string(rune('a'+i)))
						members, done = append(members, m), append(done, run(ctx, m))
						time.Sleep(700 * time.Millisecond)
					}
					time.Sleep(20 * time.Second)
					before := view.Text("c/term")
					time.Sleep(time.Minute)
					if after := view.Text("c/term"); after != before {
						t.Errorf("terms are drawn for ever: %s, then %s", before, after)
					}
					if _, err := members[leader].RaiseTokenAbove(context.Background(), members[leader].FencingToken()); err != nil {
						t.Fatal(err)
					}
					down.Store(true)
					time.Sleep(15 * time.Second) // no lease holds
					above := members[leader].FencingToken()
					for _, i := range []int{first, second} {
						term := members[i].ReservedTokenAbove(above)
						if term <= above {
							t.Errorf("%d leads, %d and %d take over: %d has no term above %d", leader, first, second, i, above)
						}
						above = max(above, term)
					}
					cancel()
					for _, ended := range done {
						<-ended
					}
				})
			}
		}
	}
}
