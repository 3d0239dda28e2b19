package main

import (
	"strconv"

	"github.com/wallrack/wallrack/internal/slurm"
)

// exitError ends the program with a job's own exit code.
type exitError struct{ code int }

func (e *exitError) Error() string { return "exit code " + strconv.Itoa(e.code) }

// slurmError is an error as Slurm's commands print it. Their exit code is 1.
type slurmError struct {
	command string
	err     error
}

func (e *slurmError) Error() string { return e.command + ": error: " + e.err.Error() }
func (e *slurmError) Unwrap() error { return e.err }

// What failed, as the start of a message in Slurm's words.
const (
	stepSubmit = "Batch job submission failed"
	stepList   = "Unable to contact the site, or not to the end of the list"
)

// Messages of Slurm that scripts compare.
var (
	errAlreadyOver  error = &slurm.UsageError{Message: "Job/step already completing or completed"}
	errInvalidJobID error = &slurm.UsageError{Message: "Invalid job id specified"}
)
