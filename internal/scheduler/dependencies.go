package scheduler

import (
	"context"
	"time"

	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/wire"
)

// Others answers for jobs that this owner does not have.
type Others interface {
	// Facts says how far a job is, wherever it is.
	Facts(ctx context.Context, uid string) (jobspec.Facts, error)
	// Earlier reports whether an owner elsewhere has an unfinished job of the
	// name and user with a lower number.
	Earlier(ctx context.Context, name, user string, number uint64) (bool, error)
}

const (
	attendEvery = 500 * time.Millisecond
	lookEvery   = 2 * time.Second // at jobs that other owners have
	lookMost    = 16              // of them in one round
)

// attend sees to what terms bring about by themselves: dependencies that are met
// or never will be, and deadlines.
func (o *Owner) attend(ctx context.Context) {
	tick := time.NewTicker(attendEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if o.member.Held() <= 0 {
			continue
		}
		o.resolveCancels(ctx)
		ask, end := o.settleTerms(time.Now())
		for _, q := range ask {
			if err := o.askOthers(ctx, q); err != nil {
				o.log.Debug("a dependency can't be judged yet", "job", q.j.spec.UID, "err", err)
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

type query struct {
	j    *job
	open []int // dependencies
}

// settleTerms judges what can be judged here, and says what must be asked
// elsewhere and which jobs end by their own terms.
func (o *Owner) settleTerms(now time.Time) (ask []query, end map[string]string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, j := range o.order {
		a := j.asked
		if a == nil || j.cancelled || j.ended != "" {
			continue
		}
		was := a.deps
		q := query{j: j}
		for i, d := range a.After {
			if a.each[i] != jobspec.Open {
				continue
			}
			if f, known := o.facts(j, d); known {
				a.each[i] = d.Judge(f, now.UnixMilli())
			} else {
				q.open = append(q.open, i)
			}
		}
		a.deps = a.Join(a.each)
		if len(q.open) > 0 && now.Sub(a.looked) > lookEvery && len(ask) < lookMost && o.Others != nil {
			a.looked = now
			ask = append(ask, q)
		}
		if a.eligible == 0 && a.Waits(a.deps, now.UnixMilli()) == "" {
			a.eligible = max(j.atMs, a.BeginMs)
			if len(a.After) > 0 || was != a.deps {
				a.eligible = now.UnixMilli()
			}
			poke(o.wake)
		}
		why := ""
		switch {
		case a.DeadlineMs > 0 && now.UnixMilli() > a.DeadlineMs:
			why = jobspec.Deadline
		case a.deps == jobspec.Never && a.KillNever:
			why = jobspec.Cancelled
		}
		if why != "" {
			if end == nil {
				end = map[string]string{}
			}
			end[j.spec.UID] = why
		}
	}
	return ask, end
}

// facts says what this owner knows for sure of what a job depends on.
func (o *Owner) facts(j *job, d jobspec.Dep) (jobspec.Facts, bool) {
	if d.Kind == jobspec.Singleton {
		if o.earlier(j.asked.Name, j.asked.User, j.asked.Number) {
			return jobspec.Facts{}, true
		}
		return jobspec.Facts{Over: true, OK: true}, len(o.loaded) == o.op.Shards
	}
	return o.factsOf(d.Job)
}

func (f finalRecord) facts() jobspec.Facts {
	out := jobspec.Facts{Over: true, OK: f.Stage == wire.StageDone, Started: f.Stage == wire.StageDone}
	if f.Ending != nil {
		out.StartedMs = f.Ending.StartMs
	}
	return out
}

func (o *Owner) earlier(name, user string, number uint64) bool {
	for _, x := range o.order {
		if x.asked != nil && x.asked.Name == name && x.asked.User == user && x.asked.Number < number {
			return true
		}
	}
	return false
}

func (o *Owner) factsOf(uid string) (jobspec.Facts, bool) {
	if x := o.jobs[uid]; x != nil {
		f := jobspec.Facts{Started: x.started > 0 || x.done > 0}
		if x.asked != nil {
			f.StartedMs = x.asked.startMs
		}
		return f, true
	}
	if f, over := o.final[uid]; over {
		return f.facts(), true
	}
	return jobspec.Facts{}, false
}

// FactsHere says how far a job is that this owner has, or had.
func (o *Owner) FactsHere(uid string) (jobspec.Facts, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.member.Held() <= 0 {
		return jobspec.Facts{}, false
	}
	return o.factsOf(uid)
}

// EarlierHere reports whether an unfinished job of the name and user with a lower
// number is here.
func (o *Owner) EarlierHere(name, user string, number uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.earlier(name, user, number)
}

// StoredFacts reads from the store how a job ended; a living one is only known to
// its owner.
func StoredFacts(ctx context.Context, store Reader, uid string) (jobspec.Facts, error) {
	f, err := readFinal(ctx, store, uid)
	if err != nil {
		return jobspec.Facts{}, err
	}
	return f.facts(), nil
}

// askOthers judges the dependencies of a job that this owner knows nothing of.
func (o *Owner) askOthers(ctx context.Context, q query) error {
	ctx, cancel := context.WithTimeout(ctx, txnTimeout)
	defer cancel()
	a := q.j.asked
	for _, i := range q.open {
		d := a.After[i]
		var f jobspec.Facts
		var err error
		if d.Kind == jobspec.Singleton {
			var left bool
			left, err = o.Others.Earlier(ctx, a.Name, a.User, a.Number)
			f = jobspec.Facts{Over: !left, OK: true}
		} else {
			f, err = o.Others.Facts(ctx, d.Job)
		}
		if err != nil {
			return err
		}
		o.mu.Lock()
		a.each[i] = d.Judge(f, time.Now().UnixMilli())
		a.deps = a.Join(a.each)
		o.mu.Unlock()
	}
	return nil
}
