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

// unansweredMachines counts the machines that are up before any controller has received the response to their
// provision request.
func (c *cloudCluster) unansweredMachines() (n int) {
	c.cloudMu.Lock()
	var waiting []string
	for name, machines := range c.provisioned {
		if !c.answeredRequests[name] {
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

// New machines are up after 1.5 s and run tasks, before the response to their provision request arrives and
// long before the cloud lists them. Every second log record of the leader is applied late; then the leader
// crashes. Its successor knows the machines only from their reports. No task may run on two machines, no machine
// may be provisioned without a record, and all machines must be deleted at the end.
func TestFailoverDuringUnansweredProvision(t *testing.T) {
	for seed := range uint64(6) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCloudCluster(t, 1400+seed)
				c.answerDelay = 3500 * time.Millisecond
				c.startAndSettle()
				first := c.nodes[c.leader()]
				var due []time.Time // when the late writes are applied
				records := 0        // log records written
				c.mu.Lock()
				c.delayTransaction = func(n *node, t wire.Txn) (time.Duration, func(error)) {
					if n != first || !strings.HasPrefix(t.Then[0].Put, "log/") {
						return 0, nil
					}
					if records++; records%2 == 1 {
						return 0, nil
					}
					by := time.Duration(2000+c.messageRand.IntN(10000)) * time.Millisecond
					due = append(due, time.Now().Add(by))
					return by, func(error) {}
				}
				c.mu.Unlock()
				jobs := []string{"j-1", "j-2", "j-3"}
				for i, uid := range jobs {
					c.submitOnDemandJob(uid, 8+6*i)
				}
				ready := c.advance(40*time.Second, func() bool {
					unanswered := c.unansweredMachines()
					c.mu.Lock()
					defer c.mu.Unlock()
					return slices.ContainsFunc(due, time.Now().Before) && c.startCount > 0 && unanswered > 0
				})
				if !ready {
					t.Errorf("%d tasks started, %d machines up whose provision requests are unanswered", c.startCount, c.unansweredMachines())
				}
				c.crash(first.name)
				if seed%2 == 0 {
					time.Sleep(time.Duration(200+400*seed) * time.Millisecond)
					c.start(first.name)
				}
				c.awaitEndAndScaleIn(jobs...)
				if rented, _ := c.countMachines(); rented > 21 { // 21 machines run all 42 tasks at once
					t.Errorf("%d machines rented", rented)
				}
				c.stopAll()
				time.Sleep(15 * time.Second)
			})
		})
	}
}

// loseProvisionRecord submits jobs, loses the response to the write of a provision request's record, and
// returns the name of the provision request.
func (c *cloudCluster) loseProvisionRecord(t *testing.T, jobs ...string) (name string) {
	l := &responseLoss{w: c.cluster, prefix: "fleet/hire/"}
	c.loseResponses(l)
	l.arm(c.leader(), 1)
	for _, uid := range jobs {
		c.submitOnDemandJob(uid, 12)
	}
	lost := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(l.lost) > 0
	}
	if !c.advance(30*time.Second, lost) {
		t.Error("no response to the write of a record was lost")
		return ""
	}
	return strings.TrimPrefix(l.lost[0].key, "fleet/hire/")
}

// The response to the write of a provision request's record is lost. When the writer learns that the record
// exists, it sends the request to the cloud under the recorded name, and provisions no other machines.
func TestProvisionWithUnansweredRecordRentsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCloudCluster(t, 1)
		c.startAndSettle()
		name := c.loseProvisionRecord(t, "j-1")
		c.advance(6*time.Second, nil)
		if rented, _ := c.countMachines(); rented > 6 || c.requestCount(name) != 1 { // 6 machines run all 12 tasks at once
			t.Errorf("%d machines rented, requests sent %v, recorded request %s", rented, c.requestNames(), name)
		}
		c.awaitEndAndScaleIn("j-1")
		if left := c.store.Keys("fleet/hire/"); len(left) > 0 {
			t.Errorf("recorded at the end: %v", left)
		}
		c.stopAll()
	})
}

