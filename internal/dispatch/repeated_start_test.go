package dispatch_test

import (
	"context"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/dispatch"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/usage"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	// maxForgetDelay bounds the time from the exit of an attempt until its worker forgets it, while
	// tokens can be raised.
	maxForgetDelay = 15 * time.Second
	// minRaiseInterval is the minimum time between two raises of the token for forget commands.
	minRaiseInterval = 10 * time.Second
	heartbeatPeriod  = 500 * time.Millisecond
)

// Reasons for the end of an attempt besides the causes that workers report.
const (
	movedByLeader   = "moved"
	cancelledByUser = "cancelled"
)

// repeatingWorker is a worker that keeps the direct commands it executed.
type repeatingWorker struct {
	*testkit.Worker
	starts   int
	executed []wire.PushedCommands
	longest  []wire.Task // tasks of the longest report
}

// newRepeatingWorker returns a worker whose tasks exit after a second, for the given cause.
func newRepeatingWorker(cause string) *repeatingWorker {
	k := &repeatingWorker{Worker: testkit.NewWorker("n-1", 10*time.Second, func(string) time.Duration { return time.Second })}
	k.OnStart = func(string, uint64) { k.starts++ }
	if cause == wire.CauseError {
		k.ExitCode = func(string) int { return 3 }
	}
	return k
}

// handle executes a direct command and returns the report after it.
func (k *repeatingWorker) handle(o wire.PushedCommands) (*wire.Report, bool, error) {
	executed := k.HandleCommands(o)
	if executed {
		k.executed = append(k.executed, o)
	}
	return k.Report(), executed, nil
}

// heartbeat sends a heartbeat to a dispatcher, handles the response, and returns the exited tasks. The
// leader instructs the dispatcher to have each of them forgotten, under the token of their starts.
func (k *repeatingWorker) heartbeat(d *dispatch.Dispatcher, startToken uint64) (exited int) {
	sent, rep := time.Now(), k.Report()
	if _, body := d.HandleReport(context.Background(), rep); body != nil {
		if response, ok := body.(wire.ReportResponse); ok {
			k.HandleResponse(sent, rep.Session, response)
		}
	}
	if len(rep.Tasks) > len(k.longest) {
		k.longest = rep.Tasks
	}
	instructions := dispatch.Instructions{From: "a"}
	for _, task := range rep.Tasks {
		if task.State == wire.TaskExited {
			exited++
			ref := dispatch.TaskRef{Worker: k.Name, Task: task.Task, Attempt: task.Attempt}
			instructions.Forget = append(instructions.Forget, dispatch.Forget{TaskRef: ref, MaxStartToken: startToken})
		}
	}
	d.ApplyInstructions(instructions)
	synctest.Wait()
	return exited
}

// startsAfterForgetAndCopies sends heartbeats until all tasks are forgotten, delivers copies of the executed
// commands, and returns the number of starts. It fails the test if a task is not forgotten in time.
func (k *repeatingWorker) startsAfterForgetAndCopies(t *testing.T, d *dispatch.Dispatcher, startToken uint64) (starts int) {
	t.Helper()
	for began := time.Now(); len(k.Report().Tasks) > 0 && time.Since(began) < maxForgetDelay; time.Sleep(heartbeatPeriod) {
		k.heartbeat(d, startToken)
	}
	if tasks := k.Report().Tasks; len(tasks) > 0 {
		t.Errorf("not forgotten within %v: %+v", maxForgetDelay, tasks)
	}
	for _, commands := range k.executed {
		k.HandleCommands(commands)
	}
	return k.starts
}

// startTask has the dispatcher start a task by a direct command.
func startTask(d *dispatch.Dispatcher, task string) {
	e := entry(1)
	e.Task = task
	d.ApplyInstructions(dispatch.Instructions{From: "a", Assign: []dispatch.QueueEntry{e}})
	synctest.Wait()
}

// playWithRepeatingWorker plays with a worker whose tasks exit for the given cause, its dispatcher, and the
// dispatcher's dependencies. The leader's token is 5.
func playWithRepeatingWorker(t *testing.T, cause string, canRaiseToken bool, play func(t *testing.T, k *repeatingWorker, d *dispatch.Dispatcher, s *stub)) {
	synctest.Test(t, func(t *testing.T) {
		k := newRepeatingWorker(cause)
		s := &stub{token: 5, canRaiseToken: canRaiseToken, respond: k.handle}
		ctx, cancel := context.WithCancel(context.Background())
		d := newDispatcher(ctx, s)
		play(t, k, d, s)
		cancel()
		d.Wait()
	})
}

