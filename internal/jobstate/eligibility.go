package jobstate

import "slices"

// limitTolerance is the rounding error tolerated where amounts are compared with limits and
// guarantees.
const limitTolerance = 1e-6

// AllowedOn reports whether the job's requirements for zone, machine type and spot workers admit
// the worker, regardless of resources.
func (s *State) AllowedOn(job *Job, worker *Worker) bool {
	spec, view := job.Spec, &worker.View
	if view.Spot && !spec.Spot || spec.Zone != nil && *spec.Zone != view.Zone {
		return false
	}
	return spec.Types == nil || slices.Contains(spec.Types, view.Type)
}

// FitsZone reports whether one more task of the job may run in the worker's zone under the job's
// zone rules, given all placements whose tasks may be running.
func (s *State) FitsZone(job *Job, worker *Worker) bool {
	zone := worker.View.Zone
	if job.Spec.OneZone && !job.onlyInZone(zone) {
		return false
	}
	return !job.Spec.Spread || job.Zones[zone]+job.Unzoned+1 <= (job.Spec.Tasks+1)/2
}

// onlyInZone reports whether the job has no placement that may be outside the zone.
func (j *Job) onlyInZone(zone string) bool {
	if j.Unzoned > 0 {
		return false
	}
	for other, placements := range j.Zones {
		if placements > 0 && other != zone {
			return false
		}
	}
	return true
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
