package scheduler

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
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
func (o *Scheduler) attend(ctx context.Context) {
	tick := time.NewTicker(attendEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if o.member.LeaseRemaining() <= 0 {
			continue
		}
		o.resolveCancels(ctx)
		ask, end := o.settleTerms(time.Now())
		for _, q := range ask {
			if err := o.askOthers(ctx, q); err != nil {
				o.log.Debug("a dependency can't be judged yet", "job", q.job.Spec.UID, "err", err)
			}
		}
		for uid, why := range end {
			cctx, cancel := context.WithTimeout(ctx, txnTimeout)
			if _, err := o.cancelWhy(cctx, uid, why); err != nil {
				o.log.Debug("a job that its terms end is not cancelled yet", "job", uid, "err", err)
			}
			cancel()
		}
	}
}

type dependencyQuery struct {
	job  *Job
	open []int // dependencies
}

// settleTerms judges what can be judged here, and says what must be asked
// elsewhere and which jobs end by their own terms.
func (o *Scheduler) settleTerms(now time.Time) (ask []dependencyQuery, end map[string]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, j := range o.order {
		a := j.Constraints
		if a == nil || j.Cancelled || j.EndStage != "" {
			continue
		}
		was := a.DependencyOutcome
		q := dependencyQuery{job: j}
		for i, d := range a.Dependencies {
			if a.Outcomes[i] != jobspec.Pending {
				continue
			}
			if f, known := o.facts(j, d); known {
				a.Outcomes[i] = d.Evaluate(f, now.UnixMilli())
			} else {
				q.open = append(q.open, i)
			}
		}
		a.DependencyOutcome = a.Combine(a.Outcomes)
		if len(q.open) > 0 && now.Sub(a.AskedAt) > lookEvery && len(ask) < lookMost && o.RemoteJobs != nil {
			a.AskedAt = now
			ask = append(ask, q)
		}
		if a.EligibleMs == 0 && a.WaitReason(a.DependencyOutcome, now.UnixMilli()) == "" {
			a.EligibleMs = max(j.AcceptedMs, a.BeginMs)
			if len(a.Dependencies) > 0 || was != a.DependencyOutcome {
				a.EligibleMs = now.UnixMilli()
			}
			poke(o.wake)
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
			end[j.Spec.UID] = why
		}
	}
	return ask, end
}

// facts says what this owner knows for sure of what a job depends on.
func (o *Scheduler) facts(j *Job, d jobspec.Dependency) (jobspec.JobFacts, bool) {
	if d.Kind == jobspec.Singleton {
		if o.earlier(j.Constraints.Name, j.Constraints.User, j.Constraints.Number) {
			return jobspec.JobFacts{}, true
		}
		return jobspec.JobFacts{Over: true, OK: true}, len(o.loaded) == o.op.Shards
	}
	return o.factsOf(d.Job)
}

func (f FinalRecord) Facts() jobspec.JobFacts {
	out := jobspec.JobFacts{Over: true, OK: f.Stage == wire.StageDone, Started: f.Stage == wire.StageDone}
	if f.Ending != nil {
		out.StartedMs = f.Ending.StartMs
	}
	return out
}

func (o *Scheduler) earlier(name, user string, number uint64) bool {
	for _, x := range o.order {
		if x.Constraints != nil && x.Constraints.Name == name && x.Constraints.User == user && x.Constraints.Number < number {
			return true
		}
	}
	return false
}

func (o *Scheduler) factsOf(uid string) (jobspec.JobFacts, bool) {
	if x := o.jobs[uid]; x != nil {
		f := jobspec.JobFacts{Started: x.Started > 0 || x.Done > 0}
		if x.Constraints != nil {
			f.StartedMs = x.Constraints.StartMs
		}
		return f, true
	}
	if f, over := o.final[uid]; over {
		return f.Facts(), true
	}
	return jobspec.JobFacts{}, false
}

// LocalFacts says how far a job is that this owner has, or had.
func (o *Scheduler) LocalFacts(uid string) (jobspec.JobFacts, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.member.LeaseRemaining() <= 0 {
		return jobspec.JobFacts{}, false
	}
	return o.factsOf(uid)
}

// HasEarlierLocal reports whether an unfinished job of the name and user with a lower
// number is here.
func (o *Scheduler) HasEarlierLocal(name, user string, number uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.earlier(name, user, number)
}

// StoredFacts reads from the store how a job ended; a living one is only known to
// its owner.
func StoredFacts(ctx context.Context, store Reader, uid string) (jobspec.JobFacts, error) {
	f, err := ReadFinal(ctx, store, uid)
	if err != nil {
		return jobspec.JobFacts{}, err
	}
	return f.Facts(), nil
}

// askOthers judges the dependencies of a job that this owner knows nothing of.
func (o *Scheduler) askOthers(ctx context.Context, q dependencyQuery) error {
	ctx, cancel := context.WithTimeout(ctx, txnTimeout)
	defer cancel()
	a := q.job.Constraints
	for _, i := range q.open {
		d := a.Dependencies[i]
		var f jobspec.JobFacts
		var err error
		if d.Kind == jobspec.Singleton {
			var left bool
			left, err = o.RemoteJobs.HasEarlier(ctx, a.Name, a.User, a.Number)
			f = jobspec.JobFacts{Over: !left, OK: true}
		} else {
			f, err = o.RemoteJobs.JobFacts(ctx, d.Job)
		}
		if err != nil {
			return err
		}
		o.mu.Lock()
		a.Outcomes[i] = d.Evaluate(f, time.Now().UnixMilli())
		a.DependencyOutcome = a.Combine(a.Outcomes)
		o.mu.Unlock()
	}
	return nil
}
