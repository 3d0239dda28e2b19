package submission

import (
	"testing"
	"time"

	"github.com/wallrack/wallrack/internal/config"
)

// The rule, the users, the load balancer and the largest worker lease, from the operators' protocol and settings.
const (
	forgottenAfter   = 75 * time.Second
	userPollPause    = 5 * time.Second
	removalPause     = time.Minute     // the longest
	readmission      = 2 * time.Second // two health checks
	restartDelay     = 4 * time.Second
	workerLease      = 44 * time.Second
	shardLoadTimeout = 8 * time.Second // of package scheduler
	siteLiveJobs     = 1300            // of 4,000 machines
	siteEndedJobs    = 3000            // whose users were not told during the faults
)

// recoveryStep is a step after which the next one begins.
type recoveryStep struct {
	name    string
	longest time.Duration
}

func TestRecoveryOfAnswersIsShorterThanTheTimeAfterWhichAJobIsForgotten(t *testing.T) {
	operator, err := config.LoadOperator("")
	if err != nil {
		t.Fatal(err)
	}
	answer := []recoveryStep{{"the user's next poll", userPollPause}, {"its answer", pollTimeout}}
	for name, steps := range map[string][]recoveryStep{
		"load balancer": {{"removal", removalPause}, {"readmission", readmission}},
		"failover": {
			{"restart", restartDelay},
			{"lease of the last leader", config.Seconds(operator.LeaseS)},
			{"load", shardLoadTimeout},
			{"stages unknown until all workers reported or lost their leases", workerLease},
		},
	} {
		sum := time.Duration(0)
		for _, step := range append(steps, answer...) {
			sum += step.longest
		}
		t.Logf("%s: %v", name, sum)
		if sum >= forgottenAfter {
			t.Errorf("%s: %v: %v", name, sum, steps)
		}
	}
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
