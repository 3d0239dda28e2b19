// Command wallrack is a cluster scheduler's controller.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/controller"
	"github.com/wallrack/wallrack/internal/quota"
	"github.com/wallrack/wallrack/internal/rollout"
	"github.com/wallrack/wallrack/internal/slurmapi"
)

const version = "0.1.0"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "wallrack:", err)
		os.Exit(exitCode(err))
	}
}

// badSettings is a settings file that can't be used: nothing was started.
type badSettings struct{ error }

func exitCode(err error) int {
	var bad badSettings
	if errors.As(err, &bad) {
		return 2
	}
	return 1
}

func command() *cobra.Command {
	var platform, operator, rollouts, slurm string
	load := func() (*config.Platform, *config.Operator, error) {
		if platform == "" {
			return nil, nil, errors.New("--config: a settings file is needed")
		}
		p, err := config.LoadPlatform(platform)
		if err != nil {
			return nil, nil, err
		}
		op, err := config.LoadOperator(operator)
		if err != nil {
			return nil, nil, err
		}
		if err := quota.CheckQuotaRecords(p, op); err != nil {
			return nil, nil, fmt.Errorf("%s: %w", platform, err)
		}
		return p, op, nil
	}
	root := &cobra.Command{
		Use:           "wallrack --config FILE",
		Short:         "A cluster scheduler's controller",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, op, err := load()
			if err != nil {
				return err
			}
			log, err := logger()
			if err != nil {
				return err
			}
			o := controller.Options{Platform: p, Operator: op, Version: version, Log: log.With("node", p.Node)}
			if rollouts != "" {
				if o.Rollouts, err = rollout.LoadSettings(rollouts); err != nil {
					return err
				}
			}
			if slurm != "" {
				if o.Slurm, err = slurmapi.LoadSettings(slurm); err != nil {
					return err
				}
			}
			return controller.Run(cmd.Context(), o)
		},
	}
	root.PersistentFlags().StringVar(&platform, "config", "", "the platform's settings file (TOML)")
	root.Flags().StringVar(&rollouts, "rollouts", "", "the settings of roll-outs (S-expressions); without it there are none")
	root.Flags().StringVar(&slurm, "slurm", "", "the settings of Slurm-style clients and accounting (S-expressions); without it there are none")
	root.PersistentFlags().StringVar(&operator, "operator", "", "the operators' settings file (S-expressions)")
	root.AddCommand(&cobra.Command{
		Use: "version", Short: "Print the version", Args: cobra.NoArgs,
		Run: func(cmd *cobra.Command, _ []string) { fmt.Fprintln(cmd.OutOrStdout(), "wallrack", version) },
	}, &cobra.Command{
		Use: "check", Short: "Check the settings and exit", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, _, err := load()
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "settings of %s are in order\n", p.Node)
			}
			return err
		},
	}, boundCommand(), workerCommand(), localCommand(), scaleCommand())
	return root
}

func logger() (*slog.Logger, error) {
	var level slog.Level
	if s := os.Getenv("LOG_LEVEL"); s != "" {
		if err := level.UnmarshalText([]byte(strings.ToUpper(s))); err != nil {
			return nil, fmt.Errorf("LOG_LEVEL: %w", err)
		}
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})), nil
}
