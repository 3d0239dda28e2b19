package submission

import (
	"slices"
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/config"
	"github.com/wallrack/wallrack/internal/scheduler"
)

// The rule, the users and the load balancer, from the operators' protocol and settings.
const (
	forgottenAfter = 75 * time.Second
	userPollPause  = 5 * time.Second
	removalPause   = time.Minute     // the longest
	readmission    = 2 * time.Second // two health checks
	restartDelay   = 4 * time.Second
	siteLiveJobs   = 1300 // of 4,000 machines
	siteEndedJobs  = 3000 // whose users were not told during the faults
)

// recoveryStep is a step after which the next one begins.
type recoveryStep struct {
	name    string
	longest time.Duration
}

// failover returns the steps from the end of a leader until its successor answers polls for every job.
func failover(t *testing.T) []recoveryStep {
	t.Helper()
	operator, err := config.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	return []recoveryStep{
		{"lease of the last leader", config.Seconds(operator.LeaseS)},
		{"load", scheduler.LoadTimeout},
	}
}

// checkFits fails the test unless the steps, failed polls and an answered poll take less than forgottenAfter.
func checkFits(t *testing.T, failedPolls int, steps ...recoveryStep) {
	t.Helper()
	steps = append(steps, recoveryStep{"failed polls", time.Duration(failedPolls) * userPollPause},
		recoveryStep{"the user's next poll", userPollPause}, recoveryStep{"its answer", pollTimeout})
	sum := time.Duration(0)
	for _, step := range steps {
		sum += step.longest
	}
	t.Logf("%d failed polls: %v", failedPolls, sum)
	if sum >= forgottenAfter {
		t.Errorf("%d failed polls: %v: %v", failedPolls, sum, steps)
	}
}

var (
	longestRemoval = []recoveryStep{{"removal by the load balancer", removalPause}, {"readmission", readmission}}
	restart        = recoveryStep{"restart", restartDelay}
)

func TestRecoveryOfAnswersIsShorterThanTheTimeAfterWhichAJobIsForgotten(t *testing.T) {
	t.Run("load balancer", func(t *testing.T) {
		checkFits(t, 0, longestRemoval...)
		checkFits(t, 1, longestRemoval...)
	})
	t.Run("failover", func(t *testing.T) {
		steps := append([]recoveryStep{restart}, failover(t)...)
		checkFits(t, 0, steps...)
		checkFits(t, 1, steps...)
	})
}

func TestTwoFailedPollsAfterTheLongestRecoveryAreWithinTheTimeAfterWhichAJobIsForgotten(t *testing.T) {
	checkFits(t, 2, longestRemoval...)
	checkFits(t, 2, append([]recoveryStep{restart}, failover(t)...)...)
}

func TestTwoFailoversInSeriesAreWithinTheTimeAfterWhichAJobIsForgotten(t *testing.T) {
	checkFits(t, 0, slices.Concat([]recoveryStep{restart}, failover(t), failover(t))...)
}

func TestOneControllerAnswersAllUsersOfALargeSite(t *testing.T) {
	pollsPerS := siteLiveJobs / userPollPause.Seconds()
	if turns := maxPollsInFlight / pollTimeout.Seconds(); turns < pollsPerS {
		t.Errorf("turns for %.0f polls a second, users make %.0f", turns, pollsPerS)
	}
	if batched := maxSlowBatchesInFlight * maxBatchSize / batchTimeout.Seconds(); batched < pollsPerS {
		t.Errorf("a slow leader is asked about %.0f jobs a second, users poll for %.0f", batched, pollsPerS)
	}
	if maxEndedJobs < siteEndedJobs {
		t.Errorf("%d of %d ended jobs are retained", maxEndedJobs, siteEndedJobs)
	}
}
