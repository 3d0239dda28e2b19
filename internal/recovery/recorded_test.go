package recovery_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/wallrack/wallrack/internal/recovery"
	"github.com/wallrack/wallrack/internal/testkit/recorded"
)

// The names of the phases in logs and statistics.
func TestRecordedPhases(t *testing.T) {
	var text strings.Builder
	for _, p := range []recovery.Phase{recovery.Up, recovery.Joined, recovery.Claimed, recovery.Read, recovery.Heard, recovery.Granted, recovery.Half, recovery.Most, recovery.All} {
		fmt.Fprintln(&text, p)
	}
	recorded.Compare(t, "phases.txt", []byte(text.String()))
}
