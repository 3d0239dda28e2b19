package slurm

import (
	"fmt"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/slurmtask"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// Request is a submission in wallrack's own words.
type Request struct {
	Job         wire.Job
	Terms       jobspec.Constraints
	Description taskspec.Spec
}

// Work is what shall run, and who asks from where.
type Work struct {
	Script string   // of sbatch, its first line included
	Argv   []string // of srun: the program; of sbatch: arguments of the script
	File   string   // the script's name, for the job's
	Env    []string // of the user
	Dir    string   // where the user is
	User   string
	Host   string
}

// defaultEstimate and defaultMemoryGB are taken where nothing is said, as wallctl
// submit has them.
const (
	defaultEstimate = 30
	defaultMemoryGB = 0.5
)

// Translate makes a job of what was asked. The job's id and number are the caller's
// to fill in.
func Translate(cmd Command, o *Options, w *Work, site *jobquery.Site, now time.Time) (*Request, error) {
	r := &Request{}
	j := &r.Job
	j.Kind, j.Image, j.Tasks, j.Estimate, j.Spot = wire.KindArray, "none", 1, defaultEstimate, o.Spot
	if o.LimitS > 0 {
		j.Estimate = o.LimitS
	}
	j.Class, j.Team = o.Partition, o.Account
	if j.Class == "" {
		j.Class = site.Class
	}
	if j.Team == "" {
		j.Team = site.Team
	}
	if !slices.Contains(site.Classes, j.Class) {
		return nil, &Usage{Option: "partition", Why: fmt.Sprintf("invalid partition specified: %s (there are %s)", j.Class, strings.Join(site.Classes, ", "))}
	}
	if !slices.Contains(site.Teams, j.Team) {
		return nil, &Usage{Option: "account", Why: fmt.Sprintf("Invalid account or account/partition combination specified: %s (there are %s)", j.Team, strings.Join(site.Teams, ", "))}
	}
	var err error
	if j.Priority, err = priority(o); err != nil {
		return nil, err
	}
	if err := places(o, j, site); err != nil {
		return nil, err
	}
	if err := r.size(cmd, o); err != nil {
		return nil, err
	}
	t := &r.Terms
	t.Name, t.User, t.Held, t.BeginMs, t.LimitS, t.NoRetry = o.Name, w.User, o.Hold, o.BeginMs, o.LimitS, true
	t.Array, t.MaxConcurrent, t.CancelIfUnsatisfiable = o.Array, o.Most, o.KillInvalid
	if o.DeadlineMs > 0 {
		if o.DeadlineMs <= max(now.UnixMilli(), o.BeginMs) {
			return nil, &Usage{Option: "deadline", Why: "is over before the job could begin"}
		}
		t.DeadlineMs = o.DeadlineMs
		due := float64(o.DeadlineMs-now.UnixMilli()) / 1000
		j.DueS = &due
	}
	if o.Dependency != "" {
		if t.Dependencies, t.AnyDependency, err = parseDependency(o.Dependency); err != nil {
			return nil, &Usage{Option: "dependency", Why: err.Error()}
		}
	}
	r.describe(cmd, o, w, site)
	if err := r.Description.Check(); err != nil {
		return nil, &Usage{Why: err.Error()}
	}
	return r, nil
}

// priority reads the quality of service: the priorities are the same for everyone,
// and a nice job only steps back.
func priority(o *Options) (string, error) {
	order := []string{"low", "normal", "urgent", "production"}
	q := o.QOS
	if q == "" {
		q = "normal"
	}
	at := slices.Index(order, q)
	if at < 0 {
		return "", &Usage{Option: "qos", Why: fmt.Sprintf("Invalid qos specification: %s (there are %s)", q, strings.Join(order, ", "))}
	}
	if o.Nice > 0 {
		at = max(0, at-1)
	}
	return order[at], nil
}

// places reads the lists of machine types and zones.
func places(o *Options, j *wire.Job, site *jobquery.Site) error {
	var types []string
	for _, t := range site.Types {
		types = append(types, t.Name)
	}
	sort := func(option string, names []string) (ts, zs []string, err error) {
		for _, n := range names {
			switch {
			case slices.Contains(types, n):
				ts = append(ts, n)
			case slices.Contains(site.Zones, n):
				zs = append(zs, n)
			default:
				return nil, nil, &Usage{Option: option, Why: fmt.Sprintf("%s is no machine type (%s) and no zone (%s)", n, strings.Join(types, ", "), strings.Join(site.Zones, ", "))}
			}
		}
		return ts, zs, nil
	}
	with, zones, err := sort("nodelist", o.With)
	if err != nil {
		return err
	}
	without, noZones, err := sort("exclude", o.Without)
	if err != nil {
		return err
	}
	if len(without) > 0 {
		if with == nil {
			with = slices.Clone(types)
		}
		with = slices.DeleteFunc(with, func(t string) bool { return slices.Contains(without, t) })
		if len(with) == 0 {
			return &Usage{Option: "exclude", Why: "leaves no machine type"}
		}
	}
	j.Types = with
	if len(noZones) > 0 {
		if zones == nil {
			zones = slices.Clone(site.Zones)
		}
		zones = slices.DeleteFunc(zones, func(z string) bool { return slices.Contains(noZones, z) })
	}
	switch {
	case len(zones) == 1:
		j.Zone = &zones[0]
	case len(zones) == 0 && len(noZones) > 0:
		return &Usage{Option: "exclude", Why: "leaves no zone"}
	case len(zones) > 1 && len(zones) < len(site.Zones):
		return &Usage{Option: "nodelist", Why: fmt.Sprintf("a job is bound to one zone or to none, not to %s", strings.Join(zones, ", "))}
	}
	return nil
}

// size says what a task takes. A batch script is one task that has room for all of
// its steps; a step's tasks are tasks of their own.
func (r *Request) size(cmd Command, o *Options) error {
	j := &r.Job
	tasks := 1
	if cmd == Sbatch {
		tasks = o.Tasks
		if o.Array != "" {
			indices, err := jobspec.ParseRanges(o.Array)
			if err != nil {
				return &Usage{Option: "array", Why: err.Error()}
			}
			if j.Tasks = indices.Len(); j.Tasks > wire.MaxTasks {
				return &Usage{Option: "array", Why: fmt.Sprintf("more than %d tasks", wire.MaxTasks)}
			}
		}
	} else {
		if j.Tasks = o.Tasks; j.Tasks > 1 {
			j.Kind = wire.KindGang // a step's tasks run together
		}
		if j.Tasks > wire.MaxTasks {
			return &Usage{Option: "ntasks", Why: fmt.Sprintf("more than %d tasks", wire.MaxTasks)}
		}
	}
	j.CPUs = float64(tasks * o.CPUs)
	j.MemoryGB = defaultMemoryGB
	switch {
	case o.MemoryMB > 0:
		j.MemoryGB = o.MemoryMB / 1024
	case o.MemoryPerCPUMB > 0:
		j.MemoryGB = o.MemoryPerCPUMB / 1024 * j.CPUs
	}
	switch {
	case o.GPUsPerTask:
		j.GPUs = float64(tasks * o.GPUs)
	case cmd == Srun && o.GPUs%o.Tasks != 0:
		return &Usage{Option: "gpus", Why: fmt.Sprintf("%d can't be shared evenly by %d tasks", o.GPUs, o.Tasks)}
	case cmd == Srun:
		j.GPUs = float64(o.GPUs / o.Tasks)
	default:
		j.GPUs = float64(o.GPUs)
	}
	return nil
}

// describe says what runs.
func (r *Request) describe(cmd Command, o *Options, w *Work, site *jobquery.Site) {
	j, t, d := &r.Job, &r.Terms, &r.Description
	d.CPUs, d.GPUs, d.MemoryGB = j.CPUs, j.GPUs, j.MemoryGB
	d.Dir = w.Dir
	if o.Dir != "" {
		if d.Dir = o.Dir; !filepath.IsAbs(d.Dir) {
			d.Dir = filepath.Join(w.Dir, o.Dir)
		}
	}
	c := &slurmtask.Context{Tasks: j.Tasks, Array: t.Array, User: t.User, Output: o.Output, Error: o.Error, Step: cmd == Srun, Cluster: site.Cluster}
	if cmd == Sbatch {
		script := w.Script
		if o.Wrap != "" {
			script = "#!/bin/sh\n# This script was created by sbatch --wrap.\n\n" + o.Wrap + "\n"
			if t.Name == "" {
				t.Name = "wrap"
			}
		}
		line, _, _ := strings.Cut(strings.TrimPrefix(script, "#!"), "\n")
		interpreter, arg, _ := strings.Cut(strings.TrimSpace(line), " ")
		d.Argv = []string{interpreter}
		if arg = strings.TrimSpace(arg); arg != "" {
			d.Argv = append(d.Argv, arg)
		}
		d.Script, d.Args = script, w.Argv
		if t.Name == "" {
			t.Name = filepath.Base(w.File)
		}
		if c.Output == "" {
			c.Output = "slurm-%j.out"
			if t.Array != "" {
				c.Output = "slurm-%A_%a.out"
			}
		}
	} else {
		d.Argv = w.Argv
		if t.Name == "" && len(w.Argv) > 0 {
			t.Name = filepath.Base(w.Argv[0])
		}
	}
	c.Name = t.Name
	d.Slurm = c
	d.Env = exported(o.Export, w.Env)
	tasks := o.Tasks
	for k, v := range map[string]string{
		"SLURM_SUBMIT_DIR": w.Dir, "SLURM_SUBMIT_HOST": w.Host, "SLURM_JOB_PARTITION": j.Class, "SLURM_JOB_ACCOUNT": j.Team, "SLURM_JOB_QOS": j.Priority,
		"SLURM_NTASKS": strconv.Itoa(tasks), "SLURM_NPROCS": strconv.Itoa(tasks), "SLURM_CPUS_PER_TASK": strconv.Itoa(o.CPUs),
		"SLURM_CPUS_ON_NODE": strconv.Itoa(int(j.CPUs)), "SLURM_JOB_CPUS_PER_NODE": strconv.Itoa(int(j.CPUs)), "SLURM_TASKS_PER_NODE": strconv.Itoa(tasks),
	} {
		d.Env[k] = v
	}
	if o.MemoryMB > 0 {
		d.Env["SLURM_MEM_PER_NODE"] = strconv.Itoa(int(o.MemoryMB))
	}
	if o.MemoryPerCPUMB > 0 {
		d.Env["SLURM_MEM_PER_CPU"] = strconv.Itoa(int(o.MemoryPerCPUMB))
	}
	if j.GPUs > 0 {
		d.Env["SLURM_GPUS"] = strconv.Itoa(int(j.GPUs))
		d.Env["SLURM_GPUS_ON_NODE"] = strconv.Itoa(int(j.GPUs))
	}
}

// exported picks the user's variables that --export asks for. What the user has of
// an enclosing job is not handed on.
func exported(ask string, env []string) map[string]string {
	all := map[string]string{}
	for _, e := range env {
		if k, v, ok := strings.Cut(e, "="); ok && k != "" && !strings.HasPrefix(k, "SLURM_") && !strings.HasPrefix(k, "SBATCH_") {
			all[k] = v
		}
	}
	out := map[string]string{}
	for _, part := range strings.Split(ask, ",") {
		switch k, v, given := strings.Cut(part, "="); {
		case part == "ALL":
			for k, v := range all {
				out[k] = v
			}
		case part == "NONE":
		case given:
			out[k] = v
		default:
			if v, ok := all[part]; ok {
				out[part] = v
			}
		}
	}
	return out
}
