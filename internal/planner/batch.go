package planner

import (
	"math"
	"math/rand/v2"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/matching"
)

// batch matches up to limit tasks of the jobs and dispatches the matches that
// wait no longer than the horizon.
func (p *Planner) placeBatch(jobs []*jobstate.Job, open []*jobstate.Worker, limit int) map[*jobstate.Job]int {
	var options [][]matching.Candidate
	var of []*jobstate.Job
	arena, opts := p.arena[:0], p.options
	defer func() { p.arena, p.options = arena, opts }()
	for _, job := range jobs {
		if job.Spec.Gang() {
			continue
		}
		opts = opts[:0]
		for _, worker := range p.candidates(job, p.workersWithRoom(job, open)) {
			if e, ok := p.estimate(job, worker); ok && e.wait <= p.state.Operator.HorizonS {
				opts = append(opts, matching.Candidate{Machine: worker.Index, Wait: e.wait, Cost: e.cost})
			}
		}
		if len(opts) == 0 {
			continue
		}
		for k := 0; k < min(p.state.PlaceableTasks(job), len(opts)) && len(options) < limit; k++ {
			// Each task draws its own random term. All of a batch's options
			// share an arena, which was most of what a pass allocated.
			from := len(arena)
			for _, x := range opts {
				x.Cost += rand.Float64() * p.state.Operator.RandomS
				arena = append(arena, x)
			}
			options = append(options, arena[from:len(arena):len(arena)])
			of = append(of, job)
		}
	}
	placed := map[*jobstate.Job]int{}
	for _, pair := range matching.Match(options, matchRounds) {
		job := of[pair.Task]
		worker := p.state.WorkersByIndex[pair.Machine]
		if !p.roomInLimit(job, 1) || !p.zoneFits(job, worker) {
			continue
		}
		t := job.Pending[len(job.Pending)-1]
		job.Pending = job.Pending[:len(job.Pending)-1]
		p.placeTask(job, t, worker, pair.Wait)
		placed[job]++
	}
	return placed
}

// zoneFits reports whether one more place there agrees with the zones of the
// job's other places, granted or not.
func (o *Planner) zoneFits(job *jobstate.Job, worker *jobstate.Worker) bool {
	if !job.Spec.OneZone && !job.Spec.Spread {
		return true
	}
	there := 1
	for _, ps := range job.Placements {
		for _, placement := range ps {
			same := placement.Worker.View.Zone == worker.View.Zone
			if job.Spec.OneZone && !same && !placement.Exited {
				return false
			}
			if same && !placement.Exited {
				there++
			}
		}
	}
	return !job.Spec.Spread || there <= (job.Spec.Tasks+1)/2
}

// roomInLimit keeps a team's queued work within its limit too, so that tasks
// that can't be granted yet do not clog the queues.
func (o *Planner) roomInLimit(job *jobstate.Job, more int) bool {
	team := job.Team
	if team.CPUsMax <= 0 && team.GPUsMax <= 0 {
		return true
	}
	queued := team.Used
	if team.Leased != nil {
		queued = team.Leased.UsedByShard[job.Shard]
	}
	for _, x := range o.state.JobOrder {
		if x.Team != team || team.Leased != nil && x.Shard != job.Shard {
			continue
		}
		for _, ps := range x.Placements {
			for _, placement := range ps {
				if !placement.MayRun() && !placement.Exited {
					queued = queued.Add(x.Resources, 1)
				}
			}
		}
	}
	queued = queued.Add(job.Resources, float64(more))
	if team.Leased != nil {
		return team.Allows(job.Shard, queued)
	}
	return (team.CPUsMax <= 0 || queued.CPUs <= team.CPUsMax+1e-6) && (team.GPUsMax <= 0 || queued.GPUs <= team.GPUsMax+1e-6)
}

// hold keeps, for this pass, the room that jobs which found no place soon
// would get first, so that small tasks of lower priority do not fill every gap
// before it grows large enough.
func (p *Planner) reserveRoom(jobs []*jobstate.Job, open []*jobstate.Worker) {
	budget := holdTasks
	for _, job := range jobs {
		for n := min(p.state.PlaceableTasks(job), budget); n > 0; n-- {
			var best *jobstate.Worker
			soonest := math.Inf(1)
			run := job.RunEstimate()
			for _, worker := range open {
				if worker.Cordoned || !p.state.Allowed(job, worker) || !p.state.FitsLease(job, worker) {
					continue
				}
				if w := worker.Matrix.WaitWithin(job.Resources, run, min(soonest, holdWithin)); w < soonest && w <= holdWithin {
					best, soonest = worker, w
				}
			}
			if best == nil {
				break
			}
			best.Matrix = best.Matrix.Reserve(job.Resources, soonest, run)
			best.RoomReserved = true
			budget--
		}
	}
}
