package testkit_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// drainingWorkers counts the workers that are drained by the controller to which they report.
func (c *cloudCluster) drainingWorkers() (n int) {
	reportsTo := c.dispatcherNames()
	for _, controller := range c.controllerNames {
		for _, view := range c.nodes[controller].dispatcher.WorkerViews() {
			if view.Draining && reportsTo[view.Name] == controller {
				n++
			}
		}
	}
	return n
}

// setCloudOutage lets the cloud refuse requests to provision and delete machines, or ends that.
func (c *cloudCluster) setCloudOutage(active bool) {
	c.cloudMu.Lock()
	defer c.cloudMu.Unlock()
	if c.outageUntil = (time.Time{}); active {
		c.outageUntil = time.Now().Add(24 * time.Hour)
	}
}

// Guards against workers that stay drained for ever: a leader drains idle workers, which the cloud does
// not delete at once, and loses the lead or its lease meanwhile. Whoever leads afterwards must delete
// them, and must not count on them for work that waits.
func TestWorkersDrainedBeforeLossOfLeadAreDeletedAfterwards(t *testing.T) {
	for _, scenario := range []struct {
		name string
		play func(c *cloudCluster, leader string)
	}{
		{"the state service is down", func(c *cloudCluster, _ string) {
			c.cutFromStateService(c.controllerNames...)
			c.advance(7*time.Second, nil)
			c.healAllLinks()
		}},
		{"the shards are transferred", func(c *cloudCluster, leader string) { c.transferLead(leader, c.otherControllers(leader)[0]) }},
		{"the shards are transferred there and back", func(c *cloudCluster, leader string) {
			other := c.otherControllers(leader)[0]
			c.transferLead(leader, other)
			c.advance(3*time.Second, nil)
			c.transferLead(other, leader)
		}},
		{"another controller leads after a crash", func(c *cloudCluster, leader string) { c.crash(leader) }},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const machines = 6
				c := newServiceCluster(t, 7400)
				c.callCloud(hostsPath, wire.ProvisionRequest{Name: "operator", Type: "m", Zone: "y", Number: machines})
				c.setCloudOutage(true)
				if !c.advance(10*time.Minute, func() bool { return c.drainingWorkers() >= machines/2 }) {
					t.Fatalf("%d workers are drained", c.drainingWorkers())
				}
				scenario.play(c, c.leader())
				c.setCloudOutage(false)
				c.startStopped()
				if !c.advance(20*time.Second, func() bool { return c.leader() != "" }) {
					t.Fatal("no controller leads")
				}
				for i := range machines {
					c.submitToCloud(&wire.Job{UID: fmt.Sprintf("j-%d", 1+i), Kind: wire.KindService, Tasks: 1, CPUs: 4})
				}
				running := func() (n int) {
					for i := range machines {
						n += c.unfinishedTasks(fmt.Sprintf("j-%d", 1+i))
					}
					return n
				}
				if !c.advance(maxProvisionWait, func() bool { return running() == machines }) {
					t.Errorf("%d of %d services run after %v; %d workers are drained", running(), machines, maxProvisionWait, c.drainingWorkers())
				}
				if n := c.drainingWorkers(); n > 0 {
					t.Errorf("%d workers are still drained", n)
				}
				c.stopSite()
			})
		})
	}
}

// transferLead transfers the shards of one controller to another.
func (c *cloudCluster) transferLead(from, to string) {
	if err := c.nodes[from].member.TransferShards(context.Background(), to); err != nil {
		c.t.Errorf("transfer from %s to %s: %v", from, to, err)
	}
	if !c.advance(20*time.Second, func() bool { return c.leader() == to }) {
		c.t.Errorf("%q leads, not %s", c.leader(), to)
	}
}