// allowRaises ends an outage of the state service, in which no token can be raised.
func (s *stub) allowRaises() {
	s.tokenMu.Lock()
	defer s.tokenMu.Unlock()
	s.canRaiseToken = true
}

// startsOfForgottenTask returns how often a task started of which a copy of the start command arrives
// after its worker has forgotten it.
func startsOfForgottenTask(t *testing.T, reason string, answered bool) (starts int) {
	synctest.Test(t, func(t *testing.T) {
		k := newRepeatingWorker(reason)
		s := &stub{token: 5, canRaiseToken: true, respond: func(o wire.PushedCommands) (*wire.Report, bool, error) {
			rep, executed, err := k.handle(o)
			if !answered {
				return nil, false, context.DeadlineExceeded
			}
			return rep, executed, err
		}}
		ctx, cancel := context.WithCancel(context.Background())
		cancelled := cancelledJobs{}
		d := newCancellingDispatcher(ctx, s, cancelled)
		k.heartbeat(d, 5)
		startTask(d, "j-1/0")
		if k.starts != 1 {
			t.Fatalf("%d starts by the direct command", k.starts)
		}
		switch reason {
		case movedByLeader:
			d.ApplyInstructions(dispatch.Instructions{From: "a", Halt: []dispatch.Halt{{TaskRef: entry(1).TaskRef}}})
		case cancelledByUser:
			cancelled["j-1"] = true
			d.HaltCancelledTasks()
		}
		synctest.Wait()
		starts = k.startsAfterForgetAndCopies(t, d, 5)
		cancel()
		d.Wait()
	})
	return starts
}

func TestCopyOfExecutedStartDoesNotRunForgottenTaskAgain(t *testing.T) {
	for _, reason := range []string{wire.CauseDone, wire.CauseError, movedByLeader, cancelledByUser} {
		for name, answered := range map[string]bool{"answered": true, "unanswered": false} {
			t.Run(reason+" "+name, func(t *testing.T) {
				if starts := startsOfForgottenTask(t, reason, answered); starts != 1 {
					t.Errorf("the task started %d times", starts)
				}
			})
		}
	}
}

// A refused start has no effect only as long as the worker knows the attempt.
func TestCopyOfRefusedStartDoesNotRunForgottenTask(t *testing.T) {
	for _, cause := range []string{wire.CauseNoRoom, wire.CauseBusy, wire.CauseUnknown} {
		s := &stub{token: 5, canRaiseToken: true}
		d := newDispatcher(t.Context(), s)
		exited := wire.Task{Task: "j-1/0", Attempt: 1, State: wire.TaskExited, Cause: cause}
		forgetTask := dispatch.Instructions{From: "a", Forget: []dispatch.Forget{{TaskRef: entry(1).TaskRef, MaxStartToken: 5}}}
		d.HandleReport(t.Context(), report(1, 5, exited))
		d.ApplyInstructions(forgetTask)
		if _, body := d.HandleReport(t.Context(), report(2, 5, exited)); countVerb(body, wire.VerbForget) != 0 {
			t.Errorf("%s: forgotten under the token of the start", cause)
		}
		d.Wait()
		if _, body := d.HandleReport(t.Context(), report(3, s.FencingToken(), exited)); countVerb(body, wire.VerbForget) != 1 {
			t.Errorf("%s: not forgotten under the token %d", cause, s.FencingToken())
		}
	}
}

// Another leader may already instruct under a higher token than that of the attempt's start.
func TestForgetIsNotDelayedByLaterInstructionWithHigherToken(t *testing.T) {
	s := &stub{token: 6, canRaiseToken: true}
	d := newDispatcher(t.Context(), s)
	exited := wire.Task{Task: "j-1/0", Attempt: 1, State: wire.TaskExited, Cause: wire.CauseDone}
	d.HandleReport(t.Context(), report(1, 6, exited))
	for _, token := range []uint64{5, 6, 7} {
		d.ApplyInstructions(dispatch.Instructions{From: "a", Forget: []dispatch.Forget{{TaskRef: entry(1).TaskRef, MaxStartToken: token}}})
	}
	if _, body := d.HandleReport(t.Context(), report(2, 6, exited)); countVerb(body, wire.VerbForget) != 1 {
		t.Error("not forgotten although the start is fenced off")
	}
}

