package testkit_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/goccy/go-json"
	"go.etcd.io/bbolt"

	"github.com/wallrack/wallrack/internal/autoscaler"
	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/standin"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	quickBoot = 1500 * time.Millisecond
	listLag   = 6 * time.Second // a machine reports and works long before it is listed
	hirePath  = "/hosts"
)

// rentedCluster is a cluster whose machines are provisioned from a stand-in cloud by the
// controllers' own fleet code.
type rentedCluster struct {
	*cluster
	handler http.Handler

	boot      time.Duration // from a machine's provisioning to its first report
	lag       time.Duration // how old the cloud's list is
	listTakes time.Duration // how long the cloud's list takes to come

	cloudMu     sync.Mutex
	outageUntil time.Time // until when the cloud rents nothing
	booting     []bootingMachine
	ended       map[string]bool
	asked       map[string]int      // by the provision request's name
	rented      map[string][]string // by the provision request's name
	answered    map[string]bool     // provision requests whose asker had the answer
	lists       []datedList
	slow        time.Duration // how long the answer to a repeated provision request takes; the first is lost
}

// bootingMachine is a provisioned machine, and when it is up.
type bootingMachine struct {
	worker *testkit.Worker
	up     time.Time
}

// datedList is the cloud's list as of a time.
type datedList struct {
	at   time.Time
	body []byte
}

// newRentedCluster returns a cluster without machines, whose machines are up at the next
// report after they were provisioned.
func newRentedCluster(t *testing.T, seed uint64) *rentedCluster {
	c := newSlowlyRentedCluster(t, seed, quickBoot)
	c.boot = 0
	return c
}

// newSlowlyRentedCluster returns a cluster without machines, whose machines take a time to
// boot.
func newSlowlyRentedCluster(t *testing.T, seed uint64, boot time.Duration) *rentedCluster {
	db, err := bbolt.Open(filepath.Join(t.TempDir(), "cloud.db"), 0o644, &bbolt.Options{NoSync: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = db.Close() })
	c := &rentedCluster{cluster: newCluster(t, seed), boot: boot, lag: listLag, ended: map[string]bool{}, asked: map[string]int{}, rented: map[string][]string{}, answered: map[string]bool{}}
	c.reliableStore = true
	c.workers, c.byName = nil, map[string]*testkit.Worker{}
	c.cfg.Params.Cloud = config.Cloud{RPS: 4, ListLagS: listLag.Seconds()}
	kind, _ := c.size.Type("m")
	kind.BootS = boot.Seconds()
	cloud, err := standin.OpenCloud(db, []wire.MachineType{kind}, 60, c)
	if err != nil {
		t.Fatal(err)
	}
	c.handler = cloud.Handler()
	c.extraDuties = c.fleetOf
	return c
}

// Launch boots a machine.
func (c *rentedCluster) Launch(m wire.ListedMachine, _ wire.MachineType) (string, error) {
	c.cloudMu.Lock()
	defer c.cloudMu.Unlock()
	c.booting = append(c.booting, bootingMachine{testkit.NewWorker(m.Name, workerLease, variedTime), time.Now().Add(c.boot)})
	return m.Name, nil
}

// End ends a machine.
func (c *rentedCluster) End(name string) {
	c.cloudMu.Lock()
	defer c.cloudMu.Unlock()
	c.ended[name] = true
}

// settle takes new machines in, which report at once, and ended ones out.
func (c *rentedCluster) settle() {
	c.cloudMu.Lock()
	var fresh []*testkit.Worker
	c.booting = slices.DeleteFunc(c.booting, func(m bootingMachine) bool {
		up := !time.Now().Before(m.up)
		if up && !c.ended[m.worker.Name] {
			fresh = append(fresh, m.worker)
		}
		return up || c.ended[m.worker.Name]
	})
	ended := c.ended
	c.ended = map[string]bool{}
	c.cloudMu.Unlock()
	c.mu.Lock()
	for i, k := range fresh {
		c.join(k, i)
	}
	c.workers = slices.DeleteFunc(c.workers, func(k *testkit.Worker) bool { return ended[k.Name] })
	for name := range ended {
		delete(c.byName, name)
	}
	c.mu.Unlock()
	for _, k := range fresh {
		c.sendReport(k)
	}
	c.check()
}

