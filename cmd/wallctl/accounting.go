package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wallrack/wallrack/internal/accounting/export"
	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/slurm"
)

// maxDays bounds how far back one question reads.
const maxDays = 400

// records reads what ended from one time to another, and what is living.
func records(ctx context.Context, cl *client.Client, from, to time.Time) ([]*slurm.Record, error) {
	c := slurm.NewCollector()
	// What ended after the window may have run in it.
	first, last := from.UTC().Truncate(24*time.Hour), time.Now().UTC()
	if last.Sub(first) > maxDays*24*time.Hour {
		return nil, fmt.Errorf("more than %d days are asked for", maxDays)
	}
	for day := first; !day.After(last); day = day.Add(24 * time.Hour) {
		if err := cl.Accounts(ctx, day, c.Add); err != nil {
			return nil, fmt.Errorf("accounting of %s: %w", day.Format(time.DateOnly), err)
		}
	}
	if err := cl.Jobs(ctx, func(p *jobquery.Page) error {
		for i := range p.Jobs {
			c.AddLiving(&p.Jobs[i])
		}
		return nil
	}); err != nil {
		return nil, err
	}
	all := c.Records()
	f := slurm.AcctFilter{FromMs: from.UnixMilli(), ToMs: to.UnixMilli()}
	out := all[:0]
	for _, r := range all {
		if f.Has(r) {
			out = append(out, r)
		}
	}
	return out, nil
}

// window reads -S and -E.
func window(start, end string, now time.Time) (from, to time.Time, err error) {
	y, m, d := now.Date()
	from, to = time.Date(y, m, d, 0, 0, 0, 0, now.Location()), now
	if start != "" {
		if from, err = slurm.ParsePast(start, now); err != nil {
			return from, to, fmt.Errorf("--starttime: %w", err)
		}
	}
	if end != "" {
		if to, err = slurm.ParsePast(end, now); err != nil {
			return from, to, fmt.Errorf("--endtime: %w", err)
		}
	}
	if to.Before(from) {
		return from, to, &slurm.Usage{Why: "Start time is after end time"}
	}
	return from, to, nil
}

func sacct(cmd *cobra.Command, cl *client.Client, args []string) error {
	fs := pflag.NewFlagSet("sacct", pflag.ContinueOnError)
	start, end := fs.StringP("starttime", "S", "", "from this time; else from midnight"), fs.StringP("endtime", "E", "", "to this time; else now")
	users, accounts := list(fs, "user", "u", "of these users"), list(fs, "accounts", "A", "of these accounts")
	parts, sts := list(fs, "partition", "r", "of these partitions"), list(fs, "state", "s", "in these states")
	names, qos := list(fs, "name", "", "of these names"), list(fs, "qos", "q", "of these qualities of service")
	jobs := fs.StringP("jobs", "j", "", "these jobs")
	format := fs.StringP("format", "o", "", "columns, as JobID%20,State")
	alloc, dup := fs.BoolP("allocations", "X", false, "no steps"), fs.BoolP("duplicates", "D", false, "every attempt")
	parsable2, parsable := fs.BoolP("parsable2", "P", false, "bars between"), fs.BoolP("parsable", "p", false, "bars between and at the end")
	noHeader, everyone := fs.BoolP("noheader", "n", false, "no titles"), fs.BoolP("allusers", "a", false, "of all users")
	helpFormat, asJSON := fs.BoolP("helpformat", "e", false, "list the columns"), fs.Bool("json", false, "JSON")
	if err := parse(cmd, fs, args); err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	if *helpFormat {
		fmt.Fprintln(out, slurm.AcctFieldNames())
		return nil
	}
	bars := ""
	if *parsable {
		bars = "p"
	}
	if *parsable2 {
		bars = "P"
	}
	t, err := slurm.AcctTable(*format, bars)
	if err != nil {
		return err
	}
	now := time.Now()
	from, to, err := window(*start, *end, now)
	if err != nil {
		return err
	}
	f := slurm.AcctFilter{FromMs: from.UnixMilli(), ToMs: to.UnixMilli(), Users: *users, Accounts: *accounts, Partitions: *parts, Names: *names, QOS: *qos}
	if f.States, err = states(*sts); err != nil {
		return err
	}
	if *jobs != "" {
		if f.Jobs, err = targets(jobList(*jobs)); err != nil {
			return err
		}
		if *start == "" {
			if from, err = began(cmd.Context(), cl, f.Jobs, now); err != nil {
				return err
			}
			f.FromMs = 0
		}
	} else if !*everyone && len(*users)+len(*accounts) == 0 {
		f.Users = []string{userName()}
	}
	recs, err := records(cmd.Context(), cl, from, to)
	if err != nil {
		return err
	}
	if !*noHeader && !*asJSON {
		fmt.Fprint(out, t.Header())
	}
	o := slurm.AcctOptions{AllocationsOnly: *alloc, Duplicates: *dup, NowMs: now.UnixMilli(), Zone: time.Local}
	all := []map[string]string{}
	for _, r := range recs {
		if !f.Has(r) {
			continue
		}
		for _, l := range slurm.Lines(r, o) {
			switch {
			case !f.HasLine(&l):
			case *asJSON:
				m := map[string]string{}
				names, values := l.Values()
				for i, n := range names {
					m[n] = values[i]
				}
				all = append(all, m)
			default:
				if _, err := io.WriteString(out, t.Row(&l)); err != nil {
					return err
				}
			}
		}
	}
	if *asJSON {
		return json.NewEncoder(out).Encode(map[string]any{"jobs": all, "errors": []string{}})
	}
	return nil
}

