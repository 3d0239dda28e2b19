package slurm

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobspec"
)

func setDependency(o *Options, v string, _ time.Time) error {
	if _, _, err := parseDependency(v); err != nil {
		return err
	}
	o.Dependency = v
	return nil
}

// parseDependency parses the value of --dependency. anyOne reports whether one satisfied
// dependency is sufficient for the job to start.
func parseDependency(v string) (deps []jobspec.Dependency, anyOne bool, err error) {
	separator := ","
	if strings.Contains(v, "?") {
		if strings.Contains(v, ",") {
			return nil, false, errors.New("either all (,) or any (?) of a list can be asked for")
		}
		separator, anyOne = "?", true
	}
	for _, part := range strings.Split(v, separator) {
		partDeps, err := parseDependencyPart(part)
		if err != nil {
			return nil, false, err
		}
		deps = append(deps, partDeps...)
	}
	if len(deps) > jobspec.MaxDependencies {
		return nil, false, fmt.Errorf("more than %d dependencies", jobspec.MaxDependencies)
	}
	return deps, anyOne, nil
}

// parseDependencyPart parses one element of a dependency list: KIND:JOB[:JOB...] or singleton.
func parseDependencyPart(part string) (deps []jobspec.Dependency, err error) {
	if part == "singleton" {
		return []jobspec.Dependency{{Kind: jobspec.Singleton}}, nil
	}
	kind, list, _ := strings.Cut(part, ":")
	switch kind {
	case jobspec.After, jobspec.AfterAny, jobspec.AfterOK, jobspec.AfterNotOK:
	case "aftercorr", "afterburstbuffer", "expand":
		return nil, fmt.Errorf("%s is not supported by wallrack", kind)
	default:
		return nil, fmt.Errorf("%.40q is not a dependency", part)
	}
	for _, id := range strings.Split(list, ":") {
		dep, err := parseDependencyJob(kind, id)
		if err != nil {
			return nil, err
		}
		deps = append(deps, dep)
	}
	return deps, nil
}

// parseDependencyJob parses a job number with an optional delay: JOB[+MINUTES]. A delay is an
// error unless kind is jobspec.After.
func parseDependencyJob(kind, id string) (jobspec.Dependency, error) {
	number, delay, hasDelay := strings.Cut(id, "+")
	if strings.Contains(number, "_") {
		return jobspec.Dependency{}, fmt.Errorf("%.40q: dependencies on single tasks of an array are not supported by wallrack", id)
	}
	dep := jobspec.Dependency{Kind: kind}
	var err error
	if dep.Number, err = strconv.ParseUint(number, 10, 47); err != nil || dep.Number == 0 {
		return jobspec.Dependency{}, fmt.Errorf("%.40q is not a job's number", id)
	}
	if hasDelay {
		minutes, err := strconv.ParseUint(delay, 10, 24)
		if err != nil || kind != jobspec.After {
			return jobspec.Dependency{}, fmt.Errorf("%.40q: minutes go with after only", id)
		}
		dep.DelayS = int64(minutes) * 60
	}
	return dep, nil
}

// formatDependencies formats a job's dependencies in the syntax of --dependency.
func formatDependencies(c *jobspec.Constraints) string {
	parts := make([]string, 0, len(c.Dependencies))
	for _, dep := range c.Dependencies {
		part := dep.Kind
		if dep.Kind != jobspec.Singleton {
			part += ":" + strconv.FormatUint(dep.Number, 10)
		}
		if dep.DelayS > 0 {
			part += "+" + strconv.FormatInt(dep.DelayS/60, 10)
		}
		parts = append(parts, part)
	}
	if c.AnyDependency {
		return strings.Join(parts, "?")
	}
	return strings.Join(parts, ",")
}
