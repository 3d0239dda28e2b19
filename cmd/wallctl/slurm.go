package main

import (
	"errors"
	"fmt"
	"os"
	"os/user"
	"path/filepath"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wallrack/wallrack/internal/client"
)

// slurmCommands are the names under which this program acts as a Slurm command.
var slurmCommands = []string{"sbatch", "srun", "squeue", "scancel", "sacct", "sinfo", "scontrol"}

func (a *app) slurmCommands() []*cobra.Command {
	return []*cobra.Command{
		a.slurmCommand("sbatch", "Submit a batch script (Slurm's options)", sbatch),
		a.slurmCommand("srun", "Run a program and wait for it (Slurm's options)", srun),
		a.slurmCommand("squeue", "List waiting and running jobs (Slurm's options)", squeue),
		a.slurmCommand("scancel", "Cancel jobs or tasks of arrays (Slurm's options)", scancel),
		a.slurmCommand("sacct", "Show accounting of jobs (Slurm's options)", sacct),
		a.slurmCommand("sinfo", "List machines (Slurm's options)", sinfo),
		a.slurmCommand("scontrol", "Show, hold or release jobs, show machines (Slurm's way)", scontrol),
		{Use: "install-links DIR", Short: "Make links with Slurm's command names to this program", Args: cobra.ExactArgs(1), RunE: installLinks},
	}
}

// slurmCommandFunc implements a Slurm command; args are the arguments after its name.
type slurmCommandFunc func(cmd *cobra.Command, cl *client.Client, args []string) error

// slurmCommand returns a command that parses its own options, because cobra's parser doesn't support
// Slurm's syntax. Its errors are an exitError, or a slurmError in Slurm's format. --help is no error.
func (a *app) slurmCommand(name, short string, run slurmCommandFunc) *cobra.Command {
	return &cobra.Command{Use: name, Short: short, DisableFlagParsing: true, RunE: func(cmd *cobra.Command, args []string) error {
		cl, err := a.client()
		if err == nil {
			err = run(cmd, cl, args)
		}
		var exit *exitError
		switch {
		case errors.Is(err, pflag.ErrHelp):
			return nil
		case err == nil || errors.As(err, &exit):
			return err
		}
		return &slurmError{name, err}
	}}
}

// installLinks creates symbolic links to this program and prints the new ones. It fails if a file or
// a link to another target exists under one of the names.
func installLinks(cmd *cobra.Command, args []string) error {
	exe, err := os.Executable()
	if err != nil {
		return fmt.Errorf("this program's file: %w", err)
	}
	for _, name := range slurmCommands {
		link := filepath.Join(args[0], name)
		if target, err := os.Readlink(link); err == nil && target == exe {
			continue
		}
		if err := os.Symlink(exe, link); err != nil {
			return err
		}
		if _, err := fmt.Fprintln(cmd.OutOrStdout(), link); err != nil {
			return err
		}
	}
	return nil
}

// userName returns the name of the user who runs this program.
func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("USER")
}
