package main

import (
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-json"
	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/reachability"
)

// links shows which controller reaches what, as the one that is asked knows it.
func (a *app) links() *cobra.Command {
	return &cobra.Command{Use: "links", Short: "Show which controller reaches what", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		cl, err := a.client()
		if err != nil {
			return err
		}
		out, err := cl.Raw(cmd.Context(), "/ops/links")
		if err != nil {
			return err
		}
		if a.json {
			_, err := cmd.OutOrStdout().Write(out)
			return err
		}
		var s reachability.OpsStatus
		if err := json.Unmarshal(out, &s); err != nil {
			return fmt.Errorf("links: malformed answer: %w", err)
		}
		t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "CONTROLLER\tREACHED\tAGE\tSTATE\tLEASE\tJOBS\tCLOUD\tREPORTS\tEXPECTED\tLACKS")
		for _, c := range s.Controllers {
			fmt.Fprintf(t, "%s\t%s\t%.1f s\t%s\t%s\t%s\t%s\t%d\t%.0f\t%s\n", c.Node, c.Reached, c.AgeS, yes(c.State), yes(c.Held), yes(c.Owns), yes(c.Cloud),
				c.Reports, c.Expected, strings.Join(c.Lacks, ","))
		}
		fmt.Fprintf(t, "\nLINK OF %s\tIS\tFOR\n", strings.ToUpper(s.Node))
		for _, l := range s.Links {
			fmt.Fprintf(t, "%s\t%s\t%.0f s\n", l.To, l.Is, l.SinceS)
		}
		fmt.Fprintf(t, "\ncancels are known up to %.0f s ago, of %d jobs; workers are answered: %s\n", s.CancelsAgeS, s.Cancelled, yes(s.Answers))
		if s.Kept > 0 {
			fmt.Fprintf(t, "\n%d silent machines are kept: see the log for why\n", s.Kept)
		}
		return t.Flush()
	}}
}

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