// The writer of a provision request's record crashes before it receives the response, and has sent no request to
// the cloud. A leader that takes over soon reads the record and sends the request once, under the recorded name; a
// leader that takes over late drops the record, and provisions for the jobs that are waiting then.
func TestRecordedProvisionAfterFailover(t *testing.T) {
	for _, downtime := range []time.Duration{0, 45 * time.Second} {
		t.Run(fmt.Sprint(downtime), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCloudCluster(t, 2)
				c.startAndSettle()
				name := c.loseProvisionRecord(t, "j-1")
				first := c.leader()
				c.crash(first)
				if downtime > 0 {
					c.stopAll()
					time.Sleep(downtime)
				}
				if c.requestCount(name) > 0 || !slices.Contains(c.store.Keys("fleet/hire/"), "fleet/hire/"+name) {
					t.Errorf("%s: sent to the cloud %d times, recorded %v", name, c.requestCount(name), c.store.Keys("fleet/hire/"))
				}
				c.startStopped()
				c.advance(15*time.Second, nil)
				if sent := c.requestCount(name); (sent > 0) != (downtime == 0) || sent > 1 {
					t.Errorf("%s was sent to the cloud %d times", name, sent)
				}
				if rented, _ := c.countMachines(); rented > 6 {
					t.Errorf("%d machines rented by the requests %v", rented, c.requestNames())
				}
				c.awaitEndAndScaleIn("j-1")
				if left := c.store.Keys("fleet/hire/"); len(left) > 0 {
					t.Errorf("recorded at the end: %v", left)
				}
				c.stopAll()
			})
		})
	}
}

// The write of a provision request's record is applied late, when its writer has written the record again and
// provisioned the machines. While the second record exists, the late write is refused; after its removal the late
// write is applied, but no later leader provisions machines for it.
func TestLateProvisionRecordRentsNothing(t *testing.T) {
	for by, want := range map[time.Duration]int{8 * time.Second: 0, 25 * time.Second: 1} {
		t.Run(fmt.Sprint(by), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCloudCluster(t, 3)
				c.startAndSettle()
				first := c.nodes[c.leader()]
				l := &responseLoss{w: c.cluster, prefix: "fleet/hire/", applyAfter: by}
				l.arm(first.name, 1)
				c.mu.Lock()
				c.delayTransaction = l.delayTransaction
				c.mu.Unlock()
				c.submitOnDemandJob("j-1", 12)
				c.awaitEndAndScaleIn("j-1")
				c.mu.Lock()
				late := len(l.lateResults)
				c.mu.Unlock()
				left := c.store.Keys("fleet/hire/")
				if len(left) != want || late != 1 {
					t.Errorf("%d late writes, recorded %v", late, left)
				}
				sent, timesBefore := c.requestNames(), map[string]int{}
				for _, name := range sent {
					timesBefore[name] = c.requestCount(name)
				}
				rented, _ := c.countMachines()
				c.crash(first.name)
				c.advance(20*time.Second, nil)
				if c.leader() == "" || c.leader() == first.name {
					t.Errorf("%q leads", c.leader())
				}
				rentedAfter, _ := c.countMachines()
				for _, name := range c.requestNames() {
					if c.requestCount(name) != timesBefore[name] {
						t.Errorf("%s was sent to the cloud %d times, %d before the crash", name, c.requestCount(name), timesBefore[name])
					}
				}
				if rentedAfter != rented {
					t.Errorf("requests sent %v, %d machines rented, %d before the crash", c.requestNames(), rentedAfter, rented)
				}
				if left := c.store.Keys("fleet/hire/"); len(left) > 0 {
					t.Errorf("still recorded: %v", left)
				}
				c.stopAll()
			})
		})
	}
}

// bootingScenario is a change of the fleet's leader while machines boot.
type bootingScenario struct {
	name    string
	outage  time.Duration // time during which the cloud provisions nothing
	listed  bool          // the cloud lists the machines before the leader changes
	crashes bool          // the leader crashes; else it transfers its shards
}

