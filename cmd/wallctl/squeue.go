package main

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/slurm"
)

// longQueueFormat is the output format of squeue -l.
const longQueueFormat = "%.18i %.9P %.8j %.8u %.8T %.10M %.9l %.6D %R"

// squeueFlags are squeue's options.
type squeueFlags struct {
	*filterFlags
	jobs, format, names            string
	start, withoutHeader, eachTask bool
	longFormat, printAsJSON        bool
}

// newSqueueFlags returns the options of squeue. The help lists them in the order in which they are defined.
func newSqueueFlags() (*squeueFlags, *pflag.FlagSet) {
	fs := pflag.NewFlagSet("squeue", pflag.ContinueOnError)
	s := &squeueFlags{filterFlags: addFilterFlags(fs, "states")}
	fs.StringVarP(&s.jobs, "jobs", "j", "", "these jobs")
	fs.StringVarP(&s.format, "format", "o", "", "layout, as %.18i %j")
	fs.StringVarP(&s.names, "Format", "O", "", "layout, as JobArrayID:18,Name")
	fs.BoolVar(&s.start, "start", false, "when waiting jobs may start at the earliest")
	fs.BoolVarP(&s.withoutHeader, "noheader", "h", false, "no titles")
	fs.BoolVarP(&s.eachTask, "array", "r", false, "a line for each task of an array")
	fs.BoolVarP(&s.longFormat, "long", "l", false, "more columns")
	fs.BoolVar(&s.printAsJSON, "json", false, "JSON")
	return s, fs
}

// filter returns the filter that the options describe. With --start, it selects pending rows by default.
func (s *squeueFlags) filter() (slurm.QueueFilter, error) {
	f, err := s.filterFlags.filter()
	if err != nil {
		return f, err
	}
	if s.jobs != "" {
		if f.Jobs, err = parseTargets(splitJobs(s.jobs)); err != nil {
			return f, err
		}
	}
	if s.start && len(f.States) == 0 {
		f.States = []string{"PENDING"}
	}
	return f, nil
}

// layout returns the table layout that the options describe.
func (s *squeueFlags) layout() (*slurm.Table[slurm.QueueRow], error) {
	format := s.format
	if s.longFormat && format == "" {
		format = longQueueFormat
	}
	return slurm.QueueTable(format, s.names, s.start)
}

func squeue(cmd *cobra.Command, cl *client.Client, args []string) error {
	flags, fs := newSqueueFlags()
	if err := parseFlags(cmd, fs, args); err != nil {
		return err
	}
	filter, err := flags.filter()
	if err != nil {
		return err
	}
	layout, err := flags.layout()
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	if !flags.withoutHeader && !flags.printAsJSON {
		if _, err := io.WriteString(out, layout.Header()); err != nil {
			return err
		}
	}
	var selected []slurm.QueueJSON
	err = cl.Jobs(cmd.Context(), func(page *jobquery.Page) error {
		return selectRows(page, &filter, flags.eachTask, func(row *slurm.QueueRow) error {
			if flags.printAsJSON {
				selected = append(selected, row.JSON())
				return nil
			}
			_, err := io.WriteString(out, layout.Row(row))
			return err
		})
	})
	if err != nil {
		return fmt.Errorf("%s: %w", listFailed, err)
	}
	if flags.printAsJSON {
		return writeListing(out, selected)
	}
	return nil
}

// selectRows calls each for the rows of a page that the filter selects. It stops at the first error.
func selectRows(page *jobquery.Page, filter *slurm.QueueFilter, eachTask bool, each func(*slurm.QueueRow) error) error {
	for i := range page.Jobs {
		rows := slurm.QueueRows(&page.Jobs[i], eachTask, page.NowMs, time.Local)
		for k := range rows {
			if !filter.Matches(&rows[k]) {
				continue
			}
			if err := each(&rows[k]); err != nil {
				return err
			}
		}
	}
	return nil
}