// run lets time pass until something holds, for at most so long.
func (c *rentedCluster) run(most time.Duration, holds func() bool) bool {
	for end := time.Now().Add(most); time.Now().Before(end); {
		if holds != nil && holds() {
			return true
		}
		for range 4 {
			time.Sleep(reportEvery / 4)
			c.settle()
		}
		c.sendReports()
		c.exchangeReachability()
		c.publishViews()
	}
	return holds == nil || holds()
}

// fleetOf is the fleet's part of a controller.
func (c *rentedCluster) fleetOf(n *node) []func(context.Context) error {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	op, err := config.LoadOperator("")
	if err != nil {
		c.t.Fatal(err)
	}
	cloud := autoscaler.NewCloudOver(&cloudLink{c, n}, "cloud", c.cfg.Params.Cloud.RPS)
	catalog := autoscaler.NewCatalog(cloud, n.view, log)
	f := autoscaler.New(autoscaler.Options{
		Platform: c.cfg, Operator: op, Cloud: cloud, Catalog: catalog, Store: n.view, Member: n.member,
		Scheduler: fleetOwner{c, n.scheduler}, Dispatcher: n.dispatcher, Log: log,
	})
	return []func(context.Context) error{
		f.Run,
		func(ctx context.Context) error { return catalog.Run(ctx, n.scheduler.LeadsAutoscaling) },
	}
}

// fleetOwner is the leader as the fleet sees it. No machine of these tests is lost.
type fleetOwner struct {
	c *rentedCluster
	*scheduler.Scheduler
}

func (o fleetOwner) Ready() bool { return o.LeadsAutoscaling() }

func (o fleetOwner) FailedWorkers() map[string]string { return map[string]string{} }

func (o fleetOwner) WorkerDeleted(name string) {
	o.c.mu.Lock()
	nodes := make([]*node, 0, len(o.c.nodes))
	for _, n := range o.c.nodes {
		nodes = append(nodes, n)
	}
	o.c.mu.Unlock()
	for _, n := range nodes {
		n.dispatcher.RemoveWorker(name)
		n.scheduler.WorkerDeleted(name)
	}
}

// cloudLink carries a controller's requests to the cloud.
type cloudLink struct {
	c *rentedCluster
	n *node
}

func (l *cloudLink) down() bool {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	return l.n.down
}

// RoundTrip implements http.RoundTripper.
func (l *cloudLink) RoundTrip(req *http.Request) (*http.Response, error) {
	if l.down() {
		return nil, errCut
	}
	rec := httptest.NewRecorder()
	name := ""
	if req.Method == http.MethodPost && l.c.out() {
		rec.WriteHeader(http.StatusServiceUnavailable)
		_, _ = rec.WriteString(`{"error":"trouble"}`) // never fails
		return rec.Result(), nil
	}
	if req.Method == http.MethodPost && req.URL.Path == hirePath {
		name = l.c.hire(rec, req)
	} else {
		l.c.handler.ServeHTTP(rec, req)
	}
	if req.Method == http.MethodGet && req.URL.Path == hirePath {
		rec = l.c.listed(rec)
		time.Sleep(l.c.listTakes)
	}
	if name != "" {
		if err := l.c.wait(req.Context(), name); err != nil {
			return nil, err
		}
	}
	if l.down() {
		return nil, errCut
	}
	if name != "" && rec.Code == http.StatusOK {
		l.c.cloudMu.Lock()
		l.c.answered[name] = true
		l.c.cloudMu.Unlock()
	}
	return rec.Result(), nil
}

// out reports whether the cloud rents nothing.
func (c *rentedCluster) out() bool {
	c.cloudMu.Lock()
	defer c.cloudMu.Unlock()
	return time.Now().Before(c.outageUntil)
}

// wait lets the time pass that the answer to a provision request takes.
func (c *rentedCluster) wait(ctx context.Context, name string) error {
	c.cloudMu.Lock()
	slow, first := c.slow, c.asked[name] == 1
	c.cloudMu.Unlock()
	if slow > 0 && first {
		<-ctx.Done()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(slow):
		return nil
	}
}