// began finds the day from which on the jobs' rows must be read.
func began(ctx context.Context, cl *client.Client, jobs []slurm.Target, now time.Time) (time.Time, error) {
	from := now
	for _, t := range jobs {
		found, err := cl.Find(ctx, t.Number)
		if errors.Is(err, client.ErrNotFound) {
			continue // sacct says nothing of jobs that are not
		}
		if err != nil {
			return now, err
		}
		i, err := cl.Info(ctx, found.UID)
		if err != nil {
			return now, err
		}
		ms := i.AcceptedMs
		if e := i.Ending; e != nil {
			if ms = e.StartMs; ms == 0 {
				ms = e.EndMs
			}
		}
		if at := time.UnixMilli(ms); ms > 0 && at.Before(from) {
			from = at
		}
	}
	return from, nil
}

func (a *app) accounting() *cobra.Command {
	root := &cobra.Command{Use: "accounting", Short: "Sums, exports and plots of what jobs took"}
	var start, end, by, table, format, file string
	read := func(cmd *cobra.Command) (recs []*slurm.Record, from, to time.Time, err error) {
		cl, err := a.client()
		if err != nil {
			return nil, from, to, err
		}
		if from, to, err = window(start, end, time.Now()); err != nil {
			return nil, from, to, err
		}
		recs, err = records(cmd.Context(), cl, from, to)
		return recs, from, to, err
	}
	times := func(c *cobra.Command) *cobra.Command {
		c.Flags().StringVarP(&start, "starttime", "S", "", "from this time; else from midnight")
		c.Flags().StringVarP(&end, "endtime", "E", "", "to this time; else now")
		return c
	}
	report := times(&cobra.Command{Use: "report", Short: "Sums by account, class, user or day", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		recs, _, _, err := read(cmd)
		if err != nil {
			return err
		}
		sums, err := slurm.Sums(recs, by, time.Local)
		if err != nil {
			return err
		}
		if a.json {
			table = "json"
		}
		if table != "" {
			return export.Write(cmd.OutOrStdout(), table, sums)
		}
		t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintf(t, "%s\tJOBS\tTASKS\tATTEMPTS\tCPU-H\tUSEFUL\tLOST\tGB-H\tWAIT-S\tCOST\t\n", strings.ToUpper(by))
		for _, s := range sums {
			fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f\t%.4f\t\n", s.Key, s.Jobs, s.Tasks, s.Attempts, s.CPUHours, s.UsefulH, s.LostH, s.GBHours, s.WaitS, s.Cost)
		}
		return t.Flush()
	}})
	report.Flags().StringVar(&by, "by", "account", "account, class, user or day")
	report.Flags().StringVar(&table, "format", "", "csv, json or parquet instead of a table")
	exportCommand := times(&cobra.Command{Use: "export", Short: "Write every job and attempt as CSV, JSON or Parquet", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		recs, _, _, err := read(cmd)
		if err != nil {
			return err
		}
		return toFile(cmd, file, func(w io.Writer) error { return export.Write(w, format, export.Lines(recs)) })
	}})
	exportCommand.Flags().StringVar(&format, "format", "csv", "csv, json or parquet")
	exportCommand.Flags().StringVarP(&file, "output", "o", "", "file to write; else standard output")
	plot := times(&cobra.Command{Use: "plot", Short: "Write a page with plots of queue, running tasks and cost", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		recs, from, to, err := read(cmd)
		if err != nil {
			return err
		}
		title := from.Format("2006-01-02 15:04") + " to " + to.Format("2006-01-02 15:04")
		return toFile(cmd, file, func(w io.Writer) error { return export.Plot(w, title, recs, from, to, time.Local) })
	}})
	plot.Flags().StringVarP(&file, "output", "o", "", "file to write; else standard output")
	root.AddCommand(report, exportCommand, plot)
	return root
}

// toFile writes a file whole or not at all.
func toFile(cmd *cobra.Command, file string, write func(io.Writer) error) error {
	if file == "" {
		return write(cmd.OutOrStdout())
	}
	f, err := os.CreateTemp(filepath.Dir(file), filepath.Base(file)+".*")
	if err != nil {
		return fmt.Errorf("--output: %w", err)
	}
	defer os.Remove(f.Name()) // gone already if all went well
	err = write(f)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err == nil {
		err = os.Rename(f.Name(), file)
	}
	return err
}
