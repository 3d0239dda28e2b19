// Command wallrack runs the controllers and workers of a cluster scheduler, and local sites for trials.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/controller"
)

const version = "0.1.0"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := newRootCommand().ExecuteContext(ctx)
	stop()
	if err != nil {
		printTo(os.Stderr, "wallrack: %v\n", err)
		os.Exit(exitCode(err))
	}
}

// settingsError means that a settings file is missing or invalid and nothing was started.
type settingsError struct{ err error }

func (e settingsError) Error() string { return e.err.Error() }
func (e settingsError) Unwrap() error { return e.err }

// exitCode returns 2 for a settingsError and 1 for any other error.
func exitCode(err error) int {
	if errors.As(err, new(settingsError)) {
		return 2
	}
	return 1
}

// newRootCommand returns the root command with all subcommands.
func newRootCommand() *cobra.Command {
	var files settingsFiles
	root := &cobra.Command{
		Use:           "wallrack --config FILE",
		Short:         "A cluster scheduler's controller",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			options, err := files.options()
			if err != nil {
				return err
			}
			return controller.Run(cmd.Context(), options)
		},
	}
	root.PersistentFlags().StringVar(&files.platform, "config", "", "the platform's settings file (TOML)")
	root.Flags().StringVar(&files.rollouts, "rollouts", "", "the settings of roll-outs (S-expressions); without it there are none")
	root.Flags().StringVar(&files.slurm, "slurm", "", "the settings of Slurm-style clients and accounting (S-expressions); without it there are none")
	root.PersistentFlags().StringVar(&files.operator, "operator", "", "the operators' settings file (S-expressions)")
	root.AddCommand(versionCommand(), checkCommand(&files), boundCommand(), workerCommand(), localCommand(), scaleCommand(), soakCommand())
	return root
}

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { printTo(cmd.OutOrStdout(), "wallrack %s\n", version) },
	}
}

func checkCommand(files *settingsFiles) *cobra.Command {
	return &cobra.Command{
		Use: "check", Short: "Check the settings and exit", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			platform, _, err := files.load()
			if err == nil {
				printTo(cmd.OutOrStdout(), "settings of %s are in order\n", platform.Node)
			}
			return err
		},
	}
}

// logger returns a logger to standard error. LOG_LEVEL sets its minimum level; the default is info.
func logger() (*slog.Logger, error) {
	var level slog.Level
	if name := os.Getenv("LOG_LEVEL"); name != "" {
		if err := level.UnmarshalText([]byte(strings.ToUpper(name))); err != nil {
			return nil, fmt.Errorf("LOG_LEVEL: %w", err)
		}
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}

// printTo prints output of a command. Errors of printing are ignored: they don't change its outcome.
func printTo(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format, args...) }
