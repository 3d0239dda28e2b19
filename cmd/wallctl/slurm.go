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

// slurmCommands are the names under which this program speaks Slurm.
var slurmCommands = []string{"sbatch", "srun", "squeue", "scancel", "sacct", "sinfo", "scontrol"}

func (a *app) slurm() []*cobra.Command {
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

// slurmCommand makes a command that reads its own options, as Slurm's do.
func (a *app) slurmCommand(name, short string, run func(cmd *cobra.Command, cl *client.Client, args []string) error) *cobra.Command {
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

// installLinks never replaces what is not a link to this program.
func installLinks(cmd *cobra.Command, args []string) error {
	exe, err := os.Executable()
	if err != nil {
		return fmt.Errorf("this program's file: %w", err)
	}
	for _, name := range slurmCommands {
		at := filepath.Join(args[0], name)
		if to, err := os.Readlink(at); err == nil && to == exe {
			continue
		}
		if err := os.Symlink(exe, at); err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), at)
	}
	return nil
}

func userName() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return os.Getenv("USER")
}
