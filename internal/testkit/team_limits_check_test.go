package testkit_test

import (
	"slices"
	"strings"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// cpuTolerance is the rounding error allowed in sums of CPUs.
const cpuTolerance = 1e-6

// teamUse holds the CPUs that each team's tasks on workers use, by team.
type teamUse map[string]float64

// allows reports whether the limit of the job's team admits one more task of the job.
func (use teamUse) allows(teams []config.Team, job *wire.Job) bool {
	return !slices.ContainsFunc(teams, func(t config.Team) bool {
		return t.Name == job.Team && t.CPUsMax > 0 && use[t.Name]+job.CPUs > t.CPUsMax+cpuTolerance
	})
}

// snapshot is the state of the workers, and the job states that users know, at one moment.
type snapshot struct {
	use       teamUse
	running   map[string]int              // tasks on workers, by job
	free      map[*testkit.Worker]float64 // free CPUs of the workers that do not hang; 0 if a worker has a task of an unknown job
	done      map[string]int              // tasks that are done and cleared, by job
	finalKeys []string                    // record keys of the jobs that ended
	cancelled map[string]bool             // jobs whose cancel was confirmed to the user
}

func (w *cluster) snapshot() *snapshot {
	s := &snapshot{
		use: teamUse{}, running: map[string]int{}, free: map[*testkit.Worker]float64{}, done: map[string]int{},
		finalKeys: w.store.Keys("final/"), cancelled: map[string]bool{},
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		free := float64(w.machineTypes)
		for _, task := range k.UnfinishedTasks() {
			uid, _, _ := strings.Cut(task, "/")
			s.running[uid]++
			if job := w.submittedJobs[uid]; job != nil {
				s.use[job.Team] += job.CPUs
				free -= job.CPUs
			} else {
				free = 0
			}
		}
		if !k.IsHung() {
			s.free[k] = free
		}
	}
	for task := range w.forgottenTasks {
		uid, _, _ := strings.Cut(task, "/")
		s.done[uid]++
	}
	for uid := range w.confirmedCancels {
		s.cancelled[uid] = true
	}
	return s
}

// waits reports whether the job has a waiting task: one that is neither on a worker nor done, of a
// job that has neither ended nor been cancelled.
func (s *snapshot) waits(job *wire.Job) bool {
	return !s.cancelled[job.UID] && s.running[job.UID]+s.done[job.UID] < job.Tasks && !slices.Contains(s.finalKeys, "final/"+job.UID)
}

// underLimit reports whether the limit of the job's team admits one more task of the job.
func (s *snapshot) underLimit(teams []config.Team, job *wire.Job) bool {
	return s.use.allows(teams, job)
}

// waitsOnlyForLimit reports whether a task of the team waits only because of the team's limit: a
// worker that does not hang has enough free CPUs for it.
func (w *cluster) waitsOnlyForLimit(team string) bool {
	s := w.snapshot()
	for _, job := range w.submittedJobs {
		if job.Team != team || !s.waits(job) || s.underLimit(w.cfg.Params.Teams, job) {
			continue
		}
		for _, free := range s.free {
			if free+cpuTolerance >= job.CPUs {
				return true
			}
		}
	}
	return false
}
