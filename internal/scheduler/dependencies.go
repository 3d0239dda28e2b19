package scheduler

import (
	"context"
	"fmt"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/jobstate"
)

// RemoteJobs queries other leaders for jobs whose shards this leader does not lead.
type RemoteJobs interface {
	// JobFacts returns a job's progress as known to the leader of its shard.
	JobFacts(ctx context.Context, uid string) (jobspec.JobFacts, error)
	// HasEarlier reports whether another leader has an unfinished job of the same name and user
	// with a lower number.
	HasEarlier(ctx context.Context, name, user string, number uint64) (bool, error)
}

// dependencyQuery holds the dependencies of a job that this leader can't evaluate by itself.
type dependencyQuery struct {
	job          *jobstate.Job
	dependencies []int // indices into the job's Constraints.Dependencies
}

// evaluateDependencies evaluates the job's pending dependencies by what this leader knows, and
// returns the indices of those that it can't evaluate.
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

// dependencyFacts returns the facts that decide a job's dependency. known is false if this
// leader does not know them for certain.
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

// hasEarlier reports whether this leader has an unfinished job of the name and user with a
// lower number.
func (s *Scheduler) hasEarlier(name, user string, number uint64) bool {
	for _, job := range s.state.JobOrder {
		if job.Constraints != nil && job.Constraints.Name == name && job.Constraints.User == user && job.Constraints.Number < number {
			return true
		}
	}
	return false
}

// factsOf returns the progress of a job whose shard this leader leads, or the end of a job
// whose final record is still in memory.
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

// LocalFacts returns the progress of a job whose shard this leader leads, or the end of a job
// whose final record is still in memory. It reports false for other jobs, and for all jobs
// while this controller's lease does not hold.
func (s *Scheduler) LocalFacts(uid string) (jobspec.JobFacts, bool) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	if s.state.Membership.LeaseRemaining() <= 0 {
		return jobspec.JobFacts{}, false
	}
	return s.factsOf(uid)
}

// HasEarlierLocal reports whether this leader has an unfinished job of the name and user with a
// lower number.
func (s *Scheduler) HasEarlierLocal(name, user string, number uint64) bool {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	return s.hasEarlier(name, user, number)
}

// ReadStoredFacts returns how a job ended according to the state service. The error wraps
// statestore.ErrNotFound for a live job, whose progress only the leader of its shard knows.
func ReadStoredFacts(ctx context.Context, store jobrecord.Reader, uid string) (jobspec.JobFacts, error) {
	final, err := jobrecord.ReadFinal(ctx, store, uid)
	if err != nil {
		return jobspec.JobFacts{}, err
	}
	return final.Facts(), nil
}

// queryRemote evaluates dependencies of a job by querying other leaders.
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

// remoteFacts queries other leaders for the facts that decide a dependency of a job with the
// constraints.
func (s *Scheduler) remoteFacts(ctx context.Context, constraints *jobstate.ConstraintState, dependency jobspec.Dependency) (jobspec.JobFacts, error) {
	if dependency.Kind == jobspec.Singleton {
		earlier, err := s.remoteJobs.HasEarlier(ctx, constraints.Name, constraints.User, constraints.Number)
		if err != nil {
			return jobspec.JobFacts{}, fmt.Errorf("query earlier jobs of the same name: %w", err)
		}
		return jobspec.JobFacts{Over: !earlier, OK: true}, nil
	}
	facts, err := s.remoteJobs.JobFacts(ctx, dependency.Job)
	if err != nil {
		return jobspec.JobFacts{}, fmt.Errorf("query job %s: %w", dependency.Job, err)
	}
	return facts, nil
}
