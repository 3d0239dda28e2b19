package planner

import (
	"math/rand/v2"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

// matchRounds is the number of rounds of proposals in a batch.
const matchRounds = 4

// placeBatch matches up to limit tasks of the jobs, gangs aside, to workers where they
// start within the horizon, and places them, the lowest wait first. It returns how many
// tasks of each job it placed.
func (p *Planner) placeBatch(jobs []*jobstate.Job, open []*jobstate.Worker, limit int) map[*jobstate.Job]int {
	candidates, jobOf := p.batchCandidates(jobs, open, limit)
	placed := map[*jobstate.Job]int{}
	for _, pair := range matching.Match(candidates, matchRounds) {
		job := jobOf[pair.Task]
		worker := p.state.WorkersByIndex[pair.Worker]
		if !p.queueFitsLimit(job, 1) || !p.zoneFits(job, worker) {
			continue
		}
		p.placePending(job, worker, pair.WaitS)
		placed[job]++
	}
	return placed
}

// batchCandidates returns the candidates of up to limit tasks of the jobs, gangs aside, and
// the job of each of these tasks. They are valid until the next call: all share an arena
// that is kept, since else they are most of what a pass allocates.
func (p *Planner) batchCandidates(jobs []*jobstate.Job, open []*jobstate.Worker, limit int) (candidates [][]matching.Candidate, jobOf []*jobstate.Job) {
	arena, ofJob := p.arena[:0], p.jobArena
	for _, job := range jobs {
		if job.Spec.Gang() {
			continue
		}
		ofJob = p.appendCandidates(ofJob[:0], job, open)
		if len(ofJob) == 0 {
			continue
		}
		for range min(p.state.PlaceableTasks(job), len(ofJob)) {
			if len(candidates) >= limit {
				break
			}
			from := len(arena)
			for _, candidate := range ofJob {
				candidate.Cost += rand.Float64() * p.state.Operator.RandomCostS // each task draws its own
				arena = append(arena, candidate)
			}
			candidates = append(candidates, arena[from:len(arena):len(arena)])
			jobOf = append(jobOf, job)
		}
	}
	p.arena, p.jobArena = arena, ofJob
	return candidates, jobOf
}

// appendCandidates appends the workers where a task of the job starts within the horizon.
func (p *Planner) appendCandidates(to []matching.Candidate, job *jobstate.Job, open []*jobstate.Worker) []matching.Candidate {
	for _, worker := range p.candidates(job, p.workersWithRoom(job, open)) {
		if e, ok := p.estimate(job, worker); ok && e.waitS <= p.state.Operator.QueueHorizonS {
			to = append(to, matching.Candidate{Worker: worker.Index, WaitS: e.waitS, Cost: e.cost})
		}
	}
	return to
}

// zoneFits reports whether one more placement on the worker agrees with the zones of the
// job's other placements, granted or not.
func (p *Planner) zoneFits(job *jobstate.Job, worker *jobstate.Worker) bool {
	if !job.Spec.OneZone && !job.Spec.Spread {
		return true
	}
	inZone := 1
	for _, placements := range job.Placements {
		for _, placement := range placements {
			same := placement.Worker.View.Zone == worker.View.Zone
			if job.Spec.OneZone && !same && !placement.Exited {
				return false
			}
			if same && !placement.Exited {
				inZone++
			}
		}
	}
	return !job.Spec.Spread || inZone <= maxTasksInZone(job)
}

// maxTasksInZone is how many tasks of a job that is spread over zones may be in one.
func maxTasksInZone(job *jobstate.Job) int { return (job.Spec.Tasks + 1) / 2 }

// queueFitsLimit reports whether the job's team stays within its limit with n more tasks of
// the job, counting what is only queued too: tasks that can't be granted yet would clog the
// queues.
func (p *Planner) queueFitsLimit(job *jobstate.Job, n int) bool {
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
			used = addQueued(used, other)
		}
	}
	used = used.Add(job.Resources, float64(n))
	if team.Leased != nil {
		return team.Allows(job.Shard, used)
	}
	return (team.CPUsMax <= 0 || used.CPUs <= team.CPUsMax+limitTolerance) && (team.GPUsMax <= 0 || used.GPUs <= team.GPUsMax+limitTolerance)
}

// addQueued adds the resources of the job's placements without a grant.
func addQueued(used matching.Resources, job *jobstate.Job) matching.Resources {
	for _, placements := range job.Placements {
		for _, placement := range placements {
			if !placement.MayRun() && !placement.Exited {
				used = used.Add(job.Resources, 1)
			}
		}
	}
	return used
}
