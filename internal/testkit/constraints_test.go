package testkit_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/goccy/go-json"

	"github.com/wallrack/wallrack/internal/accounting"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/scheduler"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// accountingRows reads all accounting rows of jobs and of attempts, and counts those that are stored more than once.
func (w *cluster) accountingRows() (jobs map[string]accounting.Row, attempts map[string]accounting.Row, duplicates int) {
	jobs, attempts = map[string]accounting.Row{}, map[string]accounting.Row{}
	items, _, err := (&testkit.View{Store: w.store}).List(context.Background(), accounting.KeyPrefix)
	if err != nil {
		w.t.Fatal(err)
	}
	rd, err := accounting.NewReader()
	if err != nil {
		w.t.Fatal(err)
	}
	defer rd.Close()
	for _, it := range items {
		var text string
		if err := json.Unmarshal(it.Value, &text); err != nil {
			w.t.Fatal(err)
		}
		if len(text) > 8<<10 {
			w.t.Errorf("an accounting page has %d bytes, more than 8 KiB", len(text))
		}
		if err := rd.Unpack(text, func(r *accounting.Row) {
			into, name := jobs, r.UID
			if r.Kind == accounting.RowAttempt {
				into, name = attempts, fmt.Sprintf("%s/%d %d", r.UID, r.Task, r.Attempt)
			}
			if _, exists := into[name]; exists {
				duplicates++
			}
			into[name] = *r
		}); err != nil {
			w.t.Fatal(err)
		}
	}
	return jobs, attempts, duplicates
}

// Constraints hold under random crashes, cut links, lost and late writes: a limit of concurrent
// tasks is never exceeded, no job starts before its dependencies are met, a failed task with NoRetry is
// not retried, cancelled tasks of a job never run, and accounting has one row for each job
// and one useful attempt for each task that is done.
func TestConstraintsUnderDrawnFaults(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runConstraintsUnderFaults(t, seed) })
		})
	}
}

func runConstraintsUnderFaults(t *testing.T, seed uint64) {
	w := newCluster(t, seed)
	w.accountingEnabled = true
	startedAt := map[string]time.Time{} // first start of each task
	fails := map[string]bool{"j-fails/1": true, "j-fails/3": true}
	for _, k := range w.workers {
		k.OnStart = func(task string, _ uint64) {
			if _, restarted := startedAt[task]; !restarted {
				startedAt[task] = time.Now()
			}
		}
		k.ExitCode = func(task string) int {
			if fails[task] {
				return 3
			}
			return 0
		}
	}
	w.startControllers()
	time.Sleep(2 * time.Second)
	now := time.Now()
	dep := func(kind, uid string) []jobspec.Dependency { return []jobspec.Dependency{{Kind: kind, Job: uid}} }
	jobs := []struct {
		uid   string
		tasks int
		t     jobspec.Constraints
		state string
	}{
		{"j-most", 9, jobspec.Constraints{MaxConcurrent: 2}, jobspec.Completed},
		{"j-fails", 5, jobspec.Constraints{NoRetry: true}, jobspec.Failed},
		{"j-afterok", 2, jobspec.Constraints{Dependencies: dep(jobspec.AfterOK, "j-most")}, jobspec.Completed},
		{"j-afternotok", 2, jobspec.Constraints{Dependencies: dep(jobspec.AfterNotOK, "j-fails")}, jobspec.Completed},
		{"j-never", 2, jobspec.Constraints{Dependencies: dep(jobspec.AfterOK, "j-fails"), CancelIfUnsatisfiable: true}, jobspec.Cancelled},
		{"j-slow", 2, jobspec.Constraints{LimitS: 1}, jobspec.Timeout},
		{"j-begin", 2, jobspec.Constraints{BeginMs: now.Add(70 * time.Second).UnixMilli()}, jobspec.Completed},
		{"j-deadline", 2, jobspec.Constraints{Held: true, DeadlineMs: now.Add(90 * time.Second).UnixMilli()}, jobspec.Deadline},
		{"j-drop", 6, jobspec.Constraints{MaxConcurrent: 1}, jobspec.Cancelled},
		{"j-single1", 2, jobspec.Constraints{Name: "s", User: "u"}, jobspec.Completed},
		{"j-single2", 2, jobspec.Constraints{Name: "s", User: "u", Dependencies: []jobspec.Dependency{{Kind: jobspec.Singleton}}}, jobspec.Completed},
	}
	for i := range jobs {
		jobs[i].t.Number = uint64(100 * (i + 1))
		w.submitConstrained(jobs[i].uid, jobs[i].tasks, &jobs[i].t)
	}
	ended := func(uid string) bool { return len(w.store.Keys("final/"+uid)) > 0 }
	tasksCancelled := false
	faultsUntil, deadline := time.Now().Add(2*time.Minute), time.Now().Add(20*time.Minute)
	for len(w.store.Keys("final/")) < len(jobs) {
		if time.Now().After(deadline) {
			t.Fatalf("only %v ended", w.store.Keys("final/"))
		}
		w.sendReports()
		running := map[string]int{} // tasks, by job
		w.mu.Lock()
		for _, k := range w.workers {
			for _, task := range k.UnfinishedTasks() {
				running[strings.Split(task, "/")[0]]++
			}
		}
		w.mu.Unlock()
		if running["j-most"] > 2 || running["j-drop"] > 1 {
			t.Fatalf("%d tasks of j-most and %d of j-drop run at once", running["j-most"], running["j-drop"])
		}
		if running["j-afterok"] > 0 && !ended("j-most") || running["j-afternotok"] > 0 && !ended("j-fails") || running["j-single2"] > 0 && !ended("j-single1") {
			t.Fatalf("a job runs before its dependencies are met: %v", running)
		}
		if !tasksCancelled {
			// Retried each step until a leader confirms.
			for _, n := range w.nodes {
				tasks, _ := jobspec.ParseRanges("2-4")
				if !n.down && n.scheduler.CancelTasks(context.Background(), "j-drop", tasks) == nil {
					tasksCancelled = true
					break
				}
			}
		}
		w.step(faultsUntil)
	}
	rows, attempts, _ := w.accountingRows()
	useful := map[string]int{}
	for name, r := range attempts {
		if r.Useful {
			useful[strings.Split(name, " ")[0]]++
		}
		if r.End < r.Start || r.Worker == "" || r.Price <= 0 {
			t.Errorf("%s: %+v", name, r)
		}
	}
	for _, j := range jobs {
		i, err := scheduler.ReadStoredJobInfo(context.Background(), &testkit.View{Store: w.store}, j.uid)
		if err != nil || i.Ending == nil || i.Ending.State != j.state || i.Ending.Number != j.t.Number {
			t.Errorf("%s: %+v, %v", j.uid, i.Ending, err)
		}
		if (i.Stage == wire.StageDone) != (j.state == jobspec.Completed) {
			t.Errorf("%s: stage %s with state %s", j.uid, i.Stage, j.state)
		}
		if r := rows[j.uid]; r.State != j.state || r.Number != j.t.Number || int(r.Tasks) != j.tasks || int(r.Done) != i.Done {
			t.Errorf("%s: row %+v", j.uid, r)
		}
		done := 0
		for k := range j.tasks {
			n := useful[wire.TaskName(j.uid, k)]
			if done += n; n > 1 {
				t.Errorf("%s: task %d has %d useful attempts", j.uid, k, n)
			}
		}
		if done != i.Done {
			t.Errorf("%s: %d useful attempts for %d done", j.uid, done, i.Done)
		}
	}
	if r := rows["j-fails"]; r.Exit != 3 || r.Done != 3 {
		t.Errorf("%+v", r)
	}
	for _, task := range []string{"j-deadline/0", "j-never/0"} {
		if at, ran := startedAt[task]; ran {
			t.Errorf("%s started at %v, but must not run", task, at)
		}
	}
	if at := startedAt["j-begin/0"]; at.Before(now.Add(70 * time.Second)) {
		t.Errorf("j-begin started %v before its begin time", now.Add(70*time.Second).Sub(at))
	}
	w.stopAll()
}

