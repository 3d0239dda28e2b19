package dispatch_test

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/wire"
)

// delayedStub is a stub whose responses to grant requests and polls are delayed.
type delayedStub struct {
	*stub
	responseDelay time.Duration
}

func (s *delayedStub) wait(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(s.responseDelay):
		return nil
	}
}

func (s *delayedStub) GrantRemote(ctx context.Context, _ string, requests []dispatch.GrantRequest) ([]dispatch.GrantReply, error) {
	if err := s.wait(ctx); err != nil {
		return nil, err
	}
	replies := make([]dispatch.GrantReply, len(requests))
	for i := range replies {
		replies[i].OK = true
	}
	return replies, nil
}

func (s *delayedStub) FetchReport(ctx context.Context, endpoint string) (*wire.Report, error) {
	if err := s.wait(ctx); err != nil {
		return nil, err
	}
	return s.stub.FetchReport(ctx, endpoint)
}

// Over links with a latency of well over a second each way, a grant from a leader on another
// controller arrives in time to be used, the view shows the start as unsent until then, and a
// polled worker's response is waited for.
func TestGrantsAndPollsOverSlowLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &delayedStub{&stub{token: 5, respond: func(wire.PushedCommands) (*wire.Report, bool, error) { return report(2, 5), true, nil }}, 2900 * time.Millisecond}
		ctx, cancel := context.WithCancel(context.Background())
		d := dispatch.New(ctx, dispatch.Options{
			Node: "a", WorkerLease: 10 * time.Second, Schedulers: s, Tokens: s, MachineTypes: s, Routing: s, Commands: s, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		})
		d.HandleReport(ctx, report(1, 5))
		e := entry(1)
		e.Leader = "b"
		d.ApplyInstructions(dispatch.Instructions{From: "b", Assign: []dispatch.QueueEntry{e}})
		if q := d.WorkerViews()[0].Queue; len(q) != 1 || !q[0].Unsent {
			t.Errorf("queue %+v before the grant", q)
		}
		time.Sleep(s.responseDelay + time.Millisecond)
		synctest.Wait()
		if len(s.sent) != 1 || s.sent[0].Commands[0].Verb != wire.VerbStart {
			t.Errorf("sent %+v", s.sent)
		}
		if q := d.WorkerViews()[0].Queue; len(q) != 1 || q[0].Unsent {
			t.Errorf("queue %+v after the start was sent", q)
		}
		if !d.PollWorker(ctx, "n-1", "e") {
			t.Error("a worker that responds late counts as unresponsive")
		}
		cancel()
		d.Wait()
	})
}
