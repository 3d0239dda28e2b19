// Package slurmtask computes the task-specific SLURM_* environment variables and the output file
// names of a Slurm-style job's tasks. It opens no files, starts no processes and keeps no state.
package slurmtask

import (
	"fmt"
	"strconv"

	"github.com/wallrack/wallrack/internal/jobspec"
)

// Context holds the Slurm-specific part of a task spec. It is the same for all tasks of a job.
type Context struct {
	Number  uint64 `json:"number"` // job number; an array task has the job number Number+i, i being its task index (not array index)
	Tasks   int    `json:"tasks"`
	Array   string `json:"array,omitempty"` // array indices, such as 0-15:2; "": not an array
	Name    string `json:"name,omitempty"`
	User    string `json:"user,omitempty"`
	Output  string `json:"output,omitempty"` // file name pattern of standard output; "": none
	Error   string `json:"error,omitempty"`  // file name pattern of standard error; "": the same file as Output
	Step    bool   `json:"step,omitempty"`   // the tasks form one step, as those of srun do
	Cluster string `json:"cluster,omitempty"`
}

// Task is an attempt of one of a job's tasks on a worker.
type Task struct {
	*Context
	taskIndex  int    // index within the job, from 0
	attempt    uint64 // number of the attempt, from 1
	workerName string
	indices    jobspec.Ranges
	arrayIndex int // index in the array; noArrayPosition if the job is not an array
}

// noArrayPosition is the value of Task.arrayIndex if the job is not an array.
const noArrayPosition = -1

// NewTask returns an attempt of a task on a worker. Task indices start at 0, attempts at 1. It
// fails if the array is malformed or doesn't have the task.
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

// jobNumber returns the value of SLURM_JOB_ID: a task of an array has its own job
// number. All other tasks have the number of their job.
func (t *Task) jobNumber() uint64 {
	if t.inArray() {
		return t.Number + uint64(t.taskIndex)
	}
	return t.Number
}

// rank returns the task's index within its step. A batch script is the only task of its step.
func (t *Task) rank() int {
	if t.Step {
		return t.taskIndex
	}
	return 0
}

// Environ returns the task-specific environment variables, as NAME=VALUE.
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
