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

// stub is everything around a holder.
type stub struct {
	termMu sync.Mutex // the holder raises the term in the background
	term   uint64
	raises bool
	order  func(wire.Orders) (*wire.Report, bool, error)
	sent   []wire.Orders
	views  []dispatch.WorkerView
	alone  bool
	barred bool // may not answer workers

	connect func() // is waited for before an order leaves; nil: nothing

	foreman string
	there   func([]dispatch.GrantRequest) []dispatch.GrantReply // an owner elsewhere; nil: none
}

func (s *stub) ObserveWorker(v dispatch.WorkerView) { s.views = append(s.views, v) }
func (s *stub) GrantLocal(dispatch.GrantRequest) dispatch.GrantReply {
	return dispatch.GrantReply{OK: true}
}
func (s *stub) GrantRemote(_ context.Context, _ string, requests []dispatch.GrantRequest) ([]dispatch.GrantReply, error) {
	if s.there != nil {
		return s.there(requests), nil
	}
	return nil, errors.New("no peer")
}
func (s *stub) ReservedTokenAbove(uint64) uint64 { return 0 }

func (s *stub) FencingToken() uint64 {
	s.termMu.Lock()
	defer s.termMu.Unlock()
	return s.term
}

func (s *stub) RaiseTokenAbove(_ context.Context, above uint64) (uint64, error) {
	if !s.raises {
		return 0, errors.New("state service out")
	}
	s.termMu.Lock()
	defer s.termMu.Unlock()
	s.term = max(s.term, above+1)
	return s.term, nil
}
func (s *stub) Type(string) (wire.MachineType, bool) {
	return wire.MachineType{Name: "m", CPUs: 4, MemoryGB: 8}, true
}
func (s *stub) LeaderFor(string) string {
	if s.foreman != "" {
		return s.foreman
	}
	return "a"
}
func (s *stub) MayAnswerWorkers() bool { return !s.barred }
func (s *stub) Isolated() bool         { return s.alone }
func (s *stub) SendCommands(_ context.Context, _ string, o wire.Orders, valid func() error) (*wire.Report, bool, error) {
	if s.connect != nil {
		s.connect()
	}
	if err := valid(); err != nil {
		return nil, false, err
	}
	s.sent = append(s.sent, o)
	return s.order(o)
}

func (s *stub) FetchReport(context.Context, string) (*wire.Report, error) {
	return report(9, s.FencingToken()), nil
}

func holder(ctx context.Context, s *stub) *dispatch.Dispatcher {
	return holderWith(ctx, s, nil)
}

// holderWith is a holder that knows cancelled jobs.
func holderWith(ctx context.Context, s *stub, cancelled dispatch.Cancellations) *dispatch.Dispatcher {
	return dispatch.New(ctx, dispatch.Options{
		Node: "a", WorkerLease: 10 * time.Second, Schedulers: s, Tokens: s, MachineTypes: s, Routing: s, Commands: s, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Cancellations: cancelled,
	})
}

// A peer's direction comes when the holder's process ends: nothing is sent that nobody waits
// for.
func TestNothingIsSentOnceTheHolderHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stub{term: 5, order: func(wire.Orders) (*wire.Report, bool, error) { return nil, false, dispatch.ErrNotSent }}
		ctx, end := context.WithCancel(t.Context())
		h := holder(ctx, s)
		h.HandleReport(ctx, report(1, 5))
		end()
		h.Wait()
		h.ApplyInstructions(dispatch.Instructions{From: "a", Assign: []dispatch.QueueEntry{entry(1)}})
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
	return dispatch.QueueEntry{TaskRef: dispatch.TaskRef{Machine: "n-1", Task: "j-1/0", Attempt: attempt}, Owner: "a", Resources: matching.Resources{CPUs: 1, MemoryGB: 1}, Run: 5}
}

func verbs(body any, verb string) (n int) {
	for _, c := range body.(wire.ReportAnswer).Commands {
		if c.Verb == verb {
			n++
		}
	}
	return n
}

