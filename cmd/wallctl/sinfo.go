package main

import (
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/slurm"
)

func sinfo(cmd *cobra.Command, cl *client.Client, args []string) error {
	fs := pflag.NewFlagSet("sinfo", pflag.ContinueOnError) // the help lists the options in their order here
	eachWorker := fs.BoolP("Node", "N", false, "a line for each machine")
	withoutHeader := fs.BoolP("noheader", "h", false, "no titles")
	format := fs.StringP("format", "o", "", "layout, as %N %T")
	partitions := fs.StringSliceP("partition", "p", nil, "of these partitions")
	printAsJSON := fs.Bool("json", false, "JSON")
	if err := parseFlags(cmd, fs, args); err != nil {
		return err
	}
	site, err := cl.Site(cmd.Context())
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	if *printAsJSON {
		data, err := cl.Get(cmd.Context(), workersPath)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(out, "{\"sinfo\":%s}\n", strings.TrimSpace(string(data)))
		return err
	}
	workers, err := listWorkers(cmd.Context(), cl)
	if err != nil {
		return err
	}
	layout, err := slurm.NodeTable(*format, *eachWorker)
	if err != nil {
		return err
	}
	if !*withoutHeader {
		if _, err := io.WriteString(out, layout.Header()); err != nil {
			return err
		}
	}
	for _, row := range slurm.NodeRows(workers, site, *eachWorker) {
		if len(*partitions) > 0 && !slices.Contains(*partitions, strings.TrimSuffix(row.Partition, "*")) {
			continue
		}
		if _, err := io.WriteString(out, layout.Row(&row)); err != nil {
			return err
		}
	}
	return nil
}
