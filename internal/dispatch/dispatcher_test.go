package dispatch_test

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/matching"
	"github.com/wallrack/wallrack/internal/wire"
)

// stub is everything around a dispatcher.
type stub struct {
	tokenMu  sync.Mutex // the dispatcher raises the token in the background
	token    uint64
	raises   bool
	respond  func(wire.PushedCommands) (*wire.Report, bool, error)
	sent     []wire.PushedCommands
	views    []dispatch.WorkerView
	isolated bool
	barred   bool // may not answer workers

	connect func() // is waited for before commands leave; nil: nothing

	leader      string
	grantRemote func([]dispatch.GrantRequest) []dispatch.GrantReply // a leader elsewhere; nil: none
}

func (s *stub) ObserveWorker(v dispatch.WorkerView) { s.views = append(s.views, v) }
func (s *stub) GrantLocal(dispatch.GrantRequest) dispatch.GrantReply {
	return dispatch.GrantReply{OK: true}
}

func (s *stub) GrantRemote(_ context.Context, _ string, requests []dispatch.GrantRequest) ([]dispatch.GrantReply, error) {
	if s.grantRemote != nil {
		return s.grantRemote(requests), nil
	}
	return nil, errors.New("no peer")
}
func (s *stub) ReservedTokenAbove(uint64) uint64 { return 0 }

func (s *stub) FencingToken() uint64 {
	s.tokenMu.Lock()
	defer s.tokenMu.Unlock()
	return s.token
}

func (s *stub) RaiseTokenAbove(_ context.Context, above uint64) (uint64, error) {
	if !s.raises {
		return 0, errors.New("state service out")
	}
	s.tokenMu.Lock()
	defer s.tokenMu.Unlock()
	s.token = max(s.token, above+1)
	return s.token, nil
}

func (s *stub) Type(string) (wire.MachineType, bool) {
	return wire.MachineType{Name: "m", CPUs: 4, MemoryGB: 8}, true
}

func (s *stub) LeaderFor(string) string {
	if s.leader != "" {
		return s.leader
	}
	return "a"
}
func (s *stub) MayAnswerWorkers() bool { return !s.barred }
func (s *stub) Isolated() bool         { return s.isolated }
func (s *stub) SendCommands(_ context.Context, _ string, o wire.PushedCommands, valid func() error) (*wire.Report, bool, error) {
	if s.connect != nil {
		s.connect()
	}
	if err := valid(); err != nil {
		return nil, false, err
	}
	s.sent = append(s.sent, o)
	return s.respond(o)
}

func (s *stub) FetchReport(context.Context, string) (*wire.Report, error) {
	return report(9, s.FencingToken()), nil
}

func newDispatcher(ctx context.Context, s *stub) *dispatch.Dispatcher {
	return newCancellingDispatcher(ctx, s, nil)
}

// newCancellingDispatcher returns a dispatcher that knows cancelled jobs.
func newCancellingDispatcher(ctx context.Context, s *stub, cancelled dispatch.Cancellations) *dispatch.Dispatcher {
	return dispatch.New(ctx, dispatch.Options{
		Node: "a", WorkerLease: 10 * time.Second, Schedulers: s, Tokens: s, MachineTypes: s, Routing: s, Commands: s, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Cancellations: cancelled,
	})
}

// A peer's instructions come when the dispatcher's process ends: nothing is sent that nobody
// waits for.
func TestInstructionsAfterShutdownSendNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stub{token: 5, respond: func(wire.PushedCommands) (*wire.Report, bool, error) { return nil, false, dispatch.ErrNotSent }}
		ctx, end := context.WithCancel(t.Context())
		d := newDispatcher(ctx, s)
		d.HandleReport(ctx, report(1, 5))
		end()
		d.Wait()
		d.ApplyInstructions(dispatch.Instructions{From: "a", Assign: []dispatch.QueueEntry{entry(1)}})
		synctest.Wait()
		if len(s.sent) > 0 {
			t.Errorf("sent %+v", s.sent)
		}
	})
}

func report(seq, token uint64, tasks ...wire.Task) *wire.Report {
	return &wire.Report{Machine: "n-1", Endpoint: "e", Type: "m", Zone: "z", Session: 1, Seq: seq, Token: token, Tasks: tasks}
}

