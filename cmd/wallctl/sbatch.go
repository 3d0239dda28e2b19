package main

import (
	"fmt"
	"time"

	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/slurm"
)

func sbatch(cmd *cobra.Command, cl *client.Client, args []string) error {
	now := time.Now()
	options, work, err := readSubmission(cmd, slurm.Sbatch, args, now)
	if err != nil {
		return err
	}
	request, err := submitSlurm(cmd.Context(), cl, slurm.Sbatch, options, work, now)
	if err != nil {
		return err
	}
	// Errors of printing are ignored: if they made the command fail, a script might submit the job again.
	job, out := &request.Job, cmd.OutOrStdout()
	switch {
	case options.TestOnly:
		_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "sbatch: Job would be accepted: %d task(s) of %g processors in partition %s\n", job.Tasks, job.CPUs, job.Class)
		return nil
	case options.Parsable:
		_, _ = fmt.Fprintln(out, request.Constraints.Number)
	case !options.Quiet:
		_, _ = fmt.Fprintf(out, "Submitted batch job %d\n", request.Constraints.Number)
	}
	if !options.Wait {
		return nil
	}
	if _, err := cl.Wait(cmd.Context(), job.UID); err != nil {
		return waitError(request, err)
	}
	return jobExitError(cmd.Context(), cl, request)
}
