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

// jobSnapshot is the part of a job that a listing copies under the lock. Its texts are
// formatted after the lock is released.
type jobSnapshot struct {
	jobquery.Info
	waitingTasks []int
}

// ListJobs returns the live jobs that have numbers, in ascending order of number, starting at
// the cursor. It returns at most maxRows rows, counting one for each job and one for each
// placement. next is the cursor of the next page, nil on the last page.
func (s *Scheduler) ListJobs(from jobquery.Cursor, maxRows int) (jobs []jobquery.Info, next *jobquery.Cursor) {
	snapshots, next := s.snapshotPage(from, maxRows)
	for i, snapshot := range snapshots {
		info, firstOmitted := snapshot.listingInfo()
		jobs = append(jobs, info)
		if firstOmitted == 0 {
			continue
		}
		number := info.Constraints.Number
		if i < len(snapshots)-1 || next == nil || next.Number != number {
			next = &jobquery.Cursor{Number: number, SkipPlacements: len(info.Placements)}
			if number == from.Number {
				next.SkipPlacements += from.SkipPlacements
			}
		}
		next.Task = firstOmitted
		break
	}
	return jobs, next
}

// ShardsLoaded reports whether the jobs of all shards claimed by this controller are in memory.
// Between the claim of a shard and its load, a listing would lack the shard's jobs.
func (s *Scheduler) ShardsLoaded() bool {
	claimed := s.state.Membership.ClaimedShards()
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	for shard, version := range claimed {
		if s.state.Loaded[shard] != version {
			return false
		}
	}
	return true
}

// snapshotPage copies the jobs of one page of a listing, starting at the cursor, with at most
// maxRows rows.
func (s *Scheduler) snapshotPage(from jobquery.Cursor, maxRows int) (snapshots []jobSnapshot, next *jobquery.Cursor) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	jobs := make([]*jobstate.Job, 0, len(s.state.JobOrder))
	for _, job := range s.state.JobOrder {
		if job.Constraints != nil && job.Constraints.Number >= from.Number {
			jobs = append(jobs, job)
		}
	}
	slices.SortFunc(jobs, func(a, b *jobstate.Job) int { return cmp.Compare(a.Constraints.Number, b.Constraints.Number) })
	first := s.nextWaitingJob()
	rows := 0
	for _, job := range jobs {
		number := job.Constraints.Number
		if rows >= maxRows {
			return snapshots, &jobquery.Cursor{Number: number}
		}
		skip, firstTask := 0, 0
		if number == from.Number {
			skip, firstTask = from.SkipPlacements, from.Task
		}
		snapshot := s.snapshot(job, first, firstTask)
		placements := snapshot.Placements
		snapshot.Placements = placements[min(skip, len(placements)):]
		if left := maxRows - rows - 1; len(snapshot.Placements) > left {
			snapshot.Placements = snapshot.Placements[:left]
			next = &jobquery.Cursor{Number: number, SkipPlacements: skip + left, Task: wire.MaxTasksPerJob}
		}
		rows += 1 + len(snapshot.Placements)
		snapshots = append(snapshots, snapshot)
		if next != nil {
			return snapshots, next
		}
	}
	return snapshots, nil
}

// listingInfo formats the texts of a listing. firstOmitted is the first waiting task that does
// not fit into them, 0 if all fit.
func (s jobSnapshot) listingInfo() (info jobquery.Info, firstOmitted int) {
	if len(s.waitingTasks) > 0 {
		ranges := jobspec.RangesOf(s.waitingTasks)
		firstOmitted = ranges.Truncate()
		s.PendingTasks = ranges.String()
	}
	return s.Info, firstOmitted
}

