package testkit_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/slurm"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// nativeSubmission and slurmSubmission return the same job as the native and the Slurm client submit it.
func nativeSubmission(t *testing.T, class, team, priority string, tasks int) (*wire.Job, *jobspec.Constraints) {
	body := fmt.Sprintf(`{"uid":"j-x","docket":%q,"crew":%q,"sort":"sweep","urgency":%q,"pieces":%d,"cpus":2,"cards":0,"memoryGb":1,"kit":"none","pullGb":0,
		"together":false,"apart":false,"loaners":true,"reckonS":60,"markS":0,"stashS":0}`, class, team, priority, tasks)
	j, err := wire.ParseJob([]byte(body))
	if err != nil {
		t.Fatal(err)
	}
	return j, &jobspec.Constraints{}
}

func slurmSubmission(t *testing.T, class, team, priority string, tasks int) (*wire.Job, *jobspec.Constraints) {
	line := fmt.Sprintf("-p %s -A %s -q %s -c 2 --mem 1G -C spot -t 1 --array=0-%d", class, team, priority, tasks-1)
	options, _, err := slurm.ParseArgs(slurm.Sbatch, strings.Fields(line))
	if err != nil {
		t.Fatal(err)
	}
	o, err := slurm.MergeOptions(slurm.Sbatch, time.Now(), options)
	if err != nil {
		t.Fatal(err)
	}
	site := &jobquery.Site{Classes: []string{"tips", "study"}, Teams: []string{"t", "lab"}}
	r, err := slurm.Translate(slurm.Sbatch, o, &slurm.Invocation{Script: "#!/bin/sh\n", ScriptName: "s"}, site, time.Now())
	if err != nil {
		t.Fatal(err)
	}
	return &r.Job, &r.Constraints
}

// playWorkload runs a workload on one worker and returns the order of task starts and the accounting
// rows, without the names that each client sets. submitter selects the client of the n-th job.
func playWorkload(t *testing.T, submitter func(n int) func(*testing.T, string, string, string, int) (*wire.Job, *jobspec.Constraints)) (starts, rows []string) {
	w := newCluster(t, 1)
	w.accountingEnabled = true
	w.workers = w.workers[:1]
	mu := &w.mu
	w.workers[0].RunTime = func(string) time.Duration { return 4 * time.Second }
	w.workers[0].OnStart = func(task string, _ uint64) { starts = append(starts, task) }
	w.reliableStore = true
	w.start("a")
	n := w.nodes["a"]
	for _, x := range []string{"b", "c"} {
		w.nodes[x] = &node{cluster: w, name: x, down: true}
	}
	time.Sleep(2 * time.Second)
	view := &testkit.View{Store: w.store}
	jobs := []struct {
		class, team, priority string
		tasks                 int
	}{{"study", "lab", "low", 3}, {"study", "t", "normal", 2}, {"tips", "t", "production", 2}, {"study", "lab", "low", 1}, {"tips", "t", "urgent", 3}, {"study", "t", "normal", 2}, {"tips", "t", "production", 1}}
	for i, k := range jobs {
		j, constraints := submitter(i)(t, k.class, k.team, k.priority, k.tasks)
		j.UID, constraints.Number = fmt.Sprintf("j-%d", i), uint64(100*(i+1))
		at := time.Now().UnixMilli()
		guards, ops := jobrecord.AcceptanceTxn(j, constraints, jobrecord.HashShard(j, nil, 4), at)
		if _, err := view.Txn(context.Background(), guards, ops...); err != nil {
			t.Fatal(err)
		}
		time.Sleep(5 * time.Millisecond)
	}
	for end := time.Now().Add(10 * time.Minute); len(w.store.Keys("final/")) < len(jobs); {
		if time.Now().After(end) {
			t.Fatalf("only these jobs ended: %v", w.store.Keys("final/"))
		}
		w.exchangeReachability()
		mu.Lock()
		rep := w.workers[0].Report()
		rep.Endpoint = w.workers[0].Name
		sent := time.Now()
		mu.Unlock()
		if _, body := n.dispatcher.HandleReport(context.Background(), rep); body != nil {
			if a, ok := body.(wire.ReportResponse); ok {
				mu.Lock()
				w.workers[0].HandleResponse(sent, rep.Session, a)
				mu.Unlock()
			}
		}
		time.Sleep(reportEvery)
	}
	jobRows, attempts, _ := w.accountingRows()
	for name, r := range attempts {
		jobRows[name] = r
	}
	for name, r := range jobRows {
		r.Name, r.User, r.Array = "", "", ""
		began, took := r.Start, r.End-r.Start
		r.Submit, r.Eligible, r.Start, r.End = 0, 0, 0, 0
		if r.Kind == accounting.RowJob {
			took = 0 // a job row's End is when the end of the job was recorded, not when its last task ended, so the duration varies
		}
		data, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		// The end is seen with the next heartbeat, up to a second later.
		fullRun := r.Kind == accounting.RowJob || took >= 3900 && took < 5600
		rows = append(rows, fmt.Sprintf("%s began %v, ran for 4 s %v: %s", name, began > 0, fullRun, data))
	}
	slices.Sort(rows)
	w.crash("a")
	return starts, rows
}

// The same workload, submitted by native clients, by Slurm clients, and by both alternately, starts in
// the same order and produces the same accounting rows: neither client is preferred.
func TestNativeAndSlurmClientsGetSameOrderAndAccounting(t *testing.T) {
	type submitFunc = func(*testing.T, string, string, string, int) (*wire.Job, *jobspec.Constraints)
	var starts, rows [][]string
	for _, m := range []func(int) submitFunc{
		func(int) submitFunc { return nativeSubmission }, func(int) submitFunc { return slurmSubmission },
		func(n int) submitFunc { return []submitFunc{nativeSubmission, slurmSubmission}[n%2] },
	} {
		synctest.Test(t, func(t *testing.T) {
			s, r := playWorkload(t, m)
			starts, rows = append(starts, s), append(rows, r)
		})
	}
	jobOrder := func(starts []string) (out []string) {
		for _, s := range starts {
			out = append(out, strings.Split(s, "/")[0])
		}
		return out
	}
	for i := 1; i < 3; i++ {
		if !slices.Equal(jobOrder(starts[i]), jobOrder(starts[0])) {
			t.Errorf("starts: %v, want %v", starts[i], starts[0])
		}
		if !slices.Equal(rows[i], rows[0]) {
			t.Errorf("rows:\n%s\nwant\n%s", strings.Join(rows[i], "\n"), strings.Join(rows[0], "\n"))
		}
	}
	if len(rows[0]) != 7+14 || len(starts[0]) != 14 {
		t.Errorf("%d rows, %d starts", len(rows[0]), len(starts[0]))
	}
	// Order by priority: production, urgent, normal, low, apart from jobs that were already running.
	order := jobOrder(starts[0])
	if slices.Index(order, "j-4") > slices.Index(order, "j-5") || slices.Index(order, "j-6") > slices.Index(order, "j-4") {
		t.Errorf("order %v", order)
	}
}
