package main

import (
	"fmt"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/lowerbound"
)

// boundCommand compares a logged day with the best that could have been.
func boundCommand() *cobra.Command {
	var cheap, dear float64
	c := &cobra.Command{
		Use:   "bound LOG --cheap-cpus N --dear TIMES",
		Short: "Say how a day logged with LOG_LEVEL=debug could have gone at best",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if cheap <= 0 || dear < 1 {
				return fmt.Errorf("--cheap-cpus must be above 0 and --dear at least 1")
			}
			f, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer f.Close()
			jobs, err := lowerbound.Read(f)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if len(jobs) == 0 {
				return fmt.Errorf("%s: no job ended there; was it written with LOG_LEVEL=debug?", args[0])
			}
			r := lowerbound.Of(jobs, cheap, dear)
			out := cmd.OutOrStdout()
			fmt.Fprintf(out, "jobs %d, work %.0f CPU-seconds, busiest %.0f CPUs\n", r.Jobs, r.Work, r.BusiestCPUs)
			fmt.Fprintf(out, "beyond cheap capacity in time: %.1f %% of the work; price at best %.2f\n", 100*r.Dear/r.Work, r.Price)
			var classes []string
			for _, j := range jobs {
				if !slices.Contains(classes, j.Class) {
					classes = append(classes, j.Class)
				}
			}
			slices.Sort(classes)
			for _, c := range classes {
				fmt.Fprintf(out, "%s: late %.3f, on cheap capacity alone at best %.3f\n", c, r.Late[c], r.LateCheap[c])
			}
			return nil
		},
	}
	c.Flags().Float64Var(&cheap, "cheap-cpus", 0, "CPUs of cheap machines that can be had")
	c.Flags().Float64Var(&dear, "dear", 1, "what a CPU of an ordinary machine costs, in prices of a cheap one's")
	return c
}
