package jobstate

// allowed reports whether the job may run on that machine at all.
func (o *State) Allowed(job *Job, worker *Worker) bool {
	s := job.Spec
	if worker.View.Spot && !s.Spot || s.Zone != nil && *s.Zone != worker.View.Zone {
		return false
	}
	if s.Types == nil {
		return true
	}
	for _, t := range s.Types {
		if t == worker.View.Type {
			return true
		}
	}
	return false
}

// within reports whether one more task of the job may be in the machine's
// zone, counting all that may be on.
func (s *State) FitsZone(job *Job, worker *Worker) bool {
	zone := worker.View.Zone
	if job.Spec.OneZone {
		if job.Unzoned > 0 {
			return false
		}
		for z, n := range job.Zones {
			if n > 0 && z != zone {
				return false
			}
		}
	}
	if job.Spec.Spread && job.Zones[zone]+job.Unzoned+1 > (job.Spec.Tasks+1)/2 {
		return false
	}
	return true
}

// underLimit reports whether the job's team may use one more task of it.
func (s *State) UnderLimit(job *Job) bool {
	team := job.Team
	if team.Leased != nil {
		return team.Allows(job.Shard, team.Leased.UsedByShard[job.Shard].Add(job.Resources, 1))
	}
	u := team.Used.Add(job.Resources, 1)
	const tiny = 1e-6
	return (team.CPUsMax <= 0 || u.CPUs <= team.CPUsMax+tiny) && (team.GPUsMax <= 0 || u.GPUs <= team.GPUsMax+tiny)
}
