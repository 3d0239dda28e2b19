package main

import (
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"github.com/wallrack/wallrack/internal/slurm"
)

// filterFlags are the options of squeue and scancel that select jobs.
type filterFlags struct {
	users, states, partitions, accounts, names, qos []string
	ownJobs                                         bool
}

// addFilterFlags adds the options to fs. The help lists them in the order in which they are defined.
// stateOption is the name of the option for states, which differs between the commands.
func addFilterFlags(fs *pflag.FlagSet, stateOption string) *filterFlags {
	f := &filterFlags{}
	fs.StringSliceVarP(&f.users, "user", "u", nil, "of these users")
	fs.StringSliceVarP(&f.states, stateOption, "t", nil, "in these states")
	fs.StringSliceVarP(&f.partitions, "partition", "p", nil, "of these partitions")
	fs.StringSliceVarP(&f.accounts, "account", "A", nil, "of these accounts")
	fs.StringSliceVarP(&f.names, "name", "n", nil, "of these names")
	fs.StringSliceVarP(&f.qos, "qos", "q", nil, "of these qualities of service")
	fs.BoolVar(&f.ownJobs, "me", false, "my jobs")
	return f
}

// filter returns the filter that the parsed options describe.
func (f *filterFlags) filter() (filter slurm.QueueFilter, err error) {
	filter = slurm.QueueFilter{Users: f.users, Partitions: f.partitions, Accounts: f.accounts, Names: f.names, QOS: f.qos}
	if f.ownJobs {
		filter.Users = []string{userName()}
	}
	filter.States, err = parseStates(f.states)
	return filter, err
}

// parseFlags parses the options of a command other than sbatch and srun. For --help it prints the
// options and returns pflag.ErrHelp.
func parseFlags(cmd *cobra.Command, fs *pflag.FlagSet, args []string) error {
	fs.SetOutput(io.Discard)
	fs.SortFlags = false
	fs.Usage = func() {}
	err := fs.Parse(args)
	if errors.Is(err, pflag.ErrHelp) {
		if _, printErr := fmt.Fprintf(cmd.OutOrStdout(), "Usage: %s [OPTIONS]\n%s", fs.Name(), fs.FlagUsages()); printErr != nil {
			return printErr
		}
	}
	return err
}

// parseStates returns the long names of states that are given by short or long names. It returns nil
// if one of them is "all".
func parseStates(names []string) ([]string, error) {
	var states []string
	for _, name := range names {
		if strings.EqualFold(name, "all") {
			return nil, nil
		}
		state, known := slurm.StateName(name)
		if !known {
			return nil, &slurm.UsageError{Message: "Invalid state specified: " + name}
		}
		states = append(states, state)
	}
	return states, nil
}

// parseTargets parses each element of a list from splitJobs.
func parseTargets(jobs []string) ([]slurm.JobSelector, error) {
	var targets []slurm.JobSelector
	for _, job := range jobs {
		target, err := slurm.ParseJobSelector(job)
		if err != nil {
			return nil, err
		}
		targets = append(targets, target)
	}
	return targets, nil
}

// splitJobs splits a list of jobs at commas outside brackets.
func splitJobs(list string) []string {
	var jobs []string
	depth, from := 0, 0
	for i, c := range list {
		switch {
		case c == '[':
			depth++
		case c == ']':
			depth--
		case c == ',' && depth == 0:
			jobs = append(jobs, list[from:i])
			from = i + 1
		}
	}
	return append(jobs, list[from:])
}