func entry(attempt uint64) dispatch.QueueEntry {
	return dispatch.QueueEntry{TaskRef: dispatch.TaskRef{Worker: "n-1", Task: "j-1/0", Attempt: attempt}, Leader: "a", Resources: matching.Resources{CPUs: 1, MemoryGB: 1}, RunS: 5}
}

func verbs(body any, verb string) (n int) {
	for _, c := range body.(wire.ReportResponse).Commands {
		if c.Verb == verb {
			n++
		}
	}
	return n
}

// Direct commands without a response may still arrive: until a report shows a
// newer token, nothing may be cleared, or the late commands would start the task
// again beside its next attempt.
func TestNoClearWhileCommandsHaveUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stub{token: 5, raises: true, respond: func(wire.PushedCommands) (*wire.Report, bool, error) {
			return nil, false, context.DeadlineExceeded
		}}
		ctx, cancel := context.WithCancel(context.Background())
		d := newDispatcher(ctx, s)
		d.HandleReport(ctx, report(1, 5))
		d.ApplyInstructions(dispatch.Instructions{From: "a", Assign: []dispatch.QueueEntry{entry(1)}})
		synctest.Wait()
		if len(s.sent) != 1 || s.sent[0].Commands[0].Verb != wire.VerbStart {
			t.Fatalf("sent %+v", s.sent)
		}
		exited := wire.Task{Task: "j-1/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseNoRoom}
		d.HandleReport(ctx, report(2, 5, exited))
		d.ApplyInstructions(dispatch.Instructions{From: "a", Clear: []dispatch.Clear{{TaskRef: entry(1).TaskRef, Token: 5}}})
		synctest.Wait()
		if _, body := d.HandleReport(ctx, report(3, 5, exited)); verbs(body, wire.VerbForget) != 0 {
			t.Error("cleared while the commands may still arrive")
		} else if body.(wire.ReportResponse).Token <= 5 {
			t.Error("the token was not raised")
		}
		if _, body := d.HandleReport(ctx, report(4, s.FencingToken(), exited)); verbs(body, wire.VerbForget) != 1 {
			t.Error("not cleared although the commands are fenced off")
		}
		cancel()
		d.Wait()
	})
}

// Another dispatcher's direct commands may carry a higher token than this one's, and be
// delayed: a worker that had received neither ran the task by this one's response, got the
// command to forget it, and ran it again.
func TestNoClearBelowTokenOfAnotherDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stub{token: 5, raises: true}
		ctx, cancel := context.WithCancel(context.Background())
		d := newDispatcher(ctx, s)
		exited := wire.Task{Task: "j-1/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseDone}
		d.HandleReport(ctx, report(1, 5, exited))
		d.ApplyInstructions(dispatch.Instructions{From: "a", Clear: []dispatch.Clear{{TaskRef: entry(1).TaskRef, Token: 9}}})
		if _, body := d.HandleReport(ctx, report(2, 5, exited)); verbs(body, wire.VerbForget) != 0 {
			t.Error("cleared while the other's commands may still start it")
		}
		synctest.Wait()
		if token := s.FencingToken(); token <= 9 {
			t.Fatalf("the token was not raised: %d", token)
		}
		d.HandleReport(ctx, report(3, 5, exited)) // is answered with the new token
		if _, body := d.HandleReport(ctx, report(4, s.FencingToken(), exited)); verbs(body, wire.VerbForget) != 1 {
			t.Error("not cleared although all older commands are fenced off")
		}
		cancel()
		d.Wait()
	})
}

// A worker that saw a higher token must not get 200 with a lower one: it would
// stay and lose its lease.
func TestNoResponseWithLowerToken(t *testing.T) {
	s := &stub{token: 5}
	d := newDispatcher(t.Context(), s)
	if status, _ := d.HandleReport(t.Context(), report(1, 9)); status != http.StatusMisdirectedRequest {
		t.Errorf("status %d", status)
	}
	s.raises = true
	status, body := d.HandleReport(t.Context(), report(2, 9))
	if status != http.StatusOK || body.(wire.ReportResponse).Token <= 9 {
		t.Errorf("status %d, %+v", status, body)
	}
}

