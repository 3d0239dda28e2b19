// Command wallctl is the users' and operators' client of wallrack. Under the names of Slurm's
// commands (sbatch, squeue ...) it accepts their options and prints their formats. It has no state
// and makes no decisions about jobs: it sends requests to a site and prints the responses.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"

	"github.com/goccy/go-json"
	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/taskspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// Exit codes, as docs/local.md lists them.
const (
	exitUsage     = 1
	exitRefused   = 2
	exitNotFound  = 3
	exitUnknown   = 4
	exitCancelled = 5
)

// errCancelled is the error of waiting for a job that was cancelled.
var errCancelled = errors.New("the job was cancelled")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := newRootCommand()
	if name := filepath.Base(os.Args[0]); slices.Contains(slurmCommands, name) {
		root.SetArgs(append([]string{name}, os.Args[1:]...))
	}
	if err := root.ExecuteContext(ctx); err != nil {
		os.Exit(reportError(err))
	}
}

// reportError prints an error, unless it is an exitError, to standard error. It returns the exit code.
func reportError(err error) int {
	var exit *exitError
	var asSlurm *slurmError
	switch {
	case errors.As(err, &exit):
		return exit.code
	case errors.As(err, &asSlurm):
		_, _ = fmt.Fprintln(os.Stderr, err) // if printing fails the exit code still reports the error
		return exitUsage
	}
	_, _ = fmt.Fprintln(os.Stderr, "wallctl:", err) // if printing fails the exit code still reports the error
	return exitCode(err)
}

// exitCode returns the exit code for an error of a command that is not one of Slurm's.
func exitCode(err error) int {
	switch {
	case errors.Is(err, errCancelled), errors.Is(err, errNotRolledOut):
		return exitCancelled
	case errors.Is(err, client.ErrNotFound):
		return exitNotFound
	case errors.Is(err, client.ErrRefused), errors.Is(err, taskspec.ErrConflict):
		return exitRefused
	case errors.Is(err, client.ErrUnknown), errors.Is(err, context.Canceled):
		return exitUnknown
	}
	return exitUsage
}

// app holds the options that all commands share.
type app struct {
	server string
	json   bool
}

// client returns a client for the site in --server or, without this option, in WALLRACK_SERVER. It
// fails if the address doesn't start with http://.
func (a *app) client() (*client.Client, error) {
	if a.server == "" {
		a.server = os.Getenv("WALLRACK_SERVER")
	}
	if !strings.HasPrefix(a.server, "http://") {
		return nil, errors.New("--server or WALLRACK_SERVER: http://HOST:PORT of the site is needed")
	}
	return client.New(a.server), nil
}

// printState prints a job's state.
func (a *app) printState(w io.Writer, state *wire.JobState) error {
	if a.json {
		return json.NewEncoder(w).Encode(state)
	}
	t := newTable(w, 0)
	t.printf("JOB\tSTAGE\tDONE\tRUNNING\n")
	t.printf("%s\t%s\t%d\t%d\n", state.UID, state.Stage, state.Done, state.Running)
	return t.flush()
}

func newRootCommand() *cobra.Command {
	a := &app{}
	root := &cobra.Command{Use: "wallctl", Short: "Users' and operators' client of wallrack", SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&a.server, "server", "", "the site, http://HOST:PORT (or WALLRACK_SERVER)")
	root.PersistentFlags().BoolVar(&a.json, "json", false, "print JSON for programs")
	root.TraverseChildren = true // otherwise the Slurm commands, which parse their own options, would receive those of the root
	root.AddCommand(a.slurmCommands()...)
	root.AddCommand(
		a.accountingCommand(),
		a.submitCommand(),
		a.jobCommand("status UID", "Show a job's state", (*client.Client).Status),
		a.jobCommand("cancel UID", "Cancel a job", (*client.Client).Cancel),
		a.waitCommand(),
		a.logsCommand(),
		a.nodesCommand(),
		a.linksCommand(),
		a.rolloutCommand(),
		a.opsCommand("alerts", "List the jobs that miss their class's aim", "/ops/alerts"),
		a.opsCommand("stats", "Show a controller's statistics", "/ops/stats"),
	)
	return root
}
