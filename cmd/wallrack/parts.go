package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/wallrack/wallrack/internal/local"
	"github.com/wallrack/wallrack/internal/subprocess"
)

// stopTimeout is how long a child process may take to end after SIGTERM before it is killed.
const stopTimeout = 5 * time.Second

// newPartStarter returns the function that runs a part of a site, such as a controller or a worker:
// inside this process, or as a child process that logs to a file in dir/logs.
func newPartStarter(dir string, inProcess bool) (local.StartFunc, error) {
	if inProcess {
		return runInProcess, nil
	}
	exe, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("this program's file: %w", err)
	}
	return runAsChildProcess(exe, filepath.Join(dir, "logs")), nil
}

// runInProcess runs a part of the site inside this process until it ends. args are its command line.
func runInProcess(ctx context.Context, _ string, args []string) error {
	c := newRootCommand() //nolint:contextcheck // the command's functions get ctx from ExecuteContext
	c.SetArgs(args)
	return c.ExecuteContext(ctx)
}

// runAsChildProcess returns a function that runs a part of the site, such as a controller or a worker,
// as a child process that logs to a file in logs. The function waits until the process exits. When
// ctx ends, the function stops the process as waitOrStop does.
func runAsChildProcess(exe, logs string) local.StartFunc {
	return func(ctx context.Context, name string, args []string) error {
		if err := os.MkdirAll(logs, 0o755); err != nil {
			return fmt.Errorf("logs: %w", err)
		}
		f, err := os.OpenFile(filepath.Join(logs, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
		if err != nil {
			return fmt.Errorf("logs: %w", err)
		}
		defer func() { _ = f.Close() }() // the child process has a descriptor of its own
		cmd := exec.Command(exe, args...)
		cmd.Stdout, cmd.Stderr = f, f
		if err := subprocess.Start(cmd); err != nil {
			return fmt.Errorf("start %s: %w", name, err)
		}
		return waitOrStop(ctx, cmd)
	}
}

// waitOrStop waits for a child process. When ctx ends it stops the process: by SIGTERM and, after
// stopTimeout, by SIGKILL.
func waitOrStop(ctx context.Context, cmd *exec.Cmd) error {
	done := make(chan error, 1)
	go func() { done <- cmd.Wait() }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	subprocess.SignalGroup(cmd, syscall.SIGTERM)
	select {
	case err := <-done:
		return err
	case <-time.After(stopTimeout):
	}
	subprocess.SignalGroup(cmd, syscall.SIGKILL)
	return <-done
}
