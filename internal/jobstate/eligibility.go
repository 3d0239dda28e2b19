package jobstate

// limitTolerance is the rounding error tolerated where amounts are compared with limits and
// guarantees.
const limitTolerance = 1e-6

// AllowedOn reports whether the job's requirements for zone, machine type and spot workers admit
// the worker, regardless of resources.
func (s *State) AllowedOn(job *Job, worker *Worker) bool {
	return job.Spec.AllowsMachine(worker.View.Type, worker.View.Zone, worker.View.Spot)
}

// FitsZone reports whether one more task of the job may run in the worker's zone under the job's
// zone rules, given all placements whose tasks may be running.
func (s *State) FitsZone(job *Job, worker *Worker) bool {
	return job.ZoneUse.Room(job.Spec, worker.View.Zone) > 0
}

// FitsTeamLimit reports whether the limit of the job's team admits one more task of the job.
func (s *State) FitsTeamLimit(job *Job) bool {
	team := job.Team
	if team.Leased != nil {
		return team.Allows(job.Shard, team.Leased.UsedByShard[job.Shard].Add(job.Resources, 1))
	}
	use := team.Used.Add(job.Resources, 1)
	return (team.CPUsMax <= 0 || use.CPUs <= team.CPUsMax+limitTolerance) && (team.GPUsMax <= 0 || use.GPUs <= team.GPUsMax+limitTolerance)
}
