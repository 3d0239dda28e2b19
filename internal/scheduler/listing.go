package scheduler

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/wallrack/wallrack/internal/jobquery"
	"github.com/wallrack/wallrack/internal/jobrecord"
	"github.com/wallrack/wallrack/internal/jobspec"
	"github.com/wallrack/wallrack/internal/jobstate"
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
	o.state.Mu.Lock()
	all := make([]*jobstate.Job, 0, len(o.state.JobOrder))
	for _, j := range o.state.JobOrder {
		if j.Constraints != nil && j.Constraints.Number >= from.Number {
			all = append(all, j)
		}
	}
	slices.SortFunc(all, func(job, b *jobstate.Job) int { return cmp.Compare(job.Constraints.Number, b.Constraints.Number) })
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
		s := o.snapshot(j, first, task)
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
	o.state.Mu.Unlock()
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
func (s *Scheduler) firstWaiting() *jobstate.Job {
	s.state.Now = time.Now()
	var waiting []*jobstate.Job
	for _, job := range s.state.JobOrder {
		if !job.Cancelled && job.EndStage == "" && s.state.PlaceableTasks(job) > 0 {
			waiting = append(waiting, job)
		}
	}
	if len(waiting) == 0 {
		return nil
	}
	s.planner.SortJobs(waiting)
	return waiting[0]
}

// shot copies what a listing shows of a job.
func (o *Scheduler) snapshot(job *jobstate.Job, first *jobstate.Job, from int) jobSnapshot {
	st := job.PublicState()
	t := *job.Constraints.Constraints
	s := jobSnapshot{Info: jobquery.Info{
		Job: *job.Spec, Constraints: &t, AcceptedMs: job.AcceptedMs, Stage: st.Stage, EligibleMs: job.Constraints.EligibleMs, StartMs: job.Constraints.StartMs,
		Running: job.Running, Done: job.Done, Failed: job.Finished - job.Done,
	}}
	for task, ps := range job.Placements {
		waits := true
		for _, placement := range ps {
			if placement.Exited {
				waits = false
				continue
			}
			if !placement.MayRun() {
				continue
			}
			waits = false
			on := jobquery.Placement{Task: task, Attempt: placement.Attempt, Machine: placement.Worker.Name, Ending: !placement.HaltedAt.IsZero()}
			if !placement.RunningSince.IsZero() {
				on.StartMs = placement.RunningSince.UnixMilli()
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
	s.Queued += len(job.Pending)
	for _, t := range job.Pending {
		if t >= from {
			s.waiting = append(s.waiting, t)
		}
	}
	slices.SortFunc(s.Placements, func(a, b jobquery.Placement) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	if s.Queued > 0 && !job.Cancelled {
		s.Reason = o.reason(job, first)
	}
	return s
}

// reason says why a job's waiting tasks wait.
func (s *Scheduler) reason(job *jobstate.Job, first *jobstate.Job) string {
	if why := s.state.WaitReason(job, time.Now()); why != "" {
		return why
	}
	use := job.Team.Used.Add(job.Resources, 1)
	const tiny = 1e-6
	switch {
	case job.Team.Leased != nil && !s.state.UnderLimit(job):
		return job.Team.ExceededLimit(job.Shard, job.Team.Leased.UsedByShard[job.Shard].Add(job.Resources, 1))
	case job.Constraints.MaxConcurrent > 0 && job.ActiveTasks(false, -1) >= job.Constraints.MaxConcurrent:
		return jobspec.ReasonThrottle
	case job.Team.CPUsMax > 0 && use.CPUs > job.Team.CPUsMax+tiny:
		return jobspec.ReasonLimitCPU
	case job.Team.GPUsMax > 0 && use.GPUs > job.Team.GPUsMax+tiny:
		return jobspec.ReasonLimitGPU
	case first != nil && first != job:
		return jobspec.ReasonPriority
	}
	return jobspec.ReasonResources
}

// LocalJobInfo shows a living job that is surely this owner's.
func (o *Scheduler) LocalJobInfo(uid string) (jobquery.Info, bool) {
	o.state.Mu.Lock()
	job := o.state.Jobs[uid]
	if job == nil || job.Constraints == nil || !o.surelyCurrent(job) {
		o.state.Mu.Unlock()
		return jobquery.Info{}, false
	}
	s := o.snapshot(job, o.firstWaiting(), 0)
	o.state.Mu.Unlock()
	i, _ := s.info()
	return i, true
}

// StoredJobInfo shows what the store has of a job: of a living one only what was
// submitted.
func StoredJobInfo(ctx context.Context, store jobrecord.Reader, uid string) (jobquery.Info, error) {
	r, _, err := jobrecord.ReadLive(ctx, store, uid)
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
	f, err := jobrecord.ReadFinal(ctx, store, uid)
	if err != nil {
		return jobquery.Info{}, err
	}
	return jobquery.Info{Job: wire.Job{UID: uid}, Stage: f.Stage, Done: f.Done, Ending: f.Ending}, nil
}
