package scheduler

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/periodic"
)

const (
	constraintInterval  = 500 * time.Millisecond
	remoteQueryInterval = 2 * time.Second // minimum pause between remote queries for one job's dependencies
	maxRemoteQueries    = 16              // jobs per round whose dependencies are queried remotely
)

// watchConstraints resolves cancels with an unknown outcome and enforces jobs' constraints,
// such as dependencies and deadlines, periodically until ctx ends. It does nothing while this
// controller's lease does not hold.
func (s *Scheduler) watchConstraints(ctx context.Context) {
	_ = periodic.Run(ctx, constraintInterval, func() { // ends with ctx
		if s.state.Membership.LeaseRemaining() > 0 {
			s.resolveCancels(ctx)
			s.enforceConstraints(ctx)
		}
	})
}

// enforceConstraints evaluates the constraints of all jobs once, queries other leaders where
// needed, and cancels the jobs that their constraints end.
func (s *Scheduler) enforceConstraints(ctx context.Context) {
	queries, cancels := s.evaluateConstraints(time.Now())
	for _, query := range queries {
		if err := s.queryRemote(ctx, query); err != nil {
			s.log.Debug("dependency not evaluated yet", "job", query.job.Spec.UID, "err", err)
		}
	}
	for uid, reason := range cancels {
		cancelCtx, cancel := context.WithTimeout(ctx, jobrecord.TxnTimeout)
		if _, err := s.cancelWithReason(cancelCtx, uid, reason); err != nil {
			s.log.Debug("cancel by a constraint failed", "job", uid, "err", err)
		}
		cancel()
	}
}

// evaluateConstraints evaluates the constraints of all jobs by what this leader knows. It
// returns the dependencies for which other leaders must be queried, and the jobs to cancel,
// each with the reason. It returns dependencies of at most maxRemoteQueries jobs per call, and
// those of the same job at most once per remoteQueryInterval.
func (s *Scheduler) evaluateConstraints(now time.Time) (queries []dependencyQuery, cancels map[string]string) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	cancels = map[string]string{}
	for _, job := range s.state.JobOrder {
		constraints := job.Constraints
		if constraints == nil || job.Cancelled || job.EndStage != "" {
			continue
		}
		before := constraints.DependencyOutcome
		unknown := s.evaluateDependencies(job, now)
		if len(unknown) > 0 && now.Sub(constraints.QueriedAt) > remoteQueryInterval && len(queries) < maxRemoteQueries && s.remoteJobs != nil {
			constraints.QueriedAt = now
			queries = append(queries, dependencyQuery{job: job, dependencies: unknown})
		}
		s.recordEligible(job, before, now)
		if reason := cancelReason(constraints, now); reason != "" {
			cancels[job.Spec.UID] = reason
		}
	}
	return queries, cancels
}

// recordEligible sets the time since which the job waits for free resources alone, once its
// constraints allow a start. before is the combined outcome of its dependencies before this
// evaluation.
func (s *Scheduler) recordEligible(job *jobstate.Job, before jobspec.Outcome, now time.Time) {
	constraints := job.Constraints
	if constraints.EligibleMs != 0 || constraints.WaitReason(constraints.DependencyOutcome, now.UnixMilli()) != "" {
		return
	}
	constraints.EligibleMs = max(job.AcceptedMs, constraints.BeginMs)
	if len(constraints.Dependencies) > 0 || before != constraints.DependencyOutcome {
		constraints.EligibleMs = now.UnixMilli()
	}
	jobstate.Notify(s.state.PlanSignal)
}

// cancelReason returns the end state that the constraints impose on the job now, or "" if they
// impose none.
func cancelReason(constraints *jobstate.ConstraintState, now time.Time) string {
	switch {
	case constraints.DeadlineMs > 0 && now.UnixMilli() > constraints.DeadlineMs:
		return jobspec.Deadline
	case constraints.DependencyOutcome == jobspec.Unsatisfiable && constraints.CancelIfUnsatisfiable:
		return jobspec.Cancelled
	}
	return ""
}
