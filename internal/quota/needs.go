package quota

import (
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/quotalease"
)

// shardTeam identifies a team's part for a shard.
type shardTeam struct {
	shard int
	team  string
}

// currentNeeds returns, for each shard led here and each team whose limit is leased in parts,
// the amount that the shard's tasks use, and the amount that they would use if all tasks that can
// start now were started. Shards that use nothing and have no such tasks are omitted.
func (m *Manager) currentNeeds(now time.Time) map[shardTeam]quotalease.Need {
	m.state.Now = now
	needs := map[shardTeam]quotalease.Need{}
	for _, team := range m.state.Teams {
		if team.Leased == nil {
			continue
		}
		for shard, use := range team.Leased.UsedByShard {
			if amount := jobstate.AmountOf(use); !amount.IsZero() {
				needs[shardTeam{shard, team.Leased.Team}] = quotalease.Need{Use: amount, Demand: amount}
			}
		}
	}
	for _, job := range m.state.JobOrder {
		if job.Team.Leased == nil || job.Cancelled || job.EndStage != "" || now.Before(job.NotBefore) {
			continue
		}
		if tasks := m.startableTasks(job); tasks > 0 {
			key := shardTeam{job.Shard, job.Team.Leased.Team}
			needs[key] = addWaitingTasks(needs[key], job, tasks)
		}
	}
	return needs
}

// startableTasks returns the number of a job's tasks that could start now; tasks with
// placements are counted by placement.
func (m *Manager) startableTasks(job *jobstate.Job) int {
	tasks := m.state.EligibleTasks(job)
	for _, placements := range job.Placements {
		for _, placement := range placements {
			if !placement.MayRun() && !placement.Exited {
				tasks++
			}
		}
	}
	return tasks
}

// addWaitingTasks adds a job's waiting tasks to a need.
func addWaitingTasks(need quotalease.Need, job *jobstate.Job, tasks int) quotalease.Need {
	all := jobstate.AmountOf(job.Resources.Scale(float64(tasks)))
	need.Demand = need.Demand.Add(all)
	unit := jobstate.AmountOf(job.Resources)
	if job.Spec.Gang() {
		unit = all
	}
	if need.Unit.IsZero() || unit.Less(need.Unit) {
		need.Unit = unit
	}
	return need
}
