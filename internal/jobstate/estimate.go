package jobstate

const (
	// RunTimeMargin is the factor by which runs are taken to be longer than estimated where the
	// estimate must not be exceeded.
	RunTimeMargin = 1.3
	// RestartOverheadS is the time in seconds from the decision to start a task again to its
	// run, image fetch included.
	RestartOverheadS = 4
	// StartOverheadS is the time in seconds from a match to the start, without the wait for
	// resources and the image fetch.
	StartOverheadS = 0.3

	defaultRunS = 60 // run time of a task of which nothing is known

	// What every worker starts with, so that a few tasks don't decide its success rate.
	priorDone = 20
	priorLost = 0.2
	// spotWeight is the weight of the other spot workers' tasks for a spot worker's rate.
	spotWeight = 0.25
	// failureWeight is how many lost tasks an error of a task counts as.
	failureWeight = 2
)

// Average is the mean of the values added to it. The zero value is empty.
type Average struct {
	Count int
	Sum   float64
}

// Add adds a value.
func (a *Average) Add(value float64) { a.Count++; a.Sum += value }

// Mean returns the mean; 0 if there is no value.
func (a *Average) Mean() float64 {
	if a.Count == 0 {
		return 0
	}
	return a.Sum / float64(a.Count)
}

// RunEstimate returns the expected run time of a task of the job in seconds: by the job's
// own tasks, else the user's estimate corrected by the class's ratio, else the class's tasks.
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

// SuccessRate estimates the share of tasks that the worker doesn't lose or fail, by what
// happened recently there and, for a spot worker, on all spot workers.
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