// A direct order without an answer may still arrive: until a report shows a
// newer token, nothing may be cleared, or the late order would start the task
// again beside its next attempt.
func TestNoClearWhileAnOrderMayBeUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stub{term: 5, raises: true, order: func(wire.Orders) (*wire.Report, bool, error) {
			return nil, false, context.DeadlineExceeded
		}}
		ctx, cancel := context.WithCancel(context.Background())
		h := holder(ctx, s)
		h.HandleReport(ctx, report(1, 5))
		h.ApplyInstructions(dispatch.Instructions{From: "a", Assign: []dispatch.QueueEntry{entry(1)}})
		synctest.Wait()
		if len(s.sent) != 1 || s.sent[0].Commands[0].Verb != wire.VerbStart {
			t.Fatalf("sent %+v", s.sent)
		}
		exited := wire.Task{Task: "j-1/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseNoRoom}
		h.HandleReport(ctx, report(2, 5, exited))
		h.ApplyInstructions(dispatch.Instructions{From: "a", Clear: []dispatch.Clear{{TaskRef: entry(1).TaskRef, Token: 5}}})
		synctest.Wait()
		if _, body := h.HandleReport(ctx, report(3, 5, exited)); verbs(body, wire.VerbForget) != 0 {
			t.Error("cleared while the order may still arrive")
		} else if body.(wire.ReportAnswer).Token <= 5 {
			t.Error("the token was not raised")
		}
		if _, body := h.HandleReport(ctx, report(4, s.FencingToken(), exited)); verbs(body, wire.VerbForget) != 1 {
			t.Error("not cleared although the order is fenced off")
		}
		cancel()
		h.Wait()
	})
}

// Another holder's direct order may carry a higher token than this holder's, and be held
// up: a worker that heard neither ran the task by this one's answer, was told to forget
// it, and ran it again.
func TestNoClearBelowAnotherHoldersOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stub{term: 5, raises: true}
		ctx, cancel := context.WithCancel(context.Background())
		h := holder(ctx, s)
		exited := wire.Task{Task: "j-1/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseDone}
		h.HandleReport(ctx, report(1, 5, exited))
		h.ApplyInstructions(dispatch.Instructions{From: "a", Clear: []dispatch.Clear{{TaskRef: entry(1).TaskRef, Token: 9}}})
		if _, body := h.HandleReport(ctx, report(2, 5, exited)); verbs(body, wire.VerbForget) != 0 {
			t.Error("cleared while the other's order may still start it")
		}
		synctest.Wait()
		if term := s.FencingToken(); term <= 9 {
			t.Fatalf("the term was not raised: %d", term)
		}
		h.HandleReport(ctx, report(3, 5, exited)) // hears the new token
		if _, body := h.HandleReport(ctx, report(4, s.FencingToken(), exited)); verbs(body, wire.VerbForget) != 1 {
			t.Error("not cleared although all older orders are fenced off")
		}
		cancel()
		h.Wait()
	})
}

// A worker that saw a higher token must not get 200 with a lower one: it would
// stay and lose its lease.
func TestNeverAnswersWithALowerToken(t *testing.T) {
	s := &stub{term: 5}
	h := holder(t.Context(), s)
	if status, _ := h.HandleReport(t.Context(), report(1, 9)); status != http.StatusMisdirectedRequest {
		t.Errorf("status %d", status)
	}
	s.raises = true
	status, body := h.HandleReport(t.Context(), report(2, 9))
	if status != http.StatusOK || body.(wire.ReportAnswer).Token <= 9 {
		t.Errorf("status %d, %+v", status, body)
	}
}

// A report that the answer to a request overtook tells nothing, whatever it lists;
// but unless its session is over the worker gets its answer: refused, it went to look
// for another node whenever a direct order's answer overtook it.
func TestOvertakenReportIsAnswered(t *testing.T) {
	s := &stub{term: 5}
	h := holder(t.Context(), s)
	h.HandleReport(t.Context(), report(5, 5))
	h.FetchReport(t.Context(), "n-1", "e") // answers with report 9
	for _, seq := range []uint64{6, 7} {
		if status, _ := h.HandleReport(t.Context(), report(seq, 5)); status != http.StatusOK {
			t.Errorf("report %d refused after the answer to a request", seq)
		}
	}
	next := report(1, 5)
	next.Session = 2
	h.HandleReport(t.Context(), next)
	if status, _ := h.HandleReport(t.Context(), report(8, 5)); status == http.StatusOK {
		t.Error("a report of an earlier session was answered")
	}
	if len(s.views) != 3 || !s.views[1].Asked || s.views[2].Asked {
		t.Errorf("views of 3 reports that were news: %+v", s.views)
	}
}

