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
	filterFlags := addFilterFlags(fs, "state")
	quiet := fs.BoolP("quiet", "Q", false, "say nothing of jobs that are over")
	if err := parseFlags(cmd, fs, args); err != nil {
		return err
	}
	filter, err := filterFlags.filter()
	if err != nil {
		return err
	}
	var numbers, uids []string
	for _, arg := range fs.Args() {
		if wire.ValidJobID(arg) {
			uids = append(uids, arg)
		} else {
			numbers = append(numbers, splitJobs(arg)...)
		}
	}
	if filter.Jobs, err = parseTargets(numbers); err != nil {
		return err
	}
	filtered := len(filter.Users)+len(filter.States)+len(filter.Partitions)+len(filter.Accounts)+len(filter.Names)+len(filter.QOS) > 0
	if !filtered && len(filter.Jobs)+len(uids) == 0 {
		return &slurm.UsageError{Message: "No job identification provided"}
	}
	c := &canceller{cl: cl, stderr: cmd.ErrOrStderr(), quiet: *quiet}
	ctx := cmd.Context()
	for _, uid := range uids {
		c.report(uid, cancelJob(ctx, cl, uid))
	}
	if filtered {
		if err := c.cancelMatching(ctx, &filter); err != nil {
			return err
		}
		return c.exitErr
	}
	for i, target := range filter.Jobs {
		c.report(numbers[i], cancelTarget(ctx, cl, target))
	}
	return c.exitErr
}

// canceller sends the cancel requests of one command and reports those that fail.
type canceller struct {
	cl      *client.Client
	stderr  io.Writer
	quiet   bool  // report only cancels with an unknown outcome
	exitErr error // an exitError once a cancel has failed, else nil
}

// report prints the error of a cancel request and sets the exit code. It does nothing if err is nil.
// If c.quiet is set, it prints only errors that mean an unknown outcome.
func (c *canceller) report(name string, err error) {
	if err == nil {
		return
	}
	c.exitErr = &exitError{1}
	if !c.quiet || errors.Is(err, client.ErrUnknown) {
		// If printing fails the exit code still reports the error.
		_, _ = fmt.Fprintf(c.stderr, "scancel: error: Kill job error on job id %s: %v\n", name, err)
	}
}

// cancelMatching cancels the jobs, or tasks of jobs, that the filter matches. It reads the complete
// listing before the first cancel, because cancels would change the listing while it is read. It
// fails, and cancels nothing, if the listing can't be read completely.
func (c *canceller) cancelMatching(ctx context.Context, filter *slurm.QueueFilter) error {
	var found []jobMatch
	err := c.cl.Jobs(ctx, func(page *jobquery.Page) error {
		for i := range page.Jobs {
			if match := matchJob(filter, &page.Jobs[i], page.NowMs); len(match.tasks) > 0 {
				found = append(found, match)
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("the jobs could not be listed to the end, none was cancelled: %w", err)
	}
	for _, match := range found {
		name, uid := strconv.FormatUint(match.info.Constraints.Number, 10), match.info.Job.UID
		if match.allTasks {
			c.report(name, cancelJob(ctx, c.cl, uid))
		} else {
			c.report(name, c.cl.CancelTasks(ctx, uid, jobspec.RangesOf(match.tasks)))
		}
	}
	return nil
}

// jobMatch contains the tasks of a job that a filter matches.
type jobMatch struct {
	info     *jobquery.Info
	allTasks bool  // whether the filter matches all waiting and running tasks
	tasks    []int // indices of the matching tasks
}

func matchJob(filter *slurm.QueueFilter, info *jobquery.Info, nowMs int64) jobMatch {
	match := jobMatch{info: info, allTasks: true}
	for _, row := range slurm.QueueRows(info, true, nowMs, time.Local) {
		if filter.Matches(&row) {
			match.tasks = append(match.tasks, int(row.RawID-info.Constraints.Number))
		} else {
			match.allTasks = false
		}
	}
	return match
}

// cancelJob cancels a job. It returns errInvalidJobID if there is no such job, errAlreadyOver if it ended.
func cancelJob(ctx context.Context, cl *client.Client, uid string) error {
	state, err := cl.Cancel(ctx, uid)
	switch {
	case errors.Is(err, client.ErrNotFound):
		return errInvalidJobID
	case err == nil && state.Stage != wire.StageCancelled:
		return errAlreadyOver
	}
	return err
}

// cancelTarget cancels a job given by its number, or tasks of an array given by their array indices
// or by a task's own job number. Its errors include those of cancelJob.
func cancelTarget(ctx context.Context, cl *client.Client, target slurm.JobSelector) error {
	found, err := cl.JobByNumber(ctx, target.Number)
	switch {
	case errors.Is(err, client.ErrNotFound):
		return errInvalidJobID
	case err != nil:
		return err
	}
	if target.All && target.Number == found.First {
		return cancelJob(ctx, cl, found.UID)
	}
	tasks := jobspec.RangesOf([]int{int(target.Number - found.First)})
	if !target.All {
		info, err := cl.Info(ctx, found.UID)
		if err != nil {
			return err
		}
		if info.Constraints == nil {
			return errAlreadyOver
		}
		if tasks, err = slurm.TasksByIndex(target.Indices, info.Job.Tasks, info.Constraints.Array); err != nil {
			return errInvalidJobID
		}
	}
	err = cl.CancelTasks(ctx, found.UID, tasks)
	if errors.Is(err, client.ErrNotFound) {
		return errAlreadyOver
	}
	return err
}