// A heartbeat that the response to a poll overtook tells nothing, whatever it lists;
// but unless its session is over the worker gets its answer: refused, it looked
// for another controller whenever the response to direct commands overtook it.
func TestHeartbeatOlderThanPolledReportIsAnswered(t *testing.T) {
	s := &stub{token: 5}
	d := newDispatcher(t.Context(), s)
	d.HandleReport(t.Context(), report(5, 5))
	d.PollWorker(t.Context(), "n-1", "e") // responds with report 9
	for _, seq := range []uint64{6, 7} {
		if status, _ := d.HandleReport(t.Context(), report(seq, 5)); status != http.StatusOK {
			t.Errorf("report %d refused after the response to a poll", seq)
		}
	}
	next := report(1, 5)
	next.Session = 2
	d.HandleReport(t.Context(), next)
	if status, _ := d.HandleReport(t.Context(), report(8, 5)); status == http.StatusOK {
		t.Error("a report of an earlier session was answered")
	}
	if len(s.views) != 3 || !s.views[1].Polled || s.views[2].Polled {
		t.Errorf("views of 3 reports that were new: %+v", s.views)
	}
}

// Copies of heartbeats arrive late, by seconds or by well over a lease, in any order and
// more than once, here and where the worker was redirected from. None counts as
// hearing the worker, renews its lease or changes what is known of it; a worker
// whose sequence numbers really begin anew is accepted after a lease.
func TestHeartbeatCopiesHaveNoEffect(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		redirected := rapid.Bool().Draw(rt, "redirected")
		copies := rapid.SliceOfN(rapid.Uint64Range(1, 20), 1, 12).Draw(rt, "copies")
		wait := time.Duration(rapid.IntRange(0, 40).Draw(rt, "seconds")) * time.Second
		wrong := ""
		synctest.Test(t, func(t *testing.T) {
			s := &stub{token: 5}
			if redirected {
				s.leader = "b"
			}
			d := newDispatcher(t.Context(), s)
			for seq := uint64(1); seq <= 20; seq++ {
				r := report(seq, 5)
				if seq < 12 {
					r.Tasks = []wire.Task{{Task: "j-1/0", Attempt: 1, State: wire.TaskRunning}}
				}
				d.HandleReport(t.Context(), r)
				time.Sleep(time.Second)
			}
			time.Sleep(wait)
			views, seen, unanswered := len(s.views), d.SinceHeartbeat("n-1"), d.UnansweredFor("n-1")
			for i, seq := range copies {
				if i > 0 && seq > copies[i-1] && wait > 9*time.Second {
					break // that would be a worker epoch reset
				}
				status, _ := d.HandleReport(t.Context(), report(seq, 5))
				if status == http.StatusOK {
					wrong = "a copy was answered"
				}
			}
			if len(s.views) != views || d.SinceHeartbeat("n-1") < seen || d.UnansweredFor("n-1") < unanswered {
				wrong = "a copy counted"
			}
			if n, _ := d.RecentHeartbeats(); n > 0 && wait > dispatch.HeartbeatWindow+time.Second {
				wrong = "a copy counted as a heartbeat"
			}
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		s := &stub{token: 5}
		d := newDispatcher(t.Context(), s)
		d.HandleReport(t.Context(), report(300, 5))
		acceptedAfter := time.Duration(0)
		for seq := uint64(1); acceptedAfter == 0 && seq < 30; seq++ {
			time.Sleep(time.Second)
			if status, _ := d.HandleReport(t.Context(), report(seq, 5)); status == http.StatusOK {
				acceptedAfter = time.Duration(seq) * time.Second
			}
		}
		if acceptedAfter <= 10*time.Second || acceptedAfter > 12*time.Second {
			t.Errorf("a worker whose epoch was reset is accepted after %v", acceptedAfter)
		}
	})
}

// A controller that can start nothing and reaches nobody who could has its workers
// look for one, and keeps those that are soon back.
func TestIsolatedControllerRedirectsWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stub{token: 5}
		d := newDispatcher(t.Context(), s)
		d.HandleReport(t.Context(), report(1, 5))
		s.isolated = true
		for i, want := range []int{http.StatusMisdirectedRequest, http.StatusOK, http.StatusOK} {
			time.Sleep(3 * time.Second)
			if status, _ := d.HandleReport(t.Context(), report(uint64(i+2), 5)); status != want {
				t.Errorf("report %d: status %d", i, status)
			}
		}
		time.Sleep(time.Minute)
		if status, _ := d.HandleReport(t.Context(), report(9, 5)); status == http.StatusOK {
			t.Error("kept for ever by one that starts nothing")
		}
	})
}