// Machines boot when the leader of the fleet crashes, or transfers its shards. Its successor knows them only
// from the records of their provision requests, or from a list that takes 300 ms to fetch. It must expect
// these machines, and provision no others.
func TestMachinesBootingDuringFailoverAreRentedOnce(t *testing.T) {
	for _, scenario := range []bootingScenario{
		{name: "unlisted, crash", crashes: true},
		{name: "unlisted, shard transfer"},
		{name: "unlisted, rented long after the plan", crashes: true, outage: 40 * time.Second},
		{name: "listed, crash", listed: true, crashes: true},
		{name: "listed, shard transfer", listed: true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { scenario.run(t) })
		})
	}
}

func (s bootingScenario) run(t *testing.T) {
	const boot, machines = 45 * time.Second, 6 // 6 machines run all 12 tasks at once
	c := newCloudClusterWithBoot(t, 4, boot)
	c.listAge = 2 * listLag // the cloud's list may lag by up to twice listLag
	c.listLatency = 300 * time.Millisecond
	c.startAndSettle()
	first := c.leader()
	writes := 0 // of records of provision requests
	c.mu.Lock()
	c.delayTransaction = func(_ *node, t wire.Txn) (time.Duration, func(error)) {
		for _, op := range t.Then {
			if strings.HasPrefix(op.Put, "fleet/hire/") {
				writes++
			}
		}
		return 0, nil
	}
	c.mu.Unlock()
	c.submitOnDemandJob("j-1", 2*machines)
	c.cloudMu.Lock()
	c.outageUntil = time.Now().Add(s.outage)
	c.cloudMu.Unlock()
	if !c.advance(s.outage+20*time.Second, func() bool { rented, _ := c.countMachines(); return rented == machines && c.allAnswered() }) {
		rented, _ := c.countMachines()
		t.Errorf("%d machines are rented by the requests %v", rented, c.requestNames())
	}
	rentedAt := time.Now()
	if s.listed && !c.advance(boot/2, func() bool { return c.listedMachines() == machines && len(c.store.Keys("fleet/hire/")) == 0 }) {
		t.Errorf("%d machines are listed, recorded is %v", c.listedMachines(), c.store.Keys("fleet/hire/"))
	}
	if s.crashes {
		c.crash(first)
	} else if err := c.nodes[first].member.TransferShards(context.Background(), c.otherControllers(first)[0]); err != nil {
		t.Errorf("shard transfer: %v", err)
	}
	if !c.advance(boot, func() bool { return c.leader() != "" && c.leader() != first }) {
		t.Errorf("%q leads", c.leader())
	}
	listed, took := c.listedMachines(), time.Since(rentedAt)
	if (listed > 0) != s.listed || len(c.workers) > 0 {
		t.Errorf("%v after the machines were rented, when the leader had changed, %d were listed and %d up", took, listed, len(c.workers))
	}
	c.advance(boot, nil)
	if rented, _ := c.countMachines(); rented != machines {
		t.Errorf("%d machines are rented by the requests %v", rented, c.requestNames())
	}
	c.awaitEndAndScaleIn("j-1")
	if left := c.store.Keys("fleet/hire/"); len(left) > 0 {
		t.Errorf("recorded at the end: %v", left)
	}
	c.stopAll()
	if requests := len(c.requestNames()); writes > 2*requests { // one write when it is planned, one when it is answered
		t.Errorf("%d records of %d provision requests were written", writes, requests)
	}
}

// allAnswered reports whether all provision requests sent to the cloud were answered.
func (c *cloudCluster) allAnswered() bool {
	c.cloudMu.Lock()
	defer c.cloudMu.Unlock()
	for name := range c.requestCounts {
		if !c.answeredRequests[name] {
			return false
		}
	}
	return true
}

// listedMachines returns the number of machines in the cloud's list, with the list's lag.
func (c *cloudCluster) listedMachines() int {
	current := httptest.NewRecorder()
	c.handler.ServeHTTP(current, httptest.NewRequest(http.MethodGet, hostsPath, nil))
	var list wire.MachineList
	if err := json.Unmarshal(c.staleList(current).Body.Bytes(), &list); err != nil {
		c.t.Error(err)
	}
	return len(list.Machines)
}
