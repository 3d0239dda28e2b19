package testkit_test

import (
	"strings"
	"time"
)

func (w *cluster) checkInvariants() {
	w.mu.Lock()
	defer w.mu.Unlock()
	workerOf := map[string]string{}
	use := teamUse{}
	for _, k := range w.workers {
		for _, task := range k.UnfinishedTasks() {
			uid, _, _ := strings.Cut(task, "/")
			if job := w.submittedJobs[uid]; job != nil {
				use[job.Team] += job.CPUs
			}
			if at, cancelled := w.confirmedCancels[uid]; cancelled && time.Since(at).Seconds() > w.cfg.Params.Workers.CancelS {
				w.fail("%s is on %s %v after its user was told that it is cancelled", task, k.Name, time.Since(at))
			}
			if other, duplicate := workerOf[task]; duplicate {
				w.fail("%s is on %s and %s", task, other, k.Name)
			}
			workerOf[task] = k.Name
		}
	}
	w.checkTeamLimits(use)
}

// checkTeamLimits fails if the tasks on workers use more CPUs than their team's limit.
func (w *cluster) checkTeamLimits(use teamUse) {
	for _, team := range w.cfg.Params.Teams {
		if cpus := use[team.Name]; team.CPUsMax > 0 && cpus > team.CPUsMax+cpuTolerance {
			w.fail("team %s uses %v CPUs of %v", team.Name, cpus, team.CPUsMax)
		}
	}
}
