package main

import (
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/accounting/export"
	"github.com/wallrack/wallrack/internal/slurm"
)

// periodFlags are the options of a command that reads a period of the accounting.
type periodFlags struct{ start, end string }

func (p *periodFlags) addTo(cmd *cobra.Command) {
	cmd.Flags().StringVarP(&p.start, "starttime", "S", "", "from this time; else from midnight")
	cmd.Flags().StringVarP(&p.end, "endtime", "E", "", "to this time; else now")
}

// read reads the records of the period from the site.
func (p *periodFlags) read(cmd *cobra.Command, a *app) (recs []*slurm.Record, from, to time.Time, err error) {
	cl, err := a.client()
	if err != nil {
		return nil, from, to, err
	}
	if from, to, err = parsePeriod(p.start, p.end, time.Now()); err != nil {
		return nil, from, to, err
	}
	recs, err = readRecords(cmd.Context(), cl, from, to)
	return recs, from, to, err
}

func (a *app) accountingCommand() *cobra.Command {
	root := &cobra.Command{Use: "accounting", Short: "Sums, exports and plots of what jobs took"}
	root.AddCommand(a.accountingReportCommand(), a.accountingExportCommand(), a.accountingPlotCommand())
	return root
}

func (a *app) accountingReportCommand() *cobra.Command {
	var times periodFlags
	var by, format string
	cmd := &cobra.Command{Use: "report", Short: "Sums by account, class, user or day", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		recs, _, _, err := times.read(cmd, a)
		if err != nil {
			return err
		}
		sums, err := slurm.Summarize(recs, by, time.Local)
		if err != nil {
			return err
		}
		if a.json {
			format = "json"
		}
		if format != "" {
			return export.Write(cmd.OutOrStdout(), format, sums)
		}
		return printSums(cmd.OutOrStdout(), by, sums)
	}}
	times.addTo(cmd)
	cmd.Flags().StringVar(&by, "by", "account", "account, class, user or day")
	cmd.Flags().StringVar(&format, "format", "", "csv, json or parquet instead of a table")
	return cmd
}

func printSums(w io.Writer, by string, sums []slurm.Sum) error {
	t := newTable(w, tabwriter.AlignRight)
	t.printf("%s\tJOBS\tTASKS\tATTEMPTS\tCPU-H\tUSEFUL\tLOST\tGB-H\tWAIT-S\tCOST\t\n", strings.ToUpper(by))
	for _, s := range sums {
		t.printf("%s\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.1f\t%.4f\t\n", s.Key, s.Jobs, s.Tasks, s.Attempts, s.CPUHours, s.UsefulCPUHours, s.LostCPUHours, s.MemoryGBHours, s.TotalWaitS, s.Cost)
	}
	return t.flush()
}

func (a *app) accountingExportCommand() *cobra.Command {
	var times periodFlags
	var format, file string
	cmd := &cobra.Command{Use: "export", Short: "Write every job and attempt as CSV, JSON or Parquet", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		recs, _, _, err := times.read(cmd, a)
		if err != nil {
			return err
		}
		return writeOutput(cmd, file, func(w io.Writer) error { return export.Write(w, format, export.Lines(recs)) })
	}}
	times.addTo(cmd)
	cmd.Flags().StringVar(&format, "format", "csv", "csv, json or parquet")
	cmd.Flags().StringVarP(&file, "output", "o", "", "file to write; else standard output")
	return cmd
}

func (a *app) accountingPlotCommand() *cobra.Command {
	var times periodFlags
	var file string
	cmd := &cobra.Command{Use: "plot", Short: "Write a page with plots of queue, running tasks and cost", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		recs, from, to, err := times.read(cmd, a)
		if err != nil {
			return err
		}
		title := from.Format("2006-01-02 15:04") + " to " + to.Format("2006-01-02 15:04")
		return writeOutput(cmd, file, func(w io.Writer) error { return export.Plot(w, title, recs, from, to, time.Local) })
	}}
	times.addTo(cmd)
	cmd.Flags().StringVarP(&file, "output", "o", "", "file to write; else standard output")
	return cmd
}
