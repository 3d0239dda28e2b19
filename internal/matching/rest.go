package matching

const (
	leastRest      = 1.0  // seconds that a running task still takes, at least
	leastRestShare = 0.15 // of the time that it has run, which is added to that
)

// RemainingRun is for how many more seconds a task runs that was estimated to run for
// estimated seconds and has run for elapsed. One that has outrun its estimate is expected
// to go on for a share of what it has taken.
func RemainingRun(estimated, elapsed float64) float64 {
	return max(estimated-elapsed, leastRest+leastRestShare*elapsed)
}
