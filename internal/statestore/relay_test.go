package statestore

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/wire"
)

// service is a state service that counts what it executes.
type service struct {
	mu   sync.Mutex
	txns map[string]int // by body
	got  int
}

// link is the way to it from one controller: fine, silent, silent but delivered
// all the same, resetting, or refused.
type link struct {
	s   *service
	mu  sync.Mutex
	how int
	n   int // requests that came this way
}

const (
	fine = iota
	silent
	delivered
	reset
	refused
	modes
)

func (l *link) set(how int) { l.mu.Lock(); l.how = how; l.mu.Unlock() }

func (l *link) count() int { l.mu.Lock(); defer l.mu.Unlock(); return l.n }

func answer(status int, body string) *http.Response {
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body))}
}

// RoundTrip implements http.RoundTripper.
func (l *link) RoundTrip(r *http.Request) (*http.Response, error) {
	l.mu.Lock()
	how := l.how
	l.n++
	l.mu.Unlock()
	if how == reset {
		return nil, errors.New("connection reset")
	}
	if how == refused {
		return answer(http.StatusServiceUnavailable, `{}`), nil
	}
	if how == fine || how == delivered {
		l.s.mu.Lock()
		l.s.got++
		if r.Body != nil {
			data, _ := io.ReadAll(r.Body)
			l.s.txns[string(data)]++
		}
		l.s.mu.Unlock()
	}
	if how != fine {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	time.Sleep(3 * time.Millisecond)
	return answer(http.StatusOK, `{"ledger":1,"permit":1}`), nil
}

// by is a relay by another client, which can be out of reach.
type by struct {
	c    *Client
	mu   sync.Mutex
	gone bool
}

func (b *by) Ready() bool { b.mu.Lock(); defer b.mu.Unlock(); return !b.gone }

func (b *by) Forward(ctx context.Context, req RelayedRequest) (*RelayedResponse, error) {
	if !b.Ready() {
		return nil, ErrUnavailable
	}
	return b.c.ServeRelayed(ctx, req)
}

func pair(ctx context.Context) (c *Client, mine, theirs *link, relay *by, s *service) {
	s = &service{txns: map[string]int{}}
	mine, theirs = &link{s: s}, &link{s: s}
	c, peer := New("x", 1000, 1000, 24), New("x", 1000, 1000, 24)
	c.http.Transport, peer.http.Transport = mine, theirs
	relay = &by{c: peer}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c.SetRelay(relay, log)
	peer.SetRelay(&by{c: c}, log) // never used: what is passed on goes straight
	go func() { _ = c.Run(ctx) }()
	return c, mine, theirs, relay, s
}

// A controller that lost the state service, and nothing else, lost its lease and
// with it five seconds of starts. With a peer's help no touch fails, whatever way
// the link is lost, and when it is back requests go straight again.
func TestTouchesGoOnByAPeer(t *testing.T) {
	for how := silent; how < modes; how++ {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			c, mine, _, _, _ := pair(ctx)
			touch := func(n int) {
				for range n {
					tctx, cancel := context.WithTimeout(ctx, 1250*time.Millisecond)
					if err := c.RenewLease(tctx, 1); err != nil {
						t.Errorf("link %d: %v", how, err)
					}
					cancel()
					time.Sleep(time.Second)
				}
			}
			touch(5)
			mine.set(how)
			touch(30)
			if !c.UsesRelay() {
				t.Errorf("link %d: not by the peer", how)
			}
			mine.set(fine)
			touch(5)
			before := mine.count()
			touch(3)
			if c.UsesRelay() || mine.count() < before+3 {
				t.Errorf("link %d: not straight again", how)
			}
		})
	}
}

// Whatever fails when, a transaction is sent a second time only if the first was
// surely not executed: what a caller is told stands.
func TestRelayedOnceAtMost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct{ Mine, Theirs, Gone, Wait int }
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{rapid.IntRange(0, modes-1).Draw(rt, "mine"), rapid.IntRange(0, modes-1).Draw(rt, "theirs"), rapid.IntRange(0, 3).Draw(rt, "gone"), rapid.IntRange(0, 2500).Draw(rt, "wait")}
		}), 1, 15).Draw(rt, "steps")
		wrong := ""
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			c, mine, theirs, relay, s := pair(ctx)
			var wg sync.WaitGroup
			for i, st := range steps {
				mine.set(st.Mine)
				theirs.set(st.Theirs)
				relay.mu.Lock()
				relay.gone = st.Gone == 0
				relay.mu.Unlock()
				wg.Add(1)
				go func() {
					defer wg.Done()
					tctx, cancel := context.WithTimeout(ctx, 2*time.Second)
					defer cancel()
					key := strings.Repeat("k", i+1)
					_, err := c.Txn(tctx, nil, wire.Op{Delete: key})
					s.mu.Lock()
					defer s.mu.Unlock()
					n := s.txns[`{"guards":[],"apply":[{"drop":"`+key+`"}]}`] + s.txns[`{"guards":null,"apply":[{"drop":"`+key+`"}]}`]
					switch {
					case n > 1:
						wrong = "a transaction was executed twice"
					case err == nil && n != 1:
						wrong = "believed in a write that was not made"
					case errors.Is(err, ErrUnavailable) && n != 0:
						wrong = "a write that was made was called not made"
					}
				}()
				time.Sleep(time.Duration(st.Wait) * time.Millisecond)
			}
			wg.Wait()
			cancel()
			synctest.Wait()
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
}

// A link that comes and goes is left alone for longer each time.
func TestFlappingLinkIsLeftAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c, mine, _, _, _ := pair(ctx)
		changes, was := 0, false
		for i := range 300 { // on and off every 4 s
			mine.set([]int{fine, silent}[i/4%2])
			tctx, cancel := context.WithTimeout(ctx, time.Second)
			_ = c.RenewLease(tctx, 1)
			cancel()
			if now := c.UsesRelay(); now != was {
				changes, was = changes+1, now
			}
			time.Sleep(time.Second)
		}
		if changes > 8 {
			t.Errorf("%d changes in five minutes", changes)
		}
	})
}
