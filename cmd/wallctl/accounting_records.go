package main

import (
	"context"
	"fmt"
	"time"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/slurm"
)

// maxAccountingDays limits how long before now a period may start, in days.
const maxAccountingDays = 400

// readRecords reads the jobs that were active in a period, including those that have not ended.
func readRecords(ctx context.Context, cl *client.Client, from, to time.Time) ([]*slurm.Record, error) {
	collector := slurm.NewCollector()
	// Accounting is stored by the day of a job's end, so a job that ran in the period may be found
	// under any later day.
	first, last := from.UTC().Truncate(24*time.Hour), time.Now().UTC()
	if last.Sub(first) > maxAccountingDays*24*time.Hour {
		return nil, fmt.Errorf("more than %d days are asked for", maxAccountingDays)
	}
	for day := first; !day.After(last); day = day.Add(24 * time.Hour) {
		if err := cl.AccountingRows(ctx, day, collector.Add); err != nil {
			return nil, fmt.Errorf("accounting of %s: %w", day.Format(time.DateOnly), err)
		}
	}
	if err := cl.Jobs(ctx, func(page *jobquery.Page) error {
		for i := range page.Jobs {
			collector.AddActive(&page.Jobs[i])
		}
		return nil
	}); err != nil {
		return nil, err
	}
	all := collector.Records()
	filter := slurm.AcctFilter{FromMs: from.UnixMilli(), ToMs: to.UnixMilli()}
	selected := all[:0]
	for _, record := range all {
		if filter.Matches(record) {
			selected = append(selected, record)
		}
	}
	return selected, nil
}

// parsePeriod parses the options --starttime and --endtime. The default start is the last midnight,
// the default end is now. It fails if the end is before the start.
func parsePeriod(start, end string, now time.Time) (from, to time.Time, err error) {
	y, m, d := now.Date()
	from, to = time.Date(y, m, d, 0, 0, 0, 0, now.Location()), now
	if start != "" {
		if from, err = slurm.ParsePastTime(start, now); err != nil {
			return from, to, fmt.Errorf("--starttime: %w", err)
		}
	}
	if end != "" {
		if to, err = slurm.ParsePastTime(end, now); err != nil {
			return from, to, fmt.Errorf("--endtime: %w", err)
		}
	}
	if to.Before(from) {
		return from, to, &slurm.UsageError{Message: "Start time is after end time"}
	}
	return from, to, nil
}
