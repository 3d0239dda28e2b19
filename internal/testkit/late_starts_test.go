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

// startChecks judges the starts of tasks of cancelled jobs.
type startChecks struct {
	sender startSender // of the commands that a worker is about to execute
	late   int         // starts after their user heard that the job is cancelled
}

// startSender is a controller that sent commands, and when.
type startSender struct {
	node *node
	at   time.Time
}

// knownCancels is when a controller first knew of each cancel.
type knownCancels struct{ sync.Map }

func (k *knownCancels) learn(uids []string) {
	for _, uid := range uids {
		k.LoadOrStore(uid, time.Now())
	}
}

// sent notes who sent the commands that a worker executes next. The cluster is locked.
func (c *startChecks) sent(by *node, at time.Time) { c.sender = startSender{by, at} }

// keepSender has what a worker carries out later count as sent by whom it is from now. The
// cluster is locked, then too.
func (c *startChecks) keepSender(carryOut func()) func() {
	sender := c.sender
	return func() {
		c.sender = sender
		carryOut()
	}
}

// checkStart counts a start after its job's cancel was confirmed. The only one that can't
// be avoided is a command that was under way: its sender had not heard of the cancel when
// it sent it, which takes what a message between controllers takes, or, for one that is
// cut off, as long as it may answer workers. The cluster is locked.
func (w *cluster) checkStart(task string) {
	uid, _, _ := strings.Cut(task, "/")
	if _, cancelled := w.confirmedCancels[uid]; !cancelled {
		return
	}
	w.checks.late++
	s := w.checks.sender
	if s.node == nil {
		return
	}
	if at, ok := s.node.knownCancels.Load(uid); ok && at.(time.Time).Before(s.at) {
		w.fail("%s was started by a command that %s sent %v after it knew that the job is cancelled", task, s.node.name, s.at.Sub(at.(time.Time)))
	}
}

// Commands are held up while users cancel jobs at other controllers, and come afterwards:
// what they start is all that starts after a confirmed cancel, and is soon gone.
func TestOnlyCommandsInFlightStartAfterCancel(t *testing.T) {
	late := 0
	for seed := uint64(1); seed <= 6; seed++ {
		synctest.Test(t, func(t *testing.T) {
			w := newCluster(t, 800+seed)
			w.bigger(3, 12)
			w.startNodes()
			w.live(3)
			w.locked(func() { w.keepCuts, w.holdsCommand = true, func() bool { return true } })
			jobs := []string{"j-1", "j-2", "j-3"}
			for _, uid := range jobs {
				w.submit(uid, 30)
			}
			underWay := func() (n int) {
				w.mu.Lock()
				defer w.mu.Unlock()
				return len(w.late)
			}
			if !w.within(5, func() bool { return underWay() > 0 }) {
				t.Fatal("no order was held up")
			}
			confirmed := w.cancelAll(w.others(w.leader())[0], jobs, 8)
			w.release()
			w.mu.Lock()
			w.holdsCommand = nil
			w.mu.Unlock()
			w.live(60)
			t.Logf("%d cancels confirmed, %d starts after them", confirmed, w.checks.late)
			late += w.checks.late
			// One command is under way to a worker at a time, and starts what fits there.
			if most := len(w.workers) * int(w.size); w.checks.late > most {
				t.Errorf("%d starts after confirmed cancels, %d could be under way", w.checks.late, most)
			}
			for _, uid := range jobs {
				if stage, heard := w.user(w.names[0], http.MethodGet, uid); heard && !w.confirmedCancels[uid].IsZero() && stage != wire.StageCancelled {
					t.Errorf("%s is %s", uid, stage)
				}
			}
			w.stopAll()
		})
	}
	if late == 0 {
		t.Error("no start came after a confirmed cancel")
	}
}

// Commands wait for their connections while users cancel the jobs that they would start. None
// of them leaves once its sender knows: no command was under way, and nothing starts later
// than a message between controllers takes.
func TestCommandsWaitingForConnectionsStartNothingAfterCancel(t *testing.T) {
	const wait, jobs = time.Second, 3
	outdated := 0
	for seed := uint64(1); seed <= 4; seed++ {
		synctest.Test(t, func(t *testing.T) {
			w := newCluster(t, 860+seed)
			w.bigger(3, 12)
			w.promptCommands, w.reliableStore = true, true
			w.startNodes()
			w.live(3)
			w.mu.Lock()
			w.connecting = func() time.Duration { return wait }
			w.mu.Unlock()
			all := make([]string, 0, jobs)
			for i := range jobs {
				uid := fmt.Sprintf("j-%d", i)
				all = append(all, uid)
				w.submit(uid, 30)
			}
			time.Sleep(wait / 4)
			for range 3 {
				time.Sleep(wait / 2)
				w.cancelAll(w.others(w.leader())[0], all, 1)
				w.sendReports()
			}
			w.live(60)
			outdated += w.outdatedCommands
			for _, k := range w.workers {
				if on := k.On(); len(on) > 0 {
					t.Errorf("%v on %s", on, k.Name)
				}
			}
			w.stopAll()
		})
	}
	if outdated == 0 {
		t.Error("no order became outdated while it waited for its connection")
	}
}
