package testkit_test

import (
	"context"
	"hash/fnv"
	"slices"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/quota"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

func (w *cluster) submit(uid string, tasks int) { w.submitConstrained(uid, tasks, nil) }

// arrayJob returns a job array of one-CPU tasks.
func arrayJob(uid string, tasks int) *wire.Job {
	return &wire.Job{
		UID: uid, Class: "c", Team: "t", Kind: wire.KindArray, Priority: "normal", Tasks: tasks,
		CPUs: 1, MemoryGB: 1, Image: "i", ImageGB: 0.1, EstimateS: 4, Spot: true,
	}
}

func (w *cluster) submitConstrained(uid string, tasks int, constraints *jobspec.Constraints) {
	w.submitJob(arrayJob(uid, tasks), constraints)
}

// submitJob records a job as accepted.
func (w *cluster) submitJob(job *wire.Job, constraints *jobspec.Constraints) {
	w.mu.Lock()
	w.submittedJobs[job.UID] = job
	w.mu.Unlock()
	guards, ops := jobrecord.AcceptanceTxn(job, constraints, quota.AssignShard(job, w.cfg.Params.Teams, w.operatorSettings()), time.Now().UnixMilli())
	view := &testkit.View{Store: w.store}
	if _, err := view.Txn(context.Background(), guards, ops...); err != nil {
		w.t.Fatal(err)
	}
}

// taskDuration returns the run time of a task: 3, 6 or 9 s.
func taskDuration(task string) time.Duration { return time.Duration(1+len(task)%3) * 3 * time.Second }

// variedTaskDuration returns the run time of a task, 2 to 9 s, for tests whose tasks must not all end at once.
func variedTaskDuration(task string) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(task)) // never fails
	return time.Duration(2000+h.Sum64()>>8%7000) * time.Millisecond
}

// setLongTasks makes the tasks of the jobs j-80 and above run for 30 minutes.
func (w *cluster) setLongTasks() {
	for _, k := range w.workers {
		k.RunTime = func(task string) time.Duration {
			if strings.HasPrefix(task, "j-8") || strings.HasPrefix(task, "j-9") {
				return 30 * time.Minute
			}
			return variedTaskDuration(task)
		}
	}
}

// jobsEnded returns a condition that holds once the end of all these jobs is recorded.
func (w *cluster) jobsEnded(uids ...string) func() bool {
	return func() bool {
		keys := w.store.Keys("final/")
		return !slices.ContainsFunc(uids, func(uid string) bool { return !slices.Contains(keys, "final/"+uid) })
	}
}

// unfinishedTasks counts the tasks of a job that are on workers and have not ended.
func (w *cluster) unfinishedTasks(uid string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		for _, task := range k.UnfinishedTasks() {
			if strings.HasPrefix(task, uid+"/") {
				n++
			}
		}
	}
	return n
}

// submitArray submits a job array. Tasks of the jobs j-80 and above run long; see setLongTasks.
func (w *cluster) submitArray(uid, team, priority string, tasks int, cpus float64) {
	job := arrayJob(uid, tasks)
	job.Team, job.Priority, job.CPUs = team, priority, cpus
	w.submitJob(job, nil)
}

// workersWithTasksOf returns the workers that have unfinished tasks of a job.
func (w *cluster) workersWithTasksOf(uid string) (workers []*testkit.Worker) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		if slices.ContainsFunc(k.UnfinishedTasks(), func(task string) bool { return strings.HasPrefix(task, uid+"/") }) {
			workers = append(workers, k)
		}
	}
	return workers
}