// A clear in direct commands could arrive before a start in the response to a
// heartbeat, which would then start the attempt again.
func TestClearsOnlyInHeartbeatResponses(t *testing.T) {
	s := &stub{token: 5, respond: func(wire.PushedCommands) (*wire.Report, bool, error) { return nil, false, dispatch.ErrNotSent }}
	d := newDispatcher(t.Context(), s)
	exited := wire.Task{Task: "j-1/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseNoRoom}
	d.HandleReport(t.Context(), report(1, 5, exited))
	next := entry(2)
	d.ApplyInstructions(dispatch.Instructions{From: "a", Clear: []dispatch.Clear{{TaskRef: entry(1).TaskRef, Token: 5}}, Assign: []dispatch.QueueEntry{next}})
	d.Wait()
	if len(s.sent) != 1 || len(s.sent[0].Commands) != 1 || s.sent[0].Commands[0].Verb != wire.VerbStart {
		t.Errorf("sent %+v", s.sent)
	}
	if _, body := d.HandleReport(t.Context(), report(2, 5, exited)); verbs(body, wire.VerbForget) != 1 {
		t.Error("not cleared by the response")
	}
}

// After a failover, workers that did not report here yet are polled.
func TestPollAfterFailoverOnlyUnheardWorkers(t *testing.T) {
	s := &stub{token: 5}
	d := newDispatcher(t.Context(), s)
	d.PollReports(t.Context(), map[string]string{"n-1": "e", "n-2": "e"}, time.Second)
	if len(s.views) != 1 || s.views[0].Name != "n-1" || s.views[0].Seq != 9 {
		t.Errorf("views %+v", s.views) // the one that responded as n-2 is another worker
	}
	d.PollReports(t.Context(), map[string]string{"n-1": "e"}, time.Minute)
	if len(s.views) != 1 {
		t.Error("polled again although just heard")
	}
}

// Starts keep within the worker's size, and a start is repeated until the worker
// reports it.
func TestStartsOnlyWhatFits(t *testing.T) {
	s := &stub{token: 5, respond: func(wire.PushedCommands) (*wire.Report, bool, error) { return nil, false, dispatch.ErrNotSent }}
	d := newDispatcher(t.Context(), s)
	d.HandleReport(t.Context(), report(1, 5))
	var entries []dispatch.QueueEntry
	for i := uint64(0); i < 9; i++ {
		e := entry(i + 1)
		e.Task = wire.TaskName("j-1", int(i))
		entries = append(entries, e)
	}
	d.ApplyInstructions(dispatch.Instructions{From: "a", Assign: entries})
	d.Wait()
	for seq := uint64(2); seq < 4; seq++ {
		if _, body := d.HandleReport(t.Context(), report(seq, 5)); verbs(body, wire.VerbStart) != 4 {
			t.Errorf("started %d of 9 one-CPU tasks on 4 CPUs", verbs(body, wire.VerbStart))
		}
	}
}

// A new leader that had polled all workers expected heartbeats from all of them, received none,
// took its inbound links for lost and transferred the shards.
func TestPolledWorkersAreNotExpectedToReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stub{token: 3}
		d := newDispatcher(t.Context(), s)
		d.PollReports(t.Context(), map[string]string{"n-1": "e"}, time.Second)
		if _, workers := d.RecentHeartbeats(); workers != 0 || len(s.views) != 1 {
			t.Errorf("%d workers are expected to report, %d views", workers, len(s.views))
		}
		if got := d.ProbeEndpoints(t.Context(), []string{"e", "f"}, time.Second); got != 1 {
			t.Errorf("%v of the probed workers responded", got)
		}
		d.HandleReport(t.Context(), report(10, 3))
		if reports, workers := d.RecentHeartbeats(); workers != 1 || reports != 0 {
			t.Errorf("%d workers are expected, %d heartbeats in whole seconds", workers, reports)
		}
		time.Sleep(time.Second)
		if reports, _ := d.RecentHeartbeats(); reports != 1 || d.SinceLastHeartbeat() != time.Second {
			t.Errorf("%d heartbeats, none for %v", reports, d.SinceLastHeartbeat())
		}
		time.Sleep(time.Minute)
		if _, workers := d.RecentHeartbeats(); workers != 0 {
			t.Errorf("%d workers are expected after a minute", workers)
		}
	})
}
