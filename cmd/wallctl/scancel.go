package main

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/listing"
	"github.com/wallrack/wallrack/internal/slurm"
	"github.com/wallrack/wallrack/internal/terms"
	"github.com/wallrack/wallrack/internal/wire"
)

func scancel(cmd *cobra.Command, cl *client.Client, args []string) error {
	fs := pflag.NewFlagSet("scancel", pflag.ContinueOnError)
	filter := filters(fs, "state")
	quiet := fs.BoolP("quiet", "Q", false, "say nothing of jobs that are over")
	if err := parse(cmd, fs, args); err != nil {
		return err
	}
	f, err := filter()
	if err != nil {
		return err
	}
	var numbers, uids []string
	for _, a := range fs.Args() {
		if wire.ValidJobID(a) {
			uids = append(uids, a)
		} else {
			numbers = append(numbers, jobList(a)...)
		}
	}
	if f.Jobs, err = targets(numbers); err != nil {
		return err
	}
	filtered := len(f.Users)+len(f.States)+len(f.Partitions)+len(f.Accounts)+len(f.Names)+len(f.QOS) > 0
	if !filtered && len(f.Jobs)+len(uids) == 0 {
		return &slurm.Usage{Why: "No job identification provided"}
	}
	var failed error
	note := func(what string, err error) {
		if err == nil {
			return
		}
		failed = &exitError{1}
		if !*quiet || errors.Is(err, client.ErrUnknown) {
			fmt.Fprintf(cmd.ErrOrStderr(), "scancel: error: Kill job error on job id %s: %v\n", what, err)
		}
	}
	ctx := cmd.Context()
	for _, uid := range uids {
		note(uid, cancelJob(ctx, cl, uid))
	}
	if !filtered {
		for i, t := range f.Jobs {
			note(numbers[i], cancelTarget(ctx, cl, t))
		}
		return failed
	}
	// What is meant is looked up first, so that a listing never runs into what
	// this command changes.
	type drop struct {
		info *listing.Info
		all  bool
		rows []slurm.QueueRow
	}
	var drops []drop
	err = cl.Jobs(ctx, func(p *listing.Page) error {
		for i := range p.Jobs {
			info := &p.Jobs[i]
			rows := slurm.Queue(info, true, p.NowMs, time.Local)
			d := drop{info: info, all: true}
			for _, r := range rows {
				if f.Has(&r) {
					d.rows = append(d.rows, r)
				} else {
					d.all = false
				}
			}
			if len(d.rows) > 0 {
				drops = append(drops, d)
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("the jobs could not be listed to the end, none was cancelled: %w", err)
	}
	for _, d := range drops {
		if d.all {
			note(strconv.FormatUint(d.info.Terms.Number, 10), cancelJob(ctx, cl, d.info.Job.UID))
			continue
		}
		var ns []int
		for _, r := range d.rows {
			ns = append(ns, int(r.RawID-d.info.Terms.Number))
		}
		note(strconv.FormatUint(d.info.Terms.Number, 10), cl.Drop(ctx, d.info.Job.UID, terms.RangesOf(ns)))
	}
	return failed
}

func cancelJob(ctx context.Context, cl *client.Client, uid string) error {
	s, err := cl.Cancel(ctx, uid)
	switch {
	case errors.Is(err, client.ErrNotFound):
		return errInvalidJobID
	case err == nil && s.Stage != wire.StageCancelled:
		return errOver
	}
	return err
}

// cancelTarget cancels a job, or tasks of its array, by number.
func cancelTarget(ctx context.Context, cl *client.Client, t slurm.Target) error {
	found, err := cl.Find(ctx, t.Number)
	switch {
	case errors.Is(err, client.ErrNotFound):
		return errInvalidJobID
	case err != nil:
		return err
	}
	if t.All && t.Number == found.First {
		return cancelJob(ctx, cl, found.UID)
	}
	tasks := terms.RangesOf([]int{int(t.Number - found.First)})
	if !t.All {
		info, err := cl.Info(ctx, found.UID)
		if err != nil {
			return err
		}
		if info.Terms == nil {
			return errOver
		}
		if tasks, err = slurm.Tasks(t.Indices, info.Job.Tasks, info.Terms.Array); err != nil {
			return errInvalidJobID
		}
	}
	err = cl.Drop(ctx, found.UID, tasks)
	if errors.Is(err, client.ErrNotFound) {
		return errOver
	}
	return err
}
