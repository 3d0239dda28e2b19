package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"

	"github.com/goccy/go-json"
	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
	"golang.org/x/term"

	"github.com/wallrack/wallrack/internal/scale"
)

// scaleFlags are the flags of the command scale.
type scaleFlags struct {
	file, dir, out string
	inProcess      bool
}

// scaleCommand returns the command that simulates a site of a planned size and measures it.
func scaleCommand() *cobra.Command {
	var flags scaleFlags
	c := &cobra.Command{
		Use:   "scale --config FILE",
		Short: "Play a site of a planned size on this machine, and measure it",
		Long: "Runs real controllers as child processes against stand-ins for cloud and state\n" +
			"service on loopback, with thousands of hollow workers in this process that keep the\n" +
			"workers' protocol and run a timer per task, and users at a constant rate. Plays a\n" +
			"steady load, a peak, failures, cuts of a rack, a zone and a region, and a rolling\n" +
			"restart; prints what was measured, and writes it to OUT/scale.json and OUT/scale.html.\n" +
			"It ends by itself, its children too. Exit code 2: the settings can't be used and\n" +
			"nothing was started; 1: the run failed, or a rule was broken.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return runScale(cmd.Context(), flags, cmd.OutOrStdout(), cmd.ErrOrStderr())
		},
	}
	f := c.Flags()
	f.StringVar(&flags.file, "config", "", "what to play (S-expressions); deploy/scale.sexp is the planned size")
	f.StringVar(&flags.dir, "dir", "", "directory for the controllers' settings and logs; without it they are not kept")
	f.StringVar(&flags.out, "out", ".", "directory for the results")
	f.BoolVar(&flags.inProcess, "in-process", false, "run the controllers inside this process")
	return c
}

// runScale runs the simulation, then prints the measurements and writes them to files. It does so too if
// the run failed before its end but has measurements. A settingsError means that nothing was started.
func runScale(ctx context.Context, flags scaleFlags, out, progressOut io.Writer) error {
	if flags.file == "" {
		return settingsError{errors.New("--config: a settings file is needed")}
	}
	settings, err := scale.LoadSettings(flags.file)
	if err != nil {
		return settingsError{err}
	}
	run := &scale.Run{Settings: settings, Dir: flags.dir, Progress: progress(progressOut, settings.Running), Log: slog.New(slog.DiscardHandler)}
	if run.Dir == "" {
		if run.Dir, err = os.MkdirTemp("", "wallrack-scale-"); err != nil {
			return fmt.Errorf("--dir: %w", err)
		}
		defer func() { _ = os.RemoveAll(run.Dir) }() // on an error temporary files remain
	}
	if run.Start, err = newPartStarter(run.Dir, flags.inProcess); err != nil {
		return err
	}
	result, err := run.Do(ctx)
	if result == nil {
		return err
	}
	return errors.Join(err, writeResult(out, result, flags.out))
}

// writeResult prints the result and writes scale.json and scale.html. It fails if a rule was broken.
func writeResult(w io.Writer, r *scale.Result, dir string) error {
	if err := r.Print(w); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	if err := os.WriteFile(filepath.Join(dir, "scale.json"), append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	plot, err := os.Create(filepath.Join(dir, "scale.html"))
	if err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	if err := errors.Join(r.Plot(plot), plot.Close()); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	if r.Rules.Broken() {
		return fmt.Errorf("rules were broken: %+v", r.Rules)
	}
	return nil
}

// progress returns a function that shows the progress of a run. On a terminal it shows a bar of the
// running tasks, out of maxRunning. Otherwise it prints a line for each phase.
func progress(w io.Writer, maxRunning int) func(phase string, running, starts int) {
	f, isFile := w.(*os.File)
	if !isFile || !term.IsTerminal(int(f.Fd())) {
		last := ""
		return func(phase string, running, starts int) {
			if phase != last {
				last = phase
				printTo(w, "%s: %d tasks run, %d starts a second\n", phase, running, starts)
			}
		}
	}
	bar := progressbar.NewOptions(max(1, maxRunning), progressbar.OptionSetWriter(w), progressbar.OptionSetWidth(30), progressbar.OptionShowCount())
	return func(phase string, running, starts int) {
		bar.Describe(fmt.Sprintf("%s, %d starts/s, tasks", phase, starts))
		_ = bar.Set(min(running, max(1, maxRunning))) // an error of drawing is ignored
	}
}
