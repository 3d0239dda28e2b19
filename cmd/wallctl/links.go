package main

import (
	"fmt"
	"io"
	"strings"

	"github.com/goccy/go-json"
	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/reachability"
)

// linksCommand returns the command that shows which controllers reach each other, the state service
// and the cloud, as known to the controller that responds.
func (a *app) linksCommand() *cobra.Command {
	return &cobra.Command{Use: "links", Short: "Show which controller reaches what", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		cl, err := a.client()
		if err != nil {
			return err
		}
		out, err := cl.Get(cmd.Context(), "/ops/links")
		if err != nil {
			return err
		}
		if a.json {
			_, err := cmd.OutOrStdout().Write(out)
			return err
		}
		var status reachability.OpsStatus
		if err := json.Unmarshal(out, &status); err != nil {
			return fmt.Errorf("links: malformed answer: %w", err)
		}
		return printLinks(cmd.OutOrStdout(), &status)
	}}
}

func printLinks(w io.Writer, status *reachability.OpsStatus) error {
	t := newTable(w, 0)
	t.printf("CONTROLLER\tREACHED\tAGE\tSTATE\tLEASE\tJOBS\tCLOUD\tREPORTS\tEXPECTED\tLACKS\n")
	for _, c := range status.Controllers {
		t.printf("%s\t%s\t%.1f s\t%s\t%s\t%s\t%s\t%d\t%.0f\t%s\n", c.Node, c.Reached, c.AgeS, yesNo(c.State), yesNo(c.Held), yesNo(c.Owns), yesNo(c.Cloud),
			c.Reports, c.Expected, strings.Join(c.Lacks, ","))
	}
	t.printf("\nLINK OF %s\tIS\tFOR\n", strings.ToUpper(status.Node))
	for _, link := range status.Links {
		t.printf("%s\t%s\t%.0f s\n", link.To, link.Is, link.SinceS)
	}
	t.printf("\ncancels are known up to %.0f s ago, of %d jobs; workers are answered: %s\n", status.CancelsAgeS, status.Cancelled, yesNo(status.Answers))
	if status.Kept > 0 {
		t.printf("\n%d silent machines are kept: see the log for why\n", status.Kept)
	}
	return t.flush()
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}
