package matching

// WaitUnderestimateS is for how many seconds longer than estimated a task waits, on average, for room
// that running tasks have yet to leave: they are expected to end as soon as they may, and a
// worker is picked because its estimate is the lowest.
const WaitUnderestimateS = 1.0

const (
	minRemainingS  = 1.0  // seconds that a running task still takes, at least
	overrunShare = 0.15 // of the time that it has run, which is added to that
)

// Cost is the paper's estimate C = P·E + K_fail·(1 − P)·E of a task on a worker, with the
// completion time E = I + W + R: fetch of the image, wait and run, in seconds. P is the
// success rate, between 0 and 1, and K_fail the weight of a failure.
func Cost(fetchS, waitS, runS, success, kFail float64) float64 {
	completionS := fetchS + waitS + runS
	return success*completionS + kFail*(1-success)*completionS
}

// ShouldReplace reports whether a queued task is to be placed again, by the paper's three
// conditions: it will have waited for more than was planned, or its expected wait is above
// its stage's average, or it has waited for longer than that, each by more than marginS.
// All are seconds.
func ShouldReplace(plannedS, elapsedS, expectedS, averageS, marginS float64) bool {
	return elapsedS+expectedS > plannedS+marginS || expectedS > averageS+marginS || elapsedS > averageS+marginS
}

// RemainingRun is for how many more seconds a task runs that was estimated to run for
// estimatedS and has run for elapsedS. One that has outrun its estimate is expected to go
// on for a share of what it has taken.
func RemainingRun(estimatedS, elapsedS float64) float64 {
	return max(estimatedS-elapsedS, minRemainingS+overrunShare*elapsedS)
}
