// Package slurm implements the language of Slurm's commands: it parses options, scripts and
// environment variables as the published manuals define them, translates them to jobs of
// wallrack, and formats listings as Slurm does. What wallrack has no equivalent of is refused
// with a UsageError that names the option.
//
// The package is pure: it opens no file, sends no request and keeps no state.
package slurm
