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

// stub implements all dependencies of a dispatcher.
type stub struct {
	tokenMu            sync.Mutex // the dispatcher raises the token on another goroutine
	token              uint64
	canRaiseToken      bool
	respond            func(wire.PushedCommands) (*wire.Report, bool, error)
	sent               []wire.PushedCommands
	views              []dispatch.WorkerView
	isolated           bool
	answeringForbidden bool // MayAnswerWorkers returns false

	beforeSend func() // called before commands are validated and sent; may be nil

	leader      string
	grantRemote func([]dispatch.GrantRequest) []dispatch.GrantReply // answers requests to other controllers; nil: they fail
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
	if !s.canRaiseToken {
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
func (s *stub) MayAnswerWorkers() bool { return !s.answeringForbidden }
func (s *stub) Isolated() bool         { return s.isolated }
func (s *stub) SendCommands(_ context.Context, _ string, o wire.PushedCommands, valid func() error) (*wire.Report, bool, error) {
	if s.beforeSend != nil {
		s.beforeSend()
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

// newCancellingDispatcher returns a dispatcher that knows of cancelled jobs.
func newCancellingDispatcher(ctx context.Context, s *stub, cancelled dispatch.Cancellations) *dispatch.Dispatcher {
	return dispatch.New(ctx, dispatch.Options{
		Node: "a", WorkerLease: 10 * time.Second, Schedulers: s, Tokens: s, MachineTypes: s, Routing: s, Commands: s, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Cancellations: cancelled,
	})
}

// Instructions that arrive during shutdown cause no push: Wait would not wait for it.
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

func countVerb(body any, verb string) (n int) {
	for _, c := range body.(wire.ReportResponse).Commands {
		if c.Verb == verb {
			n++
		}
	}
	return n
}

// Pushed commands without a response may still arrive. Until a report shows a newer token, the
// worker must not be told to forget an exited task: the late commands would run it again,
// concurrently with its next attempt.
func TestNoClearWhileCommandsHaveUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stub{token: 5, canRaiseToken: true, respond: func(wire.PushedCommands) (*wire.Report, bool, error) {
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
		d.ApplyInstructions(dispatch.Instructions{From: "a", Forget: []dispatch.Forget{{TaskRef: entry(1).TaskRef, MaxStartToken: 5}}})
		synctest.Wait()
		if _, body := d.HandleReport(ctx, report(3, 5, exited)); countVerb(body, wire.VerbForget) != 0 {
			t.Error("cleared while the commands may still arrive")
		} else if body.(wire.ReportResponse).Token <= 5 {
			t.Error("the token was not raised")
		}
		if _, body := d.HandleReport(ctx, report(4, s.FencingToken(), exited)); countVerb(body, wire.VerbForget) != 1 {
			t.Error("not cleared although the commands are fenced off")
		}
		cancel()
		d.Wait()
	})
}

// Another dispatcher's start command may carry a higher token than this one's and be delayed. If
// this dispatcher's start ran the task and the worker then forgot it, the delayed command would
// run it again.
func TestNoClearBelowTokenOfAnotherDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stub{token: 5, canRaiseToken: true}
		ctx, cancel := context.WithCancel(context.Background())
		d := newDispatcher(ctx, s)
		exited := wire.Task{Task: "j-1/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseDone}
		d.HandleReport(ctx, report(1, 5, exited))
		d.ApplyInstructions(dispatch.Instructions{From: "a", Forget: []dispatch.Forget{{TaskRef: entry(1).TaskRef, MaxStartToken: 9}}})
		if _, body := d.HandleReport(ctx, report(2, 5, exited)); countVerb(body, wire.VerbForget) != 0 {
			t.Error("cleared while the other dispatcher's commands may still start it")
		}
		synctest.Wait()
		if token := s.FencingToken(); token <= 9 {
			t.Fatalf("the token was not raised: %d", token)
		}
		d.HandleReport(ctx, report(3, 5, exited)) // answered with the new token
		if _, body := d.HandleReport(ctx, report(4, s.FencingToken(), exited)); countVerb(body, wire.VerbForget) != 1 {
			t.Error("not cleared although all older commands are fenced off")
		}
		cancel()
		d.Wait()
	})
}

// A worker that has seen a higher token must not get status 200 with a lower one: it would
// continue to report here and lose its lease.
func TestNoResponseWithLowerToken(t *testing.T) {
	s := &stub{token: 5}
	d := newDispatcher(t.Context(), s)
	if status, _ := d.HandleReport(t.Context(), report(1, 9)); status != http.StatusMisdirectedRequest {
		t.Errorf("status %d", status)
	}
	s.canRaiseToken = true
	status, body := d.HandleReport(t.Context(), report(2, 9))
	if status != http.StatusOK || body.(wire.ReportResponse).Token <= 9 {
		t.Errorf("status %d, %+v", status, body)
	}
}

// A heartbeat that was overtaken by the response to a poll or push has no effect on the worker's
// state, but is answered unless its session is over. If it were rejected, the worker would look
// for another controller.
func TestHeartbeatOlderThanPolledReportIsAnswered(t *testing.T) {
	s := &stub{token: 5}
	d := newDispatcher(t.Context(), s)
	d.HandleReport(t.Context(), report(5, 5))
	d.PollWorker(t.Context(), "n-1", "e") // returns report 9
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
		t.Errorf("not the views of the 3 new reports: %+v", s.views)
	}
}

