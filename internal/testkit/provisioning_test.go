package testkit_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/wire"
)

// unansweredMachines counts the machines that are up while nobody had the answer of their provision request.
func (c *rentedCluster) unansweredMachines() (n int) {
	c.cloudMu.Lock()
	var waiting []string
	for name, machines := range c.rented {
		if !c.answered[name] {
			waiting = append(waiting, machines...)
		}
	}
	c.cloudMu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range waiting {
		if c.byName[m] != nil {
			n++
		}
	}
	return n
}

// New machines are up in 1.5 s and work, before the answer to their provision request is there and
// long before the cloud lists them, while every second of the leader's records of their
// tasks is carried out late; then it ends. Its successor knows them by their reports alone: no task is on two
// machines, nothing is provisioned that was not recorded, and all machines are deleted.
func TestFailoverDuringUnansweredProvision(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRentedCluster(t, 1400+seed)
				c.slow = 3500 * time.Millisecond
				c.begin()
				first := c.nodes[c.leader()]
				var due []time.Time // of late writes
				records := 0        // of tasks
				c.mu.Lock()
				c.delay = func(n *node, t wire.Txn) (time.Duration, func(error)) {
					if n != first || !strings.HasPrefix(t.Then[0].Put, "log/") {
						return 0, nil
					}
					if records++; records%2 == 1 {
						return 0, nil
					}
					by := time.Duration(2000+c.rnd.IntN(10000)) * time.Millisecond
					due = append(due, time.Now().Add(by))
					return by, func(error) {}
				}
				c.mu.Unlock()
				jobs := []string{"j-1", "j-2", "j-3"}
				for i, uid := range jobs {
					c.order(uid, 8+6*i)
				}
				ready := c.run(40*time.Second, func() bool {
					unanswered := c.unansweredMachines()
					c.mu.Lock()
					defer c.mu.Unlock()
					return slices.ContainsFunc(due, time.Now().Before) && c.starts > 0 && unanswered > 0
				})
				if !ready {
					t.Errorf("%d tasks started, %d machines up whose hires are unanswered", c.starts, c.unansweredMachines())
				}
				c.crash(first.name)
				if seed%2 == 0 {
					time.Sleep(time.Duration(200+400*seed) * time.Millisecond)
					c.start(first.name)
				}
				c.finish(jobs...)
				if rented, _ := c.machines(); rented > 21 { // all 42 tasks at once
					t.Errorf("%d machines rented", rented)
				}
				c.stopAll()
				time.Sleep(15 * time.Second)
			})
		})
	}
}

// loseProvisionRecord plays a provision request whose record is written while its writer hears nothing, and
// returns the provision request's name.
func (c *rentedCluster) loseProvisionRecord(t *testing.T, jobs ...string) (name string) {
	l := &responseLoss{w: c.cluster, prefix: "fleet/hire/"}
	c.loseResponses(l)
	l.arm(c.leader(), 1)
	for _, uid := range jobs {
		c.order(uid, 12)
	}
	lost := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(l.lost) > 0
	}
	if !c.run(30*time.Second, lost) {
		t.Error("no record's answer was lost")
		return ""
	}
	return strings.TrimPrefix(l.lost[0].key, "fleet/hire/")
}

// A provision request's record is written, and its writer has no answer. It asks the cloud under that
// name once it knows, and rents nothing beside it.
func TestProvisionWithUnansweredRecordRentsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRentedCluster(t, 1)
		c.begin()
		name := c.loseProvisionRecord(t, "j-1")
		c.run(6*time.Second, nil)
		if rented, _ := c.machines(); rented > 6 || c.times(name) != 1 { // all 12 tasks at once
			t.Errorf("%d machines rented, asked for %v, recorded was %s", rented, c.hires(), name)
		}
		c.finish("j-1")
		if left := c.store.Keys("fleet/hire/"); len(left) > 0 {
			t.Errorf("recorded at the end: %v", left)
		}
		c.stopAll()
	})
}

// The writer of a provision request's record ends before it has the answer, and asked the cloud for
// nothing. A leader that comes soon reads the record and asks under its name, once; one
// that comes late drops it, and rents for the work that there is then.
func TestRecordedProvisionAfterFailover(t *testing.T) {
	for _, away := range []time.Duration{0, 45 * time.Second} {
		t.Run(fmt.Sprint(away), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRentedCluster(t, 2)
				c.begin()
				name := c.loseProvisionRecord(t, "j-1")
				first := c.leader()
				c.crash(first)
				if away > 0 {
					c.stopAll()
					time.Sleep(away)
				}
				if c.times(name) > 0 || !slices.Contains(c.store.Keys("fleet/hire/"), "fleet/hire/"+name) {
					t.Errorf("%s: asked for %d times, recorded %v", name, c.times(name), c.store.Keys("fleet/hire/"))
				}
				c.startAll()
				c.run(15*time.Second, nil)
				if asked := c.times(name); (asked > 0) != (away == 0) || asked > 1 {
					t.Errorf("%s was asked for %d times", name, asked)
				}
				if rented, _ := c.machines(); rented > 6 {
					t.Errorf("%d machines rented by %v", rented, c.hires())
				}
				c.finish("j-1")
				if left := c.store.Keys("fleet/hire/"); len(left) > 0 {
					t.Errorf("recorded at the end: %v", left)
				}
				c.stopAll()
			})
		})
	}
}

