package testkit_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// cancelledStartChecks checks the starts of tasks whose jobs are cancelled.
type cancelledStartChecks struct {
	sender     commandSender // of the commands that a worker executes next
	lateStarts int           // starts after a user received the confirmation of the cancel
}

// commandSender is a controller that sent commands, and the time at which it sent them.
type commandSender struct {
	node *node
	at   time.Time
}

// knownCancels maps each cancelled job to the time at which a controller first knew of its cancel.
type knownCancels struct{ sync.Map }

func (k *knownCancels) record(uids []string) {
	for _, uid := range uids {
		k.LoadOrStore(uid, time.Now())
	}
}

// setSender sets the sender of the commands that a worker executes next. The caller holds the cluster's lock.
func (c *cancelledStartChecks) setSender(by *node, at time.Time) { c.sender = commandSender{by, at} }

// withCurrentSender returns a function that sets the sender back to the present one and then calls execute,
// for commands that a worker executes later. The caller holds the cluster's lock at both times.
func (c *cancelledStartChecks) withCurrentSender(execute func()) func() {
	sender := c.sender
	return func() {
		c.sender = sender
		execute()
	}
}

// checkStartAfterCancel counts a start after the job's cancel was confirmed. It fails the test if the sender
// knew of the cancel when it sent the command. Starts by commands in flight can't be avoided: the cancel reaches another
// controller only after the transit time of a message between controllers. A controller that is cut off may not learn
// of the cancel at all during the time for which it may still answer workers. The caller holds the cluster's lock.
func (w *cluster) checkStartAfterCancel(task string) {
	uid, _, _ := strings.Cut(task, "/")
	if _, cancelled := w.confirmedCancels[uid]; !cancelled {
		return
	}
	w.checks.lateStarts++
	s := w.checks.sender
	if s.node == nil {
		return
	}
	if at, ok := s.node.knownCancels.Load(uid); ok && at.(time.Time).Before(s.at) {
		w.fail("%s was started by a command that %s sent %v after it knew that the job is cancelled", task, s.node.name, s.at.Sub(at.(time.Time)))
	}
}

// Commands are delayed while users cancel jobs at other controllers, and are delivered afterwards:
// only these commands start tasks after a confirmed cancel, and the tasks are stopped soon.
func TestOnlyCommandsInFlightStartTasksAfterCancel(t *testing.T) {
	late := 0
	for seed := uint64(1); seed <= 6; seed++ {
		synctest.Test(t, func(t *testing.T) {
			w := newCluster(t, 800+seed)
			w.resize(3, 12)
			w.startControllers()
			w.runFor(3)
			w.withLock(func() { w.keepBrokenLinks, w.holdsCommand = true, func() bool { return true } })
			jobs := []string{"j-1", "j-2", "j-3"}
			for _, uid := range jobs {
				w.submit(uid, 30)
			}
			inFlight := func() (n int) {
				w.mu.Lock()
				defer w.mu.Unlock()
				return len(w.heldCommands)
			}
			if !w.runUntil(5, func() bool { return inFlight() > 0 }) {
				t.Fatal("no command was delayed")
			}
			confirmed := w.cancelJobs(w.otherControllers(w.leader())[0], jobs, 8)
			w.deliverHeldCommands()
			w.mu.Lock()
			w.holdsCommand = nil
			w.mu.Unlock()
			w.runFor(60)
			t.Logf("%d cancels confirmed, %d starts after that", confirmed, w.checks.lateStarts)
			late += w.checks.lateStarts
			// At most one command is in flight to a worker, and starts at most as many tasks as fit there.
			if limit := len(w.workers) * int(w.machineTypes); w.checks.lateStarts > limit {
				t.Errorf("%d starts after confirmed cancels, commands in flight could start %d", w.checks.lateStarts, limit)
			}
			for _, uid := range jobs {
				if stage, heard := w.userRequest(w.controllerNames[0], http.MethodGet, uid); heard && !w.confirmedCancels[uid].IsZero() && stage != wire.StageCancelled {
					t.Errorf("%s is %s after a confirmed cancel", uid, stage)
				}
			}
			w.stopAll()
		})
	}
	if late == 0 {
		t.Error("no task started after a confirmed cancel")
	}
}

// Commands wait for their connections while users cancel the jobs whose tasks they start. A waiting
// command is not in flight yet, so a sender that has learned of the cancel must not send it. Tasks may
// start after a confirmed cancel only for the transit time of a message between controllers.
func TestCommandsWaitingForConnectionsStartNothingAfterCancel(t *testing.T) {
	const connectTime, jobs = time.Second, 3
	outdated := 0
	for seed := uint64(1); seed <= 4; seed++ {
		synctest.Test(t, func(t *testing.T) {
			w := newCluster(t, 860+seed)
			w.resize(3, 12)
			w.promptCommands, w.reliableStore = true, true
			w.startControllers()
			w.runFor(3)
			w.mu.Lock()
			w.connectDelay = func() time.Duration { return connectTime }
			w.mu.Unlock()
			all := make([]string, 0, jobs)
			for i := range jobs {
				uid := fmt.Sprintf("j-%d", i)
				all = append(all, uid)
				w.submit(uid, 30)
			}
			time.Sleep(connectTime / 4)
			for range 3 {
				time.Sleep(connectTime / 2)
				w.cancelJobs(w.otherControllers(w.leader())[0], all, 1)
				w.sendReports()
			}
			w.runFor(60)
			outdated += w.outdatedCommands
			for _, k := range w.workers {
				if tasks := k.UnfinishedTasks(); len(tasks) > 0 {
					t.Errorf("%v still run on %s", tasks, k.Name)
				}
			}
			w.stopAll()
		})
	}
	if outdated == 0 {
		t.Error("no command became outdated while it waited for its connection")
	}
}