// An instruction whose token is lower than that of the dispatcher's own start is not followed.
func TestForgetBelowTokenOfOwnStartIsRefused(t *testing.T) {
	playWithRepeatingWorker(t, wire.CauseDone, true, func(t *testing.T, k *repeatingWorker, d *dispatch.Dispatcher, _ *stub) {
		k.heartbeat(d, 0)
		startTask(d, "j-1/0")
		before := usage.EventCount(usage.UnfencedForgets)
		if starts := k.startsAfterForgetAndCopies(t, d, 0); starts != 1 {
			t.Errorf("the task started %d times", starts)
		}
		if usage.EventCount(usage.UnfencedForgets) == before {
			t.Error("not counted")
		}
	})
}

// A raise withdraws the grants of all queued tasks, so that one for each exit would hold up starts.
func TestTokenIsRaisedSeldomForForgets(t *testing.T) {
	playWithRepeatingWorker(t, wire.CauseDone, true, func(t *testing.T, k *repeatingWorker, d *dispatch.Dispatcher, s *stub) {
		const duration = time.Minute
		for began := time.Now(); time.Since(began) < duration; time.Sleep(heartbeatPeriod) {
			startTask(d, wire.TaskName("j-1", int(time.Since(began)/heartbeatPeriod)))
			k.heartbeat(d, s.FencingToken())
		}
		if raises, limit := s.FencingToken()-5, uint64(duration/minRaiseInterval); raises > limit {
			t.Errorf("%d raises in %v", raises, duration)
		}
	})
}

func TestForgetsFollowOutageOfStateService(t *testing.T) {
	playWithRepeatingWorker(t, wire.CauseDone, false, func(t *testing.T, k *repeatingWorker, d *dispatch.Dispatcher, s *stub) {
		k.heartbeat(d, 5)
		const outage = 120 * time.Second
		tasks := 0
		for began := time.Now(); time.Since(began) < outage; time.Sleep(heartbeatPeriod) {
			startTask(d, wire.TaskName("j-1", tasks))
			tasks++
			k.heartbeat(d, 5)
		}
		if k.starts != tasks || len(k.longest) < tasks-1 {
			t.Errorf("%d of %d tasks started during the outage, %d of them in the longest report", k.starts, tasks, len(k.longest))
		}
		s.allowRaises()
		for range int(maxForgetDelay / heartbeatPeriod) {
			time.Sleep(heartbeatPeriod)
			k.heartbeat(d, 5)
		}
		if exited := k.heartbeat(d, 5); exited > 0 {
			t.Errorf("%d exited tasks are not forgotten %v after the outage", exited, maxForgetDelay)
		}
	})
}

// A worker whose reports exceed the limit of request bodies can't report, and loses its lease.
func TestReportsOfExitedTasksStayWithinBodyLimit(t *testing.T) {
	playWithRepeatingWorker(t, wire.CauseError, false, func(t *testing.T, k *repeatingWorker, d *dispatch.Dispatcher, s *stub) {
		k.RunTime = func(string) time.Duration { return time.Millisecond }
		k.heartbeat(d, 5)
		const tasks = 500
		for i := range tasks {
			startTask(d, wire.TaskName("j-999999", wire.MaxTasksPerJob-1-i))
			time.Sleep(heartbeatPeriod / 4)
			k.heartbeat(d, 5)
		}
		if k.starts == tasks {
			t.Errorf("%d tasks started although none could be forgotten", k.starts)
		}
		for i := range k.longest {
			k.longest[i].Attempt, k.longest[i].Cause, k.longest[i].Saved = math.MaxUint32, wire.CauseNoRoom, true
		}
		encoded, err := json.Marshal(report(math.MaxUint64, math.MaxUint64, k.longest...))
		if err != nil || len(encoded) > wire.MaxBodyBytes {
			t.Errorf("%d tasks make a report of %d bytes (%v)", len(k.longest), len(encoded), err)
		}
		s.allowRaises()
		for began := time.Now(); k.starts < tasks && time.Since(began) < time.Minute; time.Sleep(heartbeatPeriod) {
			k.heartbeat(d, s.FencingToken())
		}
		if k.starts < tasks {
			t.Errorf("%d of %d tasks started after the token could be raised", k.starts, tasks)
		}
	})
}
