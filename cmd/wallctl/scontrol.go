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
	verb, what := "", ""
	if len(args) > 0 {
		verb = args[0]
	}
	if len(args) > 1 {
		what = args[1]
	}
	ctx, out := cmd.Context(), cmd.OutOrStdout()
	switch {
	case verb == "show" && (what == "job" || what == "jobs" || what == "node" || what == "nodes"):
		if strings.HasPrefix(what, "node") {
			return showNodes(cmd, cl, args[2:])
		}
		return showJobs(ctx, out, cl, args[2:])
	case (verb == "hold" || verb == "release") && len(args) > 1:
		for _, arg := range args[1:] {
			for _, s := range jobList(arg) {
				uid, _, err := findJob(ctx, cl, s)
				if err == nil {
					err = cl.Order(ctx, uid, verb)
				}
				if err != nil {
					return fmt.Errorf("%s: %w", s, err)
				}
			}
		}
		return nil
	case verb == "-h" || verb == "--help" || verb == "help":
		fmt.Fprintln(out, "Usage: scontrol show job|node [NAME] | hold JOB... | release JOB...")
		return nil
	}
	return fmt.Errorf("%s: not supported by wallrack; there are show job, show node, hold, release", strings.Join(args, " "))
}

// findJob finds a job by its number or its uid; all of an array only.
func findJob(ctx context.Context, cl *client.Client, s string) (uid string, task int, err error) {
	if wire.ValidJobID(s) {
		return s, 0, nil
	}
	t, err := slurm.ParseTarget(s)
	if err != nil {
		return "", 0, err
	}
	if !t.All {
		return "", 0, fmt.Errorf("single tasks of an array are not supported here by wallrack")
	}
	found, err := cl.Find(ctx, t.Number)
	if errors.Is(err, client.ErrNotFound) {
		return "", 0, errInvalidJobID
	}
	if err != nil {
		return "", 0, err
	}
	return found.UID, int(t.Number - found.First), nil
}

func showJobs(ctx context.Context, out io.Writer, cl *client.Client, args []string) error {
	if len(args) == 0 {
		return cl.Jobs(ctx, func(p *jobquery.Page) error {
			for i := range p.Jobs {
				fmt.Fprint(out, slurm.ShowJob(&p.Jobs[i], time.Local))
			}
			return nil
		})
	}
	for _, a := range args {
		uid, _, err := findJob(ctx, cl, a)
		if err != nil {
			return err
		}
		i, err := cl.Info(ctx, uid)
		if err != nil {
			return err
		}
		fmt.Fprint(out, slurm.ShowJob(i, time.Local))
	}
	return nil
}

func showNodes(cmd *cobra.Command, cl *client.Client, args []string) error {
	site, err := cl.Site(cmd.Context())
	if err != nil {
		return err
	}
	ms, err := machines(cmd.Context(), cl)
	if err != nil {
		return err
	}
	one := *site
	one.Classes = []string{site.Class}
	shown := 0
	for _, r := range slurm.Nodes(ms, &one, true) {
		if len(args) == 0 || slices.Contains(args, r.Name) {
			fmt.Fprint(cmd.OutOrStdout(), slurm.ShowNode(&r))
			shown++
		}
	}
	if shown == 0 && len(args) > 0 {
		return &slurm.Usage{Why: fmt.Sprintf("Node %s not found", strings.Join(args, ","))}
	}
	return nil
}
