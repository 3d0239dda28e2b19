package planner

import (
	"math"

	"github.com/wallrack/wallrack/internal/jobstate"
)

const (
	lateSlackS   = 20               // slack of work that meets no aim any more: it should still move on
	urgentSlackS = 15               // slack below which an aim is in danger
	minMissedUrgentS  = 3 * urgentSlackS // for how long, at least, a missed aim for starts keeps a job urgent
)

// slack is for how many seconds the job's tasks may still wait and meet the next aim that
// a worker which is ready in bootS seconds can help to meet.
func (p *Planner) slack(job *jobstate.Job, bootS float64) float64 {
	ageS := p.state.Now.Sub(job.AcceptedAt).Seconds()
	runS := jobstate.RunTimeMargin*job.RunEstimate() + jobstate.RestartOverheadS
	nextS := math.Inf(1)
	for _, withinS := range job.Class.StartObjectives {
		nextS = earlierSlack(nextS, withinS-ageS, bootS)
	}
	for _, limitS := range p.state.Deadlines(job) {
		nextS = earlierSlack(nextS, limitS-ageS-runS, bootS)
	}
	if math.IsInf(nextS, 1) {
		return lateSlackS
	}
	return nextS
}

// earlierSlack returns slackS if it is below nextS and not below bootS, else nextS.
func earlierSlack(nextS, slackS, bootS float64) float64 {
	if slackS >= bootS && slackS < nextS {
		return slackS
	}
	return nextS
}

// missesStartObjective reports whether a task that starts afterS seconds from now misses an aim for
// its class's starts that it could still meet.
func (p *Planner) missesStartObjective(job *jobstate.Job, afterS float64) bool {
	ageS := p.state.Now.Sub(job.AcceptedAt).Seconds()
	for _, withinS := range job.Class.StartObjectives {
		if ageS < withinS && ageS+afterS+jobstate.StartOverheadS > withinS {
			return true
		}
	}
	return false
}

// mustStartSoon reports whether the job's tasks must start now: the time left for the next
// aim runs out, or an aim for their start was missed not long ago. An aim that is far off
// stops nobody: free room goes to the higher priority anyway, and what is stopped is paid
// for twice. A short aim is missed soon, and its tasks matter still.
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
