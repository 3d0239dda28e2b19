package failovertiming_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/failovertiming"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// The names of the phases in logs and statistics.
func TestRecordedPhases(t *testing.T) {
	var text strings.Builder
	for _, phase := range []failovertiming.Phase{
		failovertiming.Up, failovertiming.Joined, failovertiming.Claimed, failovertiming.Read, failovertiming.FirstHeartbeat, failovertiming.Granted,
		failovertiming.Half, failovertiming.Most, failovertiming.All,
	} {
		fmt.Fprintln(&text, phase)
	}
	recorded.Compare(t, "phases.txt", []byte(text.String()))
}
