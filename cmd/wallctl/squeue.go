package main

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/slurm"
)

func squeue(cmd *cobra.Command, cl *client.Client, args []string) error {
	fs := pflag.NewFlagSet("squeue", pflag.ContinueOnError)
	filter := filters(fs, "states")
	jobs := fs.StringP("jobs", "j", "", "these jobs")
	format, long := fs.StringP("format", "o", "", "layout, as %.18i %j"), fs.StringP("Format", "O", "", "layout, as JobArrayID:18,Name")
	start := fs.Bool("start", false, "when waiting jobs may start at the earliest")
	noHeader, each := fs.BoolP("noheader", "h", false, "no titles"), fs.BoolP("array", "r", false, "a line for each task of an array")
	more, asJSON := fs.BoolP("long", "l", false, "more columns"), fs.Bool("json", false, "JSON")
	if err := parse(cmd, fs, args); err != nil {
		return err
	}
	f, err := filter()
	if err != nil {
		return err
	}
	if *jobs != "" {
		if f.Jobs, err = targets(jobList(*jobs)); err != nil {
			return err
		}
	}
	if *start && len(f.States) == 0 {
		f.States = []string{"PENDING"}
	}
	if *more && *format == "" {
		*format = "%.18i %.9P %.8j %.8u %.8T %.10M %.9l %.6D %R"
	}
	t, err := slurm.QueueTable(*format, *long, *start)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	var all []slurm.QueueJSON
	if !*noHeader && !*asJSON {
		fmt.Fprint(out, t.Header())
	}
	err = cl.Jobs(cmd.Context(), func(p *jobquery.Page) error {
		for i := range p.Jobs {
			rows := slurm.Queue(&p.Jobs[i], *each, p.NowMs, time.Local)
			for k := range rows {
				switch r := &rows[k]; {
				case !f.Has(r):
				case *asJSON:
					all = append(all, r.JSON())
				default:
					if _, err := io.WriteString(out, t.Row(r)); err != nil {
						return err
					}
				}
			}
		}
		return nil
	})
	if err != nil {
		return fmt.Errorf("%s: %w", stepList, err)
	}
	if *asJSON {
		if all == nil {
			all = []slurm.QueueJSON{}
		}
		return json.NewEncoder(out).Encode(map[string]any{"jobs": all, "errors": []string{}})
	}
	return nil
}