// hire carries a provision request out, and checks that it was recorded before.
func (c *rentedCluster) hire(rec *httptest.ResponseRecorder, req *http.Request) string {
	body, err := io.ReadAll(req.Body)
	var h wire.ProvisionRequest
	if err == nil {
		err = json.Unmarshal(body, &h)
	}
	if err != nil {
		c.fail("a hire: %v", err)
		return ""
	}
	recorded := slices.Contains(c.store.Keys("fleet/hire/"), "fleet/hire/"+h.Name)
	req.Body = io.NopCloser(strings.NewReader(string(body)))
	c.handler.ServeHTTP(rec, req)
	c.cloudMu.Lock()
	defer c.cloudMu.Unlock()
	if c.asked[h.Name]++; c.asked[h.Name] == 1 && !recorded {
		c.fail("%s is asked for, and was not recorded", h.Name)
	}
	var got wire.MachineNames
	if rec.Code == http.StatusOK && json.Unmarshal(rec.Body.Bytes(), &got) == nil {
		c.rented[h.Name] = got.Machines
	}
	return h.Name
}

// listed is the cloud's list as it was before.
func (c *rentedCluster) listed(now *httptest.ResponseRecorder) *httptest.ResponseRecorder {
	c.cloudMu.Lock()
	defer c.cloudMu.Unlock()
	c.lists = append(c.lists, datedList{time.Now(), now.Body.Bytes()})
	old := datedList{body: []byte(`{"benches":[],"truncated":false}`)}
	for _, l := range c.lists {
		if time.Since(l.at) >= c.lag {
			old = l
		}
	}
	rec := httptest.NewRecorder()
	rec.Code = http.StatusOK
	_, _ = rec.Write(old.body) // never fails
	return rec
}

// machines counts those that were provisioned, and those that are still there.
func (c *rentedCluster) machines() (rented, there int) {
	c.cloudMu.Lock()
	for _, names := range c.rented {
		rented += len(names)
	}
	c.cloudMu.Unlock()
	rec := httptest.NewRecorder()
	c.handler.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, hirePath, nil))
	var list wire.MachineList
	if err := json.Unmarshal(rec.Body.Bytes(), &list); err != nil {
		c.t.Error(err)
	}
	return rented, len(list.Machines)
}

// hires names the provision requests that were asked for.
func (c *rentedCluster) hires() (names []string) {
	c.cloudMu.Lock()
	defer c.cloudMu.Unlock()
	for name := range c.asked {
		names = append(names, name)
	}
	return names
}

// times is how often a provision request was asked for.
func (c *rentedCluster) times(name string) int {
	c.cloudMu.Lock()
	defer c.cloudMu.Unlock()
	return c.asked[name]
}

// order submits a job that wants ordinary machines.
func (c *rentedCluster) order(uid string, tasks int) {
	job := &wire.Job{
		UID: uid, Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: tasks,
		CPUs: 2, MemoryGB: 1, Image: "i", ImageGB: 0.1, EstimateS: 6,
	}
	guards, ops := jobrecord.AcceptanceTxn(job, nil, jobrecord.HashShard(job, nil, 4), time.Now().UnixMilli())
	if _, err := (&testkit.View{Store: c.store}).Txn(context.Background(), guards, ops...); err != nil {
		c.t.Fatal(err)
	}
}

// begin starts the controllers, without lost messages.
func (c *rentedCluster) begin() {
	c.startInTurn()
	c.run(3*time.Second, nil)
}

// finish waits until the jobs ended and all machines were deleted.
func (c *rentedCluster) finish(uids ...string) {
	c.startAll()
	if !c.run(4*time.Minute, c.cluster.ended(uids...)) {
		c.t.Errorf("only %v ended", c.store.Keys("final/"))
	}
	if !c.run(6*time.Minute, func() bool { _, there := c.machines(); return there == 0 }) {
		_, there := c.machines()
		c.t.Errorf("%d machines are left", there)
	}
}
