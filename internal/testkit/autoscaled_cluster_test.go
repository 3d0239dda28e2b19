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
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/standin"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	shortBoot = 1500 * time.Millisecond
	listLag   = 6 * time.Second // a machine sends heartbeats and runs tasks long before it is listed
	hostsPath = "/hosts"
)

// cloudCluster is a cluster whose machines the controllers' own autoscalers provision from a
// stand-in cloud.
type cloudCluster struct {
	*cluster
	handler http.Handler

	taskDuration func(task string) time.Duration // run time of a task

	boot        time.Duration // from the provisioning of a machine to its first heartbeat
	listAge     time.Duration // age of the machine list that the cloud returns
	listLatency time.Duration // duration of a list request

	spotOffered bool // the cloud provisions spot machines, too

	cloudMu          sync.Mutex
	spotMachines     map[string]bool // names of the spot machines
	outageUntil      time.Time       // the cloud refuses provision requests until then
	booting          []bootingMachine
	endedMachines    map[string]bool
	requestCounts    map[string]int      // number of requests by provision request name
	provisioned      map[string][]string // machines by provision request name
	answeredRequests map[string]bool     // names of provision requests whose response was received
	listHistory      []recordedList
	answerDelay      time.Duration // if set, the first response to a provision request is lost and the later ones take this long
}

// bootingMachine is a provisioned machine and the time at which it has booted.
type bootingMachine struct {
	worker *testkit.Worker
	up     time.Time
}

// recordedList is the cloud's machine list at a point in time.
type recordedList struct {
	at   time.Time
	body []byte
}

// newCloudCluster returns a cluster without machines. Machines have booted at the next step after
// they were provisioned.
func newCloudCluster(t *testing.T, seed uint64) *cloudCluster {
	c := newCloudClusterWithBoot(t, seed, shortBoot)
	c.boot = 0
	return c
}

// newCloudClusterWithBoot returns a cluster without machines, whose machines take the given time to
// boot.
func newCloudClusterWithBoot(t *testing.T, seed uint64, boot time.Duration) *cloudCluster {
	db, err := bbolt.Open(filepath.Join(t.TempDir(), "cloud.db"), 0o644, &bbolt.Options{NoSync: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = db.Close() })
	c := &cloudCluster{cluster: newCluster(t, seed), spotMachines: map[string]bool{}, taskDuration: variedTaskDuration, boot: boot, listAge: listLag, endedMachines: map[string]bool{}, requestCounts: map[string]int{}, provisioned: map[string][]string{}, answeredRequests: map[string]bool{}}
	c.reliableStore = true
	c.workers, c.byName = nil, map[string]*testkit.Worker{}
	c.cfg.Params.Cloud = config.Cloud{RPS: 4, ListLagS: listLag.Seconds()}
	machineType, _ := c.machineTypes.Type("m")
	machineType.BootS = boot.Seconds()
	cloud, err := standin.OpenCloud(db, []wire.MachineType{machineType}, 60, c)
	if err != nil {
		t.Fatal(err)
	}
	c.handler = cloud.Handler()
	c.extraLoops = c.autoscalerLoops
	return c
}

// Launch implements standin.Launcher: the machine boots.
func (c *cloudCluster) Launch(m wire.ListedMachine, _ wire.MachineType) (string, error) {
	c.cloudMu.Lock()
	defer c.cloudMu.Unlock()
	worker := testkit.NewWorker(m.Name, workerLease, c.taskDuration)
	worker.Zone = m.Zone
	c.booting = append(c.booting, bootingMachine{worker, time.Now().Add(c.boot)})
	return m.Name, nil
}

// End implements standin.Launcher: the machine ends.
func (c *cloudCluster) End(name string) {
	c.cloudMu.Lock()
	defer c.cloudMu.Unlock()
	c.endedMachines[name] = true
}

// syncWorkers adds the machines that have booted, which report at once, and removes ended ones.
func (c *cloudCluster) syncWorkers() {
	c.cloudMu.Lock()
	var booted []*testkit.Worker
	c.booting = slices.DeleteFunc(c.booting, func(m bootingMachine) bool {
		up := !time.Now().Before(m.up)
		m.worker.Spot = c.spotMachines[m.worker.Name]
		if up && !c.endedMachines[m.worker.Name] {
			booted = append(booted, m.worker)
		}
		return up || c.endedMachines[m.worker.Name]
	})
	ended := c.endedMachines
	c.endedMachines = map[string]bool{}
	c.cloudMu.Unlock()
	c.mu.Lock()
	for i, k := range booted {
		c.registerWorker(k, i)
	}
	c.workers = slices.DeleteFunc(c.workers, func(k *testkit.Worker) bool { return ended[k.Name] })
	for name := range ended {
		delete(c.byName, name)
	}
	c.mu.Unlock()
	for _, k := range booted {
		c.sendReport(k)
	}
	c.checkInvariants()
}

