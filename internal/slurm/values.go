package slurm

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobspec"
)

// ParseMemoryMB reads an amount of memory: megabytes, or with K, M, G or T.
func ParseMemoryMB(v string) (float64, error) {
	units := map[byte]float64{'K': 1. / 1024, 'M': 1, 'G': 1024, 'T': 1024 * 1024}
	num, unit := v, 1.0
	if v != "" {
		if u, ok := units[strings.ToUpper(v[len(v)-1:])[0]]; ok {
			num, unit = v[:len(v)-1], u
		}
	}
	n, err := strconv.ParseUint(num, 10, 40)
	if err != nil {
		return 0, fmt.Errorf("%.40q is not an amount of memory", v)
	}
	if n == 0 {
		return 0, errors.New("all of a machine's memory can't be asked for")
	}
	return float64(n) * unit, nil
}

// maxLimit keeps limits within what a job may say.
const maxLimit = 366 * 24 * 3600

// ParseLimit reads a time limit in any of Slurm's forms; 0 is none.
func ParseLimit(v string) (float64, error) {
	bad := fmt.Errorf("%.40q is not a time limit", v)
	switch strings.ToUpper(v) {
	case "INFINITE", "UNLIMITED", "-1":
		return 0, nil
	}
	days, clock, withDays := strings.Cut(v, "-")
	if !withDays {
		days, clock = "0", v
	}
	units := []float64{60}
	parts := strings.Split(clock, ":")
	switch {
	case withDays && len(parts) <= 3:
		units = []float64{3600, 60, 1}[:len(parts)]
	case len(parts) == 2:
		units = []float64{60, 1}
	case len(parts) == 3:
		units = []float64{3600, 60, 1}
	case len(parts) != 1:
		return 0, bad
	}
	sum := 0.0
	for i, p := range append([]string{days}, parts...) {
		n, err := strconv.ParseUint(p, 10, 31)
		if err != nil {
			return 0, bad
		}
		if i == 0 {
			sum += float64(n) * 24 * 3600
		} else {
			sum += float64(n) * units[i-1]
		}
	}
	if sum > maxLimit {
		return 0, errors.New("is over a year")
	}
	return sum, nil
}

func parseMs(v string, now time.Time) (int64, error) {
	t, err := ParseTime(v, now)
	return t.UnixMilli(), err
}

// ParseTime reads a point of time in Slurm's forms, in now's zone: a time of day
// that is over means tomorrow's.
func ParseTime(v string, now time.Time) (time.Time, error) {
	low := strings.ToLower(strings.TrimSpace(v))
	bad := fmt.Errorf("%.40q is not a time", v)
	y, m, d := now.Date()
	day := time.Date(y, m, d, 0, 0, 0, 0, now.Location())
	switch low {
	case "today":
		return now, nil
	case "tomorrow":
		return day.AddDate(0, 0, 1), nil
	case "midnight":
		return day.AddDate(0, 0, 1), nil
	}
	if rest, ok := strings.CutPrefix(low, "now"); ok {
		if rest == "" {
			return now, nil
		}
		sign := time.Duration(1)
		if rest[0] == '-' {
			sign = -1
		} else if rest[0] != '+' {
			return now, bad
		}
		digits := strings.TrimLeft(rest[1:], "0123456789")
		n, err := strconv.ParseInt(rest[1:len(rest)-len(digits)], 10, 32)
		unit, ok := map[string]time.Duration{"": time.Second, "second": time.Second, "minute": time.Minute, "hour": time.Hour, "day": 24 * time.Hour, "week": 7 * 24 * time.Hour}[strings.TrimSuffix(digits, "s")]
		if err != nil || !ok {
			return now, bad
		}
		return now.Add(sign * time.Duration(n) * unit), nil
	}
	for name, h := range map[string]int{"noon": 12, "fika": 15, "teatime": 16} {
		if low == name {
			return nextClock(day.Add(time.Duration(h)*time.Hour), now), nil
		}
	}
	for _, form := range []string{"15:04", "15:04:05", "3:04pm", "3:04 pm"} {
		if t, err := time.ParseInLocation(form, low, now.Location()); err == nil {
			return nextClock(time.Date(y, m, d, t.Hour(), t.Minute(), t.Second(), 0, now.Location()), now), nil
		}
	}
	for _, form := range []string{"2006-01-02t15:04:05", "2006-01-02t15:04", "2006-01-02", "01/02/06", "010206", "01/02/06-15:04", "01/02/06-15:04:05"} {
		if t, err := time.ParseInLocation(form, low, now.Location()); err == nil {
			return t, nil
		}
	}
	for _, form := range []string{"01/02", "0102"} {
		if t, err := time.ParseInLocation(form, low, now.Location()); err == nil {
			at := time.Date(y, t.Month(), t.Day(), 0, 0, 0, 0, now.Location())
			if at.Before(day) {
				at = at.AddDate(1, 0, 0)
			}
			return at, nil
		}
	}
	return now, bad
}

// ParsePast reads a point of time that a report begins or ends with: a time of day
// is the last such.
func ParsePast(v string, now time.Time) (time.Time, error) {
	t, err := ParseTime(v, now)
	if err == nil && t.After(now) && !strings.ContainsAny(v, "-/") {
		t = t.AddDate(0, 0, -1)
	}
	return t, err
}

