package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

// Served returns, by kind (class, team ...) and name, how the jobs of this leader are served:
// those that ended here and the living ones that are not cancelled.
func (s *Scheduler) Served() map[string]map[string]jobstate.JobCounts {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	now := time.Now()
	sum := jobstate.Tally{}
	for key, ended := range s.state.EndedTally {
		served := *ended
		sum[key] = &served
	}
	for _, job := range s.state.JobOrder {
		if !job.Cancelled {
			sum.Record(job, false, now, s.state.FirstDeadline(job))
		}
	}
	byKind := map[string]map[string]jobstate.JobCounts{}
	for key, served := range sum {
		kind, name := key[0], key[1]
		if byKind[kind] == nil {
			byKind[kind] = map[string]jobstate.JobCounts{}
		}
		byKind[kind][name] = *served
	}
	return byKind
}

// JobStatus is a living job as alerts see it.
type JobStatus struct {
	UID, Class, Team string
	Age              time.Duration // since its acceptance
	DueS             *float64      // seconds after its acceptance; nil: no deadline
	Tasks, Started   int
	Done             int
	Cancelled        bool
}

// JobStatuses returns the living jobs, in the order of acceptance here, except those that
// wait by their own constraints.
func (s *Scheduler) JobStatuses() []JobStatus {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	statuses := make([]JobStatus, 0, len(s.state.JobOrder))
	for _, job := range s.state.JobOrder {
		if job.Constraints != nil && s.state.WaitReason(job, time.Now()) != "" {
			continue
		}
		statuses = append(statuses, JobStatus{
			UID: job.Spec.UID, Class: job.Spec.Class, Team: job.Spec.Team, Age: time.Since(job.AcceptedAt),
			DueS: job.Spec.DueS, Tasks: job.Spec.Tasks, Started: max(job.ObservedStarts, job.Done), Done: job.Done, Cancelled: job.Cancelled,
		})
	}
	return statuses
}

// Counters returns the counters for operators, since this process began.
func (s *Scheduler) Counters() jobstate.Stats {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	return s.state.Stats
}

// QueueDepths returns, by the names that operators read, the living jobs, their tasks without
// a placement, the known workers, and the changes that wait to be written.
func (s *Scheduler) QueueDepths() map[string]int {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	depths := map[string]int{"jobs": len(s.state.Jobs), "known_machines": len(s.state.Workers), "pending": 0, "unwritten": 0}
	for _, job := range s.state.JobOrder {
		depths["pending"] += len(job.Pending)
	}
	for _, changes := range s.state.UnwrittenChanges {
		depths["unwritten"] += len(changes)
	}
	return depths
}

// FailoverProgress returns the failovers to this controller so far, the workers on which the
// records that the last one read had tasks, and how many of those have sent no heartbeat since
// and have placements still.
func (s *Scheduler) FailoverProgress() (failovers, workers, unresponsive int) {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	for _, worker := range s.state.Workers {
		if worker.RecordedFailover != s.state.Stats.Failovers || worker.RecordedFailover == 0 {
			continue
		}
		workers++
		if worker.LastHeartbeat.Before(s.state.LoadedAt) && len(worker.Placements) > 0 {
			unresponsive++
		}
	}
	return s.state.Stats.Failovers, workers, unresponsive
}

// Workers returns the workers that have sent this leader a heartbeat, by name.
func (s *Scheduler) Workers() []wire.MachineInfo {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	infos := make([]wire.MachineInfo, 0, len(s.state.Workers))
	for _, worker := range s.state.Workers {
		if worker.LastHeartbeat.IsZero() {
			continue
		}
		info := wire.MachineInfo{
			Name: worker.Name, Type: worker.View.Type, Zone: worker.View.Zone, Spot: worker.View.Spot, CPUs: s.state.TypeOf(worker).CPUs,
			Tasks: len(worker.Placements), SinceHeartbeatS: time.Since(worker.LastHeartbeat).Seconds(),
		}
		for placement := range worker.Placements {
			if placement.MayRun() {
				info.UsedCPUs += placement.Job.Resources.CPUs
			}
		}
		infos = append(infos, info)
	}
	slices.SortFunc(infos, func(a, b wire.MachineInfo) int { return strings.Compare(a.Name, b.Name) })
	return infos
}
