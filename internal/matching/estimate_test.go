package matching_test

import (
	"math"
	"testing"

	"github.com/wallrack/wallrack/internal/matching"
)

// The completion time counts K_fail times for the share of failures.
func TestCostWeighsFailures(t *testing.T) {
	if got := matching.Cost(1, 2, 7, 0.9, 4); math.Abs(got-13) > 1e-9 {
		t.Errorf("C = %v, want 0.9*10 + 4*0.1*10", got)
	}
}

// Each of the three conditions alone causes a queued task to be placed again.
func TestShouldReplaceOnLongWait(t *testing.T) {
	for _, c := range []struct {
		plannedS, elapsedS, expectedS, averageS float64
		want                                    bool
	}{
		{2, 1, 1, 2, false},
		{2, 5, 3, 9, true},  // worse than planned
		{9, 1, 8, 2, true},  // above the stage's average
		{90, 8, 0, 2, true}, // waited longer than the average
	} {
		if got := matching.ShouldReplace(c.plannedS, c.elapsedS, c.expectedS, c.averageS, 4); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
	}
}