// advance lets time pass until the condition holds, for at most the given time.
func (c *cloudCluster) advance(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); {
		if condition != nil && condition() {
			return true
		}
		for range 4 {
			time.Sleep(reportEvery / 4)
			c.syncWorkers()
		}
		c.sendReports()
		c.exchangeReachability()
		c.publishViews()
	}
	return condition == nil || condition()
}

// autoscalerLoops returns the loops that a controller runs for its autoscaler.
func (c *cloudCluster) autoscalerLoops(n *node) []func(context.Context) error {
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	op, err := config.LoadOperator("")
	if err != nil {
		c.t.Fatal(err)
	}
	cloud := autoscaler.NewCloudOver(&cloudLink{c, n}, "cloud", c.cfg.Params.Cloud.RPS)
	catalog := autoscaler.NewCatalog(cloud, n.view, log)
	scaler := autoscaler.New(autoscaler.Options{
		Platform: c.cfg, Operator: op, Cloud: cloud, Catalog: catalog, Store: n.view, Member: n.member,
		Scheduler: autoscalerLeader{c, n.scheduler}, Dispatcher: n.dispatcher, Log: log,
	})
	return []func(context.Context) error{
		scaler.Run,
		func(ctx context.Context) error { return catalog.Run(ctx, n.scheduler.LeadsAutoscaling) },
	}
}

// autoscalerLeader is the scheduler as the autoscaler uses it. It never reports failed machines.
type autoscalerLeader struct {
	c *cloudCluster
	*scheduler.Scheduler
}

func (o autoscalerLeader) Ready() bool { return o.LeadsAutoscaling() }

func (o autoscalerLeader) FailedWorkers() map[string]string { return map[string]string{} }

func (o autoscalerLeader) WorkerDeleted(name string) {
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

// cloudLink is the transport of a controller's requests to the cloud.
type cloudLink struct {
	c *cloudCluster
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
		return nil, errLinkDown
	}
	rec := httptest.NewRecorder()
	name := ""
	if req.Method == http.MethodPost && l.c.inOutage() {
		rec.WriteHeader(http.StatusServiceUnavailable)
		_, _ = rec.WriteString(`{"error":"trouble"}`) // never fails
		return rec.Result(), nil
	}
	if req.Method == http.MethodPost && req.URL.Path == hostsPath {
		name = l.c.provision(rec, req)
	} else {
		l.c.handler.ServeHTTP(rec, req)
	}
	if req.Method == http.MethodGet && req.URL.Path == hostsPath {
		rec = l.c.staleList(rec)
		time.Sleep(l.c.listLatency)
	}
	if name != "" {
		if err := l.c.awaitAnswer(req.Context(), name); err != nil {
			return nil, err
		}
	}
	if l.down() {
		return nil, errLinkDown
	}
	if name != "" && rec.Code == http.StatusOK {
		l.c.cloudMu.Lock()
		l.c.answeredRequests[name] = true
		l.c.cloudMu.Unlock()
	}
	return rec.Result(), nil
}

// inOutage reports whether the cloud currently refuses provision requests.
func (c *cloudCluster) inOutage() bool {
	c.cloudMu.Lock()
	defer c.cloudMu.Unlock()
	return time.Now().Before(c.outageUntil)
}

