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

const tokenControllers = 3

// tokenUser is the incarnation of a controller's process that used a token.
type tokenUser struct{ controller, incarnation int }

// tokenCluster is a set of controllers that draw, reserve and use fencing tokens.
type tokenCluster struct {
	t                     *testing.T
	rnd                   *rand.Rand
	view                  *testkit.View
	down, losingResponses atomic.Bool
	requests              atomic.Int32 // number of requests while responses are lost
	members               [tokenControllers]*membership.Member
	stops                 [tokenControllers]func()
	incarnations          [tokenControllers]int
	lastTokens            [tokenControllers]uint64 // token of each process, as last seen
	users                 map[uint64]tokenUser
	highestUsed           uint64

	reservedTokensUsed, usedAboveOthers int
}

func newTokenCluster(t *testing.T, seed uint64) *tokenCluster {
	c := &tokenCluster{t: t, rnd: rand.New(rand.NewPCG(seed, 3)), users: map[uint64]tokenUser{}}
	c.view = &testkit.View{
		Store: testkit.NewStore(), Unavailable: c.down.Load,
		LoseResponse: func() bool { return c.losingResponses.Load() && c.requests.Add(1)%7 == 0 },
	}
	for i := range c.members {
		c.start(i)
	}
	return c
}

func (c *tokenCluster) start(i int) {
	ctx, cancel := context.WithCancel(context.Background())
	c.members[i] = newMember(c.view, string(rune('a'+i)))
	done := startMember(ctx, c.members[i])
	c.stops[i] = func() { cancel(); <-done }
	c.incarnations[i], c.lastTokens[i] = c.incarnations[i]+1, 0
}

// recordToken checks and records a controller's token, and returns it.
func (c *tokenCluster) recordToken(i int) uint64 {
	token := c.members[i].FencingToken()
	if token == 0 {
		return 0
	}
	user := tokenUser{i, c.incarnations[i]}
	if was, used := c.users[token]; used && was != user {
		c.t.Errorf("token %d is used by %v and %v", token, was, user)
	}
	if token < c.lastTokens[i] {
		c.t.Errorf("a controller's token falls from %d to %d", c.lastTokens[i], token)
	}
	c.users[token], c.lastTokens[i], c.highestUsed = user, token, max(c.highestUsed, token)
	return token
}

// useReserved makes a controller use a reserved token above those of all others, in an outage.
func (c *tokenCluster) useReserved(i int) {
	if !c.down.Load() {
		return
	}
	others := uint64(0)
	for _, m := range c.members {
		others = max(others, m.FencingToken())
	}
	token := c.members[i].ReservedTokenAbove(others)
	if token == 0 {
		return
	}
	c.reservedTokensUsed++
	if token > others && c.recordToken(i) == token {
		c.usedAboveOthers++
	}
}

// step draws a token or injects a fault.
func (c *tokenCluster) step() {
	i := c.rnd.IntN(tokenControllers)
	switch c.rnd.IntN(8) {
	case 0, 1:
		_, _ = c.members[i].RaiseTokenAbove(context.Background(), c.members[i].FencingToken()) // may fail
	case 2:
		before := c.highestUsed
		if token, err := c.members[i].NextToken(context.Background()); err == nil && token <= before {
			c.t.Errorf("a new leader's token is %d, although %d was drawn before", token, before)
		}
	case 3:
		c.down.Store(!c.down.Load())
	case 4:
		c.useReserved(i)
	case 5:
		c.stops[i]()
		c.start(i)
	case 6:
		c.losingResponses.Store(!c.losingResponses.Load())
	}
	time.Sleep(time.Duration(c.rnd.IntN(4000)) * time.Millisecond)
	for k := range c.members {
		c.recordToken(k)
	}
}

// Controllers draw tokens, reserve them and use reserved ones in outages of the state service,
// while processes end and start, leases end and responses are lost. No two controllers use the
// same token, a controller's tokens only grow, a new leader's token is above all drawn before,
// and a reserved token is above those that others have raised since, up to a failover.
func TestReservedTokensAreUnique(t *testing.T) {
	reservedUsed, aboveOthers := 0, 0
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			c := newTokenCluster(t, seed)
			for range 200 {
				c.step()
			}
			for _, stop := range c.stops {
				stop()
			}
			reservedUsed += c.reservedTokensUsed
			aboveOthers += c.usedAboveOthers
		})
	}
	if aboveOthers < 50 {
		t.Errorf("only %d of %d reserved tokens were used above all others", aboveOthers, reservedUsed)
	}
}

// In an outage any controller can succeed the leader and, when that controller ends, any other can
// succeed it: both hold reserved tokens above those of their predecessors. Once all controllers
// have reserved their tokens, no more are drawn.
func TestTwoFailoversInStateStoreOutage(t *testing.T) {
	const controllers = 4
	for leader := range controllers {
		for first := range controllers {
			for second := range controllers {
				if leader == first || first == second || leader == second {
					continue
				}
				synctest.Test(t, func(t *testing.T) { checkTwoFailovers(t, controllers, leader, first, second) })
			}
		}
	}
}

func checkTwoFailovers(t *testing.T, controllers, leader, first, second int) {
	var down atomic.Bool
	view := &testkit.View{Store: testkit.NewStore(), Unavailable: down.Load}
	ctx, cancel := context.WithCancel(t.Context())
	members := make([]*membership.Member, 0, controllers)
	done := make([]<-chan struct{}, 0, controllers)
	for i := range controllers {
		m := newMember(view, string(rune('a'+i)))
		members, done = append(members, m), append(done, startMember(ctx, m))
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(20 * time.Second)
	before := view.RawValue("c/term")
	time.Sleep(time.Minute)
	if after := view.RawValue("c/term"); after != before {
		t.Errorf("tokens are drawn for ever: %s, then %s", before, after)
	}
	if _, err := members[leader].RaiseTokenAbove(context.Background(), members[leader].FencingToken()); err != nil {
		t.Fatal(err)
	}
	down.Store(true)
	time.Sleep(15 * time.Second) // no lease holds
	above := members[leader].FencingToken()
	for _, i := range []int{first, second} {
		token := members[i].ReservedTokenAbove(above)
		if token <= above {
			t.Errorf("%d leads, failovers to %d and %d: %d has no token above %d", leader, first, second, i, above)
		}
		above = max(above, token)
	}
	cancel()
	for _, ended := range done {
		<-ended
	}
}
