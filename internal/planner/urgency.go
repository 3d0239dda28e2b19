package planner

import (
	"math"

	"github.com/wallrack/wallrack/internal/jobstate"
)

const (
	lateSlackS       = 20               // slack assumed for jobs that can meet no objective or deadline any more, so that they still make progress
	urgentSlackS     = 15               // slack below which an objective or deadline is about to be missed
	minMissedUrgentS = 3 * urgentSlackS // a job is urgent after a missed start objective up to this age or, if higher, twice the objective
)

// slack returns how many seconds the job's tasks may still wait without missing the next start
// objective or deadline, ignoring those with a slack below bootS: a worker that is ready in bootS
// seconds cannot help to meet them. It returns lateSlackS if none remains.
func (p *Planner) slack(job *jobstate.Job, bootS float64) float64 {
	ageS := p.state.Now.Sub(job.AcceptedAt).Seconds()
	runS := jobstate.RunTimeMargin*job.RunEstimate() + jobstate.RestartOverheadS
	nextS := math.Inf(1)
	for _, withinS := range job.Class.StartObjectives {
		nextS = earlierSlack(nextS, withinS-ageS, bootS)
	}
	for _, deadlineS := range p.state.Deadlines(job) {
		nextS = earlierSlack(nextS, deadlineS-ageS-runS, bootS)
	}
	if math.IsInf(nextS, 1) {
		return lateSlackS
	}
	return nextS
}

// earlierSlack returns slackS if bootS <= slackS < nextS, else nextS.
func earlierSlack(nextS, slackS, bootS float64) float64 {
	if slackS >= bootS && slackS < nextS {
		return slackS
	}
	return nextS
}

// missesStartObjective reports whether a task that starts afterS seconds from now misses one of
// its class's start objectives that it could still meet.
func (p *Planner) missesStartObjective(job *jobstate.Job, afterS float64) bool {
	ageS := p.state.Now.Sub(job.AcceptedAt).Seconds()
	for _, withinS := range job.Class.StartObjectives {
		if ageS < withinS && ageS+afterS+jobstate.StartOverheadS > withinS {
			return true
		}
	}
	return false
}

// mustStartSoon reports whether the job's tasks justify preemption: little time is left for the
// next start objective or deadline, or a start objective was missed recently. A distant deadline
// does not justify it: free room goes to the higher priority anyway, and the work of a stopped
// task is paid for twice. A short start objective is missed quickly, and a start soon after that
// still matters.
func (p *Planner) mustStartSoon(job *jobstate.Job) bool {
	if p.slack(job, 0) < urgentSlackS {
		return true
	}
	ageS := p.state.Now.Sub(job.AcceptedAt).Seconds()
	for _, withinS := range job.Class.StartObjectives {
		if withinS-ageS < urgentSlackS && ageS < max(2*withinS, minMissedUrgentS) {
			return true
		}
	}
	return false
}
