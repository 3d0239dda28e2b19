package main

import (
	"context"
	"fmt"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/wire"
)

// jobRequest is a method of the client that sends a request about one job.
type jobRequest func(cl *client.Client, ctx context.Context, uid string) (*wire.JobState, error)

// resolveUID returns the uid of a job that is given by its uid or its number. It doesn't check a uid.
func resolveUID(ctx context.Context, cl *client.Client, name string) (uid string, err error) {
	if number, parseErr := strconv.ParseUint(name, 10, 64); parseErr == nil {
		found, err := cl.JobByNumber(ctx, number)
		return found.UID, err
	}
	return name, nil
}

// jobCommand returns a command that sends a request about one job and prints its state.
func (a *app) jobCommand(use, short string, request jobRequest) *cobra.Command {
	return &cobra.Command{Use: use, Short: short, Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		_, err := a.requestState(cmd, args[0], request)
		return err
	}}
}

// requestState sends a request about the job with the given uid or number, and prints and returns
// the job's state.
func (a *app) requestState(cmd *cobra.Command, name string, request jobRequest) (*wire.JobState, error) {
	cl, err := a.client()
	if err != nil {
		return nil, err
	}
	uid, err := resolveUID(cmd.Context(), cl, name)
	if err != nil {
		return nil, fmt.Errorf("job %s: %w", name, err)
	}
	state, err := request(cl, cmd.Context(), uid)
	if err != nil {
		return nil, fmt.Errorf("job %s: %w", name, err)
	}
	return state, a.printState(cmd.OutOrStdout(), state)
}

func (a *app) waitCommand() *cobra.Command {
	return &cobra.Command{Use: "wait UID", Short: "Wait until a job is done or cancelled", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		state, err := a.requestState(cmd, args[0], (*client.Client).Wait)
		if err != nil {
			return err
		}
		if state.Stage == wire.StageCancelled {
			return errCancelled
		}
		return nil
	}}
}

func (a *app) logsCommand() *cobra.Command {
	var stderr bool
	cmd := &cobra.Command{Use: "logs UID/TASK", Short: "Print what a task wrote", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		cl, err := a.client()
		if err != nil {
			return err
		}
		if _, _, err := wire.ParseTask(args[0]); err != nil {
			return err
		}
		path := "/logs/" + args[0]
		if stderr {
			path += "?stream=stderr"
		}
		out, err := cl.Get(cmd.Context(), path)
		if err != nil {
			return fmt.Errorf("logs of %s: %w", args[0], err)
		}
		_, err = cmd.OutOrStdout().Write(out)
		return err
	}}
	cmd.Flags().BoolVar(&stderr, "stderr", false, "what it wrote to standard error")
	return cmd
}
