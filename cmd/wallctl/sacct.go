package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"iter"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/slurm"
)

// sacctFlags are sacct's options.
type sacctFlags struct {
	start, end                                        string
	users, accounts, partitions, states, names, qos   []string
	jobs, format                                      string
	allocationsOnly, duplicates, parsable2, parsable  bool
	withoutHeader, allUsers, listColumns, printAsJSON bool
}

// flagSet returns the options of sacct. The help lists them in the order in which they are defined.
func (s *sacctFlags) flagSet() *pflag.FlagSet {
	fs := pflag.NewFlagSet("sacct", pflag.ContinueOnError)
	fs.StringVarP(&s.start, "starttime", "S", "", "from this time; else from midnight")
	fs.StringVarP(&s.end, "endtime", "E", "", "to this time; else now")
	fs.StringSliceVarP(&s.users, "user", "u", nil, "of these users")
	fs.StringSliceVarP(&s.accounts, "accounts", "A", nil, "of these accounts")
	fs.StringSliceVarP(&s.partitions, "partition", "r", nil, "of these partitions")
	fs.StringSliceVarP(&s.states, "state", "s", nil, "in these states")
	fs.StringSliceVarP(&s.names, "name", "", nil, "of these names")
	fs.StringSliceVarP(&s.qos, "qos", "q", nil, "of these qualities of service")
	fs.StringVarP(&s.jobs, "jobs", "j", "", "these jobs")
	fs.StringVarP(&s.format, "format", "o", "", "columns, as JobID%20,State")
	fs.BoolVarP(&s.allocationsOnly, "allocations", "X", false, "no steps")
	fs.BoolVarP(&s.duplicates, "duplicates", "D", false, "every attempt")
	fs.BoolVarP(&s.parsable2, "parsable2", "P", false, "bars between")
	fs.BoolVarP(&s.parsable, "parsable", "p", false, "bars between and at the end")
	fs.BoolVarP(&s.withoutHeader, "noheader", "n", false, "no titles")
	fs.BoolVarP(&s.allUsers, "allusers", "a", false, "of all users")
	fs.BoolVarP(&s.listColumns, "helpformat", "e", false, "list the columns")
	fs.BoolVar(&s.printAsJSON, "json", false, "JSON")
	return fs
}

// separators returns the value of slurm.AcctTable's parameter parsable: "P" for bars between columns,
// "p" for bars also at the end of each line, "" for aligned columns.
func (s *sacctFlags) separators() string {
	switch {
	case s.parsable2:
		return "P"
	case s.parsable:
		return "p"
	}
	return ""
}

// filter returns the filter that the options describe, without the period. Unless users, accounts,
// jobs or all users are selected, it selects the jobs of the present user.
func (s *sacctFlags) filter() (f slurm.AcctFilter, err error) {
	f = slurm.AcctFilter{Users: s.users, Accounts: s.accounts, Partitions: s.partitions, Names: s.names, QOS: s.qos}
	if f.States, err = parseStates(s.states); err != nil {
		return f, err
	}
	if s.jobs != "" {
		f.Jobs, err = parseTargets(splitJobs(s.jobs))
		return f, err
	}
	if !s.allUsers && len(s.users)+len(s.accounts) == 0 {
		f.Users = []string{userName()}
	}
	return f, nil
}

func sacct(cmd *cobra.Command, cl *client.Client, args []string) error {
	var flags sacctFlags
	if err := parseFlags(cmd, flags.flagSet(), args); err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	if flags.listColumns {
		_, err := fmt.Fprintln(out, slurm.AcctFieldNames())
		return err
	}
	layout, err := slurm.AcctTable(flags.format, flags.separators())
	if err != nil {
		return err
	}
	now := time.Now()
	from, to, err := parsePeriod(flags.start, flags.end, now)
	if err != nil {
		return err
	}
	filter, err := flags.filter()
	if err != nil {
		return err
	}
	filter.FromMs, filter.ToMs = from.UnixMilli(), to.UnixMilli()
	if len(filter.Jobs) > 0 && flags.start == "" {
		if from, err = earliestStart(cmd.Context(), cl, filter.Jobs, now); err != nil {
			return err
		}
		filter.FromMs = 0
	}
	recs, err := readRecords(cmd.Context(), cl, from, to)
	if err != nil {
		return err
	}
	lines := sacctLines(recs, &filter, slurm.AcctOptions{AllocationsOnly: flags.allocationsOnly, Duplicates: flags.duplicates, NowMs: now.UnixMilli(), Zone: time.Local})
	if flags.printAsJSON {
		return writeSacctJSON(out, lines)
	}
	return writeSacctTable(out, layout, !flags.withoutHeader, lines)
}

// sacctLines yields the rows that the filter selects, of the records that it selects.
func sacctLines(recs []*slurm.Record, filter *slurm.AcctFilter, options slurm.AcctOptions) iter.Seq[*slurm.AcctRow] {
	return func(yield func(*slurm.AcctRow) bool) {
		for _, record := range recs {
			if !filter.Matches(record) {
				continue
			}
			for _, line := range slurm.AcctRows(record, options) {
				if filter.MatchesRow(&line) && !yield(&line) {
					return
				}
			}
		}
	}
}

func writeSacctTable(w io.Writer, layout *slurm.Table[slurm.AcctRow], header bool, lines iter.Seq[*slurm.AcctRow]) error {
	if header {
		if _, err := io.WriteString(w, layout.Header()); err != nil {
			return err
		}
	}
	for line := range lines {
		if _, err := io.WriteString(w, layout.Row(line)); err != nil {
			return err
		}
	}
	return nil
}

// writeSacctJSON prints each line as a JSON object with all columns.
func writeSacctJSON(w io.Writer, lines iter.Seq[*slurm.AcctRow]) error {
	var jobs []map[string]string
	for line := range lines {
		names, values := line.Values()
		job := make(map[string]string, len(names))
		for k, name := range names {
			job[name] = values[k]
		}
		jobs = append(jobs, job)
	}
	return writeListing(w, jobs)
}

// earliestStart returns the earliest time from which accounting must be read for the jobs: the start of
// an ended job, its end if it never started, or the acceptance of an active job. Jobs that don't
// exist are ignored. The result is never after now.
func earliestStart(ctx context.Context, cl *client.Client, jobs []slurm.JobSelector, now time.Time) (time.Time, error) {
	earliest := now
	for _, target := range jobs {
		found, err := cl.JobByNumber(ctx, target.Number)
		if errors.Is(err, client.ErrNotFound) {
			continue // like Slurm's sacct, which ignores jobs that don't exist
		}
		if err != nil {
			return now, err
		}
		info, err := cl.Info(ctx, found.UID)
		if err != nil {
			return now, err
		}
		ms := info.AcceptedMs
		if ending := info.Ending; ending != nil {
			if ms = ending.StartMs; ms == 0 {
				ms = ending.EndMs
			}
		}
		if start := time.UnixMilli(ms); ms > 0 && start.Before(earliest) {
			earliest = start
		}
	}
	return earliest, nil
}