// nextWaitingJob returns the job whose tasks are placed next, nil if no job has tasks to place.
func (s *Scheduler) nextWaitingJob() *jobstate.Job {
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

// snapshot copies the parts of a job that a listing shows, with its waiting tasks from
// firstTask on. first is the job that nextWaitingJob returns.
func (s *Scheduler) snapshot(job, first *jobstate.Job, firstTask int) jobSnapshot {
	constraints := *job.Constraints.Constraints
	snapshot := jobSnapshot{Info: jobquery.Info{
		Job: *job.Spec, Constraints: &constraints, AcceptedMs: job.AcceptedMs, Stage: s.state.PublicState(job, time.Now()).Stage,
		EligibleMs: job.Constraints.EligibleMs, StartMs: job.Constraints.StartMs,
		Running: job.Running, Done: job.Done, Failed: job.Finished - job.Done,
	}}
	for task, placements := range job.Placements {
		if snapshot.addPlacements(task, placements) {
			snapshot.PendingCount++
			if task >= firstTask {
				snapshot.waitingTasks = append(snapshot.waitingTasks, task)
			}
		}
	}
	snapshot.PendingCount += len(job.Pending)
	for _, task := range job.Pending {
		if task >= firstTask {
			snapshot.waitingTasks = append(snapshot.waitingTasks, task)
		}
	}
	slices.SortFunc(snapshot.Placements, func(a, b jobquery.Placement) int {
		return cmp.Or(cmp.Compare(a.Task, b.Task), cmp.Compare(a.Attempt, b.Attempt))
	})
	if snapshot.PendingCount > 0 && !job.Cancelled {
		snapshot.Reason = s.waitReason(job, first)
	}
	return snapshot
}

// addPlacements adds the placements by which a task may be running, and reports whether the
// task is still waiting, that is whether it has no such placement and none that has exited.
func (s *jobSnapshot) addPlacements(task int, placements []*jobstate.Placement) (waits bool) {
	waits = true
	for _, placement := range placements {
		if placement.Exited {
			waits = false
			continue
		}
		if !placement.MayRun() {
			continue
		}
		waits = false
		listed := jobquery.Placement{Task: task, Attempt: placement.Attempt, Worker: placement.Worker.Name, Halted: !placement.FirstHaltAt.IsZero()}
		if !placement.RunningSince.IsZero() {
			listed.StartMs = placement.RunningSince.UnixMilli()
		}
		s.Placements = append(s.Placements, listed)
	}
	return waits
}

// waitReason returns why a job's waiting tasks wait, as one of Slurm's reason names. first is the job
// that nextWaitingJob returns.
func (s *Scheduler) waitReason(job, first *jobstate.Job) string {
	if reason := s.state.WaitReason(job, time.Now()); reason != "" {
		return reason
	}
	use := job.Team.Used.Add(job.Resources, 1)
	const rounding = 1e-6 // tolerance for sums of fractional CPUs and GPUs
	switch {
	case job.Team.Leased != nil && !s.state.FitsTeamLimit(job):
		return job.Team.ExceededLimit(job.Shard, job.Team.Leased.UsedByShard[job.Shard].Add(job.Resources, 1))
	case job.Constraints.MaxConcurrent > 0 && job.ActiveTasks(false, -1) >= job.Constraints.MaxConcurrent:
		return jobspec.ReasonThrottle
	case job.Team.CPUsMax > 0 && use.CPUs > job.Team.CPUsMax+rounding:
		return jobspec.ReasonLimitCPU
	case job.Team.GPUsMax > 0 && use.GPUs > job.Team.GPUsMax+rounding:
		return jobspec.ReasonLimitGPU
	case first != nil && first != job:
		return jobspec.ReasonPriority
	}
	return jobspec.ReasonResources
}

// LocalJobInfo returns the listing entry of a live job that has a number. It reports false
// unless the entry is known to be current, which only the leader of the job's shard can know.
func (s *Scheduler) LocalJobInfo(uid string) (jobquery.Info, bool) {
	snapshot, ok := s.currentSnapshot(uid)
	if !ok {
		return jobquery.Info{}, false
	}
	info, _ := snapshot.listingInfo()
	return info, true
}

// currentSnapshot returns a snapshot of a live job that has a number. It reports false unless
// the snapshot is known to be current.
func (s *Scheduler) currentSnapshot(uid string) (jobSnapshot, bool) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	job := s.state.Jobs[uid]
	if job == nil || job.Constraints == nil || !s.isCurrent(job) {
		return jobSnapshot{}, false
	}
	return s.snapshot(job, s.nextWaitingJob(), 0), true
}

// ReadStoredJobInfo returns what the state service records of a job: the submission of a live
// job, or the end of an ended one. The error wraps statestore.ErrNotFound if the job was never
// accepted.
func ReadStoredJobInfo(ctx context.Context, store jobrecord.Reader, uid string) (jobquery.Info, error) {
	record, _, err := jobrecord.ReadLive(ctx, store, uid)
	if err == nil {
		info := jobquery.Info{Job: record.Job, Constraints: record.Constraints, AcceptedMs: record.AcceptedMs, Stage: wire.StageQueued}
		if record.Cancelled {
			info.Stage = wire.StageCancelled
		}
		return info, nil
	}
	if !errors.Is(err, statestore.ErrNotFound) {
		return jobquery.Info{}, err
	}
	final, err := jobrecord.ReadFinal(ctx, store, uid)
	if err != nil {
		return jobquery.Info{}, err
	}
	return jobquery.Info{Job: wire.Job{UID: uid}, Stage: final.Stage, Done: final.Done, Ending: final.Ending}, nil
}
