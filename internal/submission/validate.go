package submission

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// roundingTolerance is how far a request may exceed a limit: sums of float64 are not exact.
const roundingTolerance = 1e-6

// rejection is the reason why a submission can't be accepted, with the text for its user.
type rejection struct {
	status int
	reason string
}

func (r *rejection) reply() Reply { return Reply{Status: r.status, Reason: r.reason} }

func unprocessable(reason string) *rejection {
	return &rejection{http.StatusUnprocessableEntity, reason}
}

// validate parses a submission and returns the job with the constraints to be recorded. The job
// is returned even with a rejection if the body is a JSON object.
func (s *Service) validate(ctx context.Context, body []byte, requested *jobspec.Constraints) (*wire.Job, *jobspec.Constraints, *rejection) {
	job, err := wire.ParseJob(body)
	if err != nil {
		return job, nil, &rejection{http.StatusBadRequest, err.Error()}
	}
	if rejected := s.checkSatisfiable(job); rejected != nil {
		return job, nil, rejected
	}
	constraints, rejected := s.resolveConstraints(ctx, job, requested)
	return job, constraints, rejected
}

// checkSatisfiable rejects a job whose team is unknown, that exceeds its team's limit or fits on
// no machine type. It also rejects every job while the machine types are unknown.
func (s *Service) checkSatisfiable(job *wire.Job) *rejection {
	types := s.catalog.All()
	if len(types) == 0 {
		return &rejection{http.StatusServiceUnavailable, "machine types not known yet"}
	}
	team := s.team(job.Team)
	if team == nil {
		return unprocessable("unknown team")
	}
	minParallel := 1.0 // minimum number of tasks that run at the same time
	if job.Service() || job.Gang() {
		minParallel = float64(job.Tasks)
	}
	if team.CPUsMax > 0 && minParallel*job.CPUs > team.CPUsMax+roundingTolerance || team.GPUsMax > 0 && minParallel*job.GPUs > team.GPUsMax+roundingTolerance {
		return unprocessable("more than the team's limit")
	}
	if !slices.ContainsFunc(types, func(t wire.MachineType) bool { return fits(job, &t) }) {
		return unprocessable("a task fits no allowed machine type")
	}
	return nil
}

// team returns a team's settings, nil if the team is unknown.
func (s *Service) team(name string) *config.Team {
	teams := s.cfg.Params.Teams
	for i := range teams {
		if teams[i].Name == name {
			return &teams[i]
		}
	}
	return nil
}

// fits reports whether a task of a job fits on an empty machine of type t and the job allows the
// type.
func fits(job *wire.Job, t *wire.MachineType) bool {
	return job.CPUs <= t.CPUs+roundingTolerance && job.GPUs <= t.GPUs+roundingTolerance && job.MemoryGB <= t.MemoryGB+roundingTolerance &&
		(job.Types == nil || slices.Contains(job.Types, t.Name)) && (job.Zone == nil || slices.Contains(t.Zones, *job.Zone))
}

// resolveConstraints validates a submission's constraints and sets the ids of the jobs that it
// depends on. For a job without constraints it returns constraints with a newly allocated number,
// or nil if jobs have no numbers.
func (s *Service) resolveConstraints(ctx context.Context, job *wire.Job, requested *jobspec.Constraints) (*jobspec.Constraints, *rejection) {
	switch {
	case s.numbers == nil && requested == nil:
		return nil, nil
	case s.numbers == nil:
		return nil, unprocessable("this site gives jobs no numbers and takes no terms")
	case requested == nil:
		number, err := s.numbers.Take(ctx, job.Tasks)
		if err != nil {
			return nil, s.numbersUnavailable(err)
		}
		return &jobspec.Constraints{Number: number}, nil
	}
	if err := requested.Validate(job.Tasks, job.Gang(), job.Service(), time.Now()); err != nil {
		return nil, unprocessable(err.Error())
	}
	allocated, err := s.numbers.Allocated(ctx, requested.Number, job.Tasks)
	if err != nil {
		return nil, s.numbersUnavailable(err)
	}
	if !allocated {
		return nil, unprocessable("number: was given to nobody")
	}
	if rejected := s.resolveDependencies(ctx, job, requested.Dependencies); rejected != nil {
		return nil, rejected
	}
	return requested, nil
}

// resolveDependencies sets the ids of the jobs that dependencies name by number.
func (s *Service) resolveDependencies(ctx context.Context, job *wire.Job, dependencies []jobspec.Dependency) *rejection {
	for i := range dependencies {
		dependency := &dependencies[i]
		if dependency.Kind == jobspec.Singleton {
			continue
		}
		found, err := s.numbers.Find(ctx, dependency.Number)
		switch {
		case errors.Is(err, statestore.ErrNotFound):
			return unprocessable(fmt.Sprintf("dependency: there is no job %d", dependency.Number))
		case err != nil:
			return s.numbersUnavailable(err)
		case found.UID == job.UID:
			return unprocessable("dependency: a job can't wait for itself")
		}
		dependency.Job = found.UID
	}
	return nil
}

func (s *Service) numbersUnavailable(err error) *rejection {
	s.log.Debug("job numbers unavailable", "err", err)
	return &rejection{http.StatusServiceUnavailable, "can't tell numbers now"}
}
