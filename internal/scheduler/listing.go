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

// jobSnapshot is what a listing takes of a job under the lock; the rest is made of it
// when the lock is free again.
type jobSnapshot struct {
	jobquery.Info
	waiting []int
}

// ListJobs lists the living jobs with numbers, in their order, from a cursor on:
// at most so many jobs and tasks that are on together. next is nil at the end.
func (o *Scheduler) ListJobs(from jobquery.Cursor, most int) (jobs []jobquery.Info, next *jobquery.Cursor) {
	o.mu.Lock()
	all := make([]*Job, 0, len(o.order))
	for _, j := range o.order {
		if j.Constraints != nil && j.Constraints.Number >= from.Number {
			all = append(all, j)
		}
	}
	slices.SortFunc(all, func(a, b *Job) int { return cmp.Compare(a.Constraints.Number, b.Constraints.Number) })
	first := o.firstWaiting()
	var shots []jobSnapshot
	rows := 0
	for _, j := range all {
		if rows >= most {
			next = &jobquery.Cursor{Number: j.Constraints.Number}
			break
		}
		skip, task := 0, 0
		if j.Constraints.Number == from.Number {
			skip, task = from.On, from.Task
		}
		s := o.shot(j, first, task)
		on := s.Placements
		s.Placements = on[min(skip, len(on)):]
		if left := most - rows - 1; len(s.Placements) > left {
			s.Placements = s.Placements[:left]
			next = &jobquery.Cursor{Number: j.Constraints.Number, On: skip + left, Task: wire.MaxTasks}
		}
		rows += 1 + len(s.Placements)
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
		if i < len(shots)-1 || next == nil || next.Number != info.Constraints.Number {
			next = &jobquery.Cursor{Number: info.Constraints.Number, On: len(info.Placements)}
			if info.Constraints.Number == from.Number {
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
func (s jobSnapshot) info() (i jobquery.Info, task int) {
	if len(s.waiting) > 0 {
		r := jobspec.RangesOf(s.waiting)
		task = r.Cut()
		s.Waiting = r.String()
	}
	return s.Info, task
}

// firstWaiting is the job whose tasks are next: the others wait for it.
func (o *Scheduler) firstWaiting() *Job {
	o.now = time.Now()
	var waiting []*Job
	for _, j := range o.order {
		if !j.Cancelled && j.EndStage == "" && o.room(j) > 0 {
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
func (o *Scheduler) shot(j *Job, first *Job, from int) jobSnapshot {
	st := j.PublicState()
	t := *j.Constraints.Constraints
	s := jobSnapshot{Info: jobquery.Info{Job: *j.Spec, Constraints: &t, AcceptedMs: j.AcceptedMs, Stage: st.Stage, EligibleMs: j.Constraints.EligibleMs, StartMs: j.Constraints.StartMs,
		Running: j.Running, Done: j.Done, Failed: j.Finished - j.Done}}
	for task, ps := range j.Placements {
		waits := true
		for _, p := range ps {
			if p.Exited {
				waits = false
				continue
			}
			if !p.MayRun() {
				continue
			}
			waits = false
			on := jobquery.Placement{Task: task, Attempt: p.Attempt, Machine: p.Worker.Name, Ending: !p.HaltedAt.IsZero()}
			if !p.RunningSince.IsZero() {
				on.StartMs = p.RunningSince.UnixMilli()
			}
			s.Placements = append(s.Placements, on)
		}
		if waits && task >= from {
			s.waiting = append(s.waiting, task)
		}
		if waits {
			s.Queued++
		}
	}
	s.Queued += len(j.Pending)
	for _, t := range j.Pending {
		if t >= from {
			s.waiting = append(s.waiting, t)
		}
	}
	slices.SortFunc(s.Placements, func(a, b jobquery.Placement) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	if s.Queued > 0 && !j.Cancelled {
		s.Reason = o.reason(j, first)
	}
	return s
}

// reason says why a job's waiting tasks wait.
func (o *Scheduler) reason(j *Job, first *Job) string {
	if why := o.waits(j, time.Now()); why != "" {
		return why
	}
	use := j.Team.Used.Add(j.Resources, 1)
	const tiny = 1e-6
	switch {
	case j.Team.Leased != nil && !o.underLimit(j):
		return j.Team.ExceededLimit(j.Shard, j.Team.Leased.UsedByShard[j.Shard].Add(j.Resources, 1))
	case j.Constraints.MaxConcurrent > 0 && j.ActiveTasks(false, -1) >= j.Constraints.MaxConcurrent:
		return jobspec.ReasonThrottle
	case j.Team.CPUsMax > 0 && use.CPUs > j.Team.CPUsMax+tiny:
		return jobspec.ReasonLimitCPU
	case j.Team.GPUsMax > 0 && use.GPUs > j.Team.GPUsMax+tiny:
		return jobspec.ReasonLimitGPU
	case first != nil && first != j:
		return jobspec.ReasonPriority
	}
	return jobspec.ReasonResources
}

// LocalJobInfo shows a living job that is surely this owner's.
func (o *Scheduler) LocalJobInfo(uid string) (jobquery.Info, bool) {
	o.mu.Lock()
	j := o.jobs[uid]
	if j == nil || j.Constraints == nil || !o.sure(j) {
		o.mu.Unlock()
		return jobquery.Info{}, false
	}
	s := o.shot(j, o.firstWaiting(), 0)
	o.mu.Unlock()
	i, _ := s.info()
	return i, true
}

// StoredJobInfo shows what the store has of a job: of a living one only what was
// submitted.
func StoredJobInfo(ctx context.Context, store Reader, uid string) (jobquery.Info, error) {
	r, _, err := ReadLive(ctx, store, uid)
	if err == nil {
		i := jobquery.Info{Job: r.Job, Constraints: r.Terms, AcceptedMs: r.AtMs, Stage: wire.StageQueued}
		if r.Cancelled {
			i.Stage = wire.StageCancelled
		}
		return i, nil
	}
	if !errors.Is(err, statestore.ErrNotFound) {
		return jobquery.Info{}, err
	}
	f, err := ReadFinal(ctx, store, uid)
	if err != nil {
		return jobquery.Info{}, err
	}
	return jobquery.Info{Job: wire.Job{UID: uid}, Stage: f.Stage, Done: f.Done, Ending: f.Ending}, nil
}
