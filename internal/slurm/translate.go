package slurm

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// Request is a submission as wallrack has it.
type Request struct {
	Job         wire.Job
	Constraints jobspec.Constraints
	Spec        taskspec.Spec
}

// Work is what a submission runs, and who submits it from where.
type Work struct {
	Script string   // of sbatch, its first line included
	Argv   []string // srun: the program with its arguments; sbatch: arguments of the script
	File   string   // the script's name, from which the job has its name
	Env    []string // NAME=VALUE, of the user
	Dir    string   // the user's working directory
	User   string
	Host   string // for the tasks' environment; may be ""
}

// Defaults of jobs without a time limit or an amount of memory, the same as wallctl submit's.
const (
	defaultEstimateS = 30
	defaultMemoryGB  = 0.5
)

// Translate returns the job of a submission. Its uid and number are left to the caller. The
// error is a *UsageError.
func Translate(cmd Command, o *Options, w *Work, site *jobquery.Site, now time.Time) (*Request, error) {
	r := &Request{}
	job := &r.Job
	job.Kind, job.Image, job.Tasks, job.EstimateS, job.Spot = wire.KindArray, "none", 1, defaultEstimateS, o.Spot
	if o.LimitS > 0 {
		job.EstimateS = o.LimitS
	}
	if err := setOwnership(job, o, site); err != nil {
		return nil, err
	}
	if err := selectNodes(job, o, site); err != nil {
		return nil, err
	}
	if err := r.setSize(cmd, o); err != nil {
		return nil, err
	}
	if err := r.setConstraints(o, w, now); err != nil {
		return nil, err
	}
	r.describe(cmd, o, w, site)
	if err := r.Spec.Check(); err != nil {
		return nil, &UsageError{Why: err.Error()}
	}
	return r, nil
}

// setOwnership sets class, team and priority, which must exist at the site.
func setOwnership(job *wire.Job, o *Options, site *jobquery.Site) (err error) {
	job.Class, job.Team = cmp.Or(o.Partition, site.Class), cmp.Or(o.Account, site.Team)
	if !slices.Contains(site.Classes, job.Class) {
		return &UsageError{Option: "partition", Why: fmt.Sprintf("invalid partition specified: %s (there are %s)", job.Class, strings.Join(site.Classes, ", "))}
	}
	if !slices.Contains(site.Teams, job.Team) {
		return &UsageError{Option: "account", Why: fmt.Sprintf("Invalid account or account/partition combination specified: %s (there are %s)", job.Team, strings.Join(site.Teams, ", "))}
	}
	job.Priority, err = priority(o)
	return err
}

// setConstraints sets when the job may start and end.
func (r *Request) setConstraints(o *Options, w *Work, now time.Time) (err error) {
	c := &r.Constraints
	c.Name, c.User, c.Held, c.BeginMs, c.LimitS, c.NoRetry = o.Name, w.User, o.Hold, o.BeginMs, o.LimitS, true
	c.Array, c.MaxConcurrent, c.CancelIfUnsatisfiable = o.Array, o.MaxConcurrent, o.KillInvalid
	if o.DeadlineMs > 0 {
		if o.DeadlineMs <= max(now.UnixMilli(), o.BeginMs) {
			return &UsageError{Option: "deadline", Why: "is over before the job could begin"}
		}
		c.DeadlineMs = o.DeadlineMs
		dueS := float64(o.DeadlineMs-now.UnixMilli()) / 1000
		r.Job.DueS = &dueS
	}
	if o.Dependency != "" {
		if c.Dependencies, c.AnyDependency, err = parseDependency(o.Dependency); err != nil {
			return &UsageError{Option: "dependency", Why: err.Error()}
		}
	}
	return nil
}

// priority returns the priority of a quality of service, which is the same for everyone. A
// positive nice value means the next lower priority.
func priority(o *Options) (string, error) {
	order := []string{"low", "normal", "urgent", "production"}
	qos := cmp.Or(o.QOS, "normal")
	at := slices.Index(order, qos)
	if at < 0 {
		return "", &UsageError{Option: "qos", Why: fmt.Sprintf("Invalid qos specification: %s (there are %s)", qos, strings.Join(order, ", "))}
	}
	if o.Nice > 0 {
		at = max(0, at-1)
	}
	return order[at], nil
}

// setSize sets the number of tasks and what each takes. A batch script is one task with room
// for all of its steps; each task of a step is a task of the job.
func (r *Request) setSize(cmd Command, o *Options) error {
	job := &r.Job
	steps, err := r.setTasks(cmd, o)
	if err != nil {
		return err
	}
	job.CPUs = float64(steps * o.CPUs)
	job.MemoryGB = defaultMemoryGB
	switch {
	case o.MemoryMB > 0:
		job.MemoryGB = o.MemoryMB / 1024
	case o.MemoryPerCPUMB > 0:
		job.MemoryGB = o.MemoryPerCPUMB / 1024 * job.CPUs
	}
	switch {
	case o.GPUsPerTask:
		job.GPUs = float64(steps * o.GPUs)
	case cmd == Srun && o.GPUs%o.Tasks != 0:
		return &UsageError{Option: "gpus", Why: fmt.Sprintf("%d can't be shared evenly by %d tasks", o.GPUs, o.Tasks)}
	case cmd == Srun:
		job.GPUs = float64(o.GPUs / o.Tasks)
	default:
		job.GPUs = float64(o.GPUs)
	}
	return nil
}

// setTasks sets the number of the job's tasks and returns how many of Slurm's each is.
func (r *Request) setTasks(cmd Command, o *Options) (perTask int, err error) {
	job, option := &r.Job, "array"
	switch {
	case cmd != Sbatch:
		option, perTask = "ntasks", 1
		if job.Tasks = o.Tasks; job.Tasks > 1 {
			job.Kind = wire.KindGang // a step's tasks run together
		}
	case o.Array == "":
		perTask = o.Tasks
	default:
		perTask = o.Tasks
		indices, err := jobspec.ParseRanges(o.Array)
		if err != nil {
			return 0, &UsageError{Option: "array", Why: err.Error()}
		}
		job.Tasks = indices.Len()
	}
	if job.Tasks > wire.MaxTasksPerJob {
		return 0, &UsageError{Option: option, Why: fmt.Sprintf("more than %d tasks", wire.MaxTasksPerJob)}
	}
	return perTask, nil
}
