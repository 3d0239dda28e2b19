package viewsync

import (
	"fmt"
	"slices"

	"github.com/wallrack/wallrack/internal/dispatch"
)

func keyOf(t *dispatch.TaskView) TaskKey { return TaskKey{t.Task.Task, t.Attempt} }

// tasksByKey indexes tasks by their keys. Of tasks with the same key, the last one is kept.
func tasksByKey(tasks []dispatch.TaskView) map[TaskKey]*dispatch.TaskView {
	index := make(map[TaskKey]*dispatch.TaskView, len(tasks))
	for i := range tasks {
		index[keyOf(&tasks[i])] = &tasks[i]
	}
	return index
}

// diffTasks records which reported tasks changed, or the whole list if the changes don't reproduce
// it.
func (c *Change) diffTasks(was, now []dispatch.TaskView) {
	before := tasksByKey(was)
	for i := range now {
		task := &now[i]
		if old := before[keyOf(task)]; old == nil || !sameTask(*old, *task) {
			c.Tasks = append(c.Tasks, *task)
		}
		delete(before, keyOf(task))
	}
	for i := range was {
		if key := keyOf(&was[i]); before[key] != nil {
			c.RemovedTasks = append(c.RemovedTasks, key)
			delete(before, key)
		}
	}
	if applied, err := c.applyTasks(was); err != nil || !sameTasks(applied, now) {
		c.AllTasks, c.Tasks, c.RemovedTasks = true, now, nil
	}
}

// applyTasks returns a worker's task list with the changes applied. It does not modify the old
// list.
func (c *Change) applyTasks(was []dispatch.TaskView) ([]dispatch.TaskView, error) {
	if c.AllTasks {
		return c.Tasks, nil
	}
	if len(c.Tasks) == 0 && len(c.RemovedTasks) == 0 {
		return was, nil
	}
	changed := tasksByKey(c.Tasks)
	removed := make(map[TaskKey]bool, len(c.RemovedTasks))
	for _, key := range c.RemovedTasks {
		removed[key] = true
	}
	out := make([]dispatch.TaskView, 0, len(was)+len(c.Tasks))
	for _, task := range was {
		key := keyOf(&task)
		if removed[key] {
			delete(removed, key)
			continue
		}
		if now := changed[key]; now != nil {
			task = *now
			delete(changed, key)
		}
		out = append(out, task)
	}
	if len(removed) > 0 {
		return nil, fmt.Errorf("%w: %s: removed task was not reported before", ErrMalformed, c.Name)
	}
	for i := range c.Tasks {
		if key := keyOf(&c.Tasks[i]); changed[key] != nil {
			out = append(out, c.Tasks[i])
			delete(changed, key)
		}
	}
	slices.SortStableFunc(out, byKey)
	return out, nil
}
