package testkit_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/wire"
)

// maxProvisionWait is how long a task may wait while the cloud has machines on which it may run.
const maxProvisionWait = 90 * time.Second

// serviceDuration is the run time of a service's replica: longer than any test.
const serviceDuration = 24 * time.Hour

// serviceUID is the id of the job that a test submits.
const serviceUID = "j-1"

// newServiceCluster returns a cluster whose controllers run and whose tasks never end by themselves.
func newServiceCluster(t *testing.T, seed uint64) *cloudCluster {
	c := newCloudCluster(t, seed)
	c.taskDuration = func(string) time.Duration { return serviceDuration }
	c.startAndSettle()
	return c
}

// stopSite stops all controllers and lets the machines boot that were requested last: the bubble of a
// test must not end before.
func (c *cloudCluster) stopSite() {
	c.stopAll()
	time.Sleep(2 * shortBoot)
}

// awaitTasks waits until n tasks of the job run, for at most maxProvisionWait.
func (c *cloudCluster) awaitTasks(n int) {
	c.t.Helper()
	running := func() int { return c.unfinishedTasks(serviceUID) }
	if !c.advance(maxProvisionWait, func() bool { return running() == n }) {
		rented, _ := c.countMachines()
		c.t.Errorf("%d of %d tasks of %s run after %v, in the zones %v; %d machines were rented", running(), n, serviceUID, maxProvisionWait, c.tasksByZone(serviceUID), rented)
	}
}

// callCloud sends the cloud a request that no controller sent.
func (c *cloudCluster) callCloud(path string, body any) {
	c.t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		c.t.Fatal(err)
	}
	rec := httptest.NewRecorder()
	c.handler.ServeHTTP(rec, httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(text))))
	if rec.Code != http.StatusOK {
		c.t.Fatalf("%s: status %d: %s", path, rec.Code, rec.Body)
	}
}

// loseMachine has the cloud take a machine back without notice.
func (c *cloudCluster) loseMachine(name string) {
	c.callCloud("/hosts/release", wire.MachineNames{Machines: []string{name}})
}

// Guards against a replica that is never started again: a service is spread over zones, one replica
// loses its machine, and the other replica's machine, in the only zone where the lost one may not
// run, has room for both.
func TestLostReplicaOfSpreadServiceIsReplacedInAnotherZone(t *testing.T) {
	zones := []string{"y", "z"}
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newServiceCluster(t, 7300+seed)
				for _, zone := range zones {
					c.callCloud(hostsPath, wire.ProvisionRequest{Name: "operator-" + zone, Type: "m", Zone: zone, Number: 1})
				}
				c.advance(3*time.Second, nil)
				c.submitToCloud(&wire.Job{UID: serviceUID, Kind: wire.KindService, Tasks: 2, CPUs: 2, Spread: true})
				c.awaitTasks(2)
				for _, k := range c.workersWithTasksOf(serviceUID) {
					if k.Zone == zones[seed%2] {
						c.loseMachine(k.Name)
					}
				}
				c.advance(time.Second, nil)
				if n := c.unfinishedTasks(serviceUID); n != 1 {
					t.Errorf("%d replicas run after a machine was lost", n)
				}
				c.awaitTasks(2)
				if tasks := c.tasksByZone(serviceUID); tasks["y"] != 1 || tasks["z"] != 1 {
					t.Errorf("replicas by zone: %v", tasks)
				}
				c.stopSite()
			})
		})
	}
}

// Guards against a job that never starts or never completes: its tasks must run in one zone, and the
// machines with room for them are in several.
func TestServiceOfOneZoneGetsItsMachinesInThatZone(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newServiceCluster(t, 7310+seed)
				c.submitToCloud(&wire.Job{UID: serviceUID, Kind: wire.KindService, Tasks: 4, CPUs: 3, OneZone: true})
				c.awaitTasks(4)
				if zones := c.tasksByZone(serviceUID); len(zones) != 1 {
					t.Errorf("replicas by zone: %v", zones)
				}
				if rented, _ := c.countMachines(); rented > 6 { // one machine a task and the headroom
					t.Errorf("%d machines rented", rented)
				}
				c.stopSite()
			})
		})
	}
}

// Guards against a task of an array that waits as long as another runs, because the plan counts on
// a machine in the only zone where the array's spread does not allow the task.
func TestArrayThatIsSpreadGetsMachinesInTwoZones(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newServiceCluster(t, 7320)
		c.submitToCloud(&wire.Job{UID: serviceUID, Kind: wire.KindArray, Tasks: 2, CPUs: 2, EstimateS: 3600, Spread: true})
		c.awaitTasks(2)
		c.stopSite()
	})
}

// Guards against work that waits behind a service: if the resources of a service counted as free after
// the run time that the tasks of its class have on average, the plan would count on them and want no
// machine.
func TestWorkBehindServiceGetsMachine(t *testing.T) {
	// Half of the slack of a job without an objective, then the boot, with some steps of the plan.
	const maxWait = 10*time.Second + 2*shortBoot + 2*time.Second
	synctest.Test(t, func(t *testing.T) {
		c := newCloudCluster(t, 7330)
		c.taskDuration = func(task string) time.Duration {
			if strings.HasPrefix(task, serviceUID+"/") {
				return serviceDuration
			}
			return variedTaskDuration(task)
		}
		c.startAndSettle()
		c.submitOnDemandJob("j-2", 4)
		c.advance(maxProvisionWait, c.jobsEnded("j-2"))
		c.submitToCloud(&wire.Job{UID: serviceUID, Kind: wire.KindService, Tasks: 3, CPUs: 4})
		c.awaitTasks(3)
		c.advance(10*time.Second, nil)
		c.submitToCloud(&wire.Job{UID: "j-3", Kind: wire.KindArray, Tasks: 1, CPUs: 4, EstimateS: 6})
		if !c.advance(maxWait, func() bool { return c.unfinishedTasks("j-3") == 1 }) {
			rented, _ := c.countMachines()
			t.Errorf("the task does not run %v after its submission; %d machines were rented", maxWait, rented)
		}
		c.stopSite()
	})
}
