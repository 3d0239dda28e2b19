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

// cancelledJobs are the jobs known to be cancelled.
type cancelledJobs map[string]bool

func (c cancelledJobs) IsCancelled(uid string) bool { return c[uid] }

// busyWorker is a worker that withholds its response to /show, so that further requests wait for
// the connection.
type busyWorker struct {
	*httptest.Server
	polled   chan struct{} // closed when /show is requested
	release  chan struct{} // closed to send the response
	commands atomic.Int32  // complete requests received
}

func newBusyWorker(t *testing.T) *busyWorker {
	answer, err := json.Marshal(report(9, 5))
	if err != nil {
		t.Fatal(err)
	}
	b := &busyWorker{polled: make(chan struct{}), release: make(chan struct{})}
	b.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/show" {
			close(b.polled)
			<-b.release
		} else if body, err := io.ReadAll(r.Body); err == nil && len(body) > 0 {
			b.commands.Add(1)
		}
		_, _ = w.Write(answer) // fails if the caller is gone
	}))
	t.Cleanup(b.Close)
	return b
}

// Commands are validated only once their connection is available. Those that have become invalid
// are certainly not sent; valid ones are.
func TestCommandsCheckedOnceConnected(t *testing.T) {
	for _, valid := range []bool{true, false} {
		b := newBusyWorker(t)
		sender, endpoint := dispatch.NewHTTPCommandSender(sockets.Budget{MaxSockets: 100, Accepted: func() int { return 0 }}), b.Listener.Addr().String()
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		polled := make(chan error, 1)
		go func() {
			_, err := sender.FetchReport(ctx, endpoint)
			polled <- err
		}()
		<-b.polled
		refused := errors.New("refused")
		var checks atomic.Int32
		outcome := make(chan error, 1)
		go func() {
			_, _, err := sender.SendCommands(ctx, endpoint, wire.PushedCommands{Token: 5, Session: 1}, func() error {
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
		if err := <-polled; err != nil {
			t.Error(err)
		}
		if err := <-outcome; valid && err != nil || !valid && !errors.Is(err, refused) {
			t.Errorf("valid %v: %v", valid, err)
		}
		cancel()
		if n := b.commands.Load(); (n == 1) != valid {
			t.Errorf("valid %v: %d messages arrived", valid, n)
		}
	}
}

// A job is cancelled or the token is raised while commands wait for their connection: these
// commands are not sent, and the ones that remain valid are sent at once under the new token.
func TestOutdatedCommandsAreReplaced(t *testing.T) {
	for name, change := range map[string]func(s *stub, cancelled cancelledJobs){
		"cancelled": func(_ *stub, cancelled cancelledJobs) { cancelled["j-1"] = true },
		"raised":    func(s *stub, _ cancelledJobs) { s.token = 6 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cancelled := cancelledJobs{}
				s := &stub{token: 5, respond: func(wire.PushedCommands) (*wire.Report, bool, error) { return nil, false, dispatch.ErrNotSent }}
				waits := 0
				s.beforeSend = func() {
					if waits++; waits == 1 {
						change(s, cancelled)
					}
				}
				d := newCancellingDispatcher(t.Context(), s, cancelled)
				d.HandleReport(t.Context(), report(1, 5))
				other := entry(1)
				other.Task = "j-2/0"
				d.ApplyInstructions(dispatch.Instructions{From: "a", Assign: []dispatch.QueueEntry{entry(1), other}})
				d.Wait()
				if waits != 2 || len(s.sent) != 1 {
					t.Fatalf("%d attempts to send, sent %+v", waits, s.sent)
				}
				starts, want := s.sent[0].Commands, 2
				if len(cancelled) > 0 {
					want = 1
				}
				if s.sent[0].Token != s.token || len(starts) != want || starts[len(starts)-1].Task != other.Task {
					t.Errorf("sent %+v under token %d", s.sent[0], s.token)
				}
			})
		})
	}
}

// Commands that waited for their connection are not sent by a controller that may no longer answer
// workers.
func TestNoCommandsOnceAnsweringIsForbidden(t *testing.T) {
	s := &stub{token: 5, respond: func(wire.PushedCommands) (*wire.Report, bool, error) { return nil, false, dispatch.ErrNotSent }}
	s.beforeSend = func() { s.answeringForbidden = true }
	d := newDispatcher(t.Context(), s)
	d.HandleReport(t.Context(), report(1, 5))
	d.ApplyInstructions(dispatch.Instructions{From: "a", Assign: []dispatch.QueueEntry{entry(1)}})
	d.Wait()
	if !s.answeringForbidden || len(s.sent) > 0 {
		t.Errorf("answering forbidden: %v, sent %+v", s.answeringForbidden, s.sent)
	}
}
