package scheduler_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/slurm"
	"github.com/wallrack/wallrack/internal/wire"
)

// BenchmarkPass measures one scheduling pass.
func BenchmarkPass(b *testing.B) {
	for _, size := range []struct{ workers, jobs int }{{1700, 120}, {5400, 900}} {
		b.Run(fmt.Sprintf("machines=%d", size.workers), func(b *testing.B) {
			cluster := newCluster(b, size.workers, size.jobs)
			for b.Loop() {
				cluster.scheduler.Pass()
			}
		})
	}
}

// BenchmarkTakeover measures a failover: a new leader loads 130 jobs and a full log.
func BenchmarkTakeover(b *testing.B) {
	cluster := newCluster(b, 0, 0)
	cluster.items = map[string][]wire.Item{}
	add := func(prefix, key, value string) {
		cluster.items[prefix] = append(cluster.items[prefix], wire.Item{Key: prefix + key, Value: json.RawMessage(value), Version: 1})
	}
	for i := range 130 {
		add("live/", fmt.Sprintf("j-%d", i), fmt.Sprintf(`{"job":{"uid":"j-%d","docket":"c","crew":"t","sort":"sweep","pieces":100,"cpus":2}}`, i))
	}
	for i := range 512 {
		placements := ""
		for entry := range 20 {
			placements += fmt.Sprintf(`,{"u":"j-%d","p":[%d,%d,0]}`, (i*20+entry)%130, (i+entry)%100, i+1)
		}
		add("log/", fmt.Sprintf("000/%05d", i), fmt.Sprintf(`{"seq":%d,"m":["n-%06d"],"j":[%s]}`, i+1, i, placements[1:]))
	}
	for b.Loop() {
		cluster.scheduler.Unload()
		if err := cluster.scheduler.Load(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReport measures one heartbeat without changes.
func BenchmarkReport(b *testing.B) {
	cluster := newCluster(b, 1700, 120)
	cluster.scheduler.Pass()
	for i := 0; b.Loop(); i++ {
		view := &cluster.views[i%len(cluster.views)]
		view.Seq++
		cluster.scheduler.ObserveWorker(*view)
	}
}

// BenchmarkDemand measures one query for the work for which there is no worker.
func BenchmarkDemand(b *testing.B) {
	cluster := newCluster(b, 1700, 120)
	cluster.scheduler.Pass()
	for b.Loop() {
		cluster.scheduler.Demand(20)
	}
}

// BenchmarkLargeArray measures a job of 100,000 tasks: it is accepted, placed up to its limit
// of concurrent tasks, and listed in pages with a row for each task.
func BenchmarkLargeArray(b *testing.B) {
	for b.Loop() {
		cluster := newCluster(b, 50, 0)
		cluster.scheduler.JobAccepted(&wire.Job{UID: "j-big", Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: 100_000, CPUs: 1, EstimateS: 30, Spot: true},
			&jobspec.Constraints{Number: 1, Array: "0-99999", MaxConcurrent: 20}, 0, time.Now().UnixMilli(), 1)
		cluster.scheduler.Pass()
		tasks, pages := 0, 0
		for from := (jobquery.Cursor{}); ; pages++ {
			jobs, next := cluster.scheduler.ListJobs(from, 500)
			for i := range jobs {
				tasks += len(slurm.QueueRows(&jobs[i], true, 0, time.UTC))
			}
			if next == nil {
				break
			}
			from = *next
		}
		if tasks < 100_000 {
			b.Fatalf("%d tasks in %d pages", tasks, pages)
		}
	}
}
