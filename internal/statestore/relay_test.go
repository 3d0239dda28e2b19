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

// service is a state service that counts the requests it executes.
type service struct {
	mu       sync.Mutex
	txns     map[string]int // by body
	executed int
}

// link is a controller's connection to the service.
type link struct {
	service  *service
	mu       sync.Mutex
	fault    int
	requests int // sent over this link
}

const (
	noFault      = iota
	requestLost  // requests do not arrive
	responseLost // requests are executed, their responses do not arrive
	reset
	refused
	faults
)

func (l *link) setFault(fault int) { l.mu.Lock(); l.fault = fault; l.mu.Unlock() }

func (l *link) count() int { l.mu.Lock(); defer l.mu.Unlock(); return l.requests }

func newResponse(status int, body string) *http.Response {
	return &http.Response{StatusCode: status, Body: io.NopCloser(strings.NewReader(body))}
}

// RoundTrip implements http.RoundTripper.
func (l *link) RoundTrip(r *http.Request) (*http.Response, error) {
	l.mu.Lock()
	fault := l.fault
	l.requests++
	l.mu.Unlock()
	if fault == reset {
		return nil, errors.New("connection reset")
	}
	if fault == refused {
		return newResponse(http.StatusServiceUnavailable, `{}`), nil
	}
	if fault == noFault || fault == responseLost {
		l.service.mu.Lock()
		l.service.executed++
		if r.Body != nil {
			data, _ := io.ReadAll(r.Body)
			l.service.txns[string(data)]++
		}
		l.service.mu.Unlock()
	}
	if fault != noFault {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	time.Sleep(3 * time.Millisecond)
	return newResponse(http.StatusOK, `{"ledger":1,"permit":1}`), nil
}

// clientRelay relays through another client, which can be unreachable.
type clientRelay struct {
	client      *Client
	mu          sync.Mutex
	unreachable bool
}

func (r *clientRelay) Ready() bool { r.mu.Lock(); defer r.mu.Unlock(); return !r.unreachable }

func (r *clientRelay) Forward(ctx context.Context, req RelayedRequest) (*RelayedResponse, error) {
	if !r.Ready() {
		return nil, ErrUnavailable
	}
	return r.client.ServeRelayed(ctx, req)
}

// newRelayedClient returns a client whose requests a peer can relay, and the links of both to
// a service.
func newRelayedClient(ctx context.Context) (c *Client, mine, theirs *link, relay *clientRelay, s *service) {
	s = &service{txns: map[string]int{}}
	mine, theirs = &link{service: s}, &link{service: s}
	c, peer := New("x", 1000, 1000, 24), New("x", 1000, 1000, 24)
	c.http.Transport, peer.http.Transport = mine, theirs
	relay = &clientRelay{client: peer}
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c.SetRelay(relay, log)
	peer.SetRelay(&clientRelay{client: c}, log) // never used: relayed requests are sent directly
	go func() { _ = c.Run(ctx) }()
	return c, mine, theirs, relay, s
}

// A controller that loses only its link to the state service keeps its lease: otherwise no
// task starts for five seconds. With a peer that relays, no renewal fails, however the link
// fails, and when the link works again, requests are sent directly.
func TestRenewalsGoByPeerWhileLinkIsLost(t *testing.T) {
	for fault := requestLost; fault < faults; fault++ {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			c, mine, _, _, _ := newRelayedClient(ctx)
			renew := func(n int) {
				for range n {
					tctx, cancel := context.WithTimeout(ctx, 1250*time.Millisecond)
					if err := c.RenewLease(tctx, 1); err != nil {
						t.Errorf("fault %d: %v", fault, err)
					}
					cancel()
					time.Sleep(time.Second)
				}
			}
			renew(5)
			mine.setFault(fault)
			renew(30)
			if !c.UsesRelay() {
				t.Errorf("fault %d: not relayed by the peer", fault)
			}
			mine.setFault(noFault)
			renew(5)
			before := mine.count()
			renew(3)
			if c.UsesRelay() || mine.count() < before+3 {
				t.Errorf("fault %d: not sent directly again", fault)
			}
		})
	}
}

// Whichever links fail at whatever time, a transaction is sent a second time only if the first was
// certainly not executed, and the outcome reported to its caller is correct.
func TestTransactionIsExecutedAtMostOnceUnderLinkFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type step struct{ Mine, Theirs, Gone, Wait int }
		steps := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) step {
			return step{rapid.IntRange(0, faults-1).Draw(rt, "mine"), rapid.IntRange(0, faults-1).Draw(rt, "theirs"), rapid.IntRange(0, 3).Draw(rt, "gone"), rapid.IntRange(0, 2500).Draw(rt, "wait")}
		}), 1, 15).Draw(rt, "steps")
		violation := ""
		synctest.Test(t, func(*testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			c, mine, theirs, relay, s := newRelayedClient(ctx)
			var wg sync.WaitGroup
			for i, st := range steps {
				mine.setFault(st.Mine)
				theirs.setFault(st.Theirs)
				relay.mu.Lock()
				relay.unreachable = st.Gone == 0
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
						violation = "a transaction was executed twice"
					case err == nil && n != 1:
						violation = "a write that was not executed was reported as applied"
					case errors.Is(err, ErrUnavailable) && n != 0:
						violation = "a write that was executed was reported as not executed"
					}
				}()
				time.Sleep(time.Duration(st.Wait) * time.Millisecond)
			}
			wg.Wait()
			cancel()
			synctest.Wait()
		})
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

// A link that fails again and again stays unused for longer each time.
func TestFlappingLinkStaysRelayed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		c, mine, _, _, _ := newRelayedClient(ctx)
		changes, was := 0, false
		for i := range 300 { // on and off every 4 s
			mine.setFault([]int{noFault, requestLost}[i/4%2])
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

// A stall detector that is stopped while its check is about to run stays stopped. Otherwise it
// would set its timer again, and later regard the link as lost without a request in flight.
func TestStoppedStallDetectorStaysStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		client, _, _, _, _ := newRelayedClient(ctx)
		detector := client.startStallDetector()
		time.Sleep(stallTimeout / 2)
		detector.stop()
		detector.check()
		time.Sleep(2 * stallTimeout)
		if detector.timer.Stop() || client.UsesRelay() {
			t.Errorf("the timer still runs, or the link counts as lost: %v", client.UsesRelay())
		}
		cancel()
	})
}
