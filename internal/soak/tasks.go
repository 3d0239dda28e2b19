package soak

import (
	"sync"
	"time"

	"github.com/wallrack/wallrack/internal/wire"
)

// tasks implements hollow.Tasks: it records what the workers do. It is safe for concurrent use.
type tasks struct {
	recorder *recorder
	users    *users // set before the first worker is launched

	mu        sync.Mutex
	zones     map[string]string // by worker
	completed map[string]bool   // by task
}

func newTasks(recorder *recorder) *tasks {
	return &tasks{recorder: recorder, zones: map[string]string{}, completed: map[string]bool{}}
}

func (t *tasks) setZone(worker, zone string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.zones[worker] = zone
}

// Job implements hollow.Tasks.
func (t *tasks) Job(uid string) *wire.Job { return t.recorder.job(uid) }

// TaskStarted implements hollow.Tasks.
func (t *tasks) TaskStarted(task string, attempt uint64, worker string) (runTime time.Duration, completed bool) {
	uid, _, err := wire.ParseTask(task)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil || t.recorder.job(uid) == nil || t.completed[task] {
		return 0, true
	}
	t.recorder.add(Event{Kind: TaskStarted, Job: uid, Task: task, Attempt: attempt, Worker: worker, Zone: t.zones[worker]})
	return t.users.runTime(uid), false
}

// TaskEnded implements hollow.Tasks.
func (t *tasks) TaskEnded(task, worker string, completed bool) {
	uid, _, _ := wire.ParseTask(task) // the name was parsed when the task started
	t.mu.Lock()
	defer t.mu.Unlock()
	if completed {
		t.completed[task] = true
	}
	t.recorder.add(Event{Kind: TaskEnded, Job: uid, Task: task, Worker: worker, Completed: completed})
}
