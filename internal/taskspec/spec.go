// Package taskspec has the descriptions of what jobs' tasks run, the service that keeps
// them, and its client: users upload a job's description, workers fetch it. A description
// never changes once it is stored, so every task of a job, and every repeat of one, runs the
// same. The package stores nothing itself; a Store does.
package taskspec

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/wallrack/wallrack/internal/slurmtask"
)

// MaxBytes bounds an uploaded description, script included.
const MaxBytes = 1 << 20

// pathPrefix begins the paths of descriptions; the job's id follows.
const pathPrefix = "/descriptions/"

var (
	// ErrNotFound means that no description was uploaded for the job.
	ErrNotFound = errors.New("no such description")
	// ErrDiffers means that another description was uploaded for the job.
	ErrDiffers = errors.New("the job has another description already")
)

// Spec is what a job's tasks run.
type Spec struct {
	Argv     []string          `json:"argv"`             // the program and its arguments
	Env      map[string]string `json:"env,omitempty"`    // added to the worker's own environment
	Dir      string            `json:"dir,omitempty"`    // working directory; the task's own if empty
	Script   string            `json:"script,omitempty"` // written to a file whose path goes behind Argv
	Args     []string          `json:"args,omitempty"`   // go behind the script
	CPUs     float64           `json:"cpus"`             // what a task takes of its worker
	GPUs     float64           `json:"gpus,omitempty"`
	MemoryGB float64           `json:"memoryGb,omitempty"`

	Slurm *slurmtask.Context `json:"slurm,omitempty"` // of a Slurm-style job
}

// Check returns what is wrong with a description, beginning with the field, or nil.
func (s *Spec) Check() error {
	switch {
	case len(s.Argv) == 0 || s.Argv[0] == "":
		return errors.New("argv: a program is needed")
	case !(s.CPUs > 0):
		return errors.New("cpus: must be above 0")
	case s.GPUs < 0 || s.MemoryGB < 0:
		return errors.New("gpus, memoryGb: must not be negative")
	case s.Dir != "" && !strings.HasPrefix(s.Dir, "/"):
		return errors.New("dir: must be an absolute path")
	}
	if s.Slurm != nil {
		if _, err := s.Slurm.NewTask(0, 1, ""); err != nil {
			return fmt.Errorf("slurm: %w", err)
		}
	}
	for _, arg := range slices.Concat(s.Argv, s.Args) {
		if strings.ContainsRune(arg, 0) {
			return errors.New("argv: holds a zero byte")
		}
	}
	for name, value := range s.Env {
		if name == "" || strings.ContainsAny(name, "=\x00") || strings.ContainsRune(value, 0) {
			return fmt.Errorf("env: %q can't be set", name)
		}
	}
	return nil
}
