package scheduler

import (
	"slices"
	"strings"
	"time"

	"github.com/wallrack/wallrack/internal/jobstate"
	"github.com/wallrack/wallrack/internal/wire"
)

// Served returns service statistics of this leader's jobs, by kind (class, team and so on) and
// name. They cover the jobs that ended here and the live jobs that are not cancelled.
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

// JobStatus is the state of a live job that alerts are computed from.
type JobStatus struct {
	UID, Class, Team string
	Age              time.Duration // time since the job was accepted
	DueS             *float64      // deadline in seconds after acceptance; nil: none
	Tasks, Started   int
	Done             int
	Cancelled        bool
}

// JobStatuses returns the live jobs in the order in which this leader admitted them, except
// those whose own constraints keep them waiting.
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

// Counters returns the operators' counters since this process started.
func (s *Scheduler) Counters() jobstate.Stats {
	s.state.Mu.Lock()
	defer s.state.Mu.Unlock()
	return s.state.Stats
}

// QueueDepths returns the number of live jobs, of their tasks without a placement, of known
// workers, and of changes that are not written yet, under the names that operators read.
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

// FailoverProgress returns the number of failovers to this controller, the number of workers to
// which the records read at the last failover assign tasks, and how many of those workers still
// have placements and have sent no heartbeat since the failover.
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

// Workers returns the workers from which this leader has received a heartbeat, sorted by name.
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