// Copies of reports arrive late, by seconds or by well over a lease, in any order and
// more than once, here and where the worker was sent away from. None counts as
// hearing the machine, renews anything or changes what is known of it; a worker
// that really begins to count anew is heard after a lease.
func TestCopiesOfReportsAreInert(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		former := rapid.Bool().Draw(rt, "former holder")
		late := rapid.SliceOfN(rapid.Uint64Range(1, 20), 1, 12).Draw(rt, "copies")
		wait := time.Duration(rapid.IntRange(0, 40).Draw(rt, "seconds")) * time.Second
		wrong := ""
		synctest.Test(t, func(t *testing.T) {
			s := &stub{term: 5}
			if former {
				s.foreman = "b"
			}
			h := holder(t.Context(), s)
			for seq := uint64(1); seq <= 20; seq++ {
				r := report(seq, 5)
				if seq < 12 {
					r.Tasks = []wire.Task{{Task: "j-1/0", Attempt: 1, State: wire.TaskRunning}}
				}
				h.HandleReport(t.Context(), r)
				time.Sleep(time.Second)
			}
			time.Sleep(wait)
			views, seen, unanswered := len(s.views), h.SinceHeartbeat("n-1"), h.UnansweredFor("n-1")
			for i, seq := range late {
				if i > 0 && seq > late[i-1] && wait > 9*time.Second {
					break // that would be a worker that counts anew
				}
				status, _ := h.HandleReport(t.Context(), report(seq, 5))
				if status == http.StatusOK {
					wrong = "a copy was answered"
				}
			}
			if len(s.views) != views || h.SinceHeartbeat("n-1") < seen || h.UnansweredFor("n-1") < unanswered {
				wrong = "a copy counted"
			}
			if n, _ := h.RecentHeartbeats(); n > 0 && wait > dispatch.HeartbeatWindow+time.Second {
				wrong = "a copy counted as an arrival"
			}
		})
		if wrong != "" {
			rt.Fatal(wrong)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		s := &stub{term: 5}
		h := holder(t.Context(), s)
		h.HandleReport(t.Context(), report(300, 5))
		heard := time.Duration(0)
		for seq := uint64(1); heard == 0 && seq < 30; seq++ {
			time.Sleep(time.Second)
			if status, _ := h.HandleReport(t.Context(), report(seq, 5)); status == http.StatusOK {
				heard = time.Duration(seq) * time.Second
			}
		}
		if heard <= 10*time.Second || heard > 12*time.Second {
			t.Errorf("a worker that counts anew is heard after %v", heard)
		}
	})
}

// A controller that can start nothing and hears nobody who could sends its workers
// to look for one, and keeps those that are soon back.
func TestAloneLetsWorkersGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stub{term: 5}
		h := holder(t.Context(), s)
		h.HandleReport(t.Context(), report(1, 5))
		s.alone = true
		for i, want := range []int{http.StatusMisdirectedRequest, http.StatusOK, http.StatusOK} {
			time.Sleep(3 * time.Second)
			if status, _ := h.HandleReport(t.Context(), report(uint64(i+2), 5)); status != want {
				t.Errorf("report %d: status %d", i, status)
			}
		}
		time.Sleep(time.Minute)
		if status, _ := h.HandleReport(t.Context(), report(9, 5)); status == http.StatusOK {
			t.Error("kept for ever by one that starts nothing")
		}
	})
}

