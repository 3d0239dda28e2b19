package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/local"
	"github.com/wallrack/wallrack/internal/subprocess"
)

const endPartWithin = 5 * time.Second

func localCommand() *cobra.Command {
	var s local.Site
	var inProcess bool
	c := &cobra.Command{
		Use:   "local --dir DIR",
		Short: "Run a whole site on this machine, for trying things out",
		Long: "Runs controllers, workers and stand-ins for the services around them on loopback.\n" +
			"Prints one line, ready URL, once a job is sure to be taken. Jobs, their final\n" +
			"states included, are kept in DIR; logs go to standard error and DIR/logs.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			log, err := logger()
			if err != nil {
				return err
			}
			s.Log = log
			s.Start = within
			if !inProcess {
				exe, err := os.Executable()
				if err != nil {
					return fmt.Errorf("this program's file: %w", err)
				}
				s.Start = children(exe, filepath.Join(s.Dir, "logs"))
			}
			return s.Run(cmd.Context(), func(url string) { fmt.Fprintln(cmd.OutOrStdout(), "ready", url) })
		},
	}
	f := c.Flags()
	f.StringVar(&s.Dir, "dir", "", "directory that keeps the site")
	f.StringVar(&s.Listen, "listen", "127.0.0.1:0", "loopback address for users")
	f.IntVar(&s.Controllers, "controllers", 3, "number of controllers")
	f.IntVar(&s.Machines, "machines", 8, "most machines up at once")
	f.Float64Var(&s.CPUs, "cpus", 4, "CPUs of a machine")
	f.Float64Var(&s.MemoryGB, "memory-gb", 8, "memory of a machine, in GB")
	f.StringVar(&s.Slots, "slots", "", "file with slots of roll-outs: (slot ...) and (slot-class ...) entries")
	f.BoolVar(&inProcess, "in-process", false, "run controllers and workers inside this process")
	return c
}

// within runs a part inside this process.
func within(ctx context.Context, _ string, args []string) error {
	c := command()
	c.SetArgs(args)
	return c.ExecuteContext(ctx)
}

// children runs parts as child processes that log to files of their own.
func children(exe, logs string) local.Part {
	return func(ctx context.Context, name string, args []string) error {
		if err := os.MkdirAll(logs, 0o755); err != nil {
			return fmt.Errorf("logs: %w", err)
		}
		f, err := os.OpenFile(filepath.Join(logs, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		if err != nil {
			return fmt.Errorf("logs: %w", err)
		}
		defer f.Close()
		cmd := exec.Command(exe, args...)
		cmd.Stdout, cmd.Stderr = f, f
		if err := subprocess.Start(cmd); err != nil {
			return fmt.Errorf("start %s: %w", name, err)
		}
		done := make(chan error, 1)
		go func() { done <- cmd.Wait() }()
		select {
		case err := <-done:
			return err
		case <-ctx.Done():
		}
		subprocess.Signal(cmd, syscall.SIGTERM)
		select {
		case err := <-done:
			return err
		case <-time.After(endPartWithin):
		}
		subprocess.Signal(cmd, syscall.SIGKILL)
		return <-done
	}
}
