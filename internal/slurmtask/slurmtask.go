// Package slurmtask is what a task of a Slurm-style job finds on its machine: the
// SLURM_* variables, and the files that its output goes to. It is pure.
package slurmtask

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/wallrack/wallrack/internal/jobspec"
)

// Context is what a job's description says for this.
type Context struct {
	Number  uint64 `json:"number"`
	Tasks   int    `json:"tasks"`
	Array   string `json:"array,omitempty"` // indices; "": not an array
	Name    string `json:"name,omitempty"`
	User    string `json:"user,omitempty"`
	Output  string `json:"output,omitempty"` // patterns; "": none
	Error   string `json:"error,omitempty"`  // "": with the output
	Step    bool   `json:"step,omitempty"`   // tasks are those of one step, as srun's are
	Cluster string `json:"cluster,omitempty"`
}

// Task is one of a job's tasks on its machine.
type Task struct {
	*Context
	n       int
	attempt uint64
	machine string
	index   int // of an array, or -1
	array   jobspec.Ranges
}

// Of returns the task n of a job.
func (c *Context) Of(n int, attempt uint64, machine string) (*Task, error) {
	t := &Task{Context: c, n: n, attempt: attempt, machine: machine, index: -1}
	if c.Array != "" {
		r, err := jobspec.ParseRanges(c.Array)
		if err != nil {
			return nil, fmt.Errorf("array: %w", err)
		}
		t.array, t.index = r, r.At(n)
		if t.index < 0 {
			return nil, fmt.Errorf("array: %s has no task %d", c.Array, n)
		}
	}
	return t, nil
}

// id is the task's own job number.
func (t *Task) id() uint64 {
	if t.index < 0 {
		return t.Number
	}
	return t.Number + uint64(t.n)
}

// Environ lists the variables that differ from task to task.
func (t *Task) Environ() []string {
	u := func(n uint64) string { return strconv.FormatUint(n, 10) }
	rank := 0
	if t.Step {
		rank = t.n
	}
	vars := [][2]string{
		{"SLURM_JOB_ID", u(t.id())}, {"SLURM_JOBID", u(t.id())}, {"SLURM_JOB_NAME", t.Name}, {"SLURM_JOB_USER", t.User}, {"SLURM_CLUSTER_NAME", t.Cluster},
		{"SLURM_JOB_NODELIST", t.machine}, {"SLURM_NODELIST", t.machine}, {"SLURMD_NODENAME", t.machine},
		{"SLURM_JOB_NUM_NODES", "1"}, {"SLURM_NNODES", "1"}, {"SLURM_NODEID", "0"}, {"SLURM_LOCALID", "0"}, {"SLURM_PROCID", strconv.Itoa(rank)},
	}
	if t.attempt > 1 {
		vars = append(vars, [2]string{"SLURM_RESTART_COUNT", u(t.attempt - 1)})
	}
	if t.index >= 0 {
		least, most := t.array.Bounds()
		vars = append(vars, [][2]string{
			{"SLURM_ARRAY_JOB_ID", u(t.Number)}, {"SLURM_ARRAY_TASK_ID", strconv.Itoa(t.index)}, {"SLURM_ARRAY_TASK_COUNT", strconv.Itoa(t.Tasks)},
			{"SLURM_ARRAY_TASK_MIN", strconv.Itoa(least)}, {"SLURM_ARRAY_TASK_MAX", strconv.Itoa(most)}, {"SLURM_ARRAY_TASK_STEP", strconv.Itoa(t.array.Step())},
		}...)
	}
	out := make([]string, len(vars))
	for i, v := range vars {
		out[i] = v[0] + "=" + v[1]
	}
	return out
}

// Files returns where standard output and error go, "" for nowhere; dir is the
// task's working directory.
func (t *Task) Files(dir string) (stdout, stderr string) {
	at := func(pattern string) string {
		if pattern == "" {
			return ""
		}
		f := t.expand(pattern)
		if !filepath.IsAbs(f) {
			f = filepath.Join(dir, f)
		}
		return f
	}
	stdout, stderr = at(t.Output), at(t.Error)
	if stderr == "" {
		stderr = stdout
	}
	return stdout, stderr
}

// expand fills a file name pattern, as sbatch's manual has it: a number between
// the sign and the letter pads with zeros, and a backslash keeps all as it is.
func (t *Task) expand(pattern string) string {
	if strings.Contains(pattern, `\`) {
		return strings.ReplaceAll(pattern, `\`, "")
	}
	var b strings.Builder
	for i := 0; i < len(pattern); i++ {
		if pattern[i] != '%' {
			b.WriteByte(pattern[i])
			continue
		}
		k := i + 1
		for k < len(pattern) && pattern[k] >= '0' && pattern[k] <= '9' {
			k++
		}
		if k == len(pattern) {
			b.WriteString(pattern[i:])
			break
		}
		width, _ := strconv.Atoi(pattern[i+1 : k]) // none: 0
		if v, ok := t.letter(pattern[k]); ok {
			if pad := min(width, 10) - len(v); pad > 0 && v != "" && v[0] >= '0' && v[0] <= '9' {
				b.WriteString(strings.Repeat("0", pad))
			}
			b.WriteString(v)
		} else {
			b.WriteString(pattern[i : k+1])
		}
		i = k
	}
	return b.String()
}

func (t *Task) letter(c byte) (string, bool) {
	switch c {
	case '%':
		return "%", true
	case 'A':
		return strconv.FormatUint(t.Number, 10), true
	case 'a':
		if t.index < 0 {
			return "4294967294", true // as Slurm has it where there is no array
		}
		return strconv.Itoa(t.index), true
	case 'j':
		return strconv.FormatUint(t.id(), 10), true
	case 'x':
		return t.Name, true
	case 'u':
		return t.User, true
	case 'N':
		return t.machine, true
	case 'n':
		return "0", true
	case 't':
		if t.Step {
			return strconv.Itoa(t.n), true
		}
		return "0", true
	case 's':
		if t.Step {
			return "0", true
		}
		return "batch", true
	}
	return "", false
}
