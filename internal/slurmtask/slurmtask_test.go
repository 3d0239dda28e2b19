package slurmtask_test

import (
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/slurmtask"
)

// The variables and files of array tasks and step tasks are as defined in sbatch's manual.
func TestEnvironAndFilesOfArrayAndStepTasks(t *testing.T) {
	c := &slurmtask.Context{Number: 40, Tasks: 3, Array: "2-6:2", Name: "tips", User: "erin", Output: "%x-%A_%03a.%j.out", Error: "/log/%N/%u.%%.err", Cluster: "c"}
	task, err := c.NewTask(2, 2, "n-7")
	if err != nil {
		t.Fatal(err)
	}
	env := "\n" + strings.Join(task.Environ(), "\n") + "\n"
	for _, want := range []string{
		"SLURM_JOB_ID=42", "SLURM_JOBID=42", "SLURM_ARRAY_JOB_ID=40", "SLURM_ARRAY_TASK_ID=6", "SLURM_ARRAY_TASK_COUNT=3", "SLURM_ARRAY_TASK_MIN=2",
		"SLURM_ARRAY_TASK_MAX=6", "SLURM_ARRAY_TASK_STEP=2", "SLURM_RESTART_COUNT=1", "SLURM_PROCID=0", "SLURMD_NODENAME=n-7", "SLURM_JOB_NAME=tips", "SLURM_JOB_USER=erin",
	} {
		if !strings.Contains(env, "\n"+want+"\n") {
			t.Errorf("%s is missing in%s", want, env)
		}
	}
	if out, errs := task.Files("/d"); out != "/d/tips-40_006.42.out" || errs != "/log/n-7/erin.%.err" {
		t.Errorf("%s and %s", out, errs)
	}
	if _, err := c.NewTask(3, 1, "n-7"); err == nil {
		t.Error("a fourth task of an array of three is accepted")
	}
	step := &slurmtask.Context{Number: 50, Tasks: 2, Step: true, Output: `\%j`, Error: "%t.%s.%q"}
	task, err = step.NewTask(1, 1, "n-7")
	if err != nil {
		t.Fatal(err)
	}
	if env := strings.Join(task.Environ(), " "); !strings.Contains(env, "SLURM_PROCID=1") || strings.Contains(env, "ARRAY") || strings.Contains(env, "RESTART") || !strings.Contains(env, "SLURM_JOB_ID=50 ") {
		t.Error(env)
	}
	if out, errs := task.Files("/d"); out != "/d/%j" || errs != "/d/1.0.%q" {
		t.Errorf("%s and %s", out, errs)
	}
}

// A short pattern doesn't expand to a long file name: the pattern's length limits the name's length.
func FuzzPattern(f *testing.F) {
	f.Add("%A_%a.%9999999999j%")
	f.Fuzz(func(t *testing.T, pattern string) {
		task, err := (&slurmtask.Context{Number: 1, Tasks: 1, Output: pattern}).NewTask(0, 1, "n")
		if err != nil {
			t.Fatal(err)
		}
		if out, _ := task.Files("/d"); len(out) > 20*len(pattern)+20 {
			t.Errorf("%q expands to %d bytes", pattern, len(out))
		}
	})
}
