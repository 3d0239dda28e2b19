// Package taskspec has the descriptions of what jobs' tasks run, and the service that
// keeps them: users upload a job's description, workers fetch it. A description never
// changes once it is stored, so every task of a job, and every repeat of one, runs the
// same.
package taskspec

import (
	"errors"
	"fmt"
	"strings"

	"github.com/wallrack/wallrack/internal/slurmtask"
)

// MaxBytes bounds a description, script included.
const MaxBytes = 1 << 20

// pathPrefix begins the paths of descriptions; the job's id follows.
const pathPrefix = "/descriptions/"

var (
	// ErrNotFound: no description was uploaded for the job.
	ErrNotFound = errors.New("no such description")
	// ErrDiffers: another description was uploaded for the job.
	ErrDiffers = errors.New("the job has another description already")
)

// Spec is what a job's tasks run.
type Spec struct {
	Argv     []string          `json:"argv"`             // the program and its arguments
	Env      map[string]string `json:"env,omitempty"`    // added to the worker's own environment
	Dir      string            `json:"dir,omitempty"`    // working directory; the task's own if empty
	Script   string            `json:"script,omitempty"` // written to a file whose path goes behind Argv
	Args     []string          `json:"args,omitempty"`   // go behind the script
	CPUs     float64           `json:"cpus"`             // what a task takes of its machine
	GPUs     float64           `json:"gpus,omitempty"`
	MemoryGB float64           `json:"memoryGb,omitempty"`

	Slurm *slurmtask.Context `json:"slurm,omitempty"` // of a Slurm-style job
}

// Check says what is wrong with a description.
func (d *Spec) Check() error {
	switch {
	case len(d.Argv) == 0 || d.Argv[0] == "":
		return errors.New("argv: a program is needed")
	case !(d.CPUs > 0):
		return errors.New("cpus: must be above 0")
	case d.GPUs < 0 || d.MemoryGB < 0:
		return errors.New("gpus, memoryGb: must not be negative")
	case d.Dir != "" && !strings.HasPrefix(d.Dir, "/"):
		return errors.New("dir: must be an absolute path")
	}
	if d.Slurm != nil {
		if _, err := d.Slurm.Of(0, 1, ""); err != nil {
			return fmt.Errorf("slurm: %w", err)
		}
	}
	for _, a := range append(append([]string(nil), d.Argv...), d.Args...) {
		if strings.ContainsRune(a, 0) {
			return errors.New("argv: holds a zero byte")
		}
	}
	for k, v := range d.Env {
		if k == "" || strings.ContainsAny(k, "=\x00") || strings.ContainsRune(v, 0) {
			return fmt.Errorf("env: %q can't be set", k)
		}
	}
	return nil
}