// The response to every second write of an accounting page is lost. The next write of the page
// must build on the applied version; otherwise all later writes fail.
func TestAccountingContinuesAfterLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newCluster(t, 3)
		w.accountingEnabled = true
		w.reliableStore = true
		lastLost := false                   // the response of the last change was lost
		versionSum := func() (sum uint64) { // of all accounting pages
			items, _, _ := (&testkit.View{Store: w.store}).List(context.Background(), accounting.KeyPrefix)
			for _, it := range items {
				sum += it.Version
			}
			return sum
		}
		last := uint64(0)
		w.losesResponse = func() bool {
			now := versionSum()
			lost := now != last && !lastLost
			if now != last {
				lastLost = !lastLost
			}
			last = now
			return lost
		}
		w.start("a")
		for _, x := range []string{"b", "c"} {
			w.nodes[x] = &node{cluster: w, name: x, down: true}
		}
		time.Sleep(2 * time.Second)
		submitted := 0
		for end := time.Now().Add(5 * time.Minute); len(w.store.Keys("final/")) < 6; {
			if submitted < 6 && len(w.store.Keys("live/")) == 0 { // submit the next two when all have ended
				for range 2 {
					w.submitConstrained(fmt.Sprintf("j-%d", submitted), 2, &jobspec.Constraints{Number: uint64(10 * (submitted + 1))})
					submitted++
				}
			}
			if time.Now().After(end) {
				t.Fatalf("only %v ended", w.store.Keys("final/"))
			}
			w.exchangeReachability()
			for _, k := range w.workers {
				w.dispatcherOf[k] = 0
				w.sendReport(k)
			}
			time.Sleep(reportEvery)
		}
		jobs, attempts, duplicates := w.accountingRows()
		if len(jobs) != 6 || len(attempts) != 12 || duplicates != 0 {
			t.Errorf("%d job rows, %d attempt rows, %d duplicate rows", len(jobs), len(attempts), duplicates)
		}
		w.crash("a")
	})
}
