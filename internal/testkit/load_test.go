package testkit_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// reportingWorker is a worker with its connection to the controller. It uses as little processor time
// as it can, so that a profile shows the controller.
type reportingWorker struct {
	worker *testkit.Worker
	conn   net.Conn
	in     *bufio.Reader
}

// report sends the worker's heartbeat and executes the response.
func (s *reportingWorker) report(tb testing.TB) {
	sent := time.Now()
	rep := s.worker.Report()
	rep.Endpoint = s.worker.Name
	body, err := json.Marshal(rep)
	if err != nil {
		tb.Fatal(err)
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "POST /v1/report HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(body))
	out.Write(body)
	if _, err := s.conn.Write(out.Bytes()); err != nil {
		tb.Fatal(err)
	}
	resp, err := http.ReadResponse(s.in, nil)
	if err != nil {
		tb.Fatal(err)
	}
	data, err := io.ReadAll(resp.Body)
	_ = resp.Body.Close() // the body was read
	if err != nil {
		tb.Fatal(err)
	}
	var a wire.ReportResponse
	if resp.StatusCode != http.StatusOK || json.Unmarshal(data, &a) != nil {
		tb.Fatalf("heartbeat answered with status %d: %.100s", resp.StatusCode, data)
	}
	s.worker.HandleResponse(sent, rep.Session, a)
}

// BenchmarkLoad measures one controller, from its sockets to a stand-in for the state service. Its
// workers send heartbeats in turn while jobs are submitted, run and end. An operation is one heartbeat
// with its share of all other work: grants, scheduling passes and records. Tasks run for a fiftieth of
// the usual time, since heartbeats come about fifty times as often as usual.
func BenchmarkLoad(b *testing.B) {
	for _, c := range []struct {
		machines int
		cpus     singleTypeCatalog
		jobs     int
	}{{246, 24, 40}, {1700, 10, 130}} {
		b.Run(fmt.Sprintf("machines=%d", c.machines), func(b *testing.B) {
			defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1)) // a controller runs with the same limit
			l := newLoad(b, c.machines, c.cpus, c.jobs)
			before := l.node.scheduler.Counters()
			b.ResetTimer()
			i := 0
			for ; b.Loop(); i++ {
				l.report(b, i)
			}
			b.StopTimer()
			after := l.node.scheduler.Counters()
			if after.Granted == 0 {
				b.Fatal("no task was started")
			}
			b.ReportMetric(float64(after.Granted-before.Granted)/float64(i), "grants/op")
			b.ReportMetric(float64(after.Done-before.Done)/float64(i), "ends/op")
			l.stop()
		})
	}
}

// loadedController is a controller under load; see BenchmarkLoad.
type loadedController struct {
	cluster    *cluster
	node       *node
	server     *http.Server
	serving    sync.WaitGroup
	reporters  []*reportingWorker
	wantedJobs int // number of unfinished jobs to maintain
	submitted  int
}

// newLoad starts a controller with the given number of workers, each of which has sent 20
// heartbeats.
func newLoad(tb testing.TB, machines int, cpus singleTypeCatalog, jobs int) *loadedController {
	w := newCluster(tb, 1)
	w.machineTypes, w.workers, w.byName = cpus, nil, map[string]*testkit.Worker{}
	w.controllerNames, w.reliableStore, w.promptCommands = []string{"a"}, true, true
	w.extraLoops = func(n *node) []func(context.Context) error {
		return []func(context.Context) error{func(ctx context.Context) error { return w.maintainCancelsLoop(ctx, n) }}
	}
	w.start("a")
	l := &loadedController{cluster: w, node: w.nodes["a"], wantedJobs: jobs}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/report", l.node.dispatcher.ServeReport)
	l.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second, ReadTimeout: 15 * time.Second, WriteTimeout: 15 * time.Second}
	l.serving.Go(func() { _ = l.server.Serve(lis) })
	for i := range machines {
		k := testkit.NewWorker(fmt.Sprintf("n-%06d", i), workerLease, func(task string) time.Duration {
			return time.Duration(400+len(task)*20) * time.Millisecond
		})
		conn, err := net.Dial("tcp", lis.Addr().String())
		if err != nil {
			tb.Fatal(err)
		}
		w.workers, w.byName[k.Name] = append(w.workers, k), k
		l.reporters = append(l.reporters, &reportingWorker{k, conn, bufio.NewReader(conn)})
	}
	l.awaitLeadership(tb)
	l.refillJobs()
	for i := range 20 * len(l.reporters) { // warm-up
		l.reporters[i%len(l.reporters)].report(tb)
	}
	return l
}

// maintainCancelsLoop keeps a controller's list of cancels current. A controller whose list is out of
// date refuses heartbeats.
func (w *cluster) maintainCancelsLoop(ctx context.Context, n *node) error {
	tick := time.NewTicker(250 * time.Millisecond)
	defer tick.Stop()
	for {
		w.maintainCancels(ctx, []*node{n})
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// awaitLeadership waits until the controller leads shards and answers workers: before that it refuses
// heartbeats, which costs almost nothing.
func (l *loadedController) awaitLeadership(tb testing.TB) {
	for began := time.Now(); len(l.node.member.LedShards()) == 0 || !l.node.MayAnswerWorkers(); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > 20*time.Second {
			tb.Fatal("the controller does not answer workers")
		}
	}
}

// refillJobs submits jobs until wantedJobs are unfinished.
func (l *loadedController) refillJobs() {
	for living := len(l.cluster.store.Keys("live/")); living < l.wantedJobs; living++ {
		l.submitted++
		l.cluster.submitLoadJob(l.submitted)
	}
}

// report sends the i-th heartbeat since the start.
func (l *loadedController) report(tb testing.TB, i int) {
	l.reporters[i%len(l.reporters)].report(tb)
	if i%100 == 0 {
		l.refillJobs()
	}
}

func (l *loadedController) stop() {
	for _, s := range l.reporters {
		_ = s.conn.Close()
	}
	_ = l.server.Close()
	l.serving.Wait()
	l.cluster.crash("a")
}

func (w *cluster) submitLoadJob(n int) {
	due := 100.0
	job := &wire.Job{
		UID: fmt.Sprintf("j-%06d", n), Class: fmt.Sprintf("c%d", n%3), Team: "t", Kind: wire.KindArray, Priority: []string{"low", "normal"}[n%2],
		Tasks: 20 + n*37%150, CPUs: float64(1 + n%3), MemoryGB: 2, Image: fmt.Sprintf("i%d", n%10), ImageGB: 0.1, EstimateS: 0.6, Spot: true, DueS: &due,
	}
	guards, ops := jobrecord.AcceptanceTxn(job, nil, jobrecord.HashShard(job, nil, 4), time.Now().UnixMilli())
	if _, err := (&testkit.View{Store: w.store}).Txn(context.Background(), guards, ops...); err != nil {
		w.t.Fatal(err)
	}
}