func nextClock(t, now time.Time) time.Time {
	if t.Before(now) {
		return t.AddDate(0, 0, 1)
	}
	return t
}

func setArray(o *Options, v string, _ time.Time) error {
	spec, most, limited := strings.Cut(v, "%")
	if limited {
		n, err := strconv.Atoi(most)
		if err != nil || n < 1 {
			return fmt.Errorf("%.40q is not a number of tasks at once", most)
		}
		o.Most = n
	}
	if _, err := jobspec.ParseRanges(spec); err != nil {
		return fmt.Errorf("invalid job array specification: %w", err)
	}
	o.Array = spec
	return nil
}

func setConstraint(o *Options, v string, _ time.Time) error {
	if v != "spot" {
		return fmt.Errorf("%.40q: no feature but spot is supported by wallrack", v)
	}
	o.Spot = true
	return nil
}

func setDependency(o *Options, v string, _ time.Time) error {
	if _, _, err := parseDependency(v); err != nil {
		return err
	}
	o.Dependency = v
	return nil
}

func setExport(o *Options, v string, _ time.Time) error {
	if v == "" || strings.EqualFold(v, "NIL") {
		return errors.New("ALL, NONE or a list of variables is needed")
	}
	o.Export = v
	return nil
}

// parseGPUs reads [TYPE:]N; types of GPU are refused.
func parseGPUs(v string) (int, error) {
	if name, _, typed := strings.Cut(v, ":"); typed {
		return 0, fmt.Errorf("type %.40q: types of GPU are not supported by wallrack; use --nodelist with a machine type", name)
	}
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > 10_000 {
		return 0, fmt.Errorf("%.40q is not a number of GPUs", v)
	}
	return n, nil
}

func setGPUs(perTask bool) func(*Options, string, time.Time) error {
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
	name, n, counted := strings.Cut(strings.TrimPrefix(v, "gres/"), ":")
	if name != "gpu" {
		return fmt.Errorf("%.40q: no generic resource but gpu is supported by wallrack", name)
	}
	if !counted {
		n = "1"
	}
	o.GPUs, err = parseGPUs(n)
	o.GPUsPerTask = false
	return err
}

func setYes(at func(*Options) *bool) func(*Options, string, time.Time) error {
	return func(o *Options, v string, _ time.Time) error {
		if v != "yes" && v != "no" {
			return errors.New("yes or no is needed")
		}
		*at(o) = v == "yes"
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

func setNodes(_ *Options, v string, _ time.Time) error {
	if v != "1" && v != "1-1" {
		return errors.New("a task is on one machine; for many, use --array or srun --ntasks")
	}
	return nil
}

func setList(at func(*Options) *[]string) func(*Options, string, time.Time) error {
	return func(o *Options, v string, _ time.Time) error {
		list := strings.Split(v, ",")
		for _, x := range list {
			if x == "" || strings.ContainsAny(x, "[]/") {
				return fmt.Errorf("%.40q: names of machine types and zones are needed", v)
			}
		}
		*at(o) = list
		return nil
	}
}

// parseDependency reads a dependency list; any tells that one is enough.
func parseDependency(v string) (deps []jobspec.Dependency, any bool, err error) {
	sep := ","
	if strings.Contains(v, "?") {
		if strings.Contains(v, ",") {
			return nil, false, errors.New("either all (,) or any (?) of a list can be asked for")
		}
		sep, any = "?", true
	}
	for _, part := range strings.Split(v, sep) {
		if part == "singleton" {
			deps = append(deps, jobspec.Dependency{Kind: jobspec.Singleton})
			continue
		}
		kind, list, _ := strings.Cut(part, ":")
		switch kind {
		case jobspec.After, jobspec.AfterAny, jobspec.AfterOK, jobspec.AfterNotOK:
		case "aftercorr", "afterburstbuffer", "expand":
			return nil, false, fmt.Errorf("%s is not supported by wallrack", kind)
		default:
			return nil, false, fmt.Errorf("%.40q is not a dependency", part)
		}
		for _, id := range strings.Split(list, ":") {
			num, delay, delayed := strings.Cut(id, "+")
			if strings.Contains(num, "_") {
				return nil, false, fmt.Errorf("%.40q: dependencies on single tasks of an array are not supported by wallrack", id)
			}
			d := jobspec.Dependency{Kind: kind}
			if d.Number, err = strconv.ParseUint(num, 10, 47); err != nil || d.Number == 0 {
				return nil, false, fmt.Errorf("%.40q is not a job's number", id)
			}
			if delayed {
				minutes, err := strconv.ParseUint(delay, 10, 24)
				if err != nil || kind != jobspec.After {
					return nil, false, fmt.Errorf("%.40q: minutes go with after only", id)
				}
				d.DelayS = int64(minutes) * 60
			}
			deps = append(deps, d)
		}
	}
	if len(deps) > jobspec.MaxDependencies {
		return nil, false, fmt.Errorf("more than %d dependencies", jobspec.MaxDependencies)
	}
	return deps, any, nil
}
