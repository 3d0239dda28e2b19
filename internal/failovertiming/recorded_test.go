package failovertiming_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/failovertiming"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// The names of the phases in logs and statistics do not change.
func TestRecordedPhases(t *testing.T) {
	var text strings.Builder
	for _, phase := range []failovertiming.Phase{
		failovertiming.Up, failovertiming.LeaseAcquired, failovertiming.ShardClaimed, failovertiming.JobsRead, failovertiming.FirstHeartbeat, failovertiming.FirstGrant,
		failovertiming.HalfOfWorkers, failovertiming.MostWorkers, failovertiming.AllWorkers,
	} {
		fmt.Fprintln(&text, phase)
	}
	recorded.Compare(t, "phases.txt", []byte(text.String()))
}
