package planner

import (
	"math/rand/v2"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

// matchRounds is the number of rounds of proposals in a batch.
const matchRounds = 4

// placeBatch matches up to limit tasks of the jobs, except gangs, to workers on which they start
// within QueueHorizonS, and places them in ascending order of wait. It skips tasks that would exceed
// their team's limit or break their job's zone rules. It returns the number of tasks
// placed for each job.
func (p *Planner) placeBatch(jobs []*jobstate.Job, schedulable []*jobstate.Worker, limit int) map[*jobstate.Job]int {
	candidates, jobOf := p.batchCandidates(jobs, schedulable, limit)
	placed := map[*jobstate.Job]int{}
	for _, pair := range matching.Match(candidates, matchRounds) {
		job := jobOf[pair.Task]
		worker := p.state.WorkersByIndex[pair.Worker]
		if !p.fitsLimitWithQueued(job, 1) || !p.placementFitsZone(job, worker) {
			continue
		}
		p.placePending(job, worker, pair.WaitS)
		placed[job]++
	}
	return placed
}

// batchCandidates returns the candidate workers for up to limit tasks of the jobs, except gangs,
// and the job of each of these tasks. The results are valid until the next call: they share a
// reused arena, because allocating them anew would dominate the allocations of a pass.
func (p *Planner) batchCandidates(jobs []*jobstate.Job, schedulable []*jobstate.Worker, limit int) (candidates [][]matching.Candidate, jobOf []*jobstate.Job) {
	arena, jobCandidates := p.arena[:0], p.jobScratch
	for _, job := range jobs {
		if job.Spec.Gang() {
			continue
		}
		jobCandidates = p.appendCandidates(jobCandidates[:0], job, schedulable)
		if len(jobCandidates) == 0 {
			continue
		}
		for range min(p.state.PlaceableTasks(job), len(jobCandidates)) {
			if len(candidates) >= limit {
				break
			}
			from := len(arena)
			for _, candidate := range jobCandidates {
				candidate.Cost += rand.Float64() * p.state.Operator.RandomCostS // drawn separately for each task
				arena = append(arena, candidate)
			}
			candidates = append(candidates, arena[from:len(arena):len(arena)])
			jobOf = append(jobOf, job)
		}
	}
	p.arena, p.jobScratch = arena, jobCandidates
	return candidates, jobOf
}

// appendCandidates appends the workers on which a task of the job starts within the horizon.
func (p *Planner) appendCandidates(to []matching.Candidate, job *jobstate.Job, schedulable []*jobstate.Worker) []matching.Candidate {
	for _, worker := range p.candidates(job, p.workersWithRoom(job, schedulable)) {
		if e, ok := p.estimate(job, worker); ok && e.waitS <= p.state.Operator.QueueHorizonS {
			to = append(to, matching.Candidate{Worker: worker.Index, WaitS: e.waitS, Cost: e.cost})
		}
	}
	return to
}

// placementFitsZone reports whether one more placement on the worker satisfies the job's zone
// rules, given its other placements, granted or not.
func (p *Planner) placementFitsZone(job *jobstate.Job, worker *jobstate.Worker) bool {
	use := zoneUseOf(job)
	return use.Room(job.Spec, worker.View.Zone) > 0
}

// zoneUseOf counts the job's placements that have not exited, granted or not; none if the job has no
// zone rule.
func zoneUseOf(job *jobstate.Job) jobstate.ZoneUse {
	var use jobstate.ZoneUse
	if !job.Spec.HasZoneRule() {
		return use
	}
	for _, placements := range job.Placements {
		for _, placement := range placements {
			if !placement.Exited {
				use.Add(placement.Worker.View.Zone, 1)
			}
		}
	}
	return use
}

// fitsLimitWithQueued reports whether the job's team stays within its limit with n more tasks of
// the job. Queued placements count as use: otherwise tasks that cannot be granted yet would block
// the queues.
func (p *Planner) fitsLimitWithQueued(job *jobstate.Job, n int) bool {
	team := job.Team
	if team.CPUsMax <= 0 && team.GPUsMax <= 0 {
		return true
	}
	used := team.Used
	if team.Leased != nil {
		used = team.Leased.UsedByShard[job.Shard]
	}
	for _, other := range p.state.JobOrder {
		if other.Team == team && (team.Leased == nil || other.Shard == job.Shard) {
			used = addUngranted(used, other)
		}
	}
	used = used.Add(job.Resources, float64(n))
	if team.Leased != nil {
		return team.Allows(job.Shard, used)
	}
	return (team.CPUsMax <= 0 || used.CPUs <= team.CPUsMax+limitTolerance) && (team.GPUsMax <= 0 || used.GPUs <= team.GPUsMax+limitTolerance)
}

// addUngranted adds the resources of the job's placements that were not granted.
func addUngranted(used matching.Resources, job *jobstate.Job) matching.Resources {
	for _, placements := range job.Placements {
		for _, placement := range placements {
			if !placement.MayRun() && !placement.Exited {
				used = used.Add(job.Resources, 1)
			}
		}
	}
	return used
}