// A provision request's record is carried out late, when its writer had recorded it again and provisioned the
// machines. While the second record is kept, the first is refused; afterwards it is written,
// and no later leader rents for it.
func TestLateProvisionRecordRentsNothing(t *testing.T) {
	for by, want := range map[time.Duration]int{8 * time.Second: 0, 25 * time.Second: 1} {
		t.Run(fmt.Sprint(by), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRentedCluster(t, 3)
				c.begin()
				first := c.nodes[c.leader()]
				l := &responseLoss{w: c.cluster, prefix: "fleet/hire/", applyAfter: by}
				l.arm(first.name, 1)
				c.mu.Lock()
				c.delay = l.delayTransaction
				c.mu.Unlock()
				c.order("j-1", 12)
				c.finish("j-1")
				c.mu.Lock()
				late := len(l.lateResults)
				c.mu.Unlock()
				left := c.store.Keys("fleet/hire/")
				if len(left) != want || late != 1 {
					t.Errorf("carried out late: %d, recorded %v", late, left)
				}
				asked, before := c.hires(), map[string]int{}
				for _, name := range asked {
					before[name] = c.times(name)
				}
				rented, _ := c.machines()
				c.crash(first.name)
				c.run(20*time.Second, nil)
				if c.leader() == "" || c.leader() == first.name {
					t.Errorf("%q leads", c.leader())
				}
				again, _ := c.machines()
				for _, name := range c.hires() {
					if c.times(name) != before[name] {
						t.Errorf("%s was asked for %d times, %d before", name, c.times(name), before[name])
					}
				}
				if again != rented {
					t.Errorf("asked for %v, %d machines rented, %d before", c.hires(), again, rented)
				}
				if left := c.store.Keys("fleet/hire/"); len(left) > 0 {
					t.Errorf("still recorded: %v", left)
				}
				c.stopAll()
			})
		})
	}
}

// bootingScenario is a case of machines that boot when the leader of the fleet changes.
type bootingScenario struct {
	name    string
	outage  time.Duration // for so long the cloud rents nothing
	listed  bool          // the machines are listed before the leader changes
	crashes bool          // the leader crashes; else it transfers its shards
}

// Machines boot when the leader of the fleet ends, or hands its work over. Its successor
// knows them by the records of their provision requests alone, or by a list that takes a while to come:
// it counts on them and rents nothing beside them.
func TestMachinesBootingDuringFailoverAreRentedOnce(t *testing.T) {
	for _, scene := range []bootingScenario{
		{name: "unlisted, crash", crashes: true},
		{name: "unlisted, hand-over"},
		{name: "unlisted, rented long after the plan", crashes: true, outage: 40 * time.Second},
		{name: "listed, crash", listed: true, crashes: true},
		{name: "listed, hand-over", listed: true},
	} {
		t.Run(scene.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { scene.run(t) })
		})
	}
}

func (scene bootingScenario) run(t *testing.T) {
	const boot, machines = 45 * time.Second, 6 // machines run all 12 tasks at once
	c := newSlowlyRentedCluster(t, 4, boot)
	c.lag = 2 * listLag // "at times by up to twice that"
	c.listTakes = 300 * time.Millisecond
	c.begin()
	first := c.leader()
	writes := 0 // of records of provision requests
	c.mu.Lock()
	c.delay = func(_ *node, t wire.Txn) (time.Duration, func(error)) {
		for _, op := range t.Then {
			if strings.HasPrefix(op.Put, "fleet/hire/") {
				writes++
			}
		}
		return 0, nil
	}
	c.mu.Unlock()
	c.order("j-1", 2*machines)
	c.cloudMu.Lock()
	c.outageUntil = time.Now().Add(scene.outage)
	c.cloudMu.Unlock()
	if !c.run(scene.outage+20*time.Second, func() bool { rented, _ := c.machines(); return rented == machines && c.allAnswered() }) {
		rented, _ := c.machines()
		t.Errorf("%d machines are rented, by %v", rented, c.hires())
	}
	rentedAt := time.Now()
	if scene.listed && !c.run(boot/2, func() bool { return c.listedMachines() == machines && len(c.store.Keys("fleet/hire/")) == 0 }) {
		t.Errorf("%d machines are listed, recorded is %v", c.listedMachines(), c.store.Keys("fleet/hire/"))
	}
	if scene.crashes {
		c.crash(first)
	} else if err := c.nodes[first].member.TransferShards(context.Background(), c.others(first)[0]); err != nil {
		t.Errorf("handing over: %v", err)
	}
	if !c.run(boot, func() bool { return c.leader() != "" && c.leader() != first }) {
		t.Errorf("%q leads", c.leader())
	}
	listed, took := c.listedMachines(), time.Since(rentedAt)
	if (listed > 0) != scene.listed || len(c.workers) > 0 {
		t.Errorf("when the leader had changed, after %v, %d machines were listed and %d up", took, listed, len(c.workers))
	}
	c.run(boot, nil)
	if rented, _ := c.machines(); rented != machines {
		t.Errorf("%d machines are rented, by %v", rented, c.hires())
	}
	c.finish("j-1")
	if left := c.store.Keys("fleet/hire/"); len(left) > 0 {
		t.Errorf("recorded at the end: %v", left)
	}
	c.stopAll()
	if hires := len(c.hires()); writes > 2*hires { // when it is planned, and when it is answered
		t.Errorf("%d records of %d hires were written", writes, hires)
	}
}

// allAnswered reports whether every provision request that was asked for was answered.
func (c *rentedCluster) allAnswered() bool {
	c.cloudMu.Lock()
	defer c.cloudMu.Unlock()
	for name := range c.asked {
		if !c.answered[name] {
			return false
		}
	}
	return true
}

// listedMachines counts the machines that the cloud lists by now.
func (c *rentedCluster) listedMachines() int {
	now := httptest.NewRecorder()
	c.handler.ServeHTTP(now, httptest.NewRequest(http.MethodGet, hirePath, nil))
	var list wire.MachineList
	if err := json.Unmarshal(c.listed(now).Body.Bytes(), &list); err != nil {
		c.t.Error(err)
	}
	return len(list.Machines)
}
