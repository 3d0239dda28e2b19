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

// Request is a submission translated to wallrack's terms.
type Request struct {
	Job         wire.Job
	Constraints jobspec.Constraints
	Spec        taskspec.Spec
}

// Invocation describes the program that a submission runs, and the user, host and working
// directory from which it is submitted.
type Invocation struct {
	Script     string   // sbatch: text of the script, including its #! line
	Argv       []string // srun: the program and its arguments; sbatch: the script's arguments
	ScriptName string   // file name of the script; its last element is the default job name
	Env        []string // the user's environment variables, as NAME=VALUE
	Dir        string   // the user's working directory
	User       string
	Host       string // submitting host, for the tasks' environment; may be ""
}

// Run time estimate of jobs without a time limit, and memory of jobs that request no amount.
// They equal the defaults of wallctl submit.
const (
	defaultEstimateS = 30
	defaultMemoryGB  = 0.5
)

// Translate translates a submission to a wallrack job. The caller assigns the job's uid and
// number. The error is a *UsageError.
func Translate(cmd Command, o *Options, w *Invocation, site *jobquery.Site, now time.Time) (*Request, error) {
	r := &Request{}
	job := &r.Job
	job.Kind, job.Image, job.Tasks, job.EstimateS, job.Spot = wire.KindArray, "none", 1, defaultEstimateS, o.Spot
	if o.LimitS > 0 {
		job.EstimateS = o.LimitS
	}
	if err := setClassTeamPriority(job, o, site); err != nil {
		return nil, err
	}
	if err := selectNodes(job, o, site); err != nil {
		return nil, err
	}
	if err := r.setResources(cmd, o); err != nil {
		return nil, err
	}
	if err := r.setConstraints(o, w, now); err != nil {
		return nil, err
	}
	r.setSpec(cmd, o, w, site)
	if err := r.Spec.Check(); err != nil {
		return nil, &UsageError{Message: err.Error()}
	}
	return r, nil
}

// setClassTeamPriority sets the job's class, team and priority. It fails if the site doesn't have
// the class or the team, or if the value of --qos is not a priority.
func setClassTeamPriority(job *wire.Job, o *Options, site *jobquery.Site) (err error) {
	job.Class, job.Team = cmp.Or(o.Partition, site.Class), cmp.Or(o.Account, site.Team)
	if !slices.Contains(site.Classes, job.Class) {
		return &UsageError{Option: "partition", Message: fmt.Sprintf("invalid partition specified: %s (there are %s)", job.Class, strings.Join(site.Classes, ", "))}
	}
	if !slices.Contains(site.Teams, job.Team) {
		return &UsageError{Option: "account", Message: fmt.Sprintf("Invalid account or account/partition combination specified: %s (there are %s)", job.Team, strings.Join(site.Teams, ", "))}
	}
	job.Priority, err = priority(o)
	return err
}

// setConstraints sets the job's name, user and array, and the conditions under which it may
// start and has to end. It fails if the dependency is malformed, or if the deadline is not after
// both now and the time of --begin.
func (r *Request) setConstraints(o *Options, w *Invocation, now time.Time) (err error) {
	c := &r.Constraints
	c.Name, c.User, c.Held, c.BeginMs, c.LimitS, c.NoRetry = o.Name, w.User, o.Hold, o.BeginMs, o.LimitS, true
	c.Array, c.MaxConcurrent, c.CancelIfUnsatisfiable = o.Array, o.MaxConcurrent, o.KillInvalid
	if o.DeadlineMs > 0 {
		if o.DeadlineMs <= max(now.UnixMilli(), o.BeginMs) {
			return &UsageError{Option: "deadline", Message: "is over before the job could begin"}
		}
		c.DeadlineMs = o.DeadlineMs
		dueS := float64(o.DeadlineMs-now.UnixMilli()) / 1000
		r.Job.DueS = &dueS
	}
	if o.Dependency != "" {
		if c.Dependencies, c.AnyDependency, err = parseDependency(o.Dependency); err != nil {
			return &UsageError{Option: "dependency", Message: err.Error()}
		}
	}
	return nil
}

// priority returns the priority that --qos requests, "normal" by default. Every user may request
// every priority. Any positive nice value selects the next lower priority.
func priority(o *Options) (string, error) {
	ascending := []string{"low", "normal", "urgent", "production"}
	qos := cmp.Or(o.QOS, "normal")
	index := slices.Index(ascending, qos)
	if index < 0 {
		return "", &UsageError{Option: "qos", Message: fmt.Sprintf("Invalid qos specification: %s (there are %s)", qos, strings.Join(ascending, ", "))}
	}
	if o.Nice > 0 {
		index = max(0, index-1)
	}
	return ascending[index], nil
}

// setResources sets the number of the job's tasks and the resources of each. With sbatch, each
// batch script is one wallrack task with the resources of all --ntasks tasks. With srun, each of
// the --ntasks tasks is a wallrack task. It fails if srun's GPUs can't be divided evenly
// among the tasks, or if there are more than wire.MaxTasksPerJob tasks.
func (r *Request) setResources(cmd Command, o *Options) error {
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
		return &UsageError{Option: "gpus", Message: fmt.Sprintf("%d can't be shared evenly by %d tasks", o.GPUs, o.Tasks)}
	case cmd == Srun:
		job.GPUs = float64(o.GPUs / o.Tasks)
	default:
		job.GPUs = float64(o.GPUs)
	}
	return nil
}

// setTasks sets the number of the job's tasks and returns how many Slurm tasks run in each of them.
// It makes an srun job of several tasks a gang.
func (r *Request) setTasks(cmd Command, o *Options) (slurmTasksPerTask int, err error) {
	job, option := &r.Job, "array"
	switch {
	case cmd != Sbatch:
		option, slurmTasksPerTask = "ntasks", 1
		if job.Tasks = o.Tasks; job.Tasks > 1 {
			job.Kind = wire.KindGang // the tasks of a step run at the same time
		}
	case o.Array == "":
		slurmTasksPerTask = o.Tasks
	default:
		slurmTasksPerTask = o.Tasks
		indices, err := jobspec.ParseRanges(o.Array)
		if err != nil {
			return 0, &UsageError{Option: "array", Message: err.Error()}
		}
		job.Tasks = indices.Len()
	}
	if job.Tasks > wire.MaxTasksPerJob {
		return 0, &UsageError{Option: option, Message: fmt.Sprintf("more than %d tasks", wire.MaxTasksPerJob)}
	}
	return slurmTasksPerTask, nil
}
