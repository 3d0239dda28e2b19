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
	o, w, err := ask(cmd, slurm.Sbatch, args, now)
	if err != nil {
		return err
	}
	r, err := submit(cmd.Context(), cl, slurm.Sbatch, o, w, now)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	switch {
	case o.TestOnly:
		fmt.Fprintf(cmd.ErrOrStderr(), "sbatch: Job would be accepted: %d task(s) of %g processors in partition %s\n", r.Job.Tasks, r.Job.CPUs, r.Job.Class)
		return nil
	case o.Parsable:
		fmt.Fprintln(out, r.Terms.Number)
	case !o.Quiet:
		fmt.Fprintf(out, "Submitted batch job %d\n", r.Terms.Number)
	}
	if !o.Wait {
		return nil
	}
	if _, err := cl.Wait(cmd.Context(), r.Job.UID); err != nil {
		return fmt.Errorf("job %d goes on, but its end was not seen: %w", r.Terms.Number, err)
	}
	return ended(cmd.Context(), cl, r)
}
