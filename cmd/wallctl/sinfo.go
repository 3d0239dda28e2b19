package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wallrack/wallrack/internal/client"
	"github.com/wallrack/wallrack/internal/slurm"
)

func sinfo(cmd *cobra.Command, cl *client.Client, args []string) error {
	fs := pflag.NewFlagSet("sinfo", pflag.ContinueOnError)
	each, noHeader := fs.BoolP("Node", "N", false, "a line for each machine"), fs.BoolP("noheader", "h", false, "no titles")
	format, parts := fs.StringP("format", "o", "", "layout, as %N %T"), list(fs, "partition", "p", "of these partitions")
	asJSON := fs.Bool("json", false, "JSON")
	if err := parse(cmd, fs, args); err != nil {
		return err
	}
	site, err := cl.Site(cmd.Context())
	if err != nil {
		return err
	}
	if *asJSON {
		data, err := cl.Raw(cmd.Context(), machinesPath)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(cmd.OutOrStdout(), "{\"sinfo\":%s}\n", strings.TrimSpace(string(data)))
		return err
	}
	ms, err := machines(cmd.Context(), cl)
	if err != nil {
		return err
	}
	t, err := slurm.NodeTable(*format, *each)
	if err != nil {
		return err
	}
	out := cmd.OutOrStdout()
	if !*noHeader {
		fmt.Fprint(out, t.Header())
	}
	for _, r := range slurm.Nodes(ms, site, *each) {
		if len(*parts) == 0 || slices.Contains(*parts, strings.TrimSuffix(r.Partition, "*")) {
			fmt.Fprint(out, t.Row(&r))
		}
	}
	return nil
}
