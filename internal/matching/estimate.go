package matching

// WaitUnderestimateS is the average time in seconds by which a task waits longer than estimated
// for room that running tasks still occupy: tasks are assumed to end as early as possible, and a
// worker is chosen because its estimate is the lowest.
const WaitUnderestimateS = 1.0

const (
	minRemainingS = 1.0  // minimum remaining run time in seconds of a running task
	overrunShare  = 0.15 // share of the elapsed run time that is added to it
)

// Cost returns the paper's estimate C = P·E + K_fail·(1 − P)·E for a task on a worker, with the
// completion time E = I + W + R, the sum of image fetch, wait and run in seconds. P is the
// success rate, between 0 and 1, and K_fail the weight of a failure.
func Cost(fetchS, waitS, runS, success, kFail float64) float64 {
	completionS := fetchS + waitS + runS
	return success*completionS + kFail*(1-success)*completionS
}

// ShouldReplace reports whether a queued task is to be placed again, by the paper's three
// conditions: the total wait elapsedS+expectedS exceeds plannedS, the remaining wait expectedS
// exceeds averageS (the average wait in the task's stage), or the past wait elapsedS exceeds
// averageS, each by more than marginS. All arguments are in seconds.
func ShouldReplace(plannedS, elapsedS, expectedS, averageS, marginS float64) bool {
	return elapsedS+expectedS > plannedS+marginS || expectedS > averageS+marginS || elapsedS > averageS+marginS
}

// RemainingRun returns the expected remaining run time in seconds of a task that was estimated
// to run for estimatedS and has run for elapsedS. A task that has exceeded its estimate is
// expected to run on for a share of its elapsed time.
func RemainingRun(estimatedS, elapsedS float64) float64 {
	return max(estimatedS-elapsedS, minRemainingS+overrunShare*elapsedS)
}
