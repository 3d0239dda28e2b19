package jobstate

const (
	// RunTimeMargin is the factor applied to estimated run times where they must not be
	// exceeded.
	RunTimeMargin = 1.3
	// RestartOverheadS is the time in seconds from the decision to restart a task until it runs,
	// including the image fetch.
	RestartOverheadS = 4
	// StartOverheadS is the time in seconds from placement to start, excluding the wait for
	// resources and the image fetch.
	StartOverheadS = 0.3

	defaultRunS = 60 // run time assumed for a task without any estimate

	// Initial counts of done and lost tasks of every worker, so that a few tasks do not dominate
	// its success rate.
	priorDone = 20
	priorLost = 0.2
	// spotWeight is the weight of the tasks on all spot workers in the success rate of one of
	// them.
	spotWeight = 0.25
	// failureWeight is the number of lost tasks that one error counts as.
	failureWeight = 2
)

// Average is the mean of the values added to it. The zero value is empty.
type Average struct {
	Count int
	Sum   float64
}

// Add adds a value.
func (a *Average) Add(value float64) { a.Count++; a.Sum += value }

// Mean returns the mean, or 0 if no value was added.
func (a *Average) Mean() float64 {
	if a.Count == 0 {
		return 0
	}
	return a.Sum / float64(a.Count)
}

// RunEstimate returns the expected run time of a task of the job in seconds: the mean of the
// job's own tasks, or else the user's estimate corrected by the class's ratio, or else the mean
// of the class's tasks.
func (j *Job) RunEstimate() float64 {
	switch {
	case j.RunTimes.Count >= 2:
		return j.RunTimes.Mean()
	case j.Spec.EstimateS > 0:
		return j.Spec.EstimateS * j.Class.EstimateRatio
	case j.Class.RunTimes.Count > 0:
		return j.Class.RunTimes.Mean()
	}
	return defaultRunS
}

// UnboundedRunS is longer, in seconds, than the horizon of any plan.
const UnboundedRunS = 1e6

// OccupancyEstimate returns for how many seconds a task of the job is expected to hold the resources of
// a worker once it runs. A service's tasks run until it is cancelled: if their resources counted as
// free soon, other tasks would be expected to start there and wait in vain.
func (j *Job) OccupancyEstimate() float64 {
	if j.Spec.Service() {
		return UnboundedRunS
	}
	return j.RunEstimate()
}

// SuccessRate estimates the share of tasks that the worker neither loses nor fails, from recent
// tasks on the worker and, for a spot worker, on all spot workers.
func (s *State) SuccessRate(worker *Worker) float64 {
	done, lost := priorDone+worker.RecentDone, priorLost+worker.RecentLost
	if worker.View.Spot {
		done, lost = done+s.SpotDone*spotWeight, lost+s.SpotLost*spotWeight
	}
	for _, n := range worker.Failures {
		lost += failureWeight * float64(n)
	}
	return done / (done + lost)
}