// awaitAnswer waits for the delay of the response to a provision request.
func (c *cloudCluster) awaitAnswer(ctx context.Context, name string) error {
	c.cloudMu.Lock()
	slow, first := c.answerDelay, c.requestCounts[name] == 1
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

// provision executes a provision request and checks that it was recorded before it was sent.
func (c *cloudCluster) provision(rec *httptest.ResponseRecorder, req *http.Request) string {
	body, err := io.ReadAll(req.Body)
	var request wire.ProvisionRequest
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	if err != nil {
		c.fail("invalid provision request: %v", err)
		return ""
	}
	recorded := slices.Contains(c.store.Keys("fleet/hire/"), "fleet/hire/"+request.Name)
	spot := request.Spot && c.spotOffered
	if spot { // the stand-in has on-demand machines only
		request.Spot = false
		if body, err = json.Marshal(request); err != nil {
			c.fail("provision request: %v", err)
		}
	}
	req.Body = io.NopCloser(strings.NewReader(string(body)))
	c.handler.ServeHTTP(rec, req)
	c.cloudMu.Lock()
	defer c.cloudMu.Unlock()
	if c.requestCounts[request.Name]++; c.requestCounts[request.Name] == 1 && !recorded {
		c.fail("provision request %s was sent without having been recorded", request.Name)
	}
	var got wire.MachineNames
	if rec.Code == http.StatusOK && json.Unmarshal(rec.Body.Bytes(), &got) == nil {
		c.provisioned[request.Name] = got.Machines
		for _, machine := range got.Machines {
			c.spotMachines[machine] = spot
		}
	}
	return request.Name
}

// staleList returns the newest recorded list that is at least listAge old, else an empty one.
func (c *cloudCluster) staleList(now *httptest.ResponseRecorder) *httptest.ResponseRecorder {
	c.cloudMu.Lock()
	defer c.cloudMu.Unlock()
	c.listHistory = append(c.listHistory, recordedList{time.Now(), c.withSpotMachines(now.Body.Bytes())})
	old := recordedList{body: []byte(`{"benches":[],"truncated":false}`)}
	for _, l := range c.listHistory {
		if time.Since(l.at) >= c.listAge {
			old = l
		}
	}
	rec := httptest.NewRecorder()
	rec.Code = http.StatusOK
	_, _ = rec.Write(old.body) // never fails
	return rec
}

// withSpotMachines returns a machine list in which the spot machines are marked.
func (c *cloudCluster) withSpotMachines(body []byte) []byte {
	var list wire.MachineList
	err := json.Unmarshal(body, &list)
	for i := range list.Machines {
		list.Machines[i].Spot = c.spotMachines[list.Machines[i].Name]
	}
	if err == nil {
		body, err = json.Marshal(list)
	}
	if err != nil {
		c.fail("machine list: %v", err)
	}
	return body
}

// countMachines counts all machines provisioned so far and those that still exist.
func (c *cloudCluster) countMachines() (provisioned, existing int) {
	c.cloudMu.Lock()
	for _, names := range c.provisioned {
		provisioned += len(names)
	}
	c.cloudMu.Unlock()
	rec := httptest.NewRecorder()
	c.handler.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, hostsPath, nil))
	var list wire.MachineList
	if err := json.Unmarshal(rec.Body.Bytes(), &list); err != nil {
		c.t.Error(err)
	}
	return provisioned, len(list.Machines)
}

// requestNames returns the names of all provision requests sent so far.
func (c *cloudCluster) requestNames() (names []string) {
	c.cloudMu.Lock()
	defer c.cloudMu.Unlock()
	for name := range c.requestCounts {
		names = append(names, name)
	}
	return names
}

// requestCount returns how often a provision request was sent.
func (c *cloudCluster) requestCount(name string) int {
	c.cloudMu.Lock()
	defer c.cloudMu.Unlock()
	return c.requestCounts[name]
}

// submitOnDemandJob submits an array that may not run on spot machines.
func (c *cloudCluster) submitOnDemandJob(uid string, tasks int) {
	c.submitToCloud(&wire.Job{UID: uid, Kind: wire.KindArray, Tasks: tasks, CPUs: 2, EstimateS: 6})
}

// submitToCloud submits a job that may not run on spot machines. The job names its kind, tasks, CPUs
// and constraints.
func (c *cloudCluster) submitToCloud(job *wire.Job) {
	job.Class, job.Team, job.Priority = "c", "t", "normal"
	job.MemoryGB, job.Image, job.ImageGB = 1, "i", 0.1
	c.recordAcceptedJob(job)
}

// startAndSettle starts the controllers and lets 3 s pass.
func (c *cloudCluster) startAndSettle() {
	c.startControllersOneByOne()
	c.advance(3*time.Second, nil)
}

// awaitEndAndScaleIn waits until the jobs have ended and all machines are deleted.
func (c *cloudCluster) awaitEndAndScaleIn(uids ...string) {
	c.startStopped()
	if !c.advance(4*time.Minute, c.jobsEnded(uids...)) {
		c.t.Errorf("only these jobs ended: %v", c.store.Keys("final/"))
	}
	if !c.advance(6*time.Minute, func() bool { _, existing := c.countMachines(); return existing == 0 }) {
		_, existing := c.countMachines()
		c.t.Errorf("%d machines were not deleted", existing)
	}
}
