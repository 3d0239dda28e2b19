package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/slurm"
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
	c := &cancels{cl: cl, errors: cmd.ErrOrStderr(), quiet: *quiet}
	ctx := cmd.Context()
	for _, uid := range uids {
		c.note(uid, cancelJob(ctx, cl, uid))
	}
	if filtered {
		if err := c.matching(ctx, &f); err != nil {
			return err
		}
		return c.failed
	}
	for i, t := range f.Jobs {
		c.note(numbers[i], cancelTarget(ctx, cl, t))
	}
	return c.failed
}

// cancels runs one command's cancels and reports those that fail.
type cancels struct {
	cl     *client.Client
	errors io.Writer
	quiet  bool  // report only cancels whose outcome is not known
	failed error // once one failed, the command's exit code
}

// note takes the outcome of the cancel of a job or task.
func (c *cancels) note(name string, err error) {
	if err == nil {
		return
	}
	c.failed = &exitError{1}
	if !c.quiet || errors.Is(err, client.ErrUnknown) {
		fmt.Fprintf(c.errors, "scancel: error: Kill job error on job id %s: %v\n", name, err)
	}
}

// matching cancels the jobs, or tasks of jobs, that the filter matches. They are
// looked up before the first is cancelled, so that the cancels don't change the
// listing while it is read.
func (c *cancels) matching(ctx context.Context, f *slurm.Filter) error {
	var found []match
	err := c.cl.Jobs(ctx, func(p *jobquery.Page) error {
		for i := range p.Jobs {
			if m := matchJob(f, &p.Jobs[i], p.NowMs); len(m.tasks) > 0 {
				found = append(found, m)
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("the jobs could not be listed to the end, none was cancelled: %w", err)
	}
	for _, m := range found {
		name, uid := strconv.FormatUint(m.info.Constraints.Number, 10), m.info.Job.UID
		if m.all {
			c.note(name, cancelJob(ctx, c.cl, uid))
		} else {
			c.note(name, c.cl.Drop(ctx, uid, jobspec.RangesOf(m.tasks)))
		}
	}
	return nil
}

// match is what a filter matches of a job.
type match struct {
	info  *jobquery.Info
	all   bool  // all tasks that are waiting or running
	tasks []int // the tasks that it matches
}

func matchJob(f *slurm.Filter, info *jobquery.Info, nowMs int64) match {
	m := match{info: info, all: true}
	for _, r := range slurm.Queue(info, true, nowMs, time.Local) {
		if f.Has(&r) {
			m.tasks = append(m.tasks, int(r.RawID-info.Constraints.Number))
		} else {
			m.all = false
		}
	}
	return m
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
	tasks := jobspec.RangesOf([]int{int(t.Number - found.First)})
	if !t.All {
		info, err := cl.Info(ctx, found.UID)
		if err != nil {
			return err
		}
		if info.Constraints == nil {
			return errOver
		}
		if tasks, err = slurm.Tasks(t.Indices, info.Job.Tasks, info.Constraints.Array); err != nil {
			return errInvalidJobID
		}
	}
	err = cl.Drop(ctx, found.UID, tasks)
	if errors.Is(err, client.ErrNotFound) {
		return errOver
	}
	return err
}
