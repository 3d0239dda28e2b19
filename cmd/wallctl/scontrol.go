package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/slurm"
	"github.com/wallrack/wallrack/internal/wire"
)

func scontrol(cmd *cobra.Command, cl *client.Client, args []string) error {
	verb, object := "", ""
	if len(args) > 0 {
		verb = args[0]
	}
	if len(args) > 1 {
		object = args[1]
	}
	switch verb {
	case "show":
		switch object {
		case "node", "nodes":
			return showNodes(cmd, cl, args[2:])
		case "job", "jobs":
			return showJobs(cmd.Context(), cmd.OutOrStdout(), cl, args[2:])
		}
	case "hold", "release":
		if len(args) > 1 {
			return holdOrReleaseJobs(cmd.Context(), cl, verb, args[1:])
		}
	case "-h", "--help", "help":
		_, err := fmt.Fprintln(cmd.OutOrStdout(), "Usage: scontrol show job|node [NAME] | hold JOB... | release JOB...")
		return err
	}
	return fmt.Errorf("%s: not supported by wallrack; there are show job, show node, hold, release", strings.Join(args, " "))
}

// holdOrReleaseJobs holds or releases jobs, up to the first error.
func holdOrReleaseJobs(ctx context.Context, cl *client.Client, verb string, args []string) error {
	for _, arg := range args {
		for _, name := range splitJobs(arg) {
			uid, err := resolveJob(ctx, cl, name)
			if err == nil {
				err = cl.ApplyVerb(ctx, uid, verb)
			}
			if err != nil {
				return fmt.Errorf("%s: %w", name, err)
			}
		}
	}
	return nil
}

// resolveJob returns the uid of a job that is given by its number or uid. Single tasks of an array are
// refused.
func resolveJob(ctx context.Context, cl *client.Client, name string) (uid string, err error) {
	if wire.ValidJobID(name) {
		return name, nil
	}
	target, err := slurm.ParseJobSelector(name)
	if err != nil {
		return "", err
	}
	if !target.All {
		return "", errors.New("single tasks of an array are not supported here by wallrack")
	}
	found, err := cl.JobByNumber(ctx, target.Number)
	if errors.Is(err, client.ErrNotFound) {
		return "", errInvalidJobID
	}
	if err != nil {
		return "", err
	}
	return found.UID, nil
}

// showJobs prints the jobs with the given names, or all active jobs if there are none.
func showJobs(ctx context.Context, out io.Writer, cl *client.Client, names []string) error {
	if len(names) == 0 {
		return cl.Jobs(ctx, func(page *jobquery.Page) error {
			for i := range page.Jobs {
				if _, err := io.WriteString(out, slurm.ShowJob(&page.Jobs[i], time.Local)); err != nil {
					return err
				}
			}
			return nil
		})
	}
	for _, name := range names {
		uid, err := resolveJob(ctx, cl, name)
		if err != nil {
			return err
		}
		info, err := cl.Info(ctx, uid)
		if err != nil {
			return err
		}
		if _, err := io.WriteString(out, slurm.ShowJob(info, time.Local)); err != nil {
			return err
		}
	}
	return nil
}

// showNodes prints the workers with the given names, or all workers if there are none.
func showNodes(cmd *cobra.Command, cl *client.Client, names []string) error {
	site, err := cl.Site(cmd.Context())
	if err != nil {
		return err
	}
	workers, err := listWorkers(cmd.Context(), cl)
	if err != nil {
		return err
	}
	oneClass := *site
	oneClass.Classes = []string{site.Class} // otherwise each worker would be listed once for each class
	shown := 0
	for _, row := range slurm.NodeRows(workers, &oneClass, true) {
		if len(names) > 0 && !slices.Contains(names, row.Name) {
			continue
		}
		if _, err := io.WriteString(cmd.OutOrStdout(), slurm.ShowNode(&row)); err != nil {
			return err
		}
		shown++
	}
	if shown == 0 && len(names) > 0 {
		return &slurm.UsageError{Message: fmt.Sprintf("Node %s not found", strings.Join(names, ","))}
	}
	return nil
}
