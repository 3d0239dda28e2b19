// Package taskspec defines task descriptions, which say what the tasks of a job run. It also
// contains the HTTP service for descriptions and its client: users upload a job's description, and
// workers fetch it. A stored description never changes, so that all tasks of a job and all their
// attempts run the same program. The descriptions are stored by an implementation of Store, which
// is not part of the package.
package taskspec

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/wallrack/wallrack/internal/slurmtask"
)

// MaxBytes is the maximum size of an uploaded description, including its script.
const MaxBytes = 1 << 20

// pathPrefix is the path of descriptions; the job's id follows.
const pathPrefix = "/descriptions/"

var (
	// ErrNotFound means that no description is stored for the job.
	ErrNotFound = errors.New("no such description")
	// ErrConflict means that a different description is stored for the job.
	ErrConflict = errors.New("the job has another description already")
)

// Spec describes what the tasks of a job run.
type Spec struct {
	Argv     []string          `json:"argv"`             // the program and its first arguments
	Env      map[string]string `json:"env,omitempty"`    // added to the worker's environment
	Dir      string            `json:"dir,omitempty"`    // working directory; the task's own if empty
	Script   string            `json:"script,omitempty"` // written to a file whose path is appended to Argv
	Args     []string          `json:"args,omitempty"`   // appended after the script's path
	CPUs     float64           `json:"cpus"`             // resources that each task uses on its worker
	GPUs     float64           `json:"gpus,omitempty"`
	MemoryGB float64           `json:"memoryGb,omitempty"`

	Slurm *slurmtask.Context `json:"slurm,omitempty"` // for jobs submitted through the Slurm-style interface
}

// Check returns the first error in a description, prefixed with the field's name, or nil.
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
