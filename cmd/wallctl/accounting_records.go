package main

import (
	"context"
	"fmt"
	"time"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/slurm"
)

// maxDays bounds how many days of accounting one command reads.
const maxDays = 400

// records reads the jobs that ended in a period, and the active ones.
func records(ctx context.Context, cl *client.Client, from, to time.Time) ([]*slurm.Record, error) {
	collector := slurm.NewCollector()
	// Accounting is kept by the day of the end: what ended after the period may have run in it.
	first, last := from.UTC().Truncate(24*time.Hour), time.Now().UTC()
	if last.Sub(first) > maxDays*24*time.Hour {
		return nil, fmt.Errorf("more than %d days are asked for", maxDays)
	}
	for day := first; !day.After(last); day = day.Add(24 * time.Hour) {
		if err := cl.Accounts(ctx, day, collector.Add); err != nil {
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

// period reads the options --starttime and --endtime; without them it is from midnight to now.
func period(start, end string, now time.Time) (from, to time.Time, err error) {
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
