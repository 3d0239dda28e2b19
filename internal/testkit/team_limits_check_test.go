package testkit_test

import (
	"slices"
	"strings"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/testkit"
	"github.com/wallrack/wallrack/internal/wire"
)

// cpuTolerance is how far sums of CPUs may be off by rounding.
const cpuTolerance = 1e-6

// teamUse is the CPUs that each team's tasks take on workers.
type teamUse map[string]float64

// allows reports whether the job's team may use one more task of it.
func (use teamUse) allows(teams []config.Team, job *wire.Job) bool {
	return !slices.ContainsFunc(teams, func(t config.Team) bool {
		return t.Name == job.Team && t.CPUsMax > 0 && use[t.Name]+job.CPUs > t.CPUsMax+cpuTolerance
	})
}

// standing is what the workers have and the users know at one moment.
type standing struct {
	use       teamUse
	on        map[string]int              // tasks on workers, by job
	free      map[*testkit.Worker]float64 // CPUs of the workers that go on; none where an unknown job's task is on
	done      map[string]int              // tasks that are done and cleared, by job
	over      []string                    // keys of the jobs that ended
	cancelled map[string]bool
}

func (w *cluster) standing() *standing {
	s := &standing{
		use: teamUse{}, on: map[string]int{}, free: map[*testkit.Worker]float64{}, done: map[string]int{},
		over: w.store.Keys("final/"), cancelled: map[string]bool{},
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		free := float64(w.machineTypes)
		for _, task := range k.UnfinishedTasks() {
			uid, _, _ := strings.Cut(task, "/")
			s.on[uid]++
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

// waits reports whether a task of the job is neither on a worker nor done.
func (s *standing) waits(job *wire.Job) bool {
	return !s.cancelled[job.UID] && s.on[job.UID]+s.done[job.UID] < job.Tasks && !slices.Contains(s.over, "final/"+job.UID)
}

// underLimit reports whether the job's team may use one more task of it.
func (s *standing) underLimit(teams []config.Team, job *wire.Job) bool {
	return s.use.allows(teams, job)
}

// heldByLimit reports whether a task of the team waits for nothing but its team's limit:
// a worker that goes on has room for it.
func (w *cluster) heldByLimit(team string) bool {
	s := w.standing()
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
