package slurm

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/spf13/pflag"
)

// OptionValues contains the options that one source sets. The keys are long option names, the values
// are not validated. Sources are the command line, the environment and the script.
type OptionValues map[string]string

// newFlagSet returns the parser for a command's options. Parsing stops at the first positional
// argument, because the options after it belong to the submitted program.
func newFlagSet(cmd Command) *pflag.FlagSet {
	fs := pflag.NewFlagSet(string(cmd), pflag.ContinueOnError)
	fs.SetInterspersed(false)
	fs.SortFlags = false
	for _, o := range optionTable {
		if o.only != "" && o.only != cmd {
			continue
		}
		fs.StringP(o.name, o.short, "", o.help)
		switch o.kind {
		case noValue:
			fs.Lookup(o.name).NoOptDefVal = "true"
		case optionalValue:
			fs.Lookup(o.name).NoOptDefVal = "100" // Slurm's default for --nice without a value
		}
	}
	return fs
}

// Help returns the help text for a command's options.
func Help(cmd Command) string { return newFlagSet(cmd).FlagUsages() }

// ErrHelp is returned by ParseArgs if the arguments contain --help or -h.
var ErrHelp = pflag.ErrHelp

// ParseArgs splits a command line into its options and the positional arguments. It doesn't
// validate the options' values. The error is a *UsageError or ErrHelp.
func ParseArgs(cmd Command, args []string) (OptionValues, []string, error) {
	fs := newFlagSet(cmd)
	fs.SetOutput(io.Discard)
	fs.Usage = func() {}
	if err := fs.Parse(args); err != nil {
		if errors.Is(err, pflag.ErrHelp) {
			return nil, nil, ErrHelp
		}
		return nil, nil, flagError(err)
	}
	given := OptionValues{}
	fs.Visit(func(f *pflag.Flag) { given[f.Name] = f.Value.String() })
	return given, fs.Args(), nil
}

// flagError converts an error of the flag parser to a *UsageError. Its text distinguishes
// options that Slurm has but wallrack doesn't support from unknown options.
func flagError(err error) error {
	var unknown *pflag.NotExistError
	if !errors.As(err, &unknown) {
		return &UsageError{Message: err.Error()}
	}
	name := unknown.GetSpecifiedName()
	if slices.Contains(unsupportedOptions, name) {
		return &UsageError{Option: name, Message: "is not supported by wallrack"}
	}
	if unknown.GetSpecifiedShortnames() != "" {
		return &UsageError{Message: fmt.Sprintf("-%s: unknown or not supported by wallrack", name)}
	}
	return &UsageError{Option: name, Message: "unrecognized option"}
}

// FromEnv returns the options set by environment variables: SBATCH_* for sbatch, SLURM_* for
// srun. An empty variable is ignored, unless its option takes no value.
func FromEnv(cmd Command, lookup func(string) (string, bool)) OptionValues {
	prefix := "SBATCH_"
	if cmd == Srun {
		prefix = "SLURM_"
	}
	given := OptionValues{}
	for _, o := range optionTable {
		if o.env == "" || o.only != "" && o.only != cmd {
			continue
		}
		value, found := lookup(prefix + o.env)
		switch {
		case !found:
		case o.kind == noValue:
			given[o.name] = "true" // as in Slurm, the variable's value is ignored
		case value != "":
			given[o.name] = value
		}
	}
	return given
}

// MergeOptions merges the sources, in which later ones override earlier ones, and validates the
// resulting values. Relative times are resolved against now. By default a job has one task with
// one CPU, and exports all variables. The error is a *UsageError.
func MergeOptions(_ Command, now time.Time, sources ...OptionValues) (*Options, error) {
	o := &Options{Tasks: 1, CPUs: 1, Export: "ALL"}
	merged := OptionValues{}
	for _, source := range sources {
		maps.Copy(merged, source)
	}
	for _, opt := range optionTable {
		value, found := merged[opt.name]
		if !found {
			continue
		}
		if err := opt.set(o, value, now); err != nil {
			return nil, &UsageError{Option: opt.name, Message: err.Error()}
		}
	}
	if o.MemoryMB > 0 && o.MemoryPerCPUMB > 0 {
		return nil, &UsageError{Option: "mem", Message: "is mutually exclusive with --mem-per-cpu"}
	}
	return o, nil
}
