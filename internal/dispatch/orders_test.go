package dispatch_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/sockets"
	"github.com/wallrack/wallrack/internal/wire"
)

// cancelledJobs are the jobs that are known to be cancelled.
type cancelledJobs map[string]bool

func (c cancelledJobs) IsCancelled(uid string) bool { return c[uid] }

// busyWorker is a worker whose answer to /show is held back, so that whatever else is sent
// to it waits for the connection.
type busyWorker struct {
	*httptest.Server
	asked   chan struct{} // is closed when /show is asked for
	release chan struct{} // holds the answer back until it is closed
	orders  atomic.Int32  // that arrived whole
}

func newBusyWorker(t *testing.T) *busyWorker {
	answer, err := json.Marshal(report(9, 5))
	if err != nil {
		t.Fatal(err)
	}
	b := &busyWorker{asked: make(chan struct{}), release: make(chan struct{})}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/show" {
			close(b.asked)
			<-b.release
		} else if body, err := io.ReadAll(r.Body); err == nil && len(body) > 0 {
			b.orders.Add(1)
		}
		_, _ = w.Write(answer) // the asker may be gone
	}))
	t.Cleanup(b.Close)
	return b
}

// An order waits for the connection to its worker while it becomes invalid: it is not sent,
// and surely so. One that stays valid is.
func TestOrderIsCheckedWhenItsConnectionIsThere(t *testing.T) {
	for _, valid := range []bool{true, false} {
		b := newBusyWorker(t)
		orderer, endpoint := dispatch.NewHTTPCommandSender(sockets.Budget{Limit: 100, Accepted: func() int { return 0 }}), b.Listener.Addr().String()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		shown := make(chan error, 1)
		go func() {
			_, err := orderer.FetchReport(ctx, endpoint)
			shown <- err
		}()
		<-b.asked
		refused := errors.New("refused")
		var checks atomic.Int32
		outcome := make(chan error, 1)
		go func() {
			_, _, err := orderer.SendCommands(ctx, endpoint, wire.Orders{Token: 5, Session: 1}, func() error {
				checks.Add(1)
				if valid {
					return nil
				}
				return refused
			})
			outcome <- err
		}()
		time.Sleep(50 * time.Millisecond)
		if n := checks.Load(); n > 0 {
			t.Errorf("checked %d times while there was no connection", n)
		}
		close(b.release)
		if err := <-shown; err != nil {
			t.Error(err)
		}
		if err := <-outcome; valid && err != nil || !valid && !errors.Is(err, refused) {
			t.Errorf("valid %v: %v", valid, err)
		}
		cancel()
		if n := b.orders.Load(); (n == 1) != valid {
			t.Errorf("valid %v: %d orders arrived", valid, n)
		}
	}
}

// While an order waits for its connection its job is cancelled, or the term is raised: it
// is not sent, and what remains of it is said at once, under the new term.
func TestOutdatedOrderIsMadeAnew(t *testing.T) {
	for name, change := range map[string]func(s *stub, cancelled cancelledJobs){
		"cancelled": func(_ *stub, cancelled cancelledJobs) { cancelled["j-1"] = true },
		"raised":    func(s *stub, _ cancelledJobs) { s.term = 6 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cancelled := cancelledJobs{}
				s := &stub{term: 5, order: func(wire.Orders) (*wire.Report, bool, error) { return nil, false, dispatch.ErrNotSent }}
				waits := 0
				s.connect = func() {
					if waits++; waits == 1 {
						change(s, cancelled)
					}
				}
				h := holderWith(t.Context(), s, cancelled)
				h.HandleReport(t.Context(), report(1, 5))
				other := entry(1)
				other.Task = "j-2/0"
				h.ApplyInstructions(dispatch.Instructions{From: "a", Assign: []dispatch.QueueEntry{entry(1), other}})
				h.Wait()
				if waits != 2 || len(s.sent) != 1 {
					t.Fatalf("%d orders were made, and sent were %+v", waits, s.sent)
				}
				starts, want := s.sent[0].Commands, 2
				if len(cancelled) > 0 {
					want = 1
				}
				if s.sent[0].Token != s.term || len(starts) != want || starts[len(starts)-1].Task != other.Task {
					t.Errorf("sent %+v under term %d", s.sent[0], s.term)
				}
			})
		})
	}
}

// A controller that may not answer workers any more sends no order that waited.
func TestNothingIsSentByWhoMayNotAnswer(t *testing.T) {
	s := &stub{term: 5, order: func(wire.Orders) (*wire.Report, bool, error) { return nil, false, dispatch.ErrNotSent }}
	s.connect = func() { s.barred = true }
	h := holder(t.Context(), s)
	h.HandleReport(t.Context(), report(1, 5))
	h.ApplyInstructions(dispatch.Instructions{From: "a", Assign: []dispatch.QueueEntry{entry(1)}})
	h.Wait()
	if !s.barred || len(s.sent) > 0 {
		t.Errorf("barred %v, sent %+v", s.barred, s.sent)
	}
}
