package scheduler

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/statestore"
	"github.com/wallrack/wallrack/internal/wire"
)

// shot is what a listing takes of a job under the lock; the rest is made of it
// when the lock is free again.
type shot struct {
	jobquery.Info
	waiting []int
}

// Listing lists the living jobs with numbers, in their order, from a cursor on:
// at most so many jobs and tasks that are on together. next is nil at the end.
func (o *Owner) Listing(from jobquery.Cursor, most int) (jobs []jobquery.Info, next *jobquery.Cursor) {
	o.mu.Lock()
	all := make([]*job, 0, len(o.order))
	for _, j := range o.order {
		if j.asked != nil && j.asked.Number >= from.Number {
			all = append(all, j)
		}
	}
	slices.SortFunc(all, func(a, b *job) int { return cmp.Compare(a.asked.Number, b.asked.Number) })
	first := o.firstWaiting()
	var shots []shot
	rows := 0
	for _, j := range all {
		if rows >= most {
			next = &jobquery.Cursor{Number: j.asked.Number}
			break
		}
		skip, task := 0, 0
		if j.asked.Number == from.Number {
			skip, task = from.On, from.Task
		}
		s := o.shot(j, first, task)
		on := s.On
		s.On = on[min(skip, len(on)):]
		if left := most - rows - 1; len(s.On) > left {
			s.On = s.On[:left]
			next = &jobquery.Cursor{Number: j.asked.Number, On: skip + left, Task: wire.MaxTasks}
		}
		rows += 1 + len(s.On)
		shots = append(shots, s)
		if next != nil {
			break
		}
	}
	o.mu.Unlock()
	for i, s := range shots {
		info, task := s.info()
		jobs = append(jobs, info)
		if task == 0 {
			continue
		}
		if i < len(shots)-1 || next == nil || next.Number != info.Terms.Number {
			next = &jobquery.Cursor{Number: info.Terms.Number, On: len(info.On)}
			if info.Terms.Number == from.Number {
				next.On += from.On
			}
		}
		next.Task = task
		break
	}
	return jobs, next
}

// info makes the texts of a listing. A task other than 0 is where the waiting
// ones that do not fit begin.
func (s shot) info() (i jobquery.Info, task int) {
	if len(s.waiting) > 0 {
		r := jobspec.RangesOf(s.waiting)
		task = r.Cut()
		s.Waiting = r.String()
	}
	return s.Info, task
}

// firstWaiting is the job whose tasks are next: the others wait for it.
func (o *Owner) firstWaiting() *job {
	o.now = time.Now()
	var waiting []*job
	for _, j := range o.order {
		if !j.cancelled && j.ended == "" && o.room(j) > 0 {
			waiting = append(waiting, j)
		}
	}
	if len(waiting) == 0 {
		return nil
	}
	o.sortJobs(waiting)
	return waiting[0]
}

// shot copies what a listing shows of a job.
func (o *Owner) shot(j *job, first *job, from int) shot {
	st := j.state()
	t := *j.asked.Terms
	s := shot{Info: jobquery.Info{Job: *j.spec, Terms: &t, AtMs: j.atMs, Stage: st.Stage, Eligible: j.asked.eligible, StartMs: j.asked.startMs,
		Running: j.running, Done: j.done, Failed: j.over - j.done}}
	for task, ps := range j.places {
		waits := true
		for _, p := range ps {
			if p.exited {
				waits = false
				continue
			}
			if !p.on() {
				continue
			}
			waits = false
			on := jobquery.On{Task: task, Attempt: p.attempt, Machine: p.mach.name, Ending: !p.halted.IsZero()}
			if !p.running.IsZero() {
				on.StartMs = p.running.UnixMilli()
			}
			s.On = append(s.On, on)
		}
		if waits && task >= from {
			s.waiting = append(s.waiting, task)
		}
		if waits {
			s.Queued++
		}
	}
	s.Queued += len(j.pending)
	for _, t := range j.pending {
		if t >= from {
			s.waiting = append(s.waiting, t)
		}
	}
	slices.SortFunc(s.On, func(a, b jobquery.On) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	if s.Queued > 0 && !j.cancelled {
		s.Reason = o.reason(j, first)
	}
	return s
}

// reason says why a job's waiting tasks wait.
func (o *Owner) reason(j *job, first *job) string {
	if why := o.waits(j, time.Now()); why != "" {
		return why
	}
	use := j.team.use.Add(j.shape, 1)
	const tiny = 1e-6
	switch {
	case j.team.lent != nil && !o.underLimit(j):
		return j.team.short(j.shard, j.team.lent.use[j.shard].Add(j.shape, 1))
	case j.asked.Most > 0 && j.busy(false, -1) >= j.asked.Most:
		return jobspec.ReasonThrottle
	case j.team.CPUsMax > 0 && use.CPUs > j.team.CPUsMax+tiny:
		return jobspec.ReasonLimitCPU
	case j.team.GPUsMax > 0 && use.GPUs > j.team.GPUsMax+tiny:
		return jobspec.ReasonLimitGPU
	case first != nil && first != j:
		return jobspec.ReasonPriority
	}
	return jobspec.ReasonResources
}

// InfoHere shows a living job that is surely this owner's.
func (o *Owner) InfoHere(uid string) (jobquery.Info, bool) {
	o.mu.Lock()
	j := o.jobs[uid]
	if j == nil || j.asked == nil || !o.sure(j) {
		o.mu.Unlock()
		return jobquery.Info{}, false
	}
	s := o.shot(j, o.firstWaiting(), 0)
	o.mu.Unlock()
	i, _ := s.info()
	return i, true
}

// StoredInfo shows what the store has of a job: of a living one only what was
// submitted.
func StoredInfo(ctx context.Context, store Reader, uid string) (jobquery.Info, error) {
	r, _, err := readLive(ctx, store, uid)
	if err == nil {
		i := jobquery.Info{Job: r.Job, Terms: r.Terms, AtMs: r.AtMs, Stage: wire.StageQueued}
		if r.Cancelled {
			i.Stage = wire.StageCancelled
		}
		return i, nil
	}
	if !errors.Is(err, statestore.ErrNotFound) {
		return jobquery.Info{}, err
	}
	f, err := readFinal(ctx, store, uid)
	if err != nil {
		return jobquery.Info{}, err
	}
	return jobquery.Info{Job: wire.Job{UID: uid}, Stage: f.Stage, Done: f.Done, Ending: f.Ending}, nil
}
