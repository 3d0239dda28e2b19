package planner

import (
	"sort"

	"github.com/wallrack/wallrack/internal/jobstate"
)

// limitTolerance is the rounding error by which use may exceed a team's limit or guarantee.
const limitTolerance = 1e-6

// SortJobs sorts jobs into the order in which they are placed: first those that need their first
// start, then those within their team's guarantee, then by priority, then by the number of
// deadlines that Triage expects them to miss, then by due time. The sort is stable. The caller
// holds the state's Mu.
func (p *Planner) SortJobs(jobs []*jobstate.Job) {
	guaranteed, needsFirstStart := map[*jobstate.Job]bool{}, map[*jobstate.Job]bool{}
	for _, job := range jobs {
		needsFirstStart[job] = p.state.NeedsFirstStart(job)
		guaranteed[job] = withinGuarantee(job)
	}
	sort.SliceStable(jobs, func(a, b int) bool {
		x, y := jobs[a], jobs[b]
		switch {
		case needsFirstStart[x] != needsFirstStart[y]:
			return needsFirstStart[x]
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

// withinGuarantee reports whether the job's team stays within its guarantee, in CPUs or in GPUs,
// with one more task of the job. If the team's limit is leased, it reports whether current use
// is below the guarantee.
func withinGuarantee(job *jobstate.Job) bool {
	team := job.Team
	if team.Leased != nil {
		return team.BelowGuarantee(job.Shard)
	}
	return team.CPUs > 0 && team.Used.CPUs+job.Resources.CPUs <= team.CPUs+limitTolerance ||
		team.GPUs > 0 && team.Used.GPUs+job.Resources.GPUs <= team.GPUs+limitTolerance
}
