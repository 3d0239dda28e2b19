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

// list parses a list option.
func list(fs *pflag.FlagSet, name, short, help string) *[]string {
	return fs.StringSliceP(name, short, nil, help)
}

// filters makes the options that squeue and scancel share; what they mean is known
// when they were read.
func filters(fs *pflag.FlagSet, stateOption string) func() (slurm.Filter, error) {
	users, sts := list(fs, "user", "u", "of these users"), list(fs, stateOption, "t", "in these states")
	parts, accounts := list(fs, "partition", "p", "of these partitions"), list(fs, "account", "A", "of these accounts")
	names, qos := list(fs, "name", "n", "of these names"), list(fs, "qos", "q", "of these qualities of service")
	me := fs.Bool("me", false, "my jobs")
	return func() (f slurm.Filter, err error) {
		f = slurm.Filter{Users: *users, Partitions: *parts, Accounts: *accounts, Names: *names, QOS: *qos}
		if *me {
			f.Users = []string{userName()}
		}
		f.States, err = states(*sts)
		return f, err
	}
}

// parse reads the options of a command that asks.
func parse(cmd *cobra.Command, fs *pflag.FlagSet, args []string) error {
	fs.SetOutput(io.Discard)
	fs.SortFlags = false
	fs.Usage = func() {}
	err := fs.Parse(args)
	if errors.Is(err, pflag.ErrHelp) {
		fmt.Fprintf(cmd.OutOrStdout(), "Usage: %s [OPTIONS]\n%s", fs.Name(), fs.FlagUsages())
	}
	return err
}

// states reads names of states, short or long.
func states(names []string) ([]string, error) {
	var out []string
	for _, n := range names {
		if strings.EqualFold(n, "all") {
			return nil, nil
		}
		s, ok := slurm.StateName(n)
		if !ok {
			return nil, &slurm.Usage{Why: "Invalid state specified: " + n}
		}
		out = append(out, s)
	}
	return out, nil
}

func targets(args []string) ([]slurm.Target, error) {
	var out []slurm.Target
	for _, s := range args {
		t, err := slurm.ParseTarget(s)
		if err != nil {
			return nil, err
		}
		out = append(out, t)
	}
	return out, nil
}

// jobList splits a list of jobs at commas outside brackets.
func jobList(s string) []string {
	var out []string
	depth, from := 0, 0
	for i, c := range s {
		switch {
		case c == '[':
			depth++
		case c == ']':
			depth--
		case c == ',' && depth == 0:
			out = append(out, s[from:i])
			from = i + 1
		}
	}
	return append(out, s[from:])
}