// Copies of heartbeats may arrive seconds or more than a lease late, in any order and more than
// once, also at a controller that has redirected the worker. They don't count as a sign of life,
// renew no lease and change no state. A worker whose sequence numbers were reset is accepted after
// a lease.
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
			views, seen, unanswered := len(s.views), d.SinceWorkerHeartbeat("n-1"), d.UnansweredFor("n-1")
			for i, seq := range copies {
				if i > 0 && seq > copies[i-1] && wait > 9*time.Second {
					break // sequence numbers that increase again count as reset ones and are accepted
				}
				status, _ := d.HandleReport(t.Context(), report(seq, 5))
				if status == http.StatusOK {
					wrong = "a copy was answered"
				}
			}
			if len(s.views) != views || d.SinceWorkerHeartbeat("n-1") < seen || d.UnansweredFor("n-1") < unanswered {
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

// An isolated controller, which can start no tasks and reaches no controller that can, sends its
// workers to look for another one, and does not redirect those that return soon.
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
			t.Error("an isolated controller stopped redirecting its workers")
		}
	})
}

// A pushed forget command could overtake a start command in the response to a heartbeat, which
// would then run the attempt again.
func TestClearsOnlyInHeartbeatResponses(t *testing.T) {
	s := &stub{token: 6, respond: func(wire.PushedCommands) (*wire.Report, bool, error) { return nil, false, dispatch.ErrNotSent }}
	d := newDispatcher(t.Context(), s)
	exited := wire.Task{Task: "j-1/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseNoRoom}
	d.HandleReport(t.Context(), report(1, 6, exited))
	next := entry(2)
	d.ApplyInstructions(dispatch.Instructions{From: "a", Forget: []dispatch.Forget{{TaskRef: entry(1).TaskRef, MaxStartToken: 5}}, Assign: []dispatch.QueueEntry{next}})
	d.Wait()
	if len(s.sent) != 1 || len(s.sent[0].Commands) != 1 || s.sent[0].Commands[0].Verb != wire.VerbStart {
		t.Errorf("sent %+v", s.sent)
	}
	if _, body := d.HandleReport(t.Context(), report(2, 6, exited)); countVerb(body, wire.VerbForget) != 1 {
		t.Error("not cleared by the response")
	}
}

// After a failover, only workers that have not reported here recently are polled.
func TestPollAfterFailoverSkipsRecentlyReportedWorkers(t *testing.T) {
	s := &stub{token: 5}
	d := newDispatcher(t.Context(), s)
	d.PollReports(t.Context(), map[string]string{"n-1": "e", "n-2": "e"}, time.Second)
	if len(s.views) != 1 || s.views[0].Name != "n-1" || s.views[0].Seq != 9 {
		t.Errorf("views %+v", s.views) // n-2's response names another worker and is dropped
	}
	d.PollReports(t.Context(), map[string]string{"n-1": "e"}, time.Minute)
	if len(s.views) != 1 {
		t.Error("polled again right after its report")
	}
}

// Started tasks fit the worker's capacity, and a start command is repeated until the worker
// reports the task.
func TestStartsFitFreeCapacity(t *testing.T) {
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
		if _, body := d.HandleReport(t.Context(), report(seq, 5)); countVerb(body, wire.VerbStart) != 4 {
			t.Errorf("started %d of 9 one-CPU tasks on 4 CPUs", countVerb(body, wire.VerbStart))
		}
	}
}

// Workers that were only polled don't count as expected to report. Otherwise a new leader that has
// polled all workers misses their heartbeats, regards its inbound links as lost and transfers its
// shards.
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
		if reports, _ := d.RecentHeartbeats(); reports != 1 || d.SinceAnyHeartbeat() != time.Second {
			t.Errorf("%d heartbeats, none for %v", reports, d.SinceAnyHeartbeat())
		}
		time.Sleep(time.Minute)
		if _, workers := d.RecentHeartbeats(); workers != 0 {
			t.Errorf("%d workers are expected after a minute", workers)
		}
	})
}
