package scheduler

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/jobstate"
)

// RemoteJobs answers for jobs that this owner does not have.
type RemoteJobs interface {
	// JobFacts says how far a job is, wherever it is.
	JobFacts(ctx context.Context, uid string) (jobspec.JobFacts, error)
	// HasEarlier reports whether an owner elsewhere has an unfinished job of the
	// name and user with a lower number.
	HasEarlier(ctx context.Context, name, user string, number uint64) (bool, error)
}

const (
	attendEvery = 500 * time.Millisecond
	lookEvery   = 2 * time.Second // at jobs that other owners have
	lookMost    = 16              // of them in one round
)

// attend sees to what terms bring about by themselves: dependencies that are met
// or never will be, and deadlines.
func (s *Scheduler) watchConstraints(ctx context.Context) {
	tick := time.NewTicker(attendEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if s.state.Member.LeaseRemaining() <= 0 {
			continue
		}
		s.resolveCancels(ctx)
		ask, end := s.settleTerms(time.Now())
		for _, q := range ask {
			if err := s.askOthers(ctx, q); err != nil {
				s.log.Debug("a dependency can't be judged yet", "job", q.job.Spec.UID, "err", err)
			}
		}
		for uid, why := range end {
			cctx, cancel := context.WithTimeout(ctx, jobrecord.TxnTimeout)
			if _, err := s.cancelWhy(cctx, uid, why); err != nil {
				s.log.Debug("a job that its terms end is not cancelled yet", "job", uid, "err", err)
			}
			cancel()
		}
	}
}

type dependencyQuery struct {
	job  *jobstate.Job
	open []int // dependencies
}

// settleTerms judges what can be judged here, and says what must be asked
// elsewhere and which jobs end by their own terms.
func (s *Scheduler) settleTerms(now time.Time) (ask []dependencyQuery, end map[string]string) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	for _, job := range s.state.JobOrder {
		a := job.Constraints
		if a == nil || job.Cancelled || job.EndStage != "" {
			continue
		}
		was := a.DependencyOutcome
		q := dependencyQuery{job: job}
		for i, d := range a.Dependencies {
			if a.Outcomes[i] != jobspec.Pending {
				continue
			}
			if f, known := s.facts(job, d); known {
				a.Outcomes[i] = d.Evaluate(f, now.UnixMilli())
			} else {
				q.open = append(q.open, i)
			}
		}
		a.DependencyOutcome = a.Combine(a.Outcomes)
		if len(q.open) > 0 && now.Sub(a.AskedAt) > lookEvery && len(ask) < lookMost && s.remoteJobs != nil {
			a.AskedAt = now
			ask = append(ask, q)
		}
		if a.EligibleMs == 0 && a.WaitReason(a.DependencyOutcome, now.UnixMilli()) == "" {
			a.EligibleMs = max(job.AcceptedMs, a.BeginMs)
			if len(a.Dependencies) > 0 || was != a.DependencyOutcome {
				a.EligibleMs = now.UnixMilli()
			}
			jobstate.Notify(s.state.PlanSignal)
		}
		why := ""
		switch {
		case a.DeadlineMs > 0 && now.UnixMilli() > a.DeadlineMs:
			why = jobspec.Deadline
		case a.DependencyOutcome == jobspec.Unsatisfiable && a.CancelIfUnsatisfiable:
			why = jobspec.Cancelled
		}
		if why != "" {
			if end == nil {
				end = map[string]string{}
			}
			end[job.Spec.UID] = why
		}
	}
	return ask, end
}

// facts says what this owner knows for sure of what a job depends on.
func (s *Scheduler) facts(job *jobstate.Job, d jobspec.Dependency) (jobspec.JobFacts, bool) {
	if d.Kind == jobspec.Singleton {
		if s.earlier(job.Constraints.Name, job.Constraints.User, job.Constraints.Number) {
			return jobspec.JobFacts{}, true
		}
		return jobspec.JobFacts{Over: true, OK: true}, len(s.state.Loaded) == s.state.Operator.Shards
	}
	return s.factsOf(d.Job)
}

func (s *Scheduler) earlier(name, user string, number uint64) bool {
	for _, job := range s.state.JobOrder {
		if job.Constraints != nil && job.Constraints.Name == name && job.Constraints.User == user && job.Constraints.Number < number {
			return true
		}
	}
	return false
}

func (s *Scheduler) factsOf(uid string) (jobspec.JobFacts, bool) {
	if job := s.state.Jobs[uid]; job != nil {
		f := jobspec.JobFacts{Started: job.Started > 0 || job.Done > 0}
		if job.Constraints != nil {
			f.StartedMs = job.Constraints.StartMs
		}
		return f, true
	}
	if f, over := s.state.Final[uid]; over {
		return f.Facts(), true
	}
	return jobspec.JobFacts{}, false
}

// LocalFacts says how far a job is that this owner has, or had.
func (s *Scheduler) LocalFacts(uid string) (jobspec.JobFacts, bool) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	if s.state.Member.LeaseRemaining() <= 0 {
		return jobspec.JobFacts{}, false
	}
	return s.factsOf(uid)
}

// HasEarlierLocal reports whether an unfinished job of the name and user with a lower
// number is here.
func (s *Scheduler) HasEarlierLocal(name, user string, number uint64) bool {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	return s.earlier(name, user, number)
}

// StoredFacts reads from the store how a job ended; a living one is only known to
// its owner.
func StoredFacts(ctx context.Context, store jobrecord.Reader, uid string) (jobspec.JobFacts, error) {
	f, err := jobrecord.ReadFinal(ctx, store, uid)
	if err != nil {
		return jobspec.JobFacts{}, err
	}
	return f.Facts(), nil
}

// askOthers judges the dependencies of a job that this owner knows nothing of.
func (s *Scheduler) askOthers(ctx context.Context, q dependencyQuery) error {
	ctx, cancel := context.WithTimeout(ctx, jobrecord.TxnTimeout)
	defer cancel()
	a := q.job.Constraints
	for _, i := range q.open {
		d := a.Dependencies[i]
		var f jobspec.JobFacts
		var err error
		if d.Kind == jobspec.Singleton {
			var left bool
			left, err = s.remoteJobs.HasEarlier(ctx, a.Name, a.User, a.Number)
			f = jobspec.JobFacts{Over: !left, OK: true}
		} else {
			f, err = s.remoteJobs.JobFacts(ctx, d.Job)
		}
		if err != nil {
			return err
		}
		s.state.Mu.Lock()
		a.Outcomes[i] = d.Evaluate(f, time.Now().UnixMilli())
		a.DependencyOutcome = a.Combine(a.Outcomes)
		s.state.Mu.Unlock()
	}
	return nil
}
