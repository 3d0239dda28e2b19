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

// Steps that a stepError names as Slurm's commands do.
const (
	stepSubmit = "Batch job submission failed"
	stepList   = "Unable to contact the site, or not to the end of the list"
)

// stepError is the failure of a step of a command, in Slurm's words, with its cause.
type stepError struct {
	step string
	err  error
}

func (e *stepError) Error() string { return e.step + ": " + e.err.Error() }
func (e *stepError) Unwrap() error { return e.err }

var (
	errOver         error = &slurm.Usage{Why: "Job/step already completing or completed"}
	errInvalidJobID error = &slurm.Usage{Why: "Invalid job id specified"}
)
