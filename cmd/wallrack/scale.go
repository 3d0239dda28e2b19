package main

import (
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

func scaleCommand() *cobra.Command {
	var file, dir, out string
	var inProcess bool
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
			if file == "" {
				return badSettings{errors.New("--config: a settings file is needed")}
			}
			settings, err := scale.LoadSettings(file)
			if err != nil {
				return badSettings{err}
			}
			run := &scale.Run{Settings: settings, Dir: dir, Start: within, Progress: progress(cmd.ErrOrStderr(), settings.Running), Log: slog.New(slog.DiscardHandler)}
			if run.Dir == "" {
				if run.Dir, err = os.MkdirTemp("", "wallrack-scale-"); err != nil {
					return fmt.Errorf("--dir: %w", err)
				}
				defer os.RemoveAll(run.Dir)
			}
			if !inProcess {
				exe, err := os.Executable()
				if err != nil {
					return fmt.Errorf("this program's file: %w", err)
				}
				run.Start = children(exe, filepath.Join(run.Dir, "logs"))
			}
			result, err := run.Do(cmd.Context())
			if result == nil {
				return err
			}
			return errors.Join(err, writeResult(cmd.OutOrStdout(), result, out))
		},
	}
	f := c.Flags()
	f.StringVar(&file, "config", "", "what to play (S-expressions); deploy/scale.sexp is the planned size")
	f.StringVar(&dir, "dir", "", "directory for the controllers' settings and logs; without it they are not kept")
	f.StringVar(&out, "out", ".", "directory for the results")
	f.BoolVar(&inProcess, "in-process", false, "run the controllers inside this process")
	return c
}

// writeResult prints the result and writes its files.
func writeResult(w io.Writer, r *scale.Result, out string) error {
	if err := r.Print(w); err != nil {
		return err
	}
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("encode result: %w", err)
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	if err := os.WriteFile(filepath.Join(out, "scale.json"), append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("--out: %w", err)
	}
	plot, err := os.Create(filepath.Join(out, "scale.html"))
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

// progress shows a bar of the running tasks on a terminal, and a line at each phase
// elsewhere.
func progress(w io.Writer, most int) func(phase string, running, starts int) {
	f, isFile := w.(*os.File)
	if !isFile || !term.IsTerminal(int(f.Fd())) {
		last := ""
		return func(phase string, running, starts int) {
			if phase != last {
				last = phase
				fmt.Fprintf(w, "%s: %d tasks run, %d starts a second\n", phase, running, starts)
			}
		}
	}
	bar := progressbar.NewOptions(max(1, most), progressbar.OptionSetWriter(w), progressbar.OptionSetWidth(30), progressbar.OptionShowCount())
	return func(phase string, running, starts int) {
		bar.Describe(fmt.Sprintf("%s, %d starts/s, tasks", phase, starts))
		_ = bar.Set(min(running, max(1, most))) // only drawing can fail
	}
}
