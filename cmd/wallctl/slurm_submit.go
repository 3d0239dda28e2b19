package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/slurm"
	"github.com/wallrack/wallrack/internal/wire"
)

// maxScript is the maximum size of a batch script, in bytes.
const maxScript = 512 << 10

// readSubmission reads the options and the program of a submission from the command line, the script
// and the environment. Options of the command line override those of the environment, which override
// those of the script. For --help it prints the options and returns slurm.ErrHelp.
func readSubmission(cmd *cobra.Command, name slurm.Command, args []string, now time.Time) (*slurm.Options, *slurm.Invocation, error) {
	given, program, err := slurm.ParseArgs(name, args)
	if errors.Is(err, slurm.ErrHelp) {
		if _, err := fmt.Fprintf(cmd.OutOrStdout(), "Usage: %s [OPTIONS] [PROGRAM|SCRIPT [ARG...]]\n%s", name, slurm.Help(name)); err != nil {
			return nil, nil, err
		}
	}
	if err != nil {
		return nil, nil, err
	}
	work, err := newWork()
	if err != nil {
		return nil, nil, err
	}
	sources := []slurm.OptionValues{slurm.FromEnv(name, os.LookupEnv), given}
	switch {
	case name == slurm.Srun:
		if len(program) == 0 {
			return nil, nil, &slurm.UsageError{Message: "No command given to execute."}
		}
		work.Argv = program
	case given["wrap"] != "":
		if len(program) > 0 {
			return nil, nil, &slurm.UsageError{Message: "Script arguments not permitted with --wrap option"}
		}
	default:
		fromScript, err := readScript(cmd.InOrStdin(), program, work, now)
		if err != nil {
			return nil, nil, err
		}
		sources = append([]slurm.OptionValues{fromScript}, sources...)
	}
	options, err := slurm.MergeOptions(name, now, sources...)
	return options, work, err
}

// newWork returns the part of a submission that comes from this process: environment, user, working
// directory and host.
func newWork() (*slurm.Invocation, error) {
	dir, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	host, _ := os.Hostname() // only passed to the tasks for information; may be empty
	return &slurm.Invocation{Env: os.Environ(), User: userName(), Dir: dir, Host: host}, nil
}

// readScript reads a batch script and its arguments into work and returns the options in the script.
func readScript(stdin io.Reader, args []string, work *slurm.Invocation, now time.Time) (slurm.OptionValues, error) {
	var err error
	if work.Script, work.ScriptName, err = readScriptText(stdin, args); err != nil {
		return nil, err
	}
	if len(args) > 0 {
		work.Argv = args[1:]
	}
	return slurm.FromScript(work.Script, now)
}

// readScriptText reads the script from the file in the first argument, or from standard input if
// there are no arguments. It fails if the script is empty or larger than maxScript.
func readScriptText(stdin io.Reader, args []string) (text, name string, err error) {
	in, name := stdin, "sbatch"
	if len(args) > 0 {
		f, err := os.Open(args[0])
		if err != nil {
			return "", "", &slurm.UsageError{Message: "Unable to open file " + args[0]}
		}
		defer func() { _ = f.Close() }() // an error of closing after reading has no effect
		in, name = f, args[0]
	}
	data, err := io.ReadAll(io.LimitReader(in, maxScript+1))
	switch {
	case err != nil:
		return "", "", err
	case len(data) == 0:
		return "", "", &slurm.UsageError{Message: "Batch script is empty!"}
	case len(data) > maxScript:
		return "", "", &slurm.UsageError{Message: fmt.Sprintf("Batch script is over %d bytes", maxScript)}
	}
	return string(data), name, nil
}

// submitSlurm translates and submits a job. If options.TestOnly is set, the site only validates it.
// Repeated requests contain the same uid, so they do not create a second job.
func submitSlurm(ctx context.Context, cl *client.Client, name slurm.Command, options *slurm.Options, work *slurm.Invocation, now time.Time) (*slurm.Request, error) {
	site, err := cl.Site(ctx)
	if err != nil {
		return nil, err
	}
	request, err := slurm.Translate(name, options, work, site, now)
	if err != nil {
		return nil, err
	}
	if request.Constraints.Number, err = cl.ReserveNumbers(ctx, request.Job.Tasks); err != nil {
		return nil, fmt.Errorf("%s: %w", submitFailed, err)
	}
	request.Job.UID, request.Spec.Slurm.Number = client.NewUID(), request.Constraints.Number
	_, err = cl.SubmitWithConstraints(ctx, &request.Job, &request.Constraints, &request.Spec, options.TestOnly)
	switch {
	case errors.Is(err, client.ErrUnknown):
		return nil, fmt.Errorf("%s: no answer came in time; job %d (%s) may have been accepted or may be yet: ask with \"wallctl status %s\" before you submit again: %w",
			submitFailed, request.Constraints.Number, request.Job.UID, request.Job.UID, err)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", submitFailed, err)
	}
	return request, nil
}

// waitError returns the error for a wait that failed before the job ended.
func waitError(request *slurm.Request, err error) error {
	return fmt.Errorf("job %d goes on, but its end was not seen: %w", request.Constraints.Number, err)
}

// jobExitError returns nil if the job completed, else an exitError with the job's exit code, or
// with 1 if the job has none.
func jobExitError(ctx context.Context, cl *client.Client, request *slurm.Request) error {
	info, err := cl.Info(ctx, request.Job.UID)
	if err != nil {
		return fmt.Errorf("job %d is over, but how is not known: %w", request.Constraints.Number, err)
	}
	ending := info.Ending
	switch {
	case ending == nil && info.Stage == wire.StageDone, ending != nil && ending.State == jobspec.Completed:
		return nil
	case ending != nil && ending.ExitCode > 0:
		return &exitError{ending.ExitCode}
	}
	return &exitError{1}
}
