package soak

import "time"

// answers are the outcomes of the users' requests about one job, in the order of their times.
type answers struct {
	job      string
	answered []time.Duration
	refused  []time.Duration
}

// within reports whether one of the times lies between from, exclusive, and to, inclusive.
func within(times []time.Duration, from, to time.Duration) bool {
	for _, at := range times {
		if at > from && at <= to {
			return true
		}
	}
	return false
}

// answersByJob returns the outcomes of the requests about each accepted job.
func answersByJob(history History) map[string]*answers {
	jobs := map[string]*answers{}
	for i := range history.Events {
		e := &history.Events[i]
		isRequest := e.Kind == Submit || e.Kind == Poll
		job := jobs[e.Job]
		switch {
		case !isRequest || job == nil && !e.succeeded():
		case job == nil:
			jobs[e.Job] = &answers{job: e.Job, answered: []time.Duration{e.At}}
		case e.succeeded():
			job.answered = append(job.answered, e.At)
		default:
			job.refused = append(job.refused, e.At)
		}
	}
	return jobs
}

// checkUnanswered returns a violation for each accepted job about which every request failed for longer than
// the limit while faults were played, although most other jobs got an answer meanwhile.
func checkUnanswered(history History, limit time.Duration) (violations []Violation) {
	jobs := answersByJob(history)
	faultsOver, runOver := timeOf(history, FaultsOver), timeOf(history, RunOver)
	for _, job := range jobs {
		for i, from := range job.answered {
			to := runOver
			if i+1 < len(job.answered) {
				to = job.answered[i+1]
			}
			if from >= faultsOver || to-from <= limit || !within(job.refused, from+limit, to) || !mostOthersAnswered(jobs, job, from+limit/2, from+limit) {
				continue
			}
			violations = append(violations, Violation{Rule: Forgotten, At: to, Job: job.job, Cause: "every request about it failed for " + (to - from).String() + " while most others got answers"})
		}
	}
	return violations
}

// mostOthersAnswered reports whether more than half of the other jobs that were asked about in a period got an
// answer in it.
func mostOthersAnswered(jobs map[string]*answers, except *answers, from, to time.Duration) bool {
	asked, answered := 0, 0
	for _, job := range jobs {
		got := within(job.answered, from, to)
		switch {
		case job == except || !got && !within(job.refused, from, to):
		case got:
			asked, answered = asked+1, answered+1
		default:
			asked++
		}
	}
	return 2*answered > asked
}

// timeOf returns the time of the first event of a kind, or the time of the last event if there is none.
func timeOf(history History, kind EventKind) (at time.Duration) {
	for i := range history.Events {
		if e := &history.Events[i]; e.Kind == kind {
			return e.At
		}
	}
	if n := len(history.Events); n > 0 {
		return history.Events[n-1].At
	}
	return 0
}
