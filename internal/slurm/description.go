package slurm

import (
	"cmp"
	"maps"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/slurmtask"
)

// setSpec sets the task spec: the program, its environment, working directory and output files.
func (r *Request) setSpec(cmd Command, o *Options, w *Invocation, site *jobquery.Site) {
	job, c, spec := &r.Job, &r.Constraints, &r.Spec
	spec.CPUs, spec.GPUs, spec.MemoryGB = job.CPUs, job.GPUs, job.MemoryGB
	spec.Dir = w.Dir
	if o.Dir != "" {
		if spec.Dir = o.Dir; !filepath.IsAbs(spec.Dir) {
			spec.Dir = filepath.Join(w.Dir, o.Dir)
		}
	}
	spec.Slurm = &slurmtask.Context{Tasks: job.Tasks, Array: c.Array, User: c.User, Output: o.Output, Error: o.Error, Step: cmd == Srun, Cluster: site.Cluster}
	if cmd == Sbatch {
		r.setScript(o, w)
	} else {
		spec.Argv = w.Argv
		if c.Name == "" && len(w.Argv) > 0 {
			c.Name = filepath.Base(w.Argv[0])
		}
	}
	spec.Slurm.Name = c.Name
	spec.Env = exportedEnv(o.Export, w.Env)
	r.addSlurmEnv(o, w)
}

// setScript sets the batch script, the interpreter named by its first line, and the defaults
// that depend on the script: the job's name and the output file.
func (r *Request) setScript(o *Options, w *Invocation) {
	c, spec := &r.Constraints, &r.Spec
	script := w.Script
	if o.Wrap != "" {
		script = "#!/bin/sh\n# This script was created by sbatch --wrap.\n\n" + o.Wrap + "\n"
		c.Name = cmp.Or(c.Name, "wrap")
	}
	line, _, _ := strings.Cut(strings.TrimPrefix(script, "#!"), "\n")
	interpreter, arg, _ := strings.Cut(strings.TrimSpace(line), " ")
	spec.Argv = []string{interpreter}
	if arg = strings.TrimSpace(arg); arg != "" {
		spec.Argv = append(spec.Argv, arg)
	}
	spec.Script, spec.Args = script, w.Argv
	if c.Name == "" {
		c.Name = filepath.Base(w.ScriptName)
	}
	if spec.Slurm.Output == "" {
		spec.Slurm.Output = "slurm-%j.out"
		if c.Array != "" {
			spec.Slurm.Output = "slurm-%A_%a.out"
		}
	}
}

// addSlurmEnv adds the environment variables that are the same for all tasks of a job. The
// worker adds the task-specific variables, using package slurmtask.
func (r *Request) addSlurmEnv(o *Options, w *Invocation) {
	job, env := &r.Job, r.Spec.Env
	maps.Copy(env, map[string]string{
		"SLURM_SUBMIT_DIR": w.Dir, "SLURM_SUBMIT_HOST": w.Host, "SLURM_JOB_PARTITION": job.Class, "SLURM_JOB_ACCOUNT": job.Team, "SLURM_JOB_QOS": job.Priority,
		"SLURM_NTASKS": strconv.Itoa(o.Tasks), "SLURM_NPROCS": strconv.Itoa(o.Tasks), "SLURM_CPUS_PER_TASK": strconv.Itoa(o.CPUs),
		"SLURM_CPUS_ON_NODE": strconv.Itoa(int(job.CPUs)), "SLURM_JOB_CPUS_PER_NODE": strconv.Itoa(int(job.CPUs)), "SLURM_TASKS_PER_NODE": strconv.Itoa(o.Tasks),
	})
	if o.MemoryMB > 0 {
		env["SLURM_MEM_PER_NODE"] = strconv.Itoa(int(o.MemoryMB))
	}
	if o.MemoryPerCPUMB > 0 {
		env["SLURM_MEM_PER_CPU"] = strconv.Itoa(int(o.MemoryPerCPUMB))
	}
	if job.GPUs > 0 {
		env["SLURM_GPUS"] = strconv.Itoa(int(job.GPUs))
		env["SLURM_GPUS_ON_NODE"] = strconv.Itoa(int(job.GPUs))
	}
}

// exportedEnv returns the variables that --export selects from the user's environment or sets as
// NAME=VALUE. It omits SLURM_* and SBATCH_* variables of the environment: if the user submits
// from within a job, they describe that other job.
func exportedEnv(export string, env []string) map[string]string {
	all := map[string]string{}
	for _, setting := range env {
		name, value, found := strings.Cut(setting, "=")
		if found && name != "" && !strings.HasPrefix(name, "SLURM_") && !strings.HasPrefix(name, "SBATCH_") {
			all[name] = value
		}
	}
	selected := map[string]string{}
	for _, part := range strings.Split(export, ",") {
		switch name, value, given := strings.Cut(part, "="); {
		case part == "ALL":
			maps.Copy(selected, all)
		case part == "NONE":
		case given:
			selected[name] = value
		default:
			if value, found := all[part]; found {
				selected[part] = value
			}
		}
	}
	return selected
}
