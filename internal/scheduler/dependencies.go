package scheduler

import (
	"context"
	"fmt"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/jobstate"
)

// RemoteJobs queries other leaders for jobs that this one does not have.
type RemoteJobs interface {
	// JobFacts returns how far a job is, whoever leads its shard.
	JobFacts(ctx context.Context, uid string) (jobspec.JobFacts, error)
	// HasEarlier reports whether another leader has an unfinished job of the name and user
	// with a lower number.
	HasEarlier(ctx context.Context, name, user string, number uint64) (bool, error)
}

// dependencyQuery is dependencies of a job that this leader can't evaluate.
type dependencyQuery struct {
	job          *jobstate.Job
	dependencies []int // indexes
}

// evaluateDependencies evaluates the pending dependencies of a job by what is known here, and
// returns those that it can't evaluate.
func (s *Scheduler) evaluateDependencies(job *jobstate.Job, now time.Time) (unknown []int) {
	constraints := job.Constraints
	for i, dependency := range constraints.Dependencies {
		if constraints.Outcomes[i] != jobspec.Pending {
			continue
		}
		if facts, known := s.dependencyFacts(job, dependency); known {
			constraints.Outcomes[i] = dependency.Evaluate(facts, now.UnixMilli())
		} else {
			unknown = append(unknown, i)
		}
	}
	constraints.DependencyOutcome = constraints.Combine(constraints.Outcomes)
	return unknown
}

// dependencyFacts returns what this leader surely knows of what a job depends on.
func (s *Scheduler) dependencyFacts(job *jobstate.Job, dependency jobspec.Dependency) (facts jobspec.JobFacts, known bool) {
	if dependency.Kind != jobspec.Singleton {
		return s.factsOf(dependency.Job)
	}
	if s.hasEarlier(job.Constraints.Name, job.Constraints.User, job.Constraints.Number) {
		return jobspec.JobFacts{}, true
	}
	leadsAllShards := len(s.state.Loaded) == s.state.Operator.Shards
	return jobspec.JobFacts{Over: true, OK: true}, leadsAllShards
}

// hasEarlier reports whether an unfinished job of the name and user with a lower number is here.
func (s *Scheduler) hasEarlier(name, user string, number uint64) bool {
	for _, job := range s.state.JobOrder {
		if job.Constraints != nil && job.Constraints.Name == name && job.Constraints.User == user && job.Constraints.Number < number {
			return true
		}
	}
	return false
}

// factsOf returns how far a job is that this leader has, or had until it ended.
func (s *Scheduler) factsOf(uid string) (facts jobspec.JobFacts, known bool) {
	if job := s.state.Jobs[uid]; job != nil {
		facts.Started = job.ObservedStarts > 0 || job.Done > 0
		if job.Constraints != nil {
			facts.StartedMs = job.Constraints.StartMs
		}
		return facts, true
	}
	if final, ended := s.state.FinalRecords[uid]; ended {
		return final.Facts(), true
	}
	return jobspec.JobFacts{}, false
}

// LocalFacts returns how far a job is that this leader has, or had until it ended. It reports
// false for other jobs, and for all while the lease does not hold.
func (s *Scheduler) LocalFacts(uid string) (jobspec.JobFacts, bool) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	if s.state.Membership.LeaseRemaining() <= 0 {
		return jobspec.JobFacts{}, false
	}
	return s.factsOf(uid)
}

// HasEarlierLocal reports whether an unfinished job of the name and user with a lower
// number is here.
func (s *Scheduler) HasEarlierLocal(name, user string, number uint64) bool {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	return s.hasEarlier(name, user, number)
}

// StoredFacts returns how a job ended, as the state service has it. The error wraps
// statestore.ErrNotFound for a living job: how far that is only its leader knows.
func StoredFacts(ctx context.Context, store jobrecord.Reader, uid string) (jobspec.JobFacts, error) {
	final, err := jobrecord.ReadFinal(ctx, store, uid)
	if err != nil {
		return jobspec.JobFacts{}, err
	}
	return final.Facts(), nil
}

// queryRemote evaluates dependencies of a job by what other leaders know.
func (s *Scheduler) queryRemote(ctx context.Context, query dependencyQuery) error {
	ctx, cancel := context.WithTimeout(ctx, jobrecord.TxnTimeout)
	defer cancel()
	constraints := query.job.Constraints
	for _, i := range query.dependencies {
		dependency := constraints.Dependencies[i]
		facts, err := s.remoteFacts(ctx, constraints, dependency)
		if err != nil {
			return err
		}
		s.state.Mu.Lock()
		constraints.Outcomes[i] = dependency.Evaluate(facts, time.Now().UnixMilli())
		constraints.DependencyOutcome = constraints.Combine(constraints.Outcomes)
		s.state.Mu.Unlock()
	}
	return nil
}

// remoteFacts returns what other leaders know of what a job with the constraints depends on.
func (s *Scheduler) remoteFacts(ctx context.Context, constraints *jobstate.ConstraintState, dependency jobspec.Dependency) (jobspec.JobFacts, error) {
	if dependency.Kind == jobspec.Singleton {
		earlier, err := s.remoteJobs.HasEarlier(ctx, constraints.Name, constraints.User, constraints.Number)
		if err != nil {
			return jobspec.JobFacts{}, fmt.Errorf("query earlier jobs of the name: %w", err)
		}
		return jobspec.JobFacts{Over: !earlier, OK: true}, nil
	}
	facts, err := s.remoteJobs.JobFacts(ctx, dependency.Job)
	if err != nil {
		return jobspec.JobFacts{}, fmt.Errorf("query job %s: %w", dependency.Job, err)
	}
	return facts, nil
}
