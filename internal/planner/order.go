package planner

import (
	"sort"

	"github.com/wallrack/wallrack/internal/jobstate"
)

// limitTolerance is by how much, for rounding, use may exceed a team's limit.
const limitTolerance = 1e-6

// SortJobs sorts jobs into the order in which they are placed: those that must begin, then
// those within their team's guarantee, then by priority, then by the number of limits that
// Triage lets them miss, then by when they are due. Jobs alike in all keep their order.
// The caller holds the state's Mu.
func (p *Planner) SortJobs(jobs []*jobstate.Job) {
	guaranteed, mustBegin := map[*jobstate.Job]bool{}, map[*jobstate.Job]bool{}
	for _, job := range jobs {
		mustBegin[job] = p.state.NeedsFirstStart(job)
		guaranteed[job] = withinGuarantee(job)
	}
	sort.SliceStable(jobs, func(a, b int) bool {
		x, y := jobs[a], jobs[b]
		switch {
		case mustBegin[x] != mustBegin[y]:
			return mustBegin[x]
		case guaranteed[x] != guaranteed[y]:
			return guaranteed[x]
		case x.Spec.Rank() != y.Spec.Rank():
			return x.Spec.Rank() > y.Spec.Rank()
		case x.Tier != y.Tier:
			return x.Tier < y.Tier
		}
		return x.DueAt() < y.DueAt()
	})
}

// withinGuarantee reports whether the job's team stays within its guarantee, in CPUs or in
// GPUs, with one more task of the job; with a leased limit, whether it is below it now.
func withinGuarantee(job *jobstate.Job) bool {
	team := job.Team
	if team.Leased != nil {
		return team.BelowGuarantee(job.Shard)
	}
	return team.CPUs > 0 && team.Used.CPUs+job.Resources.CPUs <= team.CPUs+limitTolerance ||
		team.GPUs > 0 && team.Used.GPUs+job.Resources.GPUs <= team.GPUs+limitTolerance
}
