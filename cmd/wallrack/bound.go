package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/spf13/cobra"

	"github.com/wallrack/wallrack/internal/lowerbound"
)

// boundCommand returns the command that reads the log of a day and prints the lowest cost and lateness that
// its jobs could have had.
func boundCommand() *cobra.Command {
	var spotCPUs, onDemandPrice float64
	c := &cobra.Command{
		Use:   "bound LOG --cheap-cpus N --dear TIMES",
		Short: "Say how a day logged with LOG_LEVEL=debug could have gone at best",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if spotCPUs <= 0 || onDemandPrice < 1 {
				return errors.New("--cheap-cpus must be above 0 and --dear at least 1")
			}
			jobs, err := readEndedJobs(args[0])
			if err != nil {
				return err
			}
			printBound(cmd.OutOrStdout(), jobs, lowerbound.Compute(jobs, spotCPUs, onDemandPrice))
			return nil
		},
	}
	c.Flags().Float64Var(&spotCPUs, "cheap-cpus", 0, "CPUs of cheap machines that can be had")
	c.Flags().Float64Var(&onDemandPrice, "dear", 1, "what a CPU of an ordinary machine costs, in prices of a cheap one's")
	return c
}

// readEndedJobs reads the ended jobs from a log. It fails if there are none.
func readEndedJobs(path string) ([]lowerbound.Job, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // an error of closing after reading has no effect
	jobs, err := lowerbound.ReadJobs(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(jobs) == 0 {
		return nil, fmt.Errorf("%s: no job ended there; was it written with LOG_LEVEL=debug?", path)
	}
	return jobs, nil
}

func printBound(w io.Writer, jobs []lowerbound.Job, r lowerbound.Result) {
	printTo(w, "jobs %d, work %.0f CPU-seconds, busiest %.0f CPUs\n", r.Jobs, r.TotalWork, r.PeakCPUs)
	printTo(w, "beyond cheap capacity in time: %.1f %% of the work; price at best %.2f\n", 100*r.OnDemandWork/r.TotalWork, r.RelativeCost)
	var classes []string
	for _, job := range jobs {
		if !slices.Contains(classes, job.Class) {
			classes = append(classes, job.Class)
		}
	}
	slices.Sort(classes)
	for _, class := range classes {
		printTo(w, "%s: late %.3f, on cheap capacity alone at best %.3f\n", class, r.LateAsRun[class], r.LateOnSpot[class])
	}
}
