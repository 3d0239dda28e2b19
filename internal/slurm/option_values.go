package slurm

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobspec"
)

// setText returns a setter for a string option, which must not be empty.
func setText(dest func(o *Options) *string) setter {
	return func(o *Options, v string, _ time.Time) error {
		if v == "" {
			return errors.New("a value is needed")
		}
		*dest(o) = v
		return nil
	}
}

// setFlag returns a setter for a boolean option.
func setFlag(dest func(o *Options) *bool) setter {
	return func(o *Options, v string, _ time.Time) error {
		on, err := strconv.ParseBool(v)
		*dest(o) = on
		return err
	}
}

// setCount returns a setter for an integer from minimum to 1,000,000.
func setCount(minimum int, dest func(o *Options) *int) setter {
	return func(o *Options, v string, _ time.Time) error {
		n, err := strconv.Atoi(v)
		if err != nil || n < minimum || n > 1_000_000 {
			return fmt.Errorf("%.40q is not a number from %d", v, minimum)
		}
		*dest(o) = n
		return nil
	}
}

// setMemory returns a setter for an amount of memory. It parses the value with ParseMemoryMB.
func setMemory(dest func(o *Options) *float64) setter {
	return func(o *Options, v string, _ time.Time) (err error) {
		*dest(o), err = ParseMemoryMB(v)
		return err
	}
}

// ParseMemoryMB parses an amount of memory and returns it in megabytes. The unit may be K, M, G or
// T, and is M by default. Zero, with which Slurm requests all memory of a node, is an error.
func ParseMemoryMB(v string) (float64, error) {
	units := map[byte]float64{'K': 1. / 1024, 'M': 1, 'G': 1024, 'T': 1024 * 1024}
	number, unit := v, 1.0
	if v != "" {
		if u, found := units[strings.ToUpper(v[len(v)-1:])[0]]; found {
			number, unit = v[:len(v)-1], u
		}
	}
	n, err := strconv.ParseUint(number, 10, 40)
	if err != nil {
		return 0, fmt.Errorf("%.40q is not an amount of memory", v)
	}
	if n == 0 {
		return 0, errors.New("all of a machine's memory can't be asked for")
	}
	return float64(n) * unit, nil
}

// maxTimeLimitS is the longest time limit that a job may request, in seconds.
const maxTimeLimitS = 366 * 24 * 3600

// ParseTimeLimit parses a time limit in any of Slurm's formats and returns it in seconds; 0
// means unlimited. A limit above maxTimeLimitS is an error.
func ParseTimeLimit(v string) (float64, error) {
	invalid := fmt.Errorf("%.40q is not a time limit", v)
	switch strings.ToUpper(v) {
	case "INFINITE", "UNLIMITED", "-1":
		return 0, nil
	}
	days, clock, hasDays := strings.Cut(v, "-")
	if !hasDays {
		days, clock = "0", v
	}
	units := []float64{60}
	parts := strings.Split(clock, ":")
	switch {
	case hasDays && len(parts) <= 3:
		units = []float64{3600, 60, 1}[:len(parts)]
	case len(parts) == 2:
		units = []float64{60, 1}
	case len(parts) == 3:
		units = []float64{3600, 60, 1}
	case len(parts) != 1:
		return 0, invalid
	}
	sumS := 0.0
	for i, part := range append([]string{days}, parts...) {
		n, err := strconv.ParseUint(part, 10, 31)
		if err != nil {
			return 0, invalid
		}
		if i == 0 {
			sumS += float64(n) * 24 * 3600
		} else {
			sumS += float64(n) * units[i-1]
		}
	}
	if sumS > maxTimeLimitS {
		return 0, errors.New("is over a year")
	}
	return sumS, nil
}

func setArray(o *Options, v string, _ time.Time) error {
	indices, limit, hasLimit := strings.Cut(v, "%")
	if hasLimit {
		n, err := strconv.Atoi(limit)
		if err != nil || n < 1 {
			return fmt.Errorf("%.40q is not a number of tasks at once", limit)
		}
		o.MaxConcurrent = n
	}
	if _, err := jobspec.ParseRanges(indices); err != nil {
		return fmt.Errorf("invalid job array specification: %w", err)
	}
	o.Array = indices
	return nil
}

func setConstraint(o *Options, v string, _ time.Time) error {
	if v != "spot" {
		return fmt.Errorf("%.40q: no feature but spot is supported by wallrack", v)
	}
	o.Spot = true
	return nil
}

func setExport(o *Options, v string, _ time.Time) error {
	if v == "" || strings.EqualFold(v, "NIL") {
		return errors.New("ALL, NONE or a list of variables is needed")
	}
	o.Export = v
	return nil
}

// parseGPUs parses a number of GPUs in the form [TYPE:]N and rejects values with a type.
func parseGPUs(v string) (int, error) {
	if name, _, hasType := strings.Cut(v, ":"); hasType {
		return 0, fmt.Errorf("type %.40q: types of GPU are not supported by wallrack; use --nodelist with a machine type", name)
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > 10_000 {
		return 0, fmt.Errorf("%.40q is not a number of GPUs", v)
	}
	return n, nil
}

// setGPUs returns a setter for the number of GPUs, either per task or of the whole job.
func setGPUs(perTask bool) setter {
	return func(o *Options, v string, _ time.Time) (err error) {
		o.GPUs, err = parseGPUs(v)
		o.GPUsPerTask = perTask
		return err
	}
}

func setGres(o *Options, v string, _ time.Time) (err error) {
	if strings.EqualFold(v, "NONE") {
		o.GPUs = 0
		return nil
	}
	name, number, hasNumber := strings.Cut(strings.TrimPrefix(v, "gres/"), ":")
	if name != "gpu" {
		return fmt.Errorf("%.40q: no generic resource but gpu is supported by wallrack", name)
	}
	if !hasNumber {
		number = "1"
	}
	o.GPUs, err = parseGPUs(number)
	o.GPUsPerTask = false
	return err
}

// setYesNo returns a setter for an option with the value yes or no.
func setYesNo(dest func(*Options) *bool) setter {
	return func(o *Options, v string, _ time.Time) error {
		if v != "yes" && v != "no" {
			return errors.New("yes or no is needed")
		}
		*dest(o) = v == "yes"
		return nil
	}
}

func setNice(o *Options, v string, _ time.Time) error {
	n, err := strconv.Atoi(v)
	if err != nil || n > 2147483645 {
		return fmt.Errorf("%.40q is not a nice value", v)
	}
	if n < 0 {
		return errors.New("a negative value would go before others: that is nobody's to ask")
	}
	o.Nice = n
	return nil
}

// setNodes accepts only one node, because each wallrack task runs on exactly one machine.
func setNodes(_ *Options, v string, _ time.Time) error {
	if v != "1" && v != "1-1" {
		return errors.New("a task is on one machine; for many, use --array or srun --ntasks")
	}
	return nil
}

// setList returns a setter for a list of machine types and zones. Slurm's host ranges, such as
// node[1-4], are rejected.
func setList(dest func(*Options) *[]string) setter {
	return func(o *Options, v string, _ time.Time) error {
		list := strings.Split(v, ",")
		for _, name := range list {
			if name == "" || strings.ContainsAny(name, "[]/") {
				return fmt.Errorf("%.40q: names of machine types and zones are needed", v)
			}
		}
		*dest(o) = list
		return nil
	}
}
