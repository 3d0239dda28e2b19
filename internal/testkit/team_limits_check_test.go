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

// snapshot is what the workers have and the users know at one moment.
type snapshot struct {
	use       teamUse
	running        map[string]int              // tasks on workers, by job
	free      map[*testkit.Worker]float64 // CPUs of the workers that go on; none where an unknown job's task is on
	done      map[string]int              // tasks that are done and cleared, by job
	finalKeys      []string                    // keys of the jobs that ended
	cancelled map[string]bool
}

func (w *cluster) snapshot() *snapshot {
	s := &snapshot{
		use: teamUse{}, running: map[string]int{}, free: map[*testkit.Worker]float64{}, done: map[string]int{},
		finalKeys: w.store.Keys("final/"), cancelled: map[string]bool{},
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, k := range w.workers {
		free := float64(w.size)
		for _, task := range k.On() {
			uid, _, _ := strings.Cut(task, "/")
			s.running[uid]++
			if job := w.specs[uid]; job != nil {
				s.use[job.Team] += job.CPUs
				free -= job.CPUs
			} else {
				free = 0
			}
		}
		if !k.Hangs() {
			s.free[k] = free
		}
	}
	for task := range w.cleared {
		uid, _, _ := strings.Cut(task, "/")
		s.done[uid]++
	}
	for uid := range w.confirmedCancels {
		s.cancelled[uid] = true
	}
	return s
}

// waits reports whether a task of the job is neither on a worker nor done.
func (s *snapshot) waits(job *wire.Job) bool {
	return !s.cancelled[job.UID] && s.running[job.UID]+s.done[job.UID] < job.Tasks && !slices.Contains(s.finalKeys, "final/"+job.UID)
}

// underLimit reports whether the job's team may use one more task of it.
func (s *snapshot) underLimit(teams []config.Team, job *wire.Job) bool {
	return s.use.allows(teams, job)
}

// waitsOnlyForLimit reports whether a task of the team waits for nothing but its team's limit:
// a worker that goes on has room for it.
func (w *cluster) waitsOnlyForLimit(team string) bool {
	s := w.snapshot()
	for _, job := range w.specs {
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
