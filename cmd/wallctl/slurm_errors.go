package main

import (
	"strconv"

	"github.com/wallrack/wallrack/internal/slurm"
)

// exitError ends the program with the given exit code and without a message.
type exitError struct{ code int }

func (e *exitError) Error() string { return "exit code " + strconv.Itoa(e.code) }

// slurmError is an error in the format of Slurm's commands. The exit code is 1.
type slurmError struct {
	command string
	err     error
}

func (e *slurmError) Error() string { return e.command + ": error: " + e.err.Error() }
func (e *slurmError) Unwrap() error { return e.err }

// Starts of error messages, in Slurm's words.
const (
	submitFailed = "Batch job submission failed"
	listFailed   = "Unable to contact the site, or not to the end of the list"
)

// Error messages of Slurm that scripts match.
var (
	errAlreadyOver  error = &slurm.UsageError{Message: "Job/step already completing or completed"}
	errInvalidJobID error = &slurm.UsageError{Message: "Invalid job id specified"}
)
