// Package slurm implements the command-line interface of Slurm's commands: it parses options,
// scripts and environment variables as Slurm's manuals define them, translates them to wallrack
// jobs, and formats listings as Slurm does. An option without an equivalent in wallrack is
// rejected with a UsageError that names the option.
//
// The package opens no files, sends no requests and keeps no global state.
package slurm
