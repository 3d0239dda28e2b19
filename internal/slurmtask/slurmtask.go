// Package slurmtask derives what a task of a Slurm-style job finds on its worker: the SLURM_*
// variables that differ between tasks, and the files of its output. It is pure: it keeps no
// state, opens no file and starts nothing.
package slurmtask

import (
	"fmt"
	"strconv"

	"github.com/wallrack/wallrack/internal/jobspec"
)

// Context is the part of a job's description that is the same for all tasks of the job.
type Context struct {
	Number  uint64 `json:"number"` // of the job; task n of an array has the number Number+n
	Tasks   int    `json:"tasks"`
	Array   string `json:"array,omitempty"` // indices, as 0-15:2; "": not an array
	Name    string `json:"name,omitempty"`
	User    string `json:"user,omitempty"`
	Output  string `json:"output,omitempty"` // pattern of the file; "": none
	Error   string `json:"error,omitempty"`  // pattern; "": the same file as Output
	Step    bool   `json:"step,omitempty"`   // tasks are those of one step, as srun's are
	Cluster string `json:"cluster,omitempty"`
}

// Task is one of a job's tasks on its worker.
type Task struct {
	*Context
	taskIndex  int    // the task, from 0
	attempt    uint64 // from 1
	workerName string // its name
	indices    jobspec.Ranges
	arrayIndex int // in the array; noIndex without one
}

// noArrayPosition is the index of a task that is not of an array.
const noArrayPosition = -1

// NewTask returns the task n of a job, from 0, in an attempt, from 1, on a worker. It fails if the
// array is malformed or doesn't have the task.
func (c *Context) NewTask(taskIndex int, attempt uint64, workerName string) (*Task, error) {
	t := &Task{Context: c, taskIndex: taskIndex, attempt: attempt, workerName: workerName, arrayIndex: noArrayPosition}
	if c.Array == "" {
		return t, nil
	}
	var err error
	if t.indices, err = jobspec.ParseRanges(c.Array); err != nil {
		return nil, fmt.Errorf("array: %w", err)
	}
	if t.arrayIndex = t.indices.At(taskIndex); t.arrayIndex < 0 {
		return nil, fmt.Errorf("array: %s has no task %d", c.Array, taskIndex)
	}
	return t, nil
}

func (t *Task) inArray() bool { return t.arrayIndex != noArrayPosition }

// jobNumber is the job jobNumber that the task sees: its own in an array, else the job's.
func (t *Task) jobNumber() uint64 {
	if t.inArray() {
		return t.Number + uint64(t.taskIndex)
	}
	return t.Number
}

// rank is the task's number among those of its step. A batch script is the only one.
func (t *Task) rank() int {
	if t.Step {
		return t.taskIndex
	}
	return 0
}

// Environ returns the variables that differ between tasks, as NAME=VALUE.
func (t *Task) Environ() []string {
	number := formatUint(t.jobNumber())
	env := []string{
		"SLURM_JOB_ID=" + number,
		"SLURM_JOBID=" + number,
		"SLURM_JOB_NAME=" + t.Name,
		"SLURM_JOB_USER=" + t.User,
		"SLURM_CLUSTER_NAME=" + t.Cluster,
		"SLURM_JOB_NODELIST=" + t.workerName,
		"SLURM_NODELIST=" + t.workerName,
		"SLURMD_NODENAME=" + t.workerName,
		"SLURM_JOB_NUM_NODES=1",
		"SLURM_NNODES=1",
		"SLURM_NODEID=0",
		"SLURM_LOCALID=0",
		"SLURM_PROCID=" + strconv.Itoa(t.rank()),
	}
	if t.attempt > 1 {
		env = append(env, "SLURM_RESTART_COUNT="+formatUint(t.attempt-1))
	}
	if !t.inArray() {
		return env
	}
	least, most := t.indices.Bounds()
	return append(
		env,
		"SLURM_ARRAY_JOB_ID="+formatUint(t.Number),
		"SLURM_ARRAY_TASK_ID="+strconv.Itoa(t.arrayIndex),
		"SLURM_ARRAY_TASK_COUNT="+strconv.Itoa(t.Tasks),
		"SLURM_ARRAY_TASK_MIN="+strconv.Itoa(least),
		"SLURM_ARRAY_TASK_MAX="+strconv.Itoa(most),
		"SLURM_ARRAY_TASK_STEP="+strconv.Itoa(t.indices.Step()),
	)
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