// A clear in a direct order could arrive before a start in the answer to a
// report, which would then start the attempt again.
func TestClearsGoOnlyInAnswers(t *testing.T) {
	s := &stub{term: 5, order: func(wire.Orders) (*wire.Report, bool, error) { return nil, false, dispatch.ErrNotSent }}
	h := holder(t.Context(), s)
	exited := wire.Task{Task: "j-1/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseNoRoom}
	h.HandleReport(t.Context(), report(1, 5, exited))
	next := entry(2)
	h.ApplyInstructions(dispatch.Instructions{From: "a", Clear: []dispatch.Clear{{TaskRef: entry(1).TaskRef, Token: 5}}, Assign: []dispatch.QueueEntry{next}})
	h.Wait()
	if len(s.sent) != 1 || len(s.sent[0].Commands) != 1 || s.sent[0].Commands[0].Verb != wire.VerbStart {
		t.Errorf("sent %+v", s.sent)
	}
	if _, body := h.HandleReport(t.Context(), report(2, 5, exited)); verbs(body, wire.VerbForget) != 1 {
		t.Error("not cleared by the answer")
	}
}

// After a takeover, machines that did not report here yet are asked.
func TestProbeAsksUnheardMachines(t *testing.T) {
	s := &stub{term: 5}
	h := holder(t.Context(), s)
	h.PollReports(t.Context(), map[string]string{"n-1": "e", "n-2": "e"}, time.Second)
	if len(s.views) != 1 || s.views[0].Name != "n-1" || s.views[0].Seq != 9 {
		t.Errorf("views %+v", s.views) // the one that answered as n-2 is another machine
	}
	h.PollReports(t.Context(), map[string]string{"n-1": "e"}, time.Minute)
	if len(s.views) != 1 {
		t.Error("asked again although just heard")
	}
}

// Starts keep within the machine, and a start is repeated until the worker
// shows it.
func TestStartsWhatFits(t *testing.T) {
	s := &stub{term: 5, order: func(wire.Orders) (*wire.Report, bool, error) { return nil, false, dispatch.ErrNotSent }}
	h := holder(t.Context(), s)
	h.HandleReport(t.Context(), report(1, 5))
	var entries []dispatch.QueueEntry
	for i := uint64(0); i < 9; i++ {
		e := entry(i + 1)
		e.Task = wire.TaskName("j-1", int(i))
		entries = append(entries, e)
	}
	h.ApplyInstructions(dispatch.Instructions{From: "a", Assign: entries})
	h.Wait()
	for seq := uint64(2); seq < 4; seq++ {
		if _, body := h.HandleReport(t.Context(), report(seq, 5)); verbs(body, wire.VerbStart) != 4 {
			t.Errorf("started %d of 9 one-CPU tasks on 4 CPUs", verbs(body, wire.VerbStart))
		}
	}
}

// A new owner that had asked all machines for their reports expected reports from
// all of them, heard none, took itself for deaf and gave the jobs away.
func TestMachinesThatWereOnlyAskedAreNotExpected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &stub{term: 3}
		h := holder(t.Context(), s)
		h.PollReports(t.Context(), map[string]string{"n-1": "e"}, time.Second)
		if _, machines := h.RecentHeartbeats(); machines != 0 || len(s.views) != 1 {
			t.Errorf("%d machines are expected to report, %d views", machines, len(s.views))
		}
		if got := h.ProbeEndpoints(t.Context(), []string{"e", "f"}, time.Second); got != 1 {
			t.Errorf("%v of the tried machines answered", got)
		}
		h.HandleReport(t.Context(), report(10, 3))
		if reports, machines := h.RecentHeartbeats(); machines != 1 || reports != 0 {
			t.Errorf("%d machines are expected, %d reports in whole seconds", machines, reports)
		}
		time.Sleep(time.Second)
		if reports, _ := h.RecentHeartbeats(); reports != 1 || h.SinceLastHeartbeat() != time.Second {
			t.Errorf("%d reports, quiet for %v", reports, h.SinceLastHeartbeat())
		}
		time.Sleep(time.Minute)
		if _, machines := h.RecentHeartbeats(); machines != 0 {
			t.Errorf("%d machines are expected after a minute", machines)
		}
	})
}
