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

// maxScript is the longest script that is taken.
const maxScript = 512 << 10

// ask reads a submission from command line, script and environment.
func ask(cmd *cobra.Command, name slurm.Command, args []string, now time.Time) (*slurm.Options, *slurm.Work, error) {
	given, rest, err := slurm.ParseArgs(name, args)
	if errors.Is(err, slurm.ErrHelp) {
		fmt.Fprintf(cmd.OutOrStdout(), "Usage: %s [OPTIONS] [PROGRAM|SCRIPT [ARG...]]\n%s", name, slurm.Help(name))
	}
	if err != nil {
		return nil, nil, err
	}
	w := &slurm.Work{Env: os.Environ(), User: userName()}
	if w.Dir, err = os.Getwd(); err != nil {
		return nil, nil, err
	}
	w.Host, _ = os.Hostname() // for display
	sources := []slurm.Given{slurm.FromEnv(name, os.LookupEnv), given}
	if name == slurm.Srun {
		if w.Argv = rest; len(rest) == 0 {
			return nil, nil, &slurm.Usage{Why: "No command given to execute."}
		}
	} else if given["wrap"] != "" {
		if len(rest) > 0 {
			return nil, nil, &slurm.Usage{Why: "Script arguments not permitted with --wrap option"}
		}
	} else {
		if w.Script, w.File, err = script(cmd.InOrStdin(), rest); err != nil {
			return nil, nil, err
		}
		if len(rest) > 0 {
			w.Argv = rest[1:]
		}
		lines, err := slurm.FromScript(w.Script, now)
		if err != nil {
			return nil, nil, err
		}
		sources = append([]slurm.Given{lines}, sources...)
	}
	o, err := slurm.Join(name, now, sources...)
	return o, w, err
}

func script(stdin io.Reader, args []string) (text, name string, err error) {
	in, name := stdin, "sbatch"
	if len(args) > 0 {
		f, err := os.Open(args[0])
		if err != nil {
			return "", "", &slurm.Usage{Why: "Unable to open file " + args[0]}
		}
		defer f.Close()
		in, name = f, args[0]
	}
	data, err := io.ReadAll(io.LimitReader(in, maxScript+1))
	switch {
	case err != nil:
		return "", "", err
	case len(data) == 0:
		return "", "", &slurm.Usage{Why: "Batch script is empty!"}
	case len(data) > maxScript:
		return "", "", &slurm.Usage{Why: fmt.Sprintf("Batch script is over %d bytes", maxScript)}
	}
	return string(data), name, nil
}

// submit translates and submits. Once numbers are taken, a repeat of anything makes
// no second job.
func submit(ctx context.Context, cl *client.Client, name slurm.Command, o *slurm.Options, w *slurm.Work, now time.Time) (*slurm.Request, error) {
	site, err := cl.Site(ctx)
	if err != nil {
		return nil, err
	}
	r, err := slurm.Translate(name, o, w, site, now)
	if err != nil {
		return nil, err
	}
	if r.Terms.Number, err = cl.Numbers(ctx, r.Job.Tasks); err != nil {
		return nil, fmt.Errorf("%s: %w", stepSubmit, err)
	}
	r.Job.UID, r.Description.Slurm.Number = client.NewUID(), r.Terms.Number
	_, err = cl.SubmitWith(ctx, &r.Job, &r.Terms, &r.Description, o.TestOnly)
	switch {
	case errors.Is(err, client.ErrUnknown):
		return nil, fmt.Errorf("%s: no answer came in time; job %d (%s) may have been accepted or may be yet: ask with \"wallctl status %s\" before you submit again: %w",
			stepSubmit, r.Terms.Number, r.Job.UID, r.Job.UID, err)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", stepSubmit, err)
	}
	return r, nil
}

// ended ends the program as the job did.
func ended(ctx context.Context, cl *client.Client, r *slurm.Request) error {
	i, err := cl.Info(ctx, r.Job.UID)
	if err != nil {
		return fmt.Errorf("job %d is over, but how is not known: %w", r.Terms.Number, err)
	}
	switch {
	case i.Ending == nil && i.Stage == wire.StageDone, i.Ending != nil && i.Ending.State == jobspec.Completed:
		return nil
	case i.Ending != nil && i.Ending.Exit > 0:
		return &exitError{i.Ending.Exit}
	}
	return &exitError{1}
}
