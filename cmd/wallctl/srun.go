package main

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/slurm"
	"github.com/wallrack/wallrack/internal/wire"
)

const (
	outputInterval = 500 * time.Millisecond
	cancelTimeout  = 20 * time.Second
)

func srun(cmd *cobra.Command, cl *client.Client, args []string) error {
	now := time.Now()
	options, work, err := readSubmission(cmd, slurm.Srun, args, now)
	if err != nil {
		return err
	}
	request, err := submitSlurm(cmd.Context(), cl, slurm.Srun, options, work, now)
	if err != nil || options.TestOnly {
		return err
	}
	if !options.Quiet {
		// An error of printing is ignored: the step runs regardless.
		_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "srun: job %d queued and waiting for resources\n", request.Constraints.Number)
	}
	output := &stepOutput{
		cl: cl, uid: request.Job.UID, tasks: request.Job.Tasks, labelled: options.Label, toFile: options.Output != "",
		stdout: cmd.OutOrStdout(), stderr: cmd.ErrOrStderr(), printed: map[string]int{},
	}
	err = waitAndPrintOutput(cmd.Context(), cl, request.Job.UID, output)
	if cmd.Context().Err() != nil {
		return cancelStep(cl, request)
	}
	if err != nil {
		return waitError(request, err)
	}
	output.printNew(cmd.Context())
	return jobExitError(cmd.Context(), cl, request)
}

// waitAndPrintOutput waits for the end of a step and meanwhile prints its output.
func waitAndPrintOutput(ctx context.Context, cl *client.Client, uid string, output *stepOutput) error {
	done := make(chan error, 1)
	go func() {
		_, err := cl.Wait(ctx, uid)
		done <- err
	}()
	timer := time.NewTimer(outputInterval)
	defer timer.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-timer.C:
			output.printNew(ctx)
			timer.Reset(outputInterval) // reset after the requests, so that there is a pause between them even if the site is slow
		}
	}
}

// cancelStep cancels a step after an interrupt of this command. It always returns an error, which says
// whether the step was cancelled. The command's context has ended, so the request has its own context.
func cancelStep(cl *client.Client, request *slurm.Request) error {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	if _, err := cl.Cancel(ctx, request.Job.UID); err != nil {
		return fmt.Errorf("job %d may still run: cancel it with \"scancel %d\": %w", request.Constraints.Number, request.Constraints.Number, err)
	}
	return fmt.Errorf("job %d was cancelled", request.Constraints.Number)
}

// stepOutput prints the output of a step's tasks as it arrives.
type stepOutput struct {
	cl             *client.Client
	uid            string
	tasks          int
	labelled       bool // prefix each line with the task's number
	toFile         bool // the tasks write to files, so nothing is printed
	stdout, stderr io.Writer
	printed        map[string]int // bytes printed so far, by the path of a task's stream
}

// printNew prints the output of all tasks since the last call.
func (s *stepOutput) printNew(ctx context.Context) {
	if s.toFile {
		return
	}
	for task := range s.tasks {
		s.printStream(ctx, task, "", s.stdout)
		s.printStream(ctx, task, "?stream=stderr", s.stderr)
	}
}

// printStream prints the output of one stream of a task since the last call. query selects the
// stream; "" is standard output. If the output can't be read, it prints nothing.
func (s *stepOutput) printStream(ctx context.Context, task int, query string, to io.Writer) {
	path := wire.TaskName(s.uid, task) + query
	data, err := s.cl.GetOnce(ctx, "/logs/"+path)
	if err != nil {
		return // the task hasn't started, or the request failed; the next call reads the output
	}
	if len(data) < s.printed[path] {
		s.printed[path] = 0 // another attempt started
	}
	text := string(data[s.printed[path]:])
	s.printed[path] = len(data)
	for line := range strings.Lines(text) {
		if s.labelled {
			line = strconv.Itoa(task) + ": " + line
		}
		_, _ = io.WriteString(to, line) // an error is ignored, because the exit code of the step is still needed
	}
}
